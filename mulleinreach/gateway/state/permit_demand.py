"""Estimates how many permits this node needs for each upstream with a limit."""

from __future__ import annotations

import contextlib
from collections import Counter, deque
from collections.abc import Iterator

from mulleinreach.common import Clock
from mulleinreach.gateway.state.limits import LimitTracker, permit_lifetime_s

# Requests to an upstream are counted over this window.
DEMAND_WINDOW_S = 4.0
MAX_COUNTED_REQUESTS = 256
# Fraction of a permit's lifetime to request permits for; below 1 so that few expire unused.
PREFETCH_FRACTION = 0.5
# A permit is requested this long after a diverted request, to notice when the limit ends.
DIVERTED_KEPT_S = 1.0


class PermitDemand:
    """Counts the requests that this node would send to upstreams if they had no limit."""

    def __init__(self, limits: LimitTracker, clock: Clock):
        self._limits = limits
        self._clock = clock
        self._requested_at: dict[str, deque[float]] = {}
        self._diverted_at: dict[str, float] = {}
        self._waiting: Counter[str] = Counter()

    def note_request(self, upstream_id: str) -> None:
        """Count a request that would go to an upstream if it had no limit."""
        if not self._limits.is_limited(upstream_id):
            return
        requested_at = self._requested_at.setdefault(
            upstream_id, deque(maxlen=MAX_COUNTED_REQUESTS)
        )
        requested_at.append(self._clock.now())

    def note_diverted(self, upstream_id: str) -> None:
        """Note that a request goes to another upstream for lack of a permit for this one."""
        self._diverted_at[upstream_id] = self._clock.now()

    @contextlib.contextmanager
    def waiting(self, upstream_id: str) -> Iterator[None]:
        """Count a request as waiting for a permit while the context is active."""
        self._waiting[upstream_id] += 1
        try:
            yield
        finally:
            self._waiting[upstream_id] -= 1

    def expected_uses(self) -> dict[str, int]:
        """Return how many permits this node expects to use, by upstream id."""
        if not self._requested_at:
            return {}
        self._drop_expired()
        return {upstream_id: self._expected_use(upstream_id) for upstream_id in self._requested_at}

    def _expected_use(self, upstream_id: str) -> int:
        """Return the expected use: one permit per waiting request, and those for future traffic."""
        # A rate needs at least two requests.
        request_rate_per_s = max(0, len(self._requested_at[upstream_id]) - 1) / DEMAND_WINDOW_S
        prefetch_s = PREFETCH_FRACTION * permit_lifetime_s(self._limits.limit_per_s(upstream_id))
        since = self._clock.now() - DIVERTED_KEPT_S
        was_diverted = self._diverted_at.get(upstream_id, since) > since
        return self._waiting[upstream_id] + max(
            int(request_rate_per_s * prefetch_s), int(was_diverted)
        )

    def _drop_expired(self) -> None:
        """Remove requests older than the window, and upstreams without any."""
        since = self._clock.now() - DEMAND_WINDOW_S
        for upstream_id, times in list(self._requested_at.items()):
            while times and times[0] < since:
                times.popleft()
            if not times and not self._waiting[upstream_id]:
                del self._requested_at[upstream_id], self._waiting[upstream_id]
                self._diverted_at.pop(upstream_id, None)
