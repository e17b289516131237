"""How urgent a request is to the engine that lets it in; priority 0 goes first.

Explanation
===========

A stream that was moved to another replica goes first: its caller waits in the middle
of an answer. A request that is late already earns little more by being early, and
after an outage many such requests come back at once; those that can still be in time
go before them. In between, the configuration's priority decides.

A caller does not tell how long ago it first asked. But it tells how long it will go
on waiting, and each of its tries waits less; so the longest wait that was lately seen
on a route is that of a first try.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.model import Route

MOVED_PRIORITY = 0
HIGHEST_PRIORITY = 1
LOWEST_PRIORITY = 8
LATE_PRIORITY = 9
LONGEST_WAIT_MEMORY_S = 30.0
ENOUGH_SEEN = 20


def engine_priority(priority: int, is_late: bool, is_moved: bool) -> int:
    """Return the priority of a request that is about to be sent to an engine.

    Parameters
    ==========

    priority : of the configuration; 0 is the most urgent.
    is_late : whether the answer can't come in time any more.
    is_moved : whether the caller has had a part of the answer already.

    Examples
    ========

    >>> engine_priority(1, is_late=False, is_moved=False)
    2
    >>> engine_priority(1, is_late=True, is_moved=False)
    9
    >>> engine_priority(1, is_late=True, is_moved=True)
    0
    >>> engine_priority(99, is_late=False, is_moved=False)
    8
    """
    if is_moved:
        return MOVED_PRIORITY
    if is_late:
        return LATE_PRIORITY
    return min(HIGHEST_PRIORITY + max(0, priority), LOWEST_PRIORITY)


@dataclass
class _RouteWaits:
    """The longest wait seen on a route, when that was, and how many were seen at all."""

    longest_s: float
    seen_at: float
    count: int = 0


class FirstWaits:
    """Learns how long callers wait for an answer when they first ask, by route.

    Explanation
    ===========

    Until a few requests were seen the route's own time stands in for it: the first
    requests that a node gets after an outage are mostly not first tries.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._waits: dict[str, _RouteWaits] = {}

    def note(self, route: Route, wait_s: float) -> None:
        """Note how long the caller of a new request will wait."""
        now = self._clock.now()
        known = self._waits.setdefault(route.name, _RouteWaits(wait_s, now))
        known.count += 1
        if wait_s >= known.longest_s or now - known.seen_at > LONGEST_WAIT_MEMORY_S:
            known.longest_s, known.seen_at = wait_s, now

    def age_s(self, route: Route, wait_s: float) -> float:
        """Return how long ago a caller first asked that will wait ``wait_s`` from now on."""
        known = self._waits.get(route.name)
        if known is None:
            return 0.0
        longest_s = known.longest_s
        if known.count < ENOUGH_SEEN:
            longest_s = max(longest_s, route.timeout_s)
        return max(0.0, longest_s - wait_s)

    def is_late(self, route: Route, wait_s: float) -> bool:
        """Whether a caller's answer can't come in time any more."""
        return self.age_s(route, wait_s) > route.objective_s
