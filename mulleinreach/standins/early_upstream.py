"""An upstream on real sockets that answers a request before it has read it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections.abc import AsyncIterator

from mulleinreach.common import Address
from mulleinreach.standins.resets import reset

# A small window, so that most of a long request stays at its sender.
RECEIVE_BUFFER_BYTES = 16_384
# Between the end of the upstream's side of a connection and its reset.
RESET_DELAY_S = 0.02


class EarlyEnd(enum.Enum):
    """How an upstream ends a connection after its answer.

    ``RESET``: it resets it.
    ``CLOSE``: it ends its side, and resets the connection a little later.
    ``HOLD``: it ends its side, and leaves the rest of the request unread.
    ``READ``: it reads the whole request and closes.
    """

    RESET = "reset"
    CLOSE = "close"
    HOLD = "hold"
    READ = "read"


@contextlib.asynccontextmanager
async def early_upstream(
    answer: bytes,
    end: EarlyEnd,
    body_bytes: int = 0,
    answers_after_s: float = 0.0,
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
) -> AsyncIterator[Address]:
    """Serve each request with the same bytes once its head has arrived; yields the address.

    Parameters
    ==========

    body_bytes : the length of the requests' bodies, for ``EarlyEnd.READ``.
    answers_after_s : time between the head of a request and the answer.
    receive_buffer_bytes : how much of a request the system takes though it isn't read.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await asyncio.sleep(answers_after_s)
        writer.write(answer)
        if end is EarlyEnd.READ:
            writer.transport.resume_reading()
            await reader.readexactly(body_bytes)
            writer.close()
            return
        await writer.drain()
        if end in (EarlyEnd.CLOSE, EarlyEnd.HOLD):
            writer.write_eof()
        if end is EarlyEnd.CLOSE:
            await asyncio.sleep(RESET_DELAY_S)
        if end is EarlyEnd.HOLD:
            await is_over.wait()
        reset(writer.transport)

    is_over = asyncio.Event()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener)
    try:
        yield Address(*listener.getsockname())
    finally:
        is_over.set()
        server.close()
