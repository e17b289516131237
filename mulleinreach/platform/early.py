"""Listens for callers before the rest of the program is imported.

Explanation
===========

Most of the time from a node's start to its first answer goes into imports. After a
fault that struck all nodes, callers would find nobody listening for that long, and
most try only once more. A connection that is taken at once waits for the node instead.
This module imports nothing but the standard library, and what it can't read is left
to the check of the settings.
"""

from __future__ import annotations

import socket

SETTINGS_VARIABLE = "MULLEINREACH_NODE_FILE"
LISTEN_ADDRESS_FIELD = "listen.front"
BACKLOG = 512


def listen_for_callers(settings_path: str) -> socket.socket | None:
    """Return a listening socket on the address of the settings, ``None`` if there is none."""
    try:
        with open(settings_path, encoding="utf-8") as file:
            fields = dict(line.strip().split("=", 1) for line in file if "=" in line)
        host, _, port = fields[LISTEN_ADDRESS_FIELD].rpartition(":")
        return _listen(host, int(port))
    except (OSError, KeyError, ValueError, OverflowError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
