"""Starts HTTP servers with bounds on their clients."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from mulleinreach.common.address import Address
from mulleinreach.common.server.bounds import ClientBounds
from mulleinreach.common.server.handler import BoundedRequestHandler

# Of the system's buffers for a connection, which hold unread requests and answers that the client
# doesn't take.
SOCKET_BUFFER_BYTES = 65_536
# Connections that the system holds until they are accepted.
BACKLOG = 512


async def listen(
    server: web.Server,
    bounds: ClientBounds,
    address: Address,
    listening_socket: socket.socket | None = None,
) -> asyncio.AbstractServer:
    """Accept connections for a server.

    Parameters
    ==========

    listening_socket : a socket that already listens on the address; ``None`` to open one.
    """
    loop = asyncio.get_running_loop()

    def make_handler() -> BoundedRequestHandler:
        return BoundedRequestHandler(server, bounds, loop=loop, **server._kwargs)

    if listening_socket is None:
        listener = await loop.create_server(
            make_handler, address.host, address.port, backlog=BACKLOG
        )
    else:
        listener = await loop.create_server(make_handler, sock=listening_socket, backlog=BACKLOG)
    for each in listener.sockets:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            each.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listener
