"""Callers' connections: which are answering, and for how long the others have rested."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from aiohttp.web_protocol import RequestHandler

from mulleinreach.common import Clock

CHECK_INTERVAL_S = 0.5


class CallerConnections:
    """Closes connections at rest after the idle time that the configuration allows.

    Explanation
    ===========

    The idle time may change with each configuration, whereas the HTTP server takes
    one when a connection begins; so the time at rest is watched here. A connection
    that has sent no whole request yet counts as resting.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._busy: set[RequestHandler] = set()
        self._idle_since: dict[RequestHandler, float] = {}

    def begin(self, connection: RequestHandler) -> None:
        """Note that a request has come over a connection."""
        self._busy.add(connection)
        self._idle_since.pop(connection, None)

    def end(self, connection: RequestHandler) -> None:
        """Note that the request was answered."""
        self._busy.discard(connection)
        self._idle_since[connection] = self._clock.now()

    def close_idle(self, connections: Iterable[RequestHandler], idle_timeout_s: float) -> None:
        """Close those that have rested for too long."""
        now = self._clock.now()
        open_now = [c for c in connections if c not in self._busy]
        self._idle_since = {c: self._idle_since.get(c, now) for c in open_now}
        idle = [c for c, since in self._idle_since.items() if now - since > idle_timeout_s]
        for connection in idle:
            del self._idle_since[connection]
            connection.force_close()

    def close_all(self, connections: Iterable[RequestHandler]) -> None:
        """Close connections at rest now, and the others after their answer.

        A connection at rest that was only told to close later would read a request
        and drop it.
        """
        for connection in connections:
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    async def watch(self, server, idle_timeout_s) -> None:
        """Close idle connections for ever.

        Parameters
        ==========

        server : the HTTP server, whose ``connections`` are those that are open.
        idle_timeout_s : returns the idle time in force.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.close_idle(list(server.connections), idle_timeout_s())
