"""Decides which upstreams a request may be sent to; all such rules are applied here."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.state.cold import ColdUpstreams
from mulleinreach.gateway.state.evacuations import Evacuations
from mulleinreach.gateway.state.notices import NoticeTracker, Rest
from mulleinreach.gateway.state.permits import SendPermits
from mulleinreach.gateway.upstream import Upstream, UpstreamState


class Exclusion(enum.StrEnum):
    """Why an upstream may not be sent a request."""

    # The upstream is shutting down.
    LEAVING = "leaving"
    # The coordinator found that it, or its hall, does not respond.
    LOST = "lost"
    # Operators have evacuated its hall.
    EVACUATED = "evacuated"
    # Its hall is outside the regions to which the request is restricted.
    ABROAD = "abroad"
    # It recently started with an empty cache, and this node's quota for it is used up.
    COLD = "cold"
    # It has asked this node to send no requests for a while.
    RESTING = "resting"
    # It has a rate limit, and this node holds no permit for it.
    LIMITED = "limited"


@dataclass(frozen=True)
class RequestConstraints:
    """The constraints of one request on its upstream.

    Parameters
    ==========

    service : the service that must serve it.
    allowed_regions : the regions whose upstreams may serve it; ``None`` for any region.
    """

    service: Service
    allowed_regions: frozenset[str] | None = None


class Eligibility:
    """Excludes upstreams that a request may not be sent to.

    Parameters
    ==========

    regions : the region of each hall; upstreams in halls without one serve no request that is
        restricted to regions.
    lost : ids of upstreams that don't respond, as the coordinator found.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        cold: ColdUpstreams,
        notices: NoticeTracker,
        permits: SendPermits,
        regions: Mapping[str, str],
        metrics: GatewayMetrics,
        rng: random.Random,
    ):
        self._evacuations = evacuations
        self._cold = cold
        self._notices = notices
        self._permits = permits
        self._regions = regions
        self._metrics = metrics
        self._rng = rng
        self.lost: frozenset[str] = frozenset()

    def usable(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that requests may be sent to, regardless of their constraints.

        An evacuated hall whose traffic is still being reduced is included at random at each call,
        with the probability of its remaining share.
        """
        closed = self._draw_closed_halls()
        return [u for u in upstreams if self._exclusion(u, closed) is None]

    def permitted(
        self, usable: list[Upstream], constraints: RequestConstraints, respects_limits: bool = True
    ) -> list[Upstream]:
        """Return those usable upstreams that a request may be sent to under its constraints.

        Parameters
        ==========

        respects_limits : ``False`` to ignore the rate limits of upstreams.
        """
        withheld = self._cold.withheld(usable, constraints.service)
        if withheld:
            self._metrics.count_withheld(len(withheld))
        permitted = [
            u for u in usable if self._exclusion_by_constraints(u, constraints, withheld) is None
        ]
        if not (respects_limits and self._permits.limits.has_any):
            return permitted
        # A limit applies to all nodes together, so a node needs a permit from the coordinator.
        return [u for u in permitted if self._permits.may_send(u.id)]

    def count_excluded(
        self, upstreams: Collection[Upstream], constraints: RequestConstraints
    ) -> Counter[Exclusion]:
        """Return how many upstreams may not be sent a request, by reason."""
        closed = self._draw_closed_halls()
        withheld = self._cold.withheld(upstreams, constraints.service)
        reasons = (
            self._exclusion(upstream, closed)
            or self._exclusion_by_constraints(upstream, constraints, withheld)
            or (None if self._permits.may_send(upstream.id) else Exclusion.LIMITED)
            for upstream in upstreams
        )
        return Counter(reason for reason in reasons if reason is not None)

    def rest(self, upstream: Upstream) -> Rest | None:
        """Return for how long an upstream accepts no request from this node, ``None`` if it does.

        The upstream asked this node for a rest, or its rate limit allows no request now.
        """
        return self._notices.rest(upstream.id) or self._permits.rest(upstream.id)

    @property
    def evacuated_halls(self) -> frozenset[str]:
        """The evacuated halls."""
        return self._evacuations.halls

    def _exclusion(self, upstream: Upstream, closed: frozenset[str]) -> Exclusion | None:
        if upstream.state is not UpstreamState.READY:
            return Exclusion.LEAVING
        if upstream.id in self.lost:
            return Exclusion.LOST
        if upstream.hall in closed:
            return Exclusion.EVACUATED
        if self._notices.is_resting(upstream.id):
            return Exclusion.RESTING
        return None

    def _exclusion_by_constraints(
        self, upstream: Upstream, constraints: RequestConstraints, withheld: frozenset[str]
    ) -> Exclusion | None:
        if (
            constraints.allowed_regions is not None
            and self._regions.get(upstream.hall) not in constraints.allowed_regions
        ):
            return Exclusion.ABROAD
        if upstream.id in withheld:
            return Exclusion.COLD
        return None

    def _draw_closed_halls(self) -> frozenset[str]:
        """Choose at random which evacuated halls to exclude, by the share of traffic they lost."""
        return frozenset(
            hall
            for hall in self._evacuations.halls
            if self._rng.random() >= self._evacuations.share(hall)
        )
