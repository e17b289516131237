"""A loopback proxy that harms the connections that go through it."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from mulleinreach.standins.resets import reset

CHUNK_BYTES = 65_536


@dataclass
class Link:
    """The knobs of one proxied address.

    ``delay_s`` holds every piece up; ``is_silent`` lets nothing through either way
    and keeps connections open; ``is_one_way`` loses what comes back; ``refuses`` ends new
    connections.
    """

    target: tuple[str, int]
    delay_s: float = 0.0
    is_silent: bool = False
    is_one_way: bool = False
    refuses: bool = False
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    port: int = 0

    def mend(self) -> None:
        """Let everything through again."""
        self.delay_s = 0.0
        self.is_silent = self.is_one_way = False

    def reset(self) -> None:
        """Break all open connections."""
        for writer in list(self.writers):
            reset(writer.transport)


class Proxy:
    """Listens once for each link."""

    def __init__(self) -> None:
        self._servers: list[asyncio.AbstractServer] = []

    async def open(self, host: str, port: int) -> Link:
        """Return a new link to an address; ``link.port`` is where to connect."""
        link = Link((host, port))
        server = await asyncio.start_server(lambda r, w: self._serve(link, r, w), "127.0.0.1", 0)
        link.port = server.sockets[0].getsockname()[1]
        self._servers.append(server)
        return link

    async def _serve(self, link: Link, reader, writer) -> None:
        if link.refuses:
            reset(writer.transport)
            return
        try:
            there, back = await asyncio.open_connection(*link.target)
        except OSError:
            writer.transport.abort()
            return
        link.writers |= {writer, back}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(link, reader, back, is_back=False))
                group.create_task(self._pump(link, there, writer, is_back=True))
        except* OSError:
            for each in (writer, back):
                reset(each.transport)
        finally:
            link.writers -= {writer, back}
            for each in (writer, back):
                with contextlib.suppress(OSError, RuntimeError):
                    each.transport.abort()

    async def _pump(self, link: Link, reader, writer, is_back: bool) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            while link.is_silent:
                await asyncio.sleep(0.05)
            if is_back and link.is_one_way:
                continue
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
