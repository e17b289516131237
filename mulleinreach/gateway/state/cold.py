"""Restricts the rate of requests to cold upstreams.

An upstream is cold for some time after its start, while its cache is empty, and can handle only a
limited rate of requests from all nodes together. The coordinator assigns a number to each node,
from which the node computes its quota. After a change of numbers two sets may be valid at once, so
each set distributes half of the rate.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Collection
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.state.arrivals import ArrivalWindow, SendCharge
from mulleinreach.gateway.state.evacuations import Evacuations
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Upstream

# Rates are in requests per second, so requests are counted over one second.
RATE_WINDOW_S = 1.0
# Longer than the coordinator needs to detect that no node can reach the store.
NUMBER_VALID_S = 2.5
# Share of an upstream's rate that one set of numbers distributes; two sets may be valid at once.
RATE_SHARE_PER_NUMBERING = 0.5


@dataclass(frozen=True)
class NodeNumber:
    """A node's number in a set of numbers that the coordinator assigned.

    Parameters
    ==========

    number : counted from 0.
    numbers : the size of the set.
    as_of : when this node asked for the coordinator's report with the number.
    """

    number: int
    numbers: int
    as_of: float


def quota(upstream_id: str, rate: float, number: int, numbers: int) -> int:
    """Return one node's quota of a rate that all nodes share, in requests per second.

    All nodes get the same quota if it is at least one request per second. Otherwise some nodes
    get one request per second each; which nodes these are depends on the upstream.

    Parameters
    ==========

    rate : requests per second of all nodes together.
    number : the node's number, below ``numbers``.
    numbers : how many nodes share the rate.

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
    """Return the numbers that rendezvous hashing ranks first for an upstream."""

    def rank(number: int) -> bytes:
        return hashlib.blake2b(f"{upstream_id}/{number}".encode(), digest_size=8).digest()

    return frozenset(sorted(range(numbers), key=rank)[:count])


class ColdRateLimit:
    """This node's share of the rate at which requests may be sent to cold upstreams.

    Examples
    ========

    >>> bounds = DeploymentBounds(cold_ratio=1.0, cold_slack=1.0)
    >>> limit = ColdRateLimit(bounds, Clock(), EventLog("node"))
    >>> limit.allows("u", 3.0)
    False
    """

    def __init__(self, bounds: DeploymentBounds, clock: Clock, log: EventLog):
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._number: NodeNumber | None = None
        self._sent: dict[str, ArrivalWindow] = {}

    def set_number(self, number: int, numbers: int, as_of: float) -> None:
        """Set this node's number; one that is not below ``numbers`` means that it has none.

        Parameters
        ==========

        as_of : when this node asked for the report, which is no later than its creation.
        """
        if number >= numbers:
            return
        earlier, self._number = self._number, NodeNumber(number, numbers, as_of)
        if earlier is None or (earlier.number, earlier.numbers) != (number, numbers):
            self._log.event("node_numbered", number=number, numbers=numbers)

    def allows(self, upstream_id: str, rate_per_s: float) -> bool:
        """Whether one more request may be sent now to a cold upstream with a given rate limit."""
        known = self._number
        if known is None:
            return False
        now = self._clock.now()
        if now - known.as_of > NUMBER_VALID_S:
            return False
        bound = rate_per_s * self._bounds.cold_ratio + self._bounds.cold_slack
        allowed = quota(upstream_id, RATE_SHARE_PER_NUMBERING * bound, known.number, known.numbers)
        window = self._sent.get(upstream_id)
        return (len(window) if window else 0) < allowed

    def note_sent(self, upstream_id: str) -> SendCharge:
        """Count a request that is about to be sent, until a window after it has arrived."""
        if upstream_id not in self._sent:
            self._sent = {u: window for u, window in self._sent.items() if len(window)}
            self._sent[upstream_id] = ArrivalWindow(self._clock, RATE_WINDOW_S)
        return self._sent[upstream_id].add()


class ColdUpstreams:
    """Determines which upstreams are cold, by their rows and by recently ended evacuations.

    Parameters
    ==========

    limit : bounds the requests that this node sends to each of them.
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
        """Return the ids of those upstreams of a service that are known to be cold."""
        listed = self._directory.cold_ids(self._clock.now())
        halls = self._halls_taken_back({upstream.hall for upstream in upstreams}, service)
        if not listed and not halls:
            return frozenset()
        return frozenset(u.id for u in upstreams if u.id in listed or u.hall in halls)

    def _halls_taken_back(self, halls: set[str], service: Service) -> set[str]:
        """Return the halls whose upstreams may have become cold while they were evacuated."""
        return {h for h in halls if self._evacuations.since_taken_back_s(h) < service.cold_s}

    def withheld(self, upstreams: Collection[Upstream], service: Service) -> frozenset[str]:
        """Return the ids of cold upstreams to which this node may send no request now."""
        if not service.cold_per_s:
            return frozenset()
        cold = self.ids(upstreams, service)
        return frozenset(u for u in cold if not self.limit.allows(u, service.cold_per_s))

    def note_sent(self, upstream: Upstream, service: Service) -> SendCharge | None:
        """Count a request that is about to be sent, since any upstream may become cold."""
        return self.limit.note_sent(upstream.id) if service.cold_per_s else None
