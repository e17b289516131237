"""Tracks a server's connections and closes those that are of no use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mulleinreach.common.clock import Clock

CHECK_INTERVAL_S = 0.5


class Connection(Protocol):
    """A client's connection."""

    def close(self) -> None:
        """Close after the answers to the requests that were read."""

    def force_close(self) -> None:
        """Close now; a request in progress is cancelled."""


@dataclass(frozen=True)
class ConnectionTimeouts:
    """How long clients may take, in seconds.

    Parameters
    ==========

    idle_s : between two requests.
    """

    idle_s: float


class ConnectionTable:
    """The open connections of a server.

    Explanation
    ===========

    Timeouts may change with each configuration, whereas the HTTP server fixes them when a
    connection is opened; so times are tracked here. A connection without a complete request counts
    as idle.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # In the order in which they became busy, or idle.
        self._busy_since: dict[Connection, float] = {}
        self._idle_since: dict[Connection, float] = {}

    def __len__(self) -> int:
        return len(self._busy_since) + len(self._idle_since)

    def open(self, connection: Connection) -> None:
        """Add a new connection."""
        self._idle_since[connection] = self._clock.now()

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._busy_since.pop(connection, None)
        self._idle_since.pop(connection, None)

    def begin(self, connection: Connection) -> None:
        """Mark a connection as busy with a request."""
        if self._idle_since.pop(connection, None) is not None:
            self._busy_since[connection] = self._clock.now()

    def end(self, connection: Connection) -> None:
        """Mark a connection as idle after the answer."""
        if self._busy_since.pop(connection, None) is not None:
            self._idle_since[connection] = self._clock.now()

    def check(self, timeouts: ConnectionTimeouts) -> None:
        """Close connections whose clients take too long."""
        now = self._clock.now()
        for connection, since in list(self._idle_since.items()):
            if now - since <= timeouts.idle_s:
                # All others became idle later.
                break
            self.remove(connection)
            connection.force_close()

    def close_all(self) -> None:
        """Close idle connections now, and busy ones after their answer.

        ``close`` alone would let an idle connection read one more request and drop it.
        """
        for connection in list(self._busy_since):
            connection.close()
        for connection in list(self._idle_since):
            connection.force_close()

    async def watch(self, timeouts: Callable[[], ConnectionTimeouts]) -> None:
        """Check the connections periodically, without end.

        Parameters
        ==========

        timeouts : returns the timeouts in force.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(timeouts())
