"""How much of each model's places is in use, smoothed over some seconds."""

from __future__ import annotations

import math

from mulleinreach.common import Clock
from mulleinreach.gateway.load import LoadReport
from mulleinreach.gateway.model import EngineProfile
from mulleinreach.gateway.upstreams import Head

# Plans should follow what lasts: a load takes over ten seconds, a wave of requests less.
SMOOTHING_S = 3.0
# What a model counts that has no open group: more than one whose places are all taken.
NO_GROUP_USAGE = 2.0


class ModelUsage:
    """The share of places in use, by model, at the heads of all domains of one service.

    Parameters
    ==========

    clock : tells how much weight the latest look has.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._noted_at: float | None = None
        self._usage: dict[str, float] = {}

    def note(self, engine: EngineProfile, heads: list[Head], loads: dict[str, LoadReport]) -> None:
        """Take in what runs at the open heads now; nothing before the first requests."""
        if not loads:
            return
        now = self._clock.now()
        elapsed_s = SMOOTHING_S if self._noted_at is None else now - self._noted_at
        self._noted_at = now
        weight = 1 - math.exp(-elapsed_s / SMOOTHING_S)
        for model in engine.models:
            latest = _usage_now(engine, model.name, heads, loads)
            known = self._usage.get(model.name, latest)
            self._usage[model.name] = known + weight * (latest - known)

    def by_model(self) -> dict[str, float]:
        """Return the usage by model; empty before the first requests."""
        return dict(self._usage)


def _usage_now(
    engine: EngineProfile, model: str, heads: list[Head], loads: dict[str, LoadReport]
) -> float:
    """Return the share of a model's places that requests hold or wait for."""
    ids = [head.upstream.id for head in heads if head.model == model]
    if not ids:
        return NO_GROUP_USAGE
    running = sum(loads[upstream_id].running for upstream_id in ids if upstream_id in loads)
    return running / (engine.slots * len(ids))
