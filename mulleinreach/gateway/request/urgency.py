"""How urgent a request is to the engine that lets it in; priority 0 goes first.

Explanation
===========

A stream that was moved to another replica goes first: its caller waits in the middle
of an answer. A request that is late already earns little more by being early, and
after an outage many such requests come back at once; those that can still be in time
go before them. In between, the configuration's priority decides.

A caller does not tell how long ago it first asked. But it tells how long it will go
on waiting, and each of its tries waits less. Callers differ in their patience, so a
short wait alone shows nothing: only one that is shorter than nearly all callers of
the route wait, and by more than the route's objective, is surely that of a late try.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mulleinreach.gateway.model import CallerTimeout, Route

MOVED_PRIORITY = 0
HIGHEST_PRIORITY = 1
LOWEST_PRIORITY = 8
LATE_PRIORITY = 9
# The part of a route's objective that a request may wait for others and still be in time: an
# engine needs the rest to read a usual prompt and to write the first event.
MAX_QUEUE_FRACTION = 0.7
# Waits kept of each route, and how many show how callers differ. A node takes two requests a
# second of a busy route, so these are from the last minutes.
MAX_WAITS_PER_ROUTE = 200
MIN_WAITS = 20
# The share of callers that may wait less than what counts as the shortest first wait. It is
# larger than the share of retries among the waits that are kept, which would hide late tries,
# and a kind of caller that is rarer is taken for late. With waits spread evenly over 60% of the
# longest one, the error is 0.03 of it, less than the objective of usual routes.
IGNORED_SHORT_FRACTION = 0.05
# Routes told to nodes that start: services have few kinds of request, and the row that
# carries them stays under 4 KB.
MAX_ANNOUNCED_ROUTES = 50


def engine_priority(priority: int, stands_back: bool, is_moved: bool) -> int:
    """Return the priority of a request that is about to be sent to an engine.

    Parameters
    ==========

    priority : of the configuration; 0 is the most urgent.
    stands_back : whether it lets others go first, since its answer can't come in time.
    is_moved : whether the caller has had a part of the answer already.

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
    """Whether a request waits so long for others that its first event can't come in time.

    Where more requests come than there are places, those that go first are in time and
    the others late; in the order of their coming, nearly all would be a little late.

    Parameters
    ==========

    priority : of the request; one that goes before others of its route isn't put behind them.
    wait_s : how long others have made it wait and are predicted to.

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

    caller_wait_s : how much longer the caller will wait.
    first_wait_s : what nearly all callers of the route wait for when they first ask; 0 if unknown.
    objective_s : the route's objective.

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
        """Whether the answer can't come in time any more."""
        return self.first_wait_s - self.caller_wait_s > self.objective_s


class _RouteWaits:
    """The latest waits of a route's callers."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque(maxlen=MAX_WAITS_PER_ROUTE)
        self._min_first_wait_s: float | None = None

    def add(self, wait_s: float) -> None:
        """Take in how long a caller will wait."""
        self._latest.append(wait_s)
        self._min_first_wait_s = None

    def min_first_wait_s(self) -> float:
        """Return what nearly all callers wait for at least; 0 until enough were seen."""
        if len(self._latest) < MIN_WAITS:
            return 0.0
        if self._min_first_wait_s is None:
            shorter = int(IGNORED_SHORT_FRACTION * len(self._latest))
            self._min_first_wait_s = sorted(self._latest)[shorter]
        return self._min_first_wait_s


class FirstWaitEstimator:
    """Learns how long callers wait for an answer when they first ask, by route.

    Explanation
    ===========

    It learns from requests that were answered in time. Where nothing is known yet nobody
    is taken for late: a request that is put back wrongly is late for nothing, and costs
    more than one that goes too soon. After an outage of all nodes the requests that it
    delayed come first, so nodes that start are told what an earlier coordinator knew.

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
        """Take what a coordinator knew, for routes of which this node has seen too little."""
        self._announced = {wait.route: wait.shortest_s for wait in waits}

    def known(self) -> tuple[CallerTimeout, ...]:
        """Return what is known of the routes that nodes which start should hear of."""
        routes = list({**self._waits, **self._announced})
        waits = [CallerTimeout(route, self._min_first_wait_s(route)) for route in routes]
        return tuple(wait for wait in waits if wait.shortest_s > 0)[:MAX_ANNOUNCED_ROUTES]

    def _min_first_wait_s(self, route: str) -> float:
        own = self._waits.get(route)
        return (own.min_first_wait_s() if own else 0.0) or self._announced.get(route, 0.0)

    def note(self, route: Route, wait_s: float, answered_s: float) -> None:
        """Note how long a caller would have waited, and after which time it had its answer.

        Only answers in time teach: when they are late, many callers ask again.
        """
        if answered_s <= route.objective_s:
            self._waits.setdefault(route.name, _RouteWaits()).add(wait_s)

    def lateness(self, route: Route, wait_s: float) -> Lateness:
        """Return how a caller that waits ``wait_s`` more compares with others of its route."""
        return Lateness(wait_s, self._min_first_wait_s(route.name), route.objective_s)

    def is_late(self, route: Route, wait_s: float) -> bool:
        """Whether the answer to a caller that waits ``wait_s`` more can't come in time."""
        return self.lateness(route, wait_s).is_late
