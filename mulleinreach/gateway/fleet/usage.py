"""How many places the requests of each model need, smoothed over some seconds."""

from __future__ import annotations

import math

from mulleinreach.common import Clock
from mulleinreach.gateway.known.load import LoadReport
from mulleinreach.gateway.known.upstreams import Head
from mulleinreach.gateway.model import EngineProfile

# Plans should follow what lasts: a load takes over ten seconds, a wave of requests less.
MAX_SMOOTHING_S = 3.0
# Workload is unknown until streams have begun and ended for a while; what was seen by then counts
# as if it had lasted for half of the time.
MIN_OBSERVED_S = 2.0
MIN_SMOOTHING_S = 0.3
# What a model counts that has no open group: more than one whose places are all taken.
NO_GROUP_USAGE = 2.0


class ModelUsage:
    """The work of the models at the heads of all domains of one service.

    Parameters
    ==========

    clock : tells how much weight the latest look has.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started_at: float | None = None
        self._updated_at = 0.0
        self._demand: dict[str, float] = {}
        self._usage: dict[str, float] = {}

    def update(
        self, engine: EngineProfile, heads: list[Head], loads: dict[str, LoadReport]
    ) -> None:
        """Take in what runs at the open heads now; nothing before the first requests."""
        if not loads:
            return
        now = self._clock.now()
        if self._started_at is None:
            self._started_at = self._updated_at = now
        weight = 1 - math.exp(-(now - self._updated_at) / self._smoothing_s(now))
        self._updated_at = now
        for model in engine.models:
            ids = [head.upstream.id for head in heads if head.model == model.name]
            # Without an open head the work that there was goes on elsewhere, or waits.
            demand = sum(loads[u].running for u in ids if u in loads) if ids else None
            usage = NO_GROUP_USAGE if demand is None else demand / (engine.slots * len(ids))
            _update_average(self._usage, model.name, usage, weight)
            if demand is not None:
                _update_average(self._demand, model.name, demand, weight)

    def _smoothing_s(self, now: float) -> float:
        return min(max(MIN_SMOOTHING_S, (now - self._started_at) / 2), MAX_SMOOTHING_S)

    def has_enough_history(self) -> bool:
        """Whether requests have run for long enough to tell the work by."""
        return (
            self._started_at is not None and self._updated_at - self._started_at >= MIN_OBSERVED_S
        )

    def by_model(self) -> dict[str, float]:
        """Return the share of places in use by model; empty before the first requests."""
        return dict(self._usage)

    def demand(self) -> dict[str, float]:
        """Return the places that each model's requests hold or wait for, once that is settled."""
        return dict(self._demand) if self.has_enough_history() else {}


def _update_average(known: dict[str, float], model: str, latest: float, weight: float) -> None:
    before = known.get(model, latest)
    known[model] = before + weight * (latest - before)
