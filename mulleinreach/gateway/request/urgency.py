"""Computes the priority of a request at the engine's queue; 0 is the most urgent.

Explanation
===========

Streams moved to another replica come first. Late requests, which will miss their objective,
come last, so that retries after an outage don't delay new requests. Callers send only their
remaining timeout: a request is late if it is shorter than the timeout of nearly all first
attempts of the route by more than the route's objective.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mulleinreach.gateway.model import CallerTimeout, Route

MOVED_PRIORITY = 0
HIGHEST_PRIORITY = 1
LOWEST_PRIORITY = 8
LATE_PRIORITY = 9
# Fraction of a route's objective; the engine needs the rest for the prompt and first event.
MAX_QUEUE_FRACTION = 0.7
# Sample size of the timeouts of a route's callers, and the minimum for an estimate.
MAX_WAITS_PER_ROUTE = 200
MIN_WAITS = 20
# Fraction of the timeouts, the shortest ones, that the estimate ignores as possible retries.
# Larger than the share of retries, which would hide late requests; callers of a rarer kind count
# as late.
IGNORED_SHORT_FRACTION = 0.05
# Keeps the stored row that carries the estimates small.
MAX_ANNOUNCED_ROUTES = 50


def engine_priority(priority: int, stands_back: bool, is_moved: bool) -> int:
    """Return the priority of a request that is about to be sent to an engine.

    Parameters
    ==========

    priority : priority in the configuration; 0 is the most urgent.
    stands_back : whether the request gets the lowest priority, since it will miss its objective.
    is_moved : whether the caller has already received part of the answer.

    Examples
    ========

    >>> engine_priority(1, stands_back=False, is_moved=False)
    2
    >>> engine_priority(1, stands_back=True, is_moved=False)
    9
    >>> engine_priority(1, stands_back=True, is_moved=True)
    0
    >>> engine_priority(99, stands_back=False, is_moved=False)
    8
    """
    if is_moved:
        return MOVED_PRIORITY
    if stands_back:
        return LATE_PRIORITY
    return min(HIGHEST_PRIORITY + max(0, priority), LOWEST_PRIORITY)


def would_miss_objective(route: Route, priority: int, wait_s: float) -> bool:
    """Whether a request waits too long in queues for its first event to meet the objective.

    Under overload, putting such requests last keeps the others within their objective;
    first come, first served would make nearly all of them late.

    Parameters
    ==========

    priority : priority of the request; one that is more urgent than its route is never put last.
    wait_s : time spent waiting so far plus the predicted wait, in seconds.

    Examples
    ========

    >>> from mulleinreach.gateway.model import RouteKind
    >>> route = Route("r", "h.example", "/", RouteKind.STREAMING, 8.0, 0.5, 1, ())
    >>> would_miss_objective(route, 1, 0.3), would_miss_objective(route, 1, 0.4)
    (False, True)
    >>> would_miss_objective(route, 0, 0.4)
    False
    """
    return priority >= route.priority and wait_s > MAX_QUEUE_FRACTION * route.objective_s


@dataclass(frozen=True)
class Lateness:
    """Whether a request counts as late, and why.

    Parameters
    ==========

    caller_wait_s : remaining timeout of the caller.
    first_wait_s : timeout that nearly all first attempts of the route exceed; 0 if unknown.
    objective_s : objective of the route for the time to the first event.

    Examples
    ========

    >>> Lateness(5.0, 6.8, 0.5).is_late, Lateness(6.5, 6.8, 0.5).is_late
    (True, False)
    """

    caller_wait_s: float
    first_wait_s: float
    objective_s: float

    @property
    def is_late(self) -> bool:
        """Whether the timeout is shorter than on first attempts by more than the objective."""
        return self.first_wait_s - self.caller_wait_s > self.objective_s


class _RouteWaits:
    """The latest timeouts of a route's callers."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque(maxlen=MAX_WAITS_PER_ROUTE)
        self._min_first_wait_s: float | None = None

    def add(self, wait_s: float) -> None:
        """Add the timeout of a caller."""
        self._latest.append(wait_s)
        self._min_first_wait_s = None

    def min_first_wait_s(self) -> float:
        """Return the timeout that nearly all callers exceed; 0 until there are enough samples."""
        if len(self._latest) < MIN_WAITS:
            return 0.0
        if self._min_first_wait_s is None:
            shorter = int(IGNORED_SHORT_FRACTION * len(self._latest))
            self._min_first_wait_s = sorted(self._latest)[shorter]
        return self._min_first_wait_s


class FirstWaitEstimator:
    """Estimates the timeout of callers' first attempts, by route.

    Explanation
    ===========

    The samples are requests that were answered within the objective. No request counts as
    late while there are too few samples. A node that starts takes the values announced by
    an earlier coordinator, since after an outage its first requests are retries.

    Examples
    ========

    >>> from mulleinreach.gateway.model import RouteKind
    >>> route = Route("r", "h.example", "/", RouteKind.STREAMING, 8.0, 0.4, 1, ())
    >>> waits = FirstWaitEstimator()
    >>> for wait_ms in range(6800, 8000, 10):
    ...     waits.note(route, wait_ms / 1000, answered_s=0.1)
    >>> waits.is_late(route, 6.8), waits.is_late(route, 6.4)
    (False, True)
    """

    def __init__(self) -> None:
        self._waits: dict[str, _RouteWaits] = {}
        self._announced: dict[str, float] = {}

    def take_announced(self, waits: tuple[CallerTimeout, ...]) -> None:
        """Store a coordinator's values, used for routes with too few samples at this node."""
        self._announced = {wait.route: wait.shortest_s for wait in waits}

    def known(self) -> tuple[CallerTimeout, ...]:
        """Return the estimates to announce to nodes that start."""
        routes = list({**self._waits, **self._announced})
        waits = [CallerTimeout(route, self._min_first_wait_s(route)) for route in routes]
        return tuple(wait for wait in waits if wait.shortest_s > 0)[:MAX_ANNOUNCED_ROUTES]

    def _min_first_wait_s(self, route: str) -> float:
        own = self._waits.get(route)
        return (own.min_first_wait_s() if own else 0.0) or self._announced.get(route, 0.0)

    def note(self, route: Route, wait_s: float, answered_s: float) -> None:
        """Add a caller's timeout as a sample if its answer came within the objective.

        Later answers are left out, since many of their requests are retries.

        Parameters
        ==========

        wait_s : timeout of the caller.
        answered_s : time to the first event.
        """
        if answered_s <= route.objective_s:
            self._waits.setdefault(route.name, _RouteWaits()).add(wait_s)

    def lateness(self, route: Route, wait_s: float) -> Lateness:
        """Return the remaining timeout ``wait_s`` compared with first attempts of the route."""
        return Lateness(wait_s, self._min_first_wait_s(route.name), route.objective_s)

    def is_late(self, route: Route, wait_s: float) -> bool:
        """Whether a request with the remaining timeout ``wait_s`` counts as late."""
        return self.lateness(route, wait_s).is_late
