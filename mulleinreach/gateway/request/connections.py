"""Tracks callers' connections and closes idle ones."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from aiohttp.web_protocol import RequestHandler

from mulleinreach.common import Clock

CHECK_INTERVAL_S = 0.5


class CallerConnections:
    """Closes idle connections after the configured timeout.

    Explanation
    ===========

    The idle timeout may change with each configuration, whereas the HTTP server fixes it
    when a connection is opened; so idle times are tracked here. A connection without a
    complete request counts as idle.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._busy: set[RequestHandler] = set()
        self._idle_since: dict[RequestHandler, float] = {}

    def begin(self, connection: RequestHandler) -> None:
        """Mark a connection as busy with a request."""
        self._busy.add(connection)
        self._idle_since.pop(connection, None)

    def end(self, connection: RequestHandler) -> None:
        """Mark a connection as idle after the answer."""
        self._busy.discard(connection)
        self._idle_since[connection] = self._clock.now()

    def close_idle(self, connections: Iterable[RequestHandler], idle_timeout_s: float) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.now()
        not_busy = [c for c in connections if c not in self._busy]
        self._idle_since = {c: self._idle_since.get(c, now) for c in not_busy}
        idle = [c for c, since in self._idle_since.items() if now - since > idle_timeout_s]
        for connection in idle:
            del self._idle_since[connection]
            connection.force_close()

    def close_all(self, connections: Iterable[RequestHandler]) -> None:
        """Close idle connections now, and busy ones after their answer.

        ``close`` alone would let an idle connection read one more request and drop it.
        """
        for connection in connections:
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    async def watch(self, server, idle_timeout_s) -> None:
        """Close idle connections periodically, without end.

        Parameters
        ==========

        server : HTTP server; ``connections`` lists its open connections.
        idle_timeout_s : callable that returns the idle timeout in force.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.close_idle(list(server.connections), idle_timeout_s())
