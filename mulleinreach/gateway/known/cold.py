"""Which upstreams are cold, and how many requests this node may send to each of them.

Explanation
===========

A cold upstream bears only some requests a second, from all nodes together. Half of that is
divided among the nodes by their numbers, which the coordinator gives out. At a change of the
numbers some nodes still go by the earlier ones; both halves together stay within the bound.
Numbers lapse, and change so seldom, that no third set of them counts in the same second.
"""

from __future__ import annotations

import functools
import hashlib
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.known.evacuations import Evacuations
from mulleinreach.gateway.known.upstreams import UpstreamDirectory
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.upstream import Upstream

# Seconds over which requests to a cold upstream are counted: its rate is one a second.
RATE_WINDOW_S = 1.0
# Seconds for which a number counts after the word of the coordinator: long enough for it to
# find out that the store is away for all nodes (2 s), when nobody can take its place.
NUMBER_VALID_S = 2.5
# The part of an upstream's rate that one set of numbers gives out; two may count at once.
RATE_SHARE_PER_NUMBERING = 0.5


@dataclass(frozen=True)
class NodeNumber:
    """A node's number in a set of numbers.

    Parameters
    ==========

    number : counted from 0.
    numbers : how many numbers the set has.
    as_of : when the coordinator's word on it was asked for.
    """

    number: int
    numbers: int
    as_of: float


@dataclass(frozen=True)
class _SentRequest:
    """A request that was sent to an upstream."""

    upstream_id: str
    at: float


def quota(upstream_id: str, rate: float, number: int, numbers: int) -> int:
    """Return how many requests a second one node may send, so that all together keep a rate.

    Above one request a second for each node all get the same. Below that, a few nodes get one
    each; which ones they are differs from upstream to upstream.

    Parameters
    ==========

    rate : the requests a second of all nodes together.
    number : the node's number, below ``numbers``.

    Examples
    ========

    >>> [quota("u", 13.0, number, 6) for number in range(6)]
    [2, 2, 2, 2, 2, 2]
    >>> sum(quota("u", 4.5, number, 6) for number in range(6))
    4
    """
    if rate >= numbers:
        return int(rate / numbers)
    return int(number in _chosen_numbers(upstream_id, numbers, int(rate)))


@functools.lru_cache(maxsize=4096)
def _chosen_numbers(upstream_id: str, numbers: int, count: int) -> frozenset[int]:
    """Return the numbers that rendezvous hashing of an upstream ranks first."""

    def rank(number: int) -> bytes:
        return hashlib.blake2b(f"{upstream_id}/{number}".encode(), digest_size=8).digest()

    return frozenset(sorted(range(numbers), key=rank)[:count])


class ColdRateLimit:
    """This node's part of the requests that cold upstreams may get.

    Examples
    ========

    >>> limit = ColdRateLimit(DeploymentBounds(cold_ratio=1.0, cold_slack=1.0), Clock(), EventLog("node"))
    >>> limit.allows("u", 3.0)
    False
    """

    def __init__(self, bounds: DeploymentBounds, clock: Clock, log: EventLog):
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._number: NodeNumber | None = None
        self._sends: deque[_SentRequest] = deque()
        self._sent: Counter[str] = Counter()

    def set_number(self, number: int, numbers: int, as_of: float) -> None:
        """Take this node's number; one that is not below ``numbers`` means that it has none.

        Parameters
        ==========

        as_of : a moment before which the coordinator's word can't have been given.
        """
        if number >= numbers:
            return
        earlier, self._number = self._number, NodeNumber(number, numbers, as_of)
        if earlier is None or (earlier.number, earlier.numbers) != (number, numbers):
            self._log.event("node_numbered", number=number, numbers=numbers)

    def allows(self, upstream_id: str, rate_per_s: float) -> bool:
        """Whether one more request may be sent now to a cold upstream that bears a rate."""
        known = self._number
        if known is None:
            return False
        now = self._clock.now()
        if now - known.as_of > NUMBER_VALID_S:
            return False
        self._forget_before(now - RATE_WINDOW_S)
        bound = rate_per_s * self._bounds.cold_ratio + self._bounds.cold_slack
        allowed = quota(upstream_id, RATE_SHARE_PER_NUMBERING * bound, known.number, known.numbers)
        return self._sent[upstream_id] < allowed

    def note_sent(self, upstream_id: str) -> None:
        """Count a request that is about to be sent."""
        now = self._clock.now()
        self._forget_before(now - RATE_WINDOW_S)
        self._sends.append(_SentRequest(upstream_id, now))
        self._sent[upstream_id] += 1

    def _forget_before(self, oldest: float) -> None:
        while self._sends and self._sends[0].at < oldest:
            upstream_id = self._sends.popleft().upstream_id
            self._sent[upstream_id] -= 1
            if not self._sent[upstream_id]:
                del self._sent[upstream_id]


class ColdUpstreams:
    """The upstreams that are cold, by their rows and by the halls that were taken back.

    Parameters
    ==========

    limit : how many requests this node may send to each of them.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        evacuations: Evacuations,
        limit: ColdRateLimit,
        clock: Clock,
    ):
        self._directory = directory
        self._evacuations = evacuations
        self._clock = clock
        self.limit = limit

    def ids(self, upstreams: Collection[Upstream], service: Service) -> frozenset[str]:
        """Return the ids of those upstreams of a service that are cold, as far as is known."""
        listed = self._directory.cold_ids(self._clock.now())
        halls = self._halls_taken_back({upstream.hall for upstream in upstreams}, service)
        if not listed and not halls:
            return frozenset()
        return frozenset(u.id for u in upstreams if u.id in listed or u.hall in halls)

    def _halls_taken_back(self, halls: set[str], service: Service) -> set[str]:
        """Return the halls whose upstreams may have gone cold while they were evacuated."""
        return {h for h in halls if self._evacuations.since_taken_back_s(h) < service.cold_s}

    def withheld(self, upstreams: Collection[Upstream], service: Service) -> frozenset[str]:
        """Return the ids of those upstreams that are cold and may get no request from here now."""
        if not service.cold_per_s:
            return frozenset()
        cold = self.ids(upstreams, service)
        return frozenset(u for u in cold if not self.limit.allows(u, service.cold_per_s))

    def note_sent(self, upstream: Upstream, service: Service) -> None:
        """Count a request that is about to be sent; a host that is warm may be cold soon."""
        if service.cold_per_s:
            self.limit.note_sent(upstream.id)
