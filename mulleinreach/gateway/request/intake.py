"""Decides which requests are still taken while the node stops."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog

# Answers of a route that are remembered, of the routes that were answered last.
MAX_TIMES_PER_ROUTE = 100
MAX_ROUTES = 1000
# With fewer answers known, too many requests take longer than all of these.
MIN_TIMES = 30


class AnswerTimes:
    """How long whole answers take, by route.

    Examples
    ========

    >>> times = AnswerTimes()
    >>> for tenths in range(1, 31):
    ...     times.note("order", tenths / 10)
    >>> times.longest_s("order"), times.longest_s("stream")
    (3.0, None)
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

    def longest_s(self, route: str) -> float | None:
        """Return a time that nearly all answers keep, ``None`` if too few are known."""
        times = self._times.get(route, ())
        return max(times) if len(times) >= MIN_TIMES else None


class StopIntake:
    """Takes requests that can be answered before the node ends.

    Explanation
    ===========

    A request is taken if its own deadline is early enough. While load balancers may open
    connections, it is also taken if no request of its route has taken longer than the time that
    is left, ended or not: answers that have ended are the short ones where a node has just started
    or upstreams have just become slow. Callers that are refused find another node at once, whereas
    an answer that is cut may have run.

    Parameters
    ==========

    oldest_s : returns for how long the oldest request of a route has been owed an answer.
    """

    def __init__(self, oldest_s: Callable[[str], float], clock: Clock, log: EventLog):
        self._oldest_s = oldest_s
        self._clock = clock
        self._log = log
        self.finish_by = float("inf")
        self._is_closed = False
        self.times = AnswerTimes()

    def begin_stopping(self, finish_by: float) -> None:
        """Take only requests that are answered by then, as far as this node knows."""
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
        longest_s = self._longest_s(route)
        return longest_s is not None and self._clock.now() + longest_s <= self.finish_by

    def _longest_s(self, route: str) -> float | None:
        """Return how long a request may take, ``None`` if too few answers are known."""
        longest_s = self.times.longest_s(route)
        return None if longest_s is None else max(longest_s, self._oldest_s(route))

    def log_taken(self, request_id: str, route: str, deadline: float) -> None:
        """Log with what a request was reckoned that is taken though its deadline is too late."""
        if deadline <= self.finish_by:
            return
        longest_s = self._longest_s(route)
        self._log.event(
            "request_taken_in_stop",
            id=request_id,
            route=route,
            known=self.times.count(route),
            longest_ms="" if longest_s is None else round(1000 * longest_s),
            left_ms=round(1000 * (self.finish_by - self._clock.now())),
        )
