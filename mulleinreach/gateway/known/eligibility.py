"""Decides which upstreams a request may be sent to: the one place where that stands."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from mulleinreach.gateway.known.cold import ColdUpstreams
from mulleinreach.gateway.known.evacuations import Evacuations
from mulleinreach.gateway.known.notices import NoticeTracker, Rest
from mulleinreach.gateway.known.permits import SendPermits
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.upstream import Upstream, UpstreamState


class Exclusion(enum.StrEnum):
    """Why an upstream may not be sent a request."""

    LEAVING = "leaving"
    LOST = "lost"
    EVACUATED = "evacuated"
    ABROAD = "abroad"
    COLD = "cold"
    RESTING = "resting"
    LIMITED = "limited"


@dataclass(frozen=True)
class RequestConstraints:
    """What decides on upstreams for one request besides the upstreams themselves.

    Parameters
    ==========

    homes : the regions whose upstreams may serve it; ``None`` if any may.
    """

    service: Service
    homes: frozenset[str] | None = None


class Eligibility:
    """What keeps requests from upstreams, whatever the choice among the others.

    Parameters
    ==========

    regions : the region of each hall; upstreams in other halls serve no request with homes.
    lost : ids that the coordinator found to be lost.
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
        """Return the upstreams that requests may be sent to, whatever their terms.

        Whether a hall that is being emptied takes part is drawn anew at each call, by its share.
        """
        closed = self._draw_closed_halls()
        return [u for u in upstreams if self._exclusion(u, closed) is None]

    def permitted(
        self, usable: list[Upstream], constraints: RequestConstraints, respects_limits: bool = True
    ) -> list[Upstream]:
        """Return those usable upstreams that a request may be sent to under its terms.

        Parameters
        ==========

        respects_limits : ``False`` to learn where requests would go if no upstream had a limit.
        """
        withheld = self._cold.withheld(usable, constraints.service)
        if withheld:
            self._metrics.count_withheld(len(withheld))
        permitted = [
            u for u in usable if self._exclusion_by_constraints(u, constraints, withheld) is None
        ]
        if not (respects_limits and self._permits.limits.has_any):
            return permitted
        # A limit bounds what all nodes send together, of which this node knows its own part only.
        return [u for u in permitted if self._permits.may_send(u.id)]

    def count_excluded(
        self, upstreams: Collection[Upstream], constraints: RequestConstraints
    ) -> Counter[Exclusion]:
        """Return how many upstreams may not be sent a request, by the reason."""
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
        """Return for how long an upstream's own word keeps requests away, ``None`` if it doesn't.

        That is a rest that it has asked this node for, or the time of the next permits.
        """
        return self._notices.rest(upstream.id) or self._permits.rest(upstream.id)

    @property
    def evacuated_halls(self) -> frozenset[str]:
        """The halls that are to be empty."""
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
            constraints.homes is not None
            and self._regions.get(upstream.hall) not in constraints.homes
        ):
            return Exclusion.ABROAD
        if upstream.id in withheld:
            return Exclusion.COLD
        return None

    def _draw_closed_halls(self) -> frozenset[str]:
        """Draw which evacuated halls are left out this time, each by the share that it lost."""
        return frozenset(
            hall
            for hall in self._evacuations.halls
            if self._rng.random() >= self._evacuations.share(hall)
        )
