"""Permits to send requests to upstreams whose limit holds for all nodes together.

A permit allows one request to one upstream and expires after a few seconds. The coordinator grants
permits up to the upstream's limit. A node requests them in advance for its expected traffic, and
for requests that no other upstream can serve. A node without a coordinator continues at a small
share of the limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.state.limits import LimitTracker, permit_lifetime_s, send_rate_per_s
from mulleinreach.gateway.state.notices import Rest
from mulleinreach.gateway.state.permit_demand import PermitDemand

# A node without a coordinator's report for this long is isolated.
ISOLATED_AFTER_S = 1.0
# Enough for one answer of the coordinator, which takes two report intervals.
MAX_PERMIT_WAIT_S = 0.6
# Requests don't wait for a permit this long after the coordinator had none.
UNAVAILABLE_KEPT_S = 1.0
# Share of a limit that all isolated nodes together use, in addition to the granted permits.
ISOLATED_SHARE_OF_LIMIT = 0.2
# Upper bound on the number of nodes, until a coordinator reports it.
ASSUMED_NODES = 350


@dataclass(frozen=True)
class PermitCount:
    """A number of permits for an upstream, as requested by a node or granted to it."""

    upstream_id: str
    count: int


@dataclass
class _HeldPermits:
    """The permits that a node holds for one upstream.

    Parameters
    ==========

    limit_per_s : the upstream's limit when they were granted.
    expiries : when each permit expires, in ascending order.
    """

    limit_per_s: float
    expiries: deque[float]


class SendPermits:
    """The permits that this node holds and requests."""

    def __init__(self, limits: LimitTracker, clock: Clock, rng: random.Random):
        self.limits = limits
        self.demand = PermitDemand(limits, clock)
        self._clock = clock
        self._rng = rng
        self._held: dict[str, _HeldPermits] = {}
        # When a request last waited in vain for a permit, by upstream id.
        self._unavailable_at: dict[str, float] = {}
        self._permits_received = asyncio.Event()
        # When this node may next send without a permit while it is isolated, by upstream id.
        self._isolated_send_at: dict[str, float] = {}
        self._reported_at = float("-inf")
        self._nodes = ASSUMED_NODES

    # Granted permits.

    def receive(self, granted: Iterable[PermitCount], asked_at: float, nodes: int) -> None:
        """Add the permits that the coordinator granted.

        Parameters
        ==========

        asked_at : when this node asked for them, which is no later than they were granted.
        nodes : number of nodes that the coordinator knows.
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
        """Remove upstreams for which no permit is left."""
        self._held = {u: held for u, held in self._held.items() if self._unspent(u)}

    def _unspent(self, upstream_id: str) -> int:
        """Return how many valid permits this node holds; a lowered limit invalidates them."""
        held = self._held.get(upstream_id)
        if held is None:
            return 0
        if self.limits.limit_per_s(upstream_id) < held.limit_per_s:
            held.expiries.clear()
        now = self._clock.now()
        while held.expiries and held.expiries[0] <= now:
            held.expiries.popleft()
        return len(held.expiries)

    # Sent requests.

    def may_send(self, upstream_id: str) -> bool:
        """Whether the limit of an upstream allows this node to send it a request now."""
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
        """Return when callers should retry if an upstream's limit allows no request now.

        Retries are spread over the time that the limit takes to allow one more request, or over
        ``UNAVAILABLE_KEPT_S`` if that is longer, so that refused callers don't all return at once.
        """
        if self.may_send(upstream_id):
            return None
        one_permit_s = 1 / send_rate_per_s(self.limits.limit_per_s(upstream_id))
        return Rest(0.0, max(UNAVAILABLE_KEPT_S, one_permit_s))

    def _is_isolated(self) -> bool:
        """Whether this node receives no reports of a coordinator."""
        return self._clock.now() - self._reported_at > ISOLATED_AFTER_S

    def _next_isolated_send(self, upstream_id: str) -> float:
        """Return when this node may next send without a permit; the first time is random."""
        if upstream_id not in self._isolated_send_at:
            first_in_s = self._rng.uniform(0, self._isolated_period_s(upstream_id))
            self._isolated_send_at[upstream_id] = self._clock.now() + first_in_s
        return self._isolated_send_at[upstream_id]

    def _isolated_period_s(self, upstream_id: str) -> float:
        per_s = send_rate_per_s(self.limits.limit_per_s(upstream_id))
        return max(1, self._nodes) / (ISOLATED_SHARE_OF_LIMIT * per_s)

    # Requested permits.

    def are_unavailable(self, upstream_id: str) -> bool:
        """Whether waiting for a permit is known to be useless at the moment."""
        unavailable_for_s = self._clock.now() - self._unavailable_at.get(upstream_id, float("-inf"))
        return self._is_isolated() or unavailable_for_s < UNAVAILABLE_KEPT_S

    async def wait(self, upstream_id: str) -> None:
        """Wait until a request may be sent, or until the coordinator answers without permits."""
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
        """Return the permits to request, in addition to those that this node holds."""
        missing = {u: count - self._unspent(u) for u, count in self.demand.expected_uses().items()}
        return tuple(PermitCount(u, count) for u, count in missing.items() if count > 0)
