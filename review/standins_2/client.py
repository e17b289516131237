"""A client's kept connection, over which requests are sent one after the other."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from review.standins_2.nodes import LOCAL

HOST = "ficu95.example"


@dataclass
class Answer:
    """What a client got: ``is_whole`` if the answer came to its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    is_closed: bool = False


class Connection:
    """One connection to a node; ``served`` counts the whole answers on it."""

    def __init__(self, port: int):
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.served = 0
        # Whether the whole request was written.
        self.is_sent = False

    async def _open(self) -> None:
        async with asyncio.timeout(1):
            self._reader, self._writer = await asyncio.open_connection(LOCAL, self._port)
        self.served = 0

    async def ask(
        self, path: str, request_id: str, key: str, deadline_ms: int, body: bytes
    ) -> Answer:
        """Send a request and read its answer until its end, or the connection's."""
        answer = Answer()
        try:
            if self._writer is None:
                await self._open()
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Mulleinreach-Request-Id: {request_id}\r\n"
                f"X-Mulleinreach-Deadline-Ms: {deadline_ms}\r\n"
                f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            self.is_sent = False
            self._writer.write(head.encode())
            self._writer.write(body)
            await self._writer.drain()
            self.is_sent = True
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await self._read(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.is_closed = not isinstance(error, TimeoutError)
        if answer.is_whole:
            self.served += 1
        if not answer.is_whole or answer.headers.get("connection", "") == "close":
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        line = await self._reader.readuntil(b"\r\n")
        answer.status = int(line.split()[1])
        while (line := await self._reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode().partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") != "chunked":
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self._reader.readexactly(length)
            answer.is_whole = True
            return
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await self._reader.readexactly(size + 2)
            if not size:
                answer.is_whole = True
                return
            answer.body += data[:-2]

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
