"""Creates the HTTP servers of a node."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

from mulleinreach.common import Address

BACKLOG = 512
IDLE_TIMEOUT_S = 20.0
# At least the limit of the configuration, so that larger headers get a proper error answer.
MAX_LINE_BYTES = 65_536

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def serve(
    handler: Handler,
    address: Address,
    idle_timeout_s: float,
    listening_socket: socket.socket | None,
) -> tuple[web.Server, asyncio.AbstractServer]:
    """Start an HTTP server on an address.

    Parameters
    ==========

    idle_timeout_s : how long a connection may be idle between two requests.
    listening_socket : a socket that already listens on the address; ``None`` to open one.
    """
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        keepalive_timeout=idle_timeout_s,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
    loop = asyncio.get_running_loop()
    if listening_socket is None:
        listener = await loop.create_server(server, address.host, address.port, backlog=BACKLOG)
    else:
        listener = await loop.create_server(server, sock=listening_socket, backlog=BACKLOG)
    return server, listener
