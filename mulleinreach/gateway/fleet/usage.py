"""Slot usage and slot demand of each model, smoothed over some seconds."""

from __future__ import annotations

import math

from mulleinreach.common import Clock
from mulleinreach.gateway.model import EngineProfile
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.load import LoadReport

# Time constant of the exponential average; short bursts should not change plans.
MAX_SMOOTHING_S = 3.0
# The demand counts as unknown until then.
MIN_OBSERVED_S = 2.0
MIN_SMOOTHING_S = 0.3
# Usage of a model without an open group; higher than with all slots in use.
NO_GROUP_USAGE = 2.0


class ModelUsage:
    """Exponentially weighted averages of the slot usage and demand of a service's models."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started_at: float | None = None
        self._updated_at = 0.0
        self._demand: dict[str, float] = {}
        self._usage: dict[str, float] = {}

    def update(
        self, engine: EngineProfile, heads: list[Head], loads: dict[str, LoadReport]
    ) -> None:
        """Update the averages from the load at the open heads; does nothing without load."""
        if not loads:
            return
        now = self._clock.now()
        if self._started_at is None:
            self._started_at = self._updated_at = now
        weight = 1 - math.exp(-(now - self._updated_at) / self._smoothing_s(now))
        self._updated_at = now
        for model in engine.models:
            ids = [head.upstream.id for head in heads if head.model == model.name]
            # Without an open head the demand is unknown, so its last average is kept.
            demand = sum(loads[u].running for u in ids if u in loads) if ids else None
            usage = NO_GROUP_USAGE if demand is None else demand / (engine.slots * len(ids))
            _update_average(self._usage, model.name, usage, weight)
            if demand is not None:
                _update_average(self._demand, model.name, demand, weight)

    def _smoothing_s(self, now: float) -> float:
        return min(max(MIN_SMOOTHING_S, (now - self._started_at) / 2), MAX_SMOOTHING_S)

    def has_enough_history(self) -> bool:
        """Whether requests have been observed for long enough to estimate the demand."""
        return (
            self._started_at is not None and self._updated_at - self._started_at >= MIN_OBSERVED_S
        )

    def by_model(self) -> dict[str, float]:
        """Return the fraction of slots in use by model; empty before the first requests."""
        return dict(self._usage)

    def demand(self) -> dict[str, float]:
        """Return the slots that each model's requests hold or wait for; empty while unknown."""
        return dict(self._demand) if self.has_enough_history() else {}


def _update_average(averages: dict[str, float], model: str, latest: float, weight: float) -> None:
    before = averages.get(model, latest)
    averages[model] = before + weight * (latest - before)
