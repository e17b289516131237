"""Listens for HTTP connections of callers and of the platform."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

from mulleinreach.common import Address

BACKLOG = 512
IDLE_TIMEOUT_S = 20.0
# Fields up to the limit of the configuration have to be read to be answered.
MAX_LINE_BYTES = 65_536

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def serve(
    handler: Handler,
    address: Address,
    idle_timeout_s: float,
    listening_socket: socket.socket | None,
) -> tuple[web.Server, asyncio.AbstractServer]:
    """Have a handler answer the requests that come to an address.

    Parameters
    ==========

    idle_timeout_s : how long a connection may rest between two requests.
    listening_socket : a socket that listens there already; ``None`` if nothing does.
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
