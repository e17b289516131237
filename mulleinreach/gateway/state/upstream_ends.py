"""Recent process ends of upstreams, indexed by upstream and by hall and time."""

from __future__ import annotations

import enum
from collections import defaultdict, deque
from dataclasses import dataclass

from mulleinreach.common import Clock

# Ends in one hall within this time count as one failure if other upstreams of the hall ended too.
SAME_FAILURE_WINDOW_S = 1.0
# Long enough to detect a culprit that is sent once in several minutes.
OBSERVATION_RETENTION_S = 600.0
# Holds the ends of a lost hall with all its requests in flight; beyond it the oldest are evicted.
MAX_TRACKED_ENDS = 16_384


class RunOutcome(enum.IntEnum):
    """The outcome of a run, one execution of a request at an upstream.

    ``ENDED``: the upstream's process ended, possibly before it began the request.
    ``ENDED_BEGUN``: it ended after it began the request, before any part of the response.
    ``SERVED``: the complete response was received.
    ``ENDED_GIVING``: it ended after it had sent a part of the response.
    """

    ENDED = 1
    ENDED_BEGUN = 2
    SERVED = 3
    ENDED_GIVING = 4


@dataclass(frozen=True)
class ObservedRun:
    """An observed run, dated by this node's clock.

    Parameters
    ==========

    id : the id of the observation, see :class:`RunObservation`.
    content : the digest of the request.
    hall : the hall of the upstream.
    at : when the run ended.
    parts : digests of the prompt's shared parts; of a served run, those that were suspected.
    gave_for_s : for how long the run had sent parts of the response.
    """

    id: int
    content: int
    upstream_id: str
    hall: str
    outcome: RunOutcome
    at: float
    parts: tuple[int, ...] = ()
    gave_for_s: float = 0.0

    def is_simultaneous_with(self, other: ObservedRun) -> bool:
        """Whether both runs ended at about the same time."""
        return abs(self.at - other.at) < SAME_FAILURE_WINDOW_S


class UpstreamEnds:
    """Index of ends by upstream, and by hall and second, so that lookups don't scan all ends.

    Explanation
    ===========

    Ends at about the same time are in the same second or in adjacent ones.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._in_order: deque[ObservedRun] = deque()
        self._by_upstream: dict[str, dict[int, ObservedRun]] = defaultdict(dict)
        # By hall and second, the latest end of each upstream.
        self._by_hall_second: dict[tuple[str, int], dict[str, ObservedRun]] = defaultdict(dict)

    def add(self, end: ObservedRun) -> None:
        """Add an end, and evict those that are too old or beyond the limit."""
        self._in_order.append(end)
        self._by_upstream[end.upstream_id][end.content] = end
        self._by_hall_second[_hall_second(end)][end.upstream_id] = end
        oldest = self._clock.now() - OBSERVATION_RETENTION_S
        while self._in_order and self._must_evict(oldest):
            self._evict(self._in_order.popleft())

    def _must_evict(self, oldest: float) -> bool:
        """Whether the oldest end is too old or beyond the limit."""
        return len(self._in_order) > MAX_TRACKED_ENDS or self._in_order[0].at < oldest

    def _evict(self, end: ObservedRun) -> None:
        _drop(self._by_upstream, end.upstream_id, end.content, end)
        _drop(self._by_hall_second, _hall_second(end), end.upstream_id, end)

    def count_begun(self, end: ObservedRun, limit: int) -> int:
        """Return how many requests had begun at an upstream when it ended, at most ``limit``."""
        count = 0
        for other in self._by_upstream.get(end.upstream_id, {}).values():
            count += other.outcome is RunOutcome.ENDED_BEGUN and other.is_simultaneous_with(end)
            if count >= limit:
                break
        return count

    def is_hall_failing(self, end: ObservedRun, explained: set[str]) -> bool:
        """Whether upstreams outside ``explained`` ended in the same hall at about that time."""
        hall, second = _hall_second(end)
        return any(
            upstream_id not in explained and other.is_simultaneous_with(end)
            for near in (second - 1, second, second + 1)
            for upstream_id, other in self._by_hall_second.get((hall, near), {}).items()
        )


def _hall_second(end: ObservedRun) -> tuple[str, int]:
    return end.hall, int(end.at // SAME_FAILURE_WINDOW_S)


def _drop(ends: dict, place: object, key: object, end: ObservedRun) -> None:
    """Remove an end from an index, unless a later end has replaced it there."""
    there = ends.get(place, {})
    if there.get(key) is end:
        del there[key]
    if not there:
        ends.pop(place, None)
