"""TCP and HTTP servers and clients; tests replace :class:`Network`."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from functools import partial

import aiohttp
from aiohttp import web

from mulleinreach.common.address import Address
from mulleinreach.common.response_bounds import BoundedResponseHandler
from mulleinreach.common.responses import Response
from mulleinreach.common.server.bounds import ClientBounds
from mulleinreach.common.server.start import listen

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None] | None]

CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 8190
MAX_HEADER_BYTES = 16380


class HttpServer:
    """A running aiohttp application that listens on one address."""

    def __init__(self, runner: web.AppRunner, server: asyncio.AbstractServer):
        self._runner = runner
        self._server = server

    async def close(self) -> None:
        """Stop listening and close the open connections."""
        self._server.close()
        await self._runner.cleanup()


class Network:
    """TCP and HTTP of a real process."""

    def __init__(self, origin: str = ""):
        self.origin = origin

    async def serve_http(
        self, app: web.Application, address: Address, bounds: ClientBounds | None = None
    ) -> HttpServer:
        """Serve ``app``; a handler is cancelled when its caller disconnects.

        Parameters
        ==========

        bounds : on what clients make the process hold; ``None`` for clients that are trusted.
        """
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        if bounds is not None:
            return HttpServer(runner, await listen(runner.server, bounds, address))
        loop = asyncio.get_running_loop()
        server = await loop.create_server(runner.server, address.host, address.port)
        return HttpServer(runner, server)

    def http_client(
        self, keeps_connections: bool = True, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> aiohttp.ClientSession:
        """Return a client session without a total timeout or a connection limit.

        Explanation
        ===========

        aiohttp retries a request by itself if a reused connection turns out to be
        closed. This is disabled, because a retry must be decided by the caller.
        """
        return self.http_client_on(
            self._connector(force_close=not keeps_connections), connect_timeout_s
        )

    def http_client_on(
        self, connector: aiohttp.BaseConnector, connect_timeout_s: float
    ) -> aiohttp.ClientSession:
        """Return a client session like :meth:`http_client` on a given connector."""
        connector._factory = partial(BoundedResponseHandler, loop=asyncio.get_running_loop())
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            response_class=Response,
        )
        session._retry_connection = False
        return session

    def _connector(self, force_close: bool) -> aiohttp.TCPConnector:
        return aiohttp.TCPConnector(limit=0, use_dns_cache=False, force_close=force_close)

    async def listen(self, address: Address, handler: StreamHandler) -> asyncio.AbstractServer:
        """Accept stream connections; ``handler`` is called, or runs as a task, for each."""
        return await asyncio.start_server(handler, address.host, address.port)

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Open a connection with a protocol of its own, without a timeout.

        Raises ``OSError`` if it can't be opened, whatever the reason.
        """
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_connection(protocol_factory, address.host, address.port)
        except ValueError as error:
            raise _unusable(address, error) from error

    async def connect(self, address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a stream connection, within ``CONNECT_TIMEOUT_S`` seconds.

        Raises ``OSError`` if it can't be opened, whatever the reason.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(address.host, address.port)
        except ValueError as error:
            raise _unusable(address, error) from error


def _unusable(address: Address, error: ValueError) -> OSError:
    """Return the error for an address that the resolver can't encode."""
    return OSError(errno.EADDRNOTAVAIL, f"{address}: {error}")
