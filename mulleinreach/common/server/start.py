"""Starts HTTP servers with bounds on their clients."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from mulleinreach.common.address import Address
from mulleinreach.common.server.handler import BoundedRequestHandler, ClientBounds

# Of the system's buffers for a connection, which hold unread requests and answers that the client
# doesn't take.
SOCKET_BUFFER_BYTES = 65_536
# Connections that the system holds until they are accepted.
BACKLOG = 512
# Few enough that their descriptors don't matter before some can be closed again.
ACCEPT_BATCH = 16


async def listen(
    server: web.Server,
    bounds: ClientBounds,
    address: Address,
    listening_socket: socket.socket | None = None,
    accept_batch: int = ACCEPT_BATCH,
) -> asyncio.AbstractServer:
    """Accept connections for a server.

    Parameters
    ==========

    listening_socket : a socket that already listens on the address; ``None`` to open one,
        whose backlog is ``accept_batch``.
    accept_batch : connections that are accepted in one turn of the event loop.
    """
    loop = asyncio.get_running_loop()

    def make_handler() -> BoundedRequestHandler:
        return BoundedRequestHandler(server, bounds, loop=loop, **server._kwargs)

    if listening_socket is None:
        listener = await loop.create_server(
            make_handler, address.host, address.port, backlog=accept_batch
        )
    else:
        listener = await loop.create_server(
            make_handler, sock=listening_socket, backlog=accept_batch
        )
        # asyncio takes the size of a batch for the backlog, too.
        listening_socket.listen(BACKLOG)
    for each in listener.sockets:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            each.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listener
