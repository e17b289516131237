"""Refuses the requests that wait at a process which ends before it has started.

This module imports only the standard library, since the rest of the program may not be imported
yet.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import time

# The request has not run, and another node takes it at once.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
# For clients to close their connections; unread bytes would reset them with the answer.
MAX_REFUSAL_S = 0.5
READ_BYTES = 65_536


def refuse_waiting(listener: socket.socket) -> int:
    """Answer what waits in a listening socket's backlog, and stop listening.

    A connection on which nothing has come is closed. Returns the number of connections.
    """
    connections = _accept_waiting(listener)
    listener.close()
    until = time.monotonic() + MAX_REFUSAL_S
    with selectors.DefaultSelector() as selector:
        for connection in connections:
            _refuse(connection)
            selector.register(connection, selectors.EVENT_READ)
        while selector.get_map() and (remaining_s := until - time.monotonic()) > 0:
            for key, _ in selector.select(remaining_s):
                if not _read(key.fileobj):
                    selector.unregister(key.fileobj)
                    key.fileobj.close()
    for connection in connections:
        connection.close()
    return len(connections)


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Return the connections that wait; the end of descriptors ends the list."""
    listener.setblocking(False)
    connections = []
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.setblocking(False)
            connections.append(connection)
    return connections


def _refuse(connection: socket.socket) -> None:
    """Answer a request of which anything has come, and send nothing after that."""
    with contextlib.suppress(OSError):
        if _has_data(connection):
            connection.send(REFUSAL)
        connection.shutdown(socket.SHUT_WR)


def _has_data(connection: socket.socket) -> bool:
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def _read(connection: socket.socket) -> bool:
    """Read and drop what has come; returns whether the client may send more."""
    try:
        return bool(connection.recv(READ_BYTES))
    except BlockingIOError:
        return True
    except OSError:
        return False
