"""Tracks a server's connections: bounds their number and closes those that are of no use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mulleinreach.common.clock import Clock

CHECK_INTERVAL_S = 0.5
# An answer of which nothing was taken for so long makes way for others.
STALLED_AFTER_S = 2.0
# A request that has taken so long makes way for others if all connections are in use.
LONG_REQUEST_S = 30.0


class Connection(Protocol):
    """A client's connection."""

    unsent_bytes: int
    head_begun_at: float | None
    # Whether no part of a request was read that has no answer yet.
    is_unused: bool
    # Whether something has come that isn't read yet.
    has_unread: bool

    def force_close(self) -> None:
        """Close now; a request in progress is cancelled."""

    def abort(self, reason: str) -> None:
        """Drop what isn't sent, and close."""

    def refuse_slow_head(self) -> None:
        """Refuse the head that doesn't end."""

    def note_stalled(self, is_stalled: bool) -> None:
        """Record whether the client takes nothing of its answer."""


@dataclass(frozen=True)
class ConnectionTimeouts:
    """How long clients may take, in seconds.

    Parameters
    ==========

    idle_s : between two requests, and to take some bytes of an answer.
    header_s : from the first byte of a request's head to its end.
    """

    idle_s: float
    header_s: float


@dataclass
class _Unsent:
    """The bytes that a client hasn't taken, and since when."""

    size: int
    since: float


class ConnectionTable:
    """The open connections of a server.

    Explanation
    ===========

    Timeouts may change with each configuration, whereas the HTTP server fixes them when a
    connection is opened; so times are tracked here. A connection without a complete request counts
    as idle.

    If there are too many connections, the one that has been idle for longest is closed; else one
    whose client takes nothing of its answer; else the one whose request takes longest, if it has
    taken ``LONG_REQUEST_S``; else the new one.

    Parameters
    ==========

    max_connections : bound on the number of open connections.
    on_closed : called with the reason for which a client's connection is closed.
    """

    def __init__(
        self,
        clock: Clock,
        max_connections: int,
        on_closed: Callable[[str], None] = lambda reason: None,
    ):
        self._clock = clock
        self._max_connections = max_connections
        self._on_closed = on_closed
        # In the order in which they became busy, or idle.
        self._busy_since: dict[Connection, float] = {}
        self._idle_since: dict[Connection, float] = {}
        self._unsent: dict[Connection, _Unsent] = {}
        self._overdue_heads: set[Connection] = set()
        self.is_draining = False

    def now(self) -> float:
        """Return the time by which clients' times are taken."""
        return self._clock.now()

    def __len__(self) -> int:
        return len(self._busy_since) + len(self._idle_since)

    def open(self, connection: Connection) -> None:
        """Add a new connection, for which another one may be closed."""
        self._idle_since[connection] = self._clock.now()
        if len(self) > self._max_connections:
            self._close_one(connection)

    def _close_one(self, newest: Connection) -> None:
        longest_idle = next(iter(self._idle_since))
        if longest_idle is not newest:
            self._drop(longest_idle, "too many connections, idle")
            return
        now = self._clock.now()
        stalled = [(u.since, c) for c, u in self._unsent.items() if self._is_stalled(u, now)]
        longest_busy, busy_since = next(iter(self._busy_since.items()))
        if stalled:
            _, connection = min(stalled, key=lambda entry: entry[0])
            self._drop(connection, "too many connections, answer not taken")
        elif now - busy_since >= LONG_REQUEST_S:
            self._drop(longest_busy, "too many connections, long request")
        else:
            self._drop(newest, "too many connections")

    def _drop(self, connection: Connection, reason: str) -> None:
        self._on_closed(reason)
        self.remove(connection)
        connection.abort(reason)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._busy_since.pop(connection, None)
        self._idle_since.pop(connection, None)
        self._unsent.pop(connection, None)
        self._overdue_heads.discard(connection)

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
        self._refuse_slow_heads(now, timeouts.header_s)
        self._close_stalled(now, timeouts.idle_s)
        for connection, since in list(self._idle_since.items()):
            if now - since <= timeouts.idle_s:
                # All others became idle later.
                break
            if connection.is_unused:
                self.remove(connection)
                self._close_unused(connection)

    def _refuse_slow_heads(self, now: float, header_s: float) -> None:
        """Refuse heads that were overdue at the previous check, too.

        After a suspension of the machine, a head may be overdue whose end has arrived unread.
        """
        overdue = {
            connection
            for connection in self._idle_since
            if connection.head_begun_at is not None and now - connection.head_begun_at > header_s
        }
        for connection in overdue & self._overdue_heads:
            self._on_closed("slow head")
            connection.refuse_slow_head()
        self._overdue_heads = overdue

    def _close_stalled(self, now: float, timeout_s: float) -> None:
        connections = [*self._busy_since, *self._idle_since]
        sizes = {c: size for c in connections if (size := c.unsent_bytes)}
        previous = self._unsent
        self._unsent = {}
        for connection in previous.keys() - sizes.keys():
            connection.note_stalled(False)
        for connection, size in sizes.items():
            unsent = previous.get(connection)
            if unsent is None or unsent.size != size:
                unsent = _Unsent(size, now)
            self._unsent[connection] = unsent
            connection.note_stalled(self._is_stalled(unsent, now))
            if now - unsent.since > timeout_s:
                self._drop(connection, "answer not taken")

    def _is_stalled(self, unsent: _Unsent, now: float) -> bool:
        return now - unsent.since > STALLED_AFTER_S

    def _close_unused(self, connection: Connection) -> None:
        """Close an idle connection; what its client doesn't take would keep it open."""
        if connection.unsent_bytes:
            connection.abort("idle")
        else:
            connection.force_close()

    def begin_draining(self) -> None:
        """Close unused connections now; the others close themselves as they become unused.

        A request that has come is answered, whether any of it has been read or not.
        """
        self.is_draining = True
        for connection in list(self._idle_since):
            if connection.is_unused and not connection.has_unread:
                connection.force_close()

    def owes_answers(self) -> bool:
        """Whether a client waits for an answer or a part of one, or hasn't sent its request whole.

        A connection that is closed while its client sends may be reset before the client has read
        the answer.
        """
        if self._busy_since:
            return True
        return any(not c.is_unused or c.unsent_bytes for c in self._idle_since)

    async def watch(self, timeouts: Callable[[], ConnectionTimeouts]) -> None:
        """Check the connections periodically, without end.

        Parameters
        ==========

        timeouts : returns the timeouts in force.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(timeouts())
