"""Chooses the upstream of a request by the time to its first event."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mulleinreach.gateway.load import LoadBook
from mulleinreach.gateway.model import EngineProfile
from mulleinreach.gateway.upstreams import Head, Upstream

FULL_PENALTY_MS = 100.0
NOISE_MS = 4.0
SUSPECT_PENALTY = 1e6


@dataclass(frozen=True)
class Prediction:
    """A head and the predicted milliseconds to a request's first event there."""

    head: Head
    first_event_ms: float


def predict_first_event_ms(
    profile: EngineProfile, pace: float, running: int, pending_tokens: int, prompt_tokens: int
) -> float:
    """Return the time to the first event of a request, by the engine's cost model.

    Examples
    ========

    >>> profile = EngineProfile((), slots=8, step_ms=10, read_tokens_per_s=1000, stride=1)
    >>> predict_first_event_ms(profile, 1.0, 0, 0, 100)
    110.5
    """
    reading_ms = (pending_tokens + prompt_tokens) * 1000 / profile.read_tokens_per_s
    step_ms = profile.step_ms + profile.per_sequence_ms * (running + 1)
    waiting = max(0, running + 1 - profile.slots)
    return pace * (reading_ms + profile.stride * step_ms + waiting * FULL_PENALTY_MS)


class Router:
    """Chooses among the heads of a model, or among the upstreams of a plain service."""

    def __init__(self, loads: LoadBook, rng: random.Random):
        self._loads = loads
        self._rng = rng

    def rank_heads(
        self, heads: list[Head], profile: EngineProfile, prompt_tokens: int, suspects: set[str]
    ) -> list[Prediction]:
        """Return the heads by predicted time to the first event, the best one first."""
        predictions = []
        for head in heads:
            model = profile.model(head.model)
            upstream_id = head.upstream.id
            first_event_ms = predict_first_event_ms(
                profile,
                head.pace * (model.pace if model else 1.0),
                self._loads.running(upstream_id),
                self._loads.pending_tokens(upstream_id),
                prompt_tokens,
            )
            if upstream_id in suspects:
                first_event_ms += SUSPECT_PENALTY
            predictions.append(Prediction(head, first_event_ms + self._rng.uniform(0, NOISE_MS)))
        predictions.sort(key=lambda p: p.first_event_ms)
        return predictions

    def rank_plain(self, upstreams: list[Upstream], suspects: set[str]) -> list[Upstream]:
        """Return a plain service's upstreams, the one with the most room first."""

        def cost(upstream: Upstream) -> tuple:
            used = self._loads.running(upstream.id) / max(1, upstream.slots)
            return (upstream.id in suspects, used, self._rng.random())

        return sorted(upstreams, key=cost)
