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
        self._began_at: float | None = None
        self._noted_at = 0.0
        self._places: dict[str, float] = {}
        self._usage: dict[str, float] = {}

    def note(self, engine: EngineProfile, heads: list[Head], loads: dict[str, LoadReport]) -> None:
        """Take in what runs at the open heads now; nothing before the first requests."""
        if not loads:
            return
        now = self._clock.now()
        if self._began_at is None:
            self._began_at = self._noted_at = now
        weight = 1 - math.exp(-(now - self._noted_at) / self._smoothing_s(now))
        self._noted_at = now
        for model in engine.models:
            ids = [head.upstream.id for head in heads if head.model == model.name]
            # Without an open head the work that there was goes on elsewhere, or waits.
            places = sum(loads[u].running for u in ids if u in loads) if ids else None
            usage = NO_GROUP_USAGE if places is None else places / (engine.slots * len(ids))
            _blend(self._usage, model.name, usage, weight)
            if places is not None:
                _blend(self._places, model.name, places, weight)

    def _smoothing_s(self, now: float) -> float:
        return min(max(MIN_SMOOTHING_S, (now - self._began_at) / 2), MAX_SMOOTHING_S)

    def is_settled(self) -> bool:
        """Whether requests have run for long enough to tell the work by."""
        return self._began_at is not None and self._noted_at - self._began_at >= MIN_OBSERVED_S

    def by_model(self) -> dict[str, float]:
        """Return the share of places in use by model; empty before the first requests."""
        return dict(self._usage)

    def places(self) -> dict[str, float]:
        """Return the places that each model's requests hold or wait for, once that is settled."""
        return dict(self._places) if self.is_settled() else {}


def _blend(known: dict[str, float], model: str, latest: float, weight: float) -> None:
    before = known.get(model, latest)
    known[model] = before + weight * (latest - before)
