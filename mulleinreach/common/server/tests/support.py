"""A server with bounds on its clients, on a virtual clock, and raw connections to it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from mulleinreach.common.address import Address
from mulleinreach.common.clock import VirtualClock
from mulleinreach.common.server.body import BodyRefusal, read_body
from mulleinreach.common.server.bounds import ClientBounds, refuse_overload
from mulleinreach.common.server.connections import ConnectionTable, ConnectionTimeouts
from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.common.server.start import listen
from mulleinreach.standins.virtual import run_virtual

ADDRESS = Address("10.0.0.1", 80)
MEMORY_BYTES = 1_000_000
MAX_BODY_BYTES = 600_000


@dataclass
class EchoServer:
    """Answers each request with its path and body, once ``gate`` is open.

    Parameters
    ==========

    reads_after_s : time before a request's body is read.
    """

    memory_bytes: int = MEMORY_BYTES
    max_connections: int = 100
    reads_after_s: float = 0.0
    timeouts: ConnectionTimeouts = ConnectionTimeouts(idle_s=15.0, header_s=3.0)
    address: Address = ADDRESS
    begun: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    malformed: list[int] = field(default_factory=list)
    closed: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Listen for clients."""
        self.gate = asyncio.Event()
        self.gate.set()
        self.bounds = ClientBounds(
            ConnectionTable(VirtualClock(), self.max_connections, self.closed.append),
            MemoryLedger(self.memory_bytes),
            on_malformed=lambda status, reason: self.malformed.append(status),
        )
        self._server = web.Server(self._handle, handler_cancellation=True, access_log=None)
        self._listener = await listen(self._server, self.bounds, self.address)
        self._watching = asyncio.create_task(self.bounds.connections.watch(lambda: self.timeouts))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.begun.append(request.path)
        try:
            await asyncio.sleep(self.reads_after_s)
            body = await read_body(request, MAX_BODY_BYTES)
            if body is BodyRefusal.TOO_LARGE:
                return web.Response(status=413)
            if body is BodyRefusal.MALFORMED:
                return web.Response(status=400)
            if body is BodyRefusal.NO_MEMORY:
                return await refuse_overload(request)
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        return web.Response(body=request.path.encode() + b" " + body)

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self._listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._watching.cancel()
        self._listener.close()
        await self._server.shutdown(0.1)


def run_server(test: Callable[[EchoServer], Awaitable[None]], **options) -> None:
    """Run a test with a server on a virtual clock."""

    async def run() -> None:
        server = EchoServer(**options)
        await server.start()
        try:
            await test(server)
        finally:
            await server.close()

    run_virtual(run())


class RawClient:
    """A connection to the server on which bytes are written and answers read."""

    @classmethod
    async def open(cls) -> RawClient:
        """Return a client that has connected."""
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
        return client

    async def read_answer(self) -> tuple[int, bytes]:
        """Return status and body of the next answer."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        fields = dict(line.split(b": ", 1) for line in head.strip().split(b"\r\n")[1:])
        body = await self.reader.readexactly(int(fields[b"Content-Length"]))
        return int(head.split(b" ")[1]), body

    async def is_closed(self, within_s: float = 60.0) -> bool:
        """Whether the server closes the connection, whatever it sends before."""
        try:
            async with asyncio.timeout(within_s):
                await self.reader.read()
                return True
        except ConnectionError:
            return True
        except TimeoutError:
            return False


def request(path: str, body: bytes = b"", fields: str = "") -> bytes:
    """Return the bytes of a request."""
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


def chunked_request(path: str, chunks: list[bytes]) -> bytes:
    """Return the bytes of a request whose body comes in chunks."""
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    parts = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
    return head + b"".join(parts) + b"0\r\n\r\n"
