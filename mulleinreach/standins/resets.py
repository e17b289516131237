"""Resets of connections on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

# A socket that lingers for no time is reset when it closes, also if all was read.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection, which may be closed already."""
    with contextlib.suppress(OSError):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
