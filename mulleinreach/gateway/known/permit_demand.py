"""How many permits this node has use for, at each upstream with a limit."""

from __future__ import annotations

import contextlib
from collections import Counter, deque
from collections.abc import Iterator

from mulleinreach.common import Clock
from mulleinreach.gateway.known.limits import LimitTracker, permit_lifetime_s

# Seconds over which a node's requests for an upstream are counted.
DEMAND_WINDOW_S = 4.0
MAX_COUNTED_REQUESTS = 256
# The part of a permit's time within which a node should have use for it, so that few lapse.
PREFETCH_FRACTION = 0.5
# A request that went elsewhere for want of a permit asks for one for the next request. Nodes that
# have few would else never hear that the limit has ended.
DIVERTED_KEPT_S = 1.0


class PermitDemand:
    """Counts the requests of this node that would go to upstreams if they had no limit."""

    def __init__(self, limits: LimitTracker, clock: Clock):
        self._limits = limits
        self._clock = clock
        self._requested_at: dict[str, deque[float]] = {}
        self._diverted_at: dict[str, float] = {}
        self._waiting: Counter[str] = Counter()

    def note_request(self, upstream_id: str) -> None:
        """Note a request that would go to an upstream if that had no limit."""
        if not self._limits.is_limited(upstream_id):
            return
        requested_at = self._requested_at.setdefault(
            upstream_id, deque(maxlen=MAX_COUNTED_REQUESTS)
        )
        requested_at.append(self._clock.now())

    def note_diverted(self, upstream_id: str) -> None:
        """Note that such a request goes to another upstream for want of a permit."""
        self._diverted_at[upstream_id] = self._clock.now()

    @contextlib.contextmanager
    def waiting(self, upstream_id: str) -> Iterator[None]:
        """Ask for a permit for a request that waits for it meanwhile."""
        self._waiting[upstream_id] += 1
        try:
            yield
        finally:
            self._waiting[upstream_id] -= 1

    def expected_uses(self) -> dict[str, int]:
        """Return how many permits would be spent, by upstream."""
        if not self._requested_at:
            return {}
        self._drop_expired()
        return {upstream_id: self._expected_use(upstream_id) for upstream_id in self._requested_at}

    def _expected_use(self, upstream_id: str) -> int:
        """Return how many permits would be spent: by who waits, and by who will soon come."""
        # One request alone shows no rate.
        request_rate_per_s = max(0, len(self._requested_at[upstream_id]) - 1) / DEMAND_WINDOW_S
        prefetch_s = PREFETCH_FRACTION * permit_lifetime_s(self._limits.limit_per_s(upstream_id))
        since = self._clock.now() - DIVERTED_KEPT_S
        was_diverted = self._diverted_at.get(upstream_id, since) > since
        return self._waiting[upstream_id] + max(
            int(request_rate_per_s * prefetch_s), int(was_diverted)
        )

    def _drop_expired(self) -> None:
        """Forget requests that are too old to count, and what goes with them."""
        since = self._clock.now() - DEMAND_WINDOW_S
        for upstream_id, times in list(self._requested_at.items()):
            while times and times[0] < since:
                times.popleft()
            if not times and not self._waiting[upstream_id]:
                del self._requested_at[upstream_id], self._waiting[upstream_id]
                self._diverted_at.pop(upstream_id, None)
