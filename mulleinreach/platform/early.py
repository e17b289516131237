"""Listens for callers before the rest of the program is imported.

Imports take most of a node's start. Connections made meanwhile wait in the socket's backlog
instead of being refused. This module imports only the standard library; errors in the settings
are reported later, when the settings are validated.
"""

from __future__ import annotations

import socket

SETTINGS_VARIABLE = "MULLEINREACH_NODE_FILE"
LISTEN_ADDRESS_FIELD = "listen.front"
BACKLOG = 512


def listen_for_callers(settings_path: str) -> socket.socket | None:
    """Return a socket that listens on the callers' address, ``None`` if that fails."""
    try:
        with open(settings_path, encoding="utf-8") as file:
            fields = dict(line.strip().split("=", 1) for line in file if "=" in line)
        host, _, port = fields[LISTEN_ADDRESS_FIELD].rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, KeyError, ValueError, OverflowError):
        return None
    listener.setblocking(False)
    return listener
