"""Decides which upstreams a request may be sent to: the one place where that stands."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Iterable

from mulleinreach.gateway.known.evacuations import Evacuations
from mulleinreach.gateway.upstream import Upstream, UpstreamState


class Exclusion(enum.StrEnum):
    """Why an upstream may not be sent a request."""

    LEAVING = "leaving"
    LOST = "lost"
    EVACUATED = "evacuated"


class Eligibility:
    """What keeps requests from upstreams, whatever the choice among the others.

    Parameters
    ==========

    lost : ids that the coordinator found to be lost.
    """

    def __init__(self, evacuations: Evacuations, rng: random.Random):
        self._evacuations = evacuations
        self._rng = rng
        self.lost: frozenset[str] = frozenset()

    def usable(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that a request may be sent to.

        A hall that gives way is drawn for each request anew, by the share that is left to it.
        """
        closed = self._closed_halls()
        return [u for u in upstreams if self._exclusion(u, closed) is None]

    def exclusion(self, upstream: Upstream) -> Exclusion | None:
        """Return why an upstream may not be sent a request, ``None`` if it may."""
        return self._exclusion(upstream, self._closed_halls())

    def count_excluded(self, upstreams: Iterable[Upstream]) -> Counter[Exclusion]:
        """Return how many upstreams may not be sent a request, by the reason."""
        closed = self._closed_halls()
        reasons = (self._exclusion(upstream, closed) for upstream in upstreams)
        return Counter(reason for reason in reasons if reason is not None)

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
        return None

    def _closed_halls(self) -> frozenset[str]:
        """Return the evacuated halls that this request may not go to."""
        return frozenset(
            hall
            for hall in self._evacuations.halls
            if self._rng.random() >= self._evacuations.share(hall)
        )
