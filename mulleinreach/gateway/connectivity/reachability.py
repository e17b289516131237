"""Tracks which upstreams this node can't connect to."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mulleinreach.common import Address, Clock, EventLog

# Upstreams in a row to which no connection could be opened. One or two may have ended.
ISOLATION_FAILURES = 3


class ReachabilityTracker:
    """The results of this node's attempts to connect to upstreams.

    Explanation
    ===========

    That this node can't connect to an upstream shows only that the direct path between the two
    is lost; the upstream may run, and serve other nodes. A node that can't connect to any
    upstream is *isolated*. An upstream is *bypassed* while only another node's tunnel reaches it;
    an upstream that has ended isn't, since no node reaches it.

    Parameters
    ==========

    upstream_addresses : returns the addresses of all listed upstreams.
    """

    def __init__(
        self,
        upstream_addresses: Callable[[], Collection[Address]],
        clock: Clock,
        log: EventLog,
    ):
        self._upstream_addresses = upstream_addresses
        self._clock = clock
        self._log = log
        # The addresses to which the latest attempt failed.
        self._failed: set[Address] = set()
        # The addresses that failed since the latest success of any attempt.
        self._failed_in_a_row: set[Address] = set()
        self._bypassed: set[Address] = set()
        self._isolated_since: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether this node can't connect to any upstream."""
        return self._isolated_since is not None

    def isolated_s(self) -> float:
        """Return for how long this node couldn't connect to any upstream; 0 if it can."""
        return 0.0 if self._isolated_since is None else self._clock.now() - self._isolated_since

    def note_connected(self, address: Address) -> None:
        """Record that a direct connection was opened."""
        self._failed.discard(address)
        self._failed_in_a_row.clear()
        if address in self._bypassed:
            self._bypassed.discard(address)
            self._log.event("path_restored", upstream=address, bypassed=len(self._bypassed))
        if self._isolated_since is None:
            return
        isolated_s = round(self.isolated_s(), 2)
        self._isolated_since = None
        # Any other path may be restored, too.
        self._failed.clear()
        self._log.event("upstreams_reachable", upstream=address, isolated_s=isolated_s)

    def note_failed(self, address: Address) -> None:
        """Record that no direct connection could be opened."""
        self._failed.add(address)
        self._failed_in_a_row.add(address)
        if self.is_isolated or len(self._failed_in_a_row) < self._isolation_threshold():
            return
        self._isolated_since = self._clock.now()
        failed = ",".join(sorted(map(str, self._failed_in_a_row)))
        self._log.event("upstreams_unreachable", failed=failed)

    def note_bypassed(self, address: Address) -> None:
        """Record that a tunnel was opened to an upstream whose direct path is lost."""
        if address in self._bypassed:
            return
        self._bypassed.add(address)
        self._log.event("path_lost", upstream=address, bypassed=len(self._bypassed))

    def is_bypassed(self, address: Address) -> bool:
        """Whether tunnels reach an upstream to which direct attempts fail."""
        return address in self._bypassed

    def bypassed(self) -> list[Address]:
        """Return the listed addresses to which only tunnels lead."""
        self._bypassed.intersection_update(self._upstream_addresses())
        return sorted(self._bypassed, key=str)

    def _isolation_threshold(self) -> int:
        return max(1, min(ISOLATION_FAILURES, len(self._upstream_addresses())))

    def has_failed(self, address: Address) -> bool:
        """Whether the latest direct attempt to connect to an upstream failed."""
        return address in self._failed

    def unreachable(self) -> list[Address]:
        """Return the listed addresses to which the latest attempt failed."""
        self._failed.intersection_update(self._upstream_addresses())
        return sorted(self._failed, key=str)
