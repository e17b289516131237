"""How many permits this node has use for, at each upstream with a limit."""

from __future__ import annotations

import contextlib
from collections import Counter, deque
from collections.abc import Iterator

from mulleinreach.common import Clock
from mulleinreach.gateway.known.limits import LimitBook, permit_s

# Seconds over which a node's requests for an upstream are counted.
ASKED_S = 4.0
MOST_ASKED = 256
# The part of a permit's time within which a node should have use for it, so that few lapse.
SOON = 0.5
# A request that went elsewhere for want of a permit asks for one for the next request. Nodes that
# have few would else never hear that the limit has ended.
WITHHELD_S = 1.0


class PermitDemand:
    """Counts the requests of this node that would go to upstreams if they had no limit."""

    def __init__(self, limits: LimitBook, clock: Clock):
        self._limits = limits
        self._clock = clock
        self._asked_at: dict[str, deque[float]] = {}
        self._withheld_at: dict[str, float] = {}
        self._waiting: Counter[str] = Counter()

    def note_asked(self, upstream_id: str) -> None:
        """Note a request that would go to an upstream if that had no limit."""
        if not self._limits.is_limited(upstream_id):
            return
        asked_at = self._asked_at.setdefault(upstream_id, deque(maxlen=MOST_ASKED))
        asked_at.append(self._clock.now())

    def note_withheld(self, upstream_id: str) -> None:
        """Note that such a request goes to another upstream for want of a permit."""
        self._withheld_at[upstream_id] = self._clock.now()

    @contextlib.contextmanager
    def waiting(self, upstream_id: str) -> Iterator[None]:
        """Ask for a permit for a request that waits for it meanwhile."""
        self._waiting[upstream_id] += 1
        try:
            yield
        finally:
            self._waiting[upstream_id] -= 1

    def uses(self) -> dict[str, int]:
        """Return how many permits would be spent, by upstream."""
        if not self._asked_at:
            return {}
        self._forget()
        return {upstream_id: self._use_for(upstream_id) for upstream_id in self._asked_at}

    def _use_for(self, upstream_id: str) -> int:
        """Return how many permits would be spent: by who waits, and by who will soon come."""
        # One request alone shows no rate.
        asked_per_s = max(0, len(self._asked_at[upstream_id]) - 1) / ASKED_S
        soon_s = SOON * permit_s(self._limits.limit_per_s(upstream_id))
        since = self._clock.now() - WITHHELD_S
        was_withheld = self._withheld_at.get(upstream_id, since) > since
        return self._waiting[upstream_id] + max(int(asked_per_s * soon_s), int(was_withheld))

    def _forget(self) -> None:
        """Forget requests that are too old to count, and what goes with them."""
        since = self._clock.now() - ASKED_S
        for upstream_id, times in list(self._asked_at.items()):
            while times and times[0] < since:
                times.popleft()
            if not times and not self._waiting[upstream_id]:
                del self._asked_at[upstream_id], self._waiting[upstream_id]
                self._withheld_at.pop(upstream_id, None)
