"""Clients that send without reading, on connections that they keep open."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Iterable, Iterator

from mulleinreach.common import Address
from mulleinreach.platform.dialect import DEADLINE_MS, MODEL, REQUEST_ID, TOKEN_USAGE
from mulleinreach.platform.tests.soak.document import CALLER_HOST

# How long a crowd goes on sending.
SEND_S = 8.0
# A stream of so many events outlasts any test.
ENDLESS_EVENTS = 100_000
_numbers = itertools.count()


class Crowd:
    """Sends bytes on many connections and never reads.

    Explanation
    ===========

    ``is_refused`` tells that no connection could be opened, as long as nothing listens.
    """

    def __init__(self, address: Address):
        self._address = address
        self.is_refused = True
        self._sockets: list[socket.socket] = []

    async def send(self, payloads: Iterable[Iterable[bytes]]) -> None:
        """Open a connection for each payload, and send until all is taken or for some time."""
        tasks = [asyncio.create_task(self._send(payload)) for payload in payloads]
        _, pending = await asyncio.wait(tasks, timeout=SEND_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, payload: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        self._sockets.append(connection)
        # A gateway may refuse such a client or close its connection.
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, (self._address.host, self._address.port))
            self.is_refused = False
            for data in payload:
                await loop.sock_sendall(connection, data)

    async def until_answered(self) -> None:
        """Read the first byte of an answer on each connection."""
        loop = asyncio.get_running_loop()
        await asyncio.gather(*(loop.sock_recv(each, 1) for each in self._sockets))

    def leave(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()


def head(method: str, path: str, fields: Iterable[tuple[str, str]] = ()) -> bytes:
    """Return the head of a sound request, with further fields."""
    own = [
        ("Host", CALLER_HOST),
        (REQUEST_ID, f"crowd-{next(_numbers)}"),
        (DEADLINE_MS, "600000"),
        (MODEL, "small"),
        (TOKEN_USAGE, "300,75"),
        ("Authorization", "Bearer key-1"),
        *fields,
    ]
    lines = "".join(f"{name}: {value}\r\n" for name, value in own)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


def request(path: str, body: bytes = b"", fields: Iterable[tuple[str, str]] = ()) -> bytes:
    """Return a whole request."""
    length = ("Content-Length", str(len(body)))
    return head("POST", path, [length, *fields]) + body


def stream() -> bytes:
    """Return a request for a stream that doesn't end."""
    return request("/stream/1", str(ENDLESS_EVENTS).encode())


def large_fields(count: int, size: int) -> list[tuple[str, str]]:
    """Return so many header fields of a size."""
    return [(f"X-Own-{number}", "v" * size) for number in range(count)]


def chunks_of_one_byte(count: int) -> Iterator[bytes]:
    """Return a request's body in chunks of one byte, without its end."""
    yield head("POST", "/order/1", [("Transfer-Encoding", "chunked")])
    block = b"1\r\nx\r\n" * 1000
    for _ in range(count // 1000):
        yield block
