"""Creates the HTTP servers of a node."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.common.server.handler import ClientBounds
from mulleinreach.common.server.start import listen

# Beyond the idle timeouts in force, after which connections are closed.
IDLE_TIMEOUT_S = 3600.0
# At least the limit of the configuration, so that larger headers get a proper error answer.
MAX_LINE_BYTES = 65_536

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def serve(
    handler: Handler,
    address: Address,
    bounds: ClientBounds,
    listening_socket: socket.socket | None = None,
) -> tuple[web.Server, asyncio.AbstractServer]:
    """Start an HTTP server on an address.

    Parameters
    ==========

    listening_socket : a socket that already listens on the address; ``None`` to open one.
    """
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        keepalive_timeout=IDLE_TIMEOUT_S,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
    return server, await listen(server, bounds, address, listening_socket)
