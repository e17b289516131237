"""The ends of upstreams that nodes saw lately, found by place and moment."""

from __future__ import annotations

import enum
from collections import defaultdict, deque
from dataclasses import dataclass

from mulleinreach.common import Clock

# Where upstreams end together that a request doesn't explain, their hall may be failing: its ends
# there within so many seconds count as one. The nodes' sightings of a moment are together by then.
SAME_FAILURE_WINDOW_S = 1.0
# A culprit that comes once in some minutes is found by its second visit.
OBSERVATION_RETENTION_S = 600.0
# The loss of a hall of 950 upstreams with 17 requests each; older ends give way to newer ones.
MAX_TRACKED_ENDS = 16_384


class RunOutcome(enum.IntEnum):
    """What became of a run at an upstream.

    ``ENDED``: the upstream's process ended; it may not have begun the request.
    ``ENDED_BEGUN``: it ended after it had begun the request and before it gave anything.
    ``SERVED``: the answer came whole.
    ``ENDED_GIVING``: it ended after it had given a part of the answer.
    """

    ENDED = 1
    ENDED_BEGUN = 2
    SERVED = 3
    ENDED_GIVING = 4


@dataclass(frozen=True)
class ObservedRun:
    """What was seen of one run.

    Parameters
    ==========

    id : that of the sighting.
    at : when it was, by this node's clock.
    """

    id: int
    content: int
    upstream_id: str
    hall: str
    outcome: RunOutcome
    at: float

    def is_simultaneous_with(self, other: ObservedRun) -> bool:
        """Whether both are of one moment."""
        return abs(self.at - other.at) < SAME_FAILURE_WINDOW_S


class UpstreamEnds:
    """Ends by upstream, and by hall and second: a look costs the same however many there are.

    Explanation
    ===========

    Ends of one moment stand in the same second or in one next to it.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._in_order: deque[ObservedRun] = deque()
        self._by_upstream: dict[str, dict[int, ObservedRun]] = defaultdict(dict)
        # By hall and second, an end of each upstream.
        self._by_hall_second: dict[tuple[str, int], dict[str, ObservedRun]] = defaultdict(dict)

    def add(self, end: ObservedRun) -> None:
        """Take an end, and forget those that are too old or too many."""
        self._in_order.append(end)
        self._by_upstream[end.upstream_id][end.content] = end
        self._by_hall_second[_hall_second(end)][end.upstream_id] = end
        oldest = self._clock.now() - OBSERVATION_RETENTION_S
        while self._in_order and self._must_evict(oldest):
            self._evict(self._in_order.popleft())

    def _must_evict(self, oldest: float) -> bool:
        """Whether the end that was taken first is too old, or one too many."""
        return len(self._in_order) > MAX_TRACKED_ENDS or self._in_order[0].at < oldest

    def _evict(self, end: ObservedRun) -> None:
        _drop(self._by_upstream, end.upstream_id, end.content, end)
        _drop(self._by_hall_second, _hall_second(end), end.upstream_id, end)

    def count_begun(self, end: ObservedRun, limit: int) -> int:
        """Return how many requests had begun at an upstream when it ended, ``limit`` at limit."""
        count = 0
        for other in self._by_upstream.get(end.upstream_id, {}).values():
            count += other.outcome is RunOutcome.ENDED_BEGUN and other.is_simultaneous_with(end)
            if count >= limit:
                break
        return count

    def is_hall_failing(self, end: ObservedRun, explained: set[str]) -> bool:
        """Whether upstreams that aren't explained ended in the same hall at about that time."""
        hall, second = _hall_second(end)
        return any(
            upstream_id not in explained and other.is_simultaneous_with(end)
            for near in (second - 1, second, second + 1)
            for upstream_id, other in self._by_hall_second.get((hall, near), {}).items()
        )


def _hall_second(end: ObservedRun) -> tuple[str, int]:
    return end.hall, int(end.at // SAME_FAILURE_WINDOW_S)


def _drop(ends: dict, place: object, key: object, end: ObservedRun) -> None:
    """Take an end out of one of the ways to find it, unless a later one stands there."""
    there = ends.get(place, {})
    if there.get(key) is end:
        del there[key]
    if not there:
        ends.pop(place, None)
