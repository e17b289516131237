"""How many requests this node may send to upstreams that bound those of all nodes together.

Explanation
===========

The coordinator gives out permits, each for one request to one upstream within some seconds, as
many as the upstream's limit allows, and to the nodes that have requests for it. So the sum holds
without any node knowing what the others send: a permit that is lost, or lapses, is a request
that isn't sent. A node that hears from no coordinator sends on at a small part of the limit.

A node asks in advance for the permits that it will probably spend before they lapse, and for
requests that no other upstream may take, which wait for the coordinator's next answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.known.limits import LimitTracker, permit_lifetime_s, send_rate_per_s
from mulleinreach.gateway.known.notices import Rest
from mulleinreach.gateway.known.permit_demand import PermitDemand

# A node that was told nothing for so long hears from no coordinator.
ISOLATED_AFTER_S = 1.0
# A request waits for one answer of the coordinator: two rounds of reports.
MAX_PERMIT_WAIT_S = 0.6
# While permits are short a request doesn't wait for one in vain.
UNAVAILABLE_KEPT_S = 1.0
# The part of a limit that all nodes together use while none of them hears from a coordinator. It
# comes on top of what a coordinator gives out that others still hear from.
ISOLATED_SHARE_OF_LIMIT = 0.2
# How many nodes there are at most, for a node that was told of none.
ASSUMED_NODES = 350


@dataclass(frozen=True)
class PermitCount:
    """So many permits for an upstream, as they are asked for or given out."""

    upstream_id: str
    count: int


@dataclass
class _HeldPermits:
    """The permits that a node holds for one upstream.

    Parameters
    ==========

    limit_per_s : the upstream's limit when they were given out.
    expiries : the first one first.
    """

    limit_per_s: float
    expiries: deque[float]


class SendPermits:
    """The permits of this node, and what it wants."""

    def __init__(self, limits: LimitTracker, clock: Clock, rng: random.Random):
        self.limits = limits
        self.demand = PermitDemand(limits, clock)
        self._clock = clock
        self._rng = rng
        self._held: dict[str, _HeldPermits] = {}
        # When the coordinator had no permit for a request that waited.
        self._unavailable_at: dict[str, float] = {}
        self._permits_received = asyncio.Event()
        # When this node may send next on its own.
        self._isolated_send_at: dict[str, float] = {}
        self._reported_at = float("-inf")
        self._nodes = ASSUMED_NODES

    # What the coordinator gives.

    def take(self, granted: Iterable[PermitCount], asked_at: float, nodes: int) -> None:
        """Take the coordinator's permits.

        Parameters
        ==========

        asked_at : a moment before which they can't have been given out.
        nodes : how many nodes the coordinator knows.
        """
        self._reported_at, self._nodes = asked_at, nodes
        self._isolated_send_at = {}
        self._drop_expired()
        for permits in granted:
            limit = self.limits.limit_per_s(permits.upstream_id)
            held = self._held.setdefault(permits.upstream_id, _HeldPermits(limit, deque()))
            held.limit_per_s = limit
            held.expiries.extend([asked_at + permit_lifetime_s(limit)] * permits.count)
        waiters, self._permits_received = self._permits_received, asyncio.Event()
        waiters.set()

    def _drop_expired(self) -> None:
        """Forget upstreams for which no permit is left."""
        self._held = {u: held for u, held in self._held.items() if self._unspent(u)}

    def _unspent(self, upstream_id: str) -> int:
        """Return how many permits this node holds; a limit that has sunk ends earlier ones."""
        held = self._held.get(upstream_id)
        if held is None:
            return 0
        if self.limits.limit_per_s(upstream_id) < held.limit_per_s:
            held.expiries.clear()
        now = self._clock.now()
        while held.expiries and held.expiries[0] <= now:
            held.expiries.popleft()
        return len(held.expiries)

    # What is sent.

    def may_send(self, upstream_id: str) -> bool:
        """Whether a request may be sent to an upstream now, as far as its limit goes."""
        if not self.limits.is_limited(upstream_id):
            return True
        if self._unspent(upstream_id):
            return True
        return self._is_isolated() and self._clock.now() >= self._next_isolated_send(upstream_id)

    def note_sent(self, upstream_id: str) -> None:
        """Spend a permit for a request that is about to be sent."""
        if not self.limits.is_limited(upstream_id):
            return
        if self._unspent(upstream_id):
            self._held[upstream_id].expiries.popleft()
        else:
            self._isolated_send_at[upstream_id] = self._clock.now() + self._isolated_period_s(
                upstream_id
            )

    def rest(self, upstream_id: str) -> Rest | None:
        """Return when callers may ask again for an upstream that may be sent nothing now.

        Others were refused too, so they come back over the time of one permit, or over the time
        for which permits are known to be short.
        """
        if self.may_send(upstream_id):
            return None
        one_permit_s = 1 / send_rate_per_s(self.limits.limit_per_s(upstream_id))
        return Rest(0.0, max(UNAVAILABLE_KEPT_S, one_permit_s))

    def _is_isolated(self) -> bool:
        """Whether no coordinator gives permits to this node."""
        return self._clock.now() - self._reported_at > ISOLATED_AFTER_S

    def _next_isolated_send(self, upstream_id: str) -> float:
        """Return when this node may send on its own; the first time is drawn within a period."""
        if upstream_id not in self._isolated_send_at:
            first_in_s = self._rng.uniform(0, self._isolated_period_s(upstream_id))
            self._isolated_send_at[upstream_id] = self._clock.now() + first_in_s
        return self._isolated_send_at[upstream_id]

    def _isolated_period_s(self, upstream_id: str) -> float:
        per_s = send_rate_per_s(self.limits.limit_per_s(upstream_id))
        return max(1, self._nodes) / (ISOLATED_SHARE_OF_LIMIT * per_s)

    # What is wanted.

    def are_unavailable(self, upstream_id: str) -> bool:
        """Whether it is in vain to wait for a permit, as far as is known."""
        unavailable_for_s = self._clock.now() - self._unavailable_at.get(upstream_id, float("-inf"))
        return self._is_isolated() or unavailable_for_s < UNAVAILABLE_KEPT_S

    async def wait(self, upstream_id: str) -> None:
        """Wait until a request may be sent, or the coordinator has had no permit for it."""
        asked_at = self._clock.now()
        with contextlib.suppress(TimeoutError), self.demand.waiting(upstream_id):
            async with asyncio.timeout(MAX_PERMIT_WAIT_S):
                while not self.may_send(upstream_id) and self._reported_at <= asked_at:
                    await self._permits_received.wait()
        if not self.may_send(upstream_id):
            self._note_unavailable(upstream_id)

    def _note_unavailable(self, upstream_id: str) -> None:
        now = self._clock.now()
        self._unavailable_at = {
            u: at for u, at in self._unavailable_at.items() if now - at < UNAVAILABLE_KEPT_S
        }
        self._unavailable_at[upstream_id] = now

    def wanted(self) -> tuple[PermitCount, ...]:
        """Return the permits that this node has use for beside those that it holds."""
        missing = {u: count - self._unspent(u) for u, count in self.demand.expected_uses().items()}
        return tuple(PermitCount(u, count) for u, count in missing.items() if count > 0)
