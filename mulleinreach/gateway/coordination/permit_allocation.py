"""Allocates permits for requests to upstreams with a rate limit over all nodes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from mulleinreach.gateway.state.limits import permit_lifetime_s, send_rate_per_s
from mulleinreach.gateway.state.permits import PermitCount

# Capacity of a token bucket; enough for the permits that accrue between two reports.
BURST_PERMITS = 2.0
# Capacity in seconds of the upstream's rate, if that is more.
BURST_S = 0.25
# Allows for differences in clock rate between nodes.
CLOCK_SKEW_MARGIN_S = 0.1

Node = TypeVar("Node", bound=Hashable)


@dataclass
class _TokenBucket:
    """Permits available for one upstream.

    Parameters
    ==========

    credits : weight of each node in the smooth weighted round robin.
    """

    balance: float
    updated_at: float
    credits: dict[Hashable, float] = field(default_factory=dict)


class PermitAllocator:
    """Divides each upstream's rate limit among the nodes by demand, for one term.

    Explanation
    ===========

    Permits are taken from a token bucket. Within any T seconds the nodes send at most
    ``limit * (T + permit_lifetime_s(limit)) + max(BURST_PERMITS, BURST_S * limit)`` requests,
    even if messages are lost or late.

    Parameters
    ==========

    begun_at : start of the term. No permits are granted until those of the previous coordinator
        have expired.

    Examples
    ========

    >>> allocator = PermitAllocator(0.0)
    >>> wanted = {"a": (PermitCount("u", 1),), "b": (PermitCount("u", 1),)}
    >>> allocator.allocate(wanted, {"u": 3.0}, 0.5), allocator.allocate(wanted, {"u": 3.0}, 2.0)
    ({}, {'a': [PermitCount(upstream_id='u', count=1)]})
    >>> allocator.allocate(wanted, {"u": 3.0}, 2.5)
    {'b': [PermitCount(upstream_id='u', count=1)]}
    """

    def __init__(self, begun_at: float):
        self._begun_at = begun_at
        self._buckets: dict[str, _TokenBucket] = {}

    def allocate(
        self,
        wanted: Mapping[Node, tuple[PermitCount, ...]],
        limits: Mapping[str, float],
        now: float,
    ) -> dict[Node, list[PermitCount]]:
        """Return the permits granted to each node now.

        Parameters
        ==========

        wanted : the permits that each node requests in addition to those that it holds.
        limits : rate limit of each upstream, in requests per second.
        """
        self._buckets = {u: b for u, b in self._buckets.items() if u in limits}
        wants_by_upstream: dict[str, dict[Node, int]] = defaultdict(dict)
        for node, wants in wanted.items():
            for want in wants:
                wants_by_upstream[want.upstream_id][node] = want.count
        granted: dict[Node, list[PermitCount]] = defaultdict(list)
        for upstream_id, limit in limits.items():
            if now - self._begun_at < permit_lifetime_s(limit) + CLOCK_SKEW_MARGIN_S:
                continue
            per_s = send_rate_per_s(limit)
            counts = self._allocate_one(upstream_id, per_s, wants_by_upstream[upstream_id], now)
            for node, count in counts.items():
                granted[node].append(PermitCount(upstream_id, count))
        return dict(granted)

    def _allocate_one(
        self, upstream_id: str, per_s: float, wants: dict[Node, int], now: float
    ) -> dict[Node, int]:
        """Return the number of permits granted to each node for one upstream."""
        bucket = self._buckets.setdefault(upstream_id, _TokenBucket(1.0, now))
        accrued = bucket.balance + (now - bucket.updated_at) * per_s
        bucket.balance, bucket.updated_at = min(accrued, max(BURST_PERMITS, BURST_S * per_s)), now
        bucket.credits = {n: c for n, c in bucket.credits.items() if n in wants}
        counts: dict[Node, int] = defaultdict(int)
        while bucket.balance >= 1 and wants:
            node = _pick_node(bucket.credits, wants)
            counts[node] += 1
            wants[node] -= 1
            if not wants[node]:
                del wants[node]
            bucket.balance -= 1
        return dict(counts)


def _pick_node(credit: dict[Hashable, float], wants: Mapping[Node, int]) -> Node:
    """Return the node that gets the next permit, by smooth weighted round robin."""
    for node, count in wants.items():
        credit[node] = credit.get(node, 0.0) + count
    chosen = max(wants, key=lambda node: credit[node])
    credit[chosen] -= sum(wants.values())
    return chosen
