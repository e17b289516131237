"""Decides which requests are still taken while the node stops."""

from __future__ import annotations

from collections import deque

from mulleinreach.common import Clock, EventLog

# Answers of a route that are remembered, of the routes that were answered last.
MAX_TIMES_PER_ROUTE = 50
MAX_ROUTES = 1000
# Nothing is known of a route with fewer answers.
MIN_TIMES = 10
# Of a route's answers, the part that took no longer than usual.
USUAL_FRACTION = 0.95


class AnswerTimes:
    """How long whole answers take, by route.

    Examples
    ========

    >>> times = AnswerTimes()
    >>> for tenths in range(1, 21):
    ...     times.note("order", tenths / 10)
    >>> times.usual_s("order"), times.usual_s("stream")
    (2.0, None)
    """

    def __init__(self) -> None:
        self._times: dict[str, deque[float]] = {}

    def note(self, route: str, elapsed_s: float) -> None:
        """Note how long a whole answer took."""
        times = self._times.pop(route, None) or deque(maxlen=MAX_TIMES_PER_ROUTE)
        times.append(elapsed_s)
        self._times[route] = times
        if len(self._times) > MAX_ROUTES:
            del self._times[next(iter(self._times))]

    def count(self, route: str) -> int:
        """Return of how many of a route's answers the time is known."""
        return len(self._times.get(route, ()))

    def usual_s(self, route: str) -> float | None:
        """Return a time that nearly all answers keep, ``None`` if too few are known."""
        times = sorted(self._times.get(route, ()))
        return times[int(USUAL_FRACTION * len(times))] if len(times) >= MIN_TIMES else None


class StopIntake:
    """Takes requests that can be answered before the node ends.

    Explanation
    ===========

    While load balancers may open connections, a request is taken if its route's answers usually
    come in time. What begins to arrive later is taken only if its own deadline is early enough:
    callers find another node at once, whereas an answer that is cut may have run.
    """

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self.finish_by = float("inf")
        self._is_closed = False
        self.times = AnswerTimes()

    def begin_stopping(self, finish_by: float) -> None:
        """Take only requests that are usually answered by then."""
        self.finish_by = finish_by

    def close(self) -> None:
        """Take only requests whose deadlines are before the node's end."""
        self._is_closed = True

    def may_take(self, route: str, deadline: float) -> bool:
        """Whether a request can be answered before the node ends."""
        if deadline <= self.finish_by:
            return True
        if self._is_closed:
            return False
        usual_s = self.times.usual_s(route)
        return usual_s is None or self._clock.now() + usual_s <= self.finish_by

    def log_taken(self, request_id: str, route: str, deadline: float) -> None:
        """Log with what a request was reckoned that is taken though its deadline is too late."""
        if deadline <= self.finish_by:
            return
        usual_s = self.times.usual_s(route)
        self._log.event(
            "request_taken_in_stop",
            id=request_id,
            route=route,
            known=self.times.count(route),
            usual_ms="" if usual_s is None else round(1000 * usual_s),
            left_ms=round(1000 * (self.finish_by - self._clock.now())),
        )
