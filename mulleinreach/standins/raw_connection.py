"""A caller's connection on which requests are written in segments."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass

from mulleinreach.common import Address


@dataclass(frozen=True)
class RawAnswer:
    """A whole answer.

    Parameters
    ==========

    is_last : whether it announced that its connection ends with it.
    """

    status: int
    fields: Mapping[str, str]
    body: bytes
    is_last: bool


class RawConnection:
    """An open connection to a gateway; answers are read as they come, also while it writes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._answers: asyncio.Queue[RawAnswer | None] = asyncio.Queue()
        self._reading = asyncio.create_task(self._read_answers())
        # Whether a part of an answer was received that isn't whole.
        self.has_partial_answer = False
        # When the other side ended the connection, by the loop's time.
        self.ended_at: float | None = None
        # Whether the latest head announced that the connection ends with its answer.
        self.is_ending = False

    @classmethod
    async def open(cls, address: Address) -> RawConnection:
        """Connect; raises :class:`OSError` if nobody listens."""
        return cls(*await asyncio.open_connection(address.host, address.port))

    async def write(self, data: bytes) -> None:
        """Send bytes; what a connection that has ended doesn't take is dropped."""
        with contextlib.suppress(ConnectionError):
            self._writer.write(data)
            await self._writer.drain()

    async def read_answer(self) -> RawAnswer | None:
        """Return the next answer, or ``None`` if the connection ends before its end."""
        return await self._answers.get()

    async def _read_answers(self) -> None:
        try:
            while True:
                self._answers.put_nowait(await self._read_answer())
                self.has_partial_answer = False
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended_at = asyncio.get_running_loop().time()
            self._answers.put_nowait(None)

    async def _read_answer(self) -> RawAnswer:
        head = await self._reader.readuntil(b"\r\n\r\n")
        self.has_partial_answer = True
        status_line, *lines = head.decode().strip().split("\r\n")
        pairs = (line.split(": ", 1) for line in lines)
        fields = {name.lower(): value for name, value in pairs}
        self.is_ending = fields.get("connection", "").lower() == "close"
        if fields.get("transfer-encoding") == "chunked":
            body = await self._read_chunks()
        else:
            body = await self._reader.readexactly(int(fields.get("content-length", "0")))
        return RawAnswer(int(status_line.split(" ")[1]), fields, body, self.is_ending)

    async def _read_chunks(self) -> bytes:
        parts = []
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            parts.append(await self._reader.readexactly(size))
            await self._reader.readexactly(2)
        await self._reader.readuntil(b"\r\n")
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection."""
        self._reading.cancel()
        self._writer.close()
