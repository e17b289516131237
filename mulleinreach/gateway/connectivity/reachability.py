"""Tracks which upstreams this node can't connect to."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mulleinreach.common import Address, Clock, EventLog

# Upstreams in a row to which no connection could be opened. One or two may have ended.
ISOLATION_FAILURES = 3
# A failed upstream is probed again within this time, also beside many others.
FAILURE_TTL_S = 2.0


class ReachabilityTracker:
    """The results of this node's attempts to connect to upstreams.

    Explanation
    ===========

    That this node can't connect to an upstream shows only that the direct path between the two
    is lost; the upstream may run, and serve other nodes. A node that can't connect to any
    upstream is *isolated*.

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
        # When the latest attempt failed, by address; without those that have succeeded since.
        self._failed_at: dict[Address, float] = {}
        # The addresses that failed since the latest success of any attempt.
        self._failed_in_a_row: set[Address] = set()
        self._isolated_since: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether this node can't connect to any upstream."""
        return self._isolated_since is not None

    def note_connected(self, address: Address) -> None:
        """Record that a direct connection was opened."""
        self._failed_at.pop(address, None)
        self._failed_in_a_row.clear()
        if self._isolated_since is None:
            return
        isolated_s = round(self._clock.now() - self._isolated_since, 2)
        self._isolated_since = None
        # The other paths are probably restored, too.
        self._failed_at.clear()
        self._log.event("upstreams_reachable", upstream=address, isolated_s=isolated_s)

    def note_failed(self, address: Address) -> None:
        """Record that no direct connection could be opened."""
        self._failed_at[address] = self._clock.now()
        self._failed_in_a_row.add(address)
        if self.is_isolated or len(self._failed_in_a_row) < self._isolation_threshold():
            return
        self._isolated_since = self._clock.now()
        failed = ",".join(sorted(map(str, self._failed_in_a_row)))
        self._log.event("upstreams_unreachable", failed=failed)

    def _isolation_threshold(self) -> int:
        return max(1, min(ISOLATION_FAILURES, len(self._upstream_addresses())))

    def has_failed_recently(self, address: Address) -> bool:
        """Whether the latest attempt to connect to an upstream has failed recently."""
        return self._clock.now() - self._failed_at.get(address, float("-inf")) < FAILURE_TTL_S

    def unreachable(self) -> list[Address]:
        """Return the listed addresses to which the latest attempt failed."""
        listed = set(self._upstream_addresses())
        self._failed_at = {a: at for a, at in self._failed_at.items() if a in listed}
        return list(self._failed_at)
