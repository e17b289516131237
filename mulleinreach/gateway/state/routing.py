"""Chooses the upstream of a request by the predicted time to its first event."""

from __future__ import annotations

import random
from collections.abc import Set

from mulleinreach.gateway.model import EngineProfile
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.load import LoadTracker
from mulleinreach.gateway.upstream import Upstream

# Added to the predicted time for each request beyond the slots of the engine.
QUEUED_PENALTY_MS = 100.0
# Power of two choices: the better of two random heads is taken.
COMPARED_HEADS = 2
# More heads than are compared, since stalled ones are left out.
SAMPLED_HEADS = 5
# Much longer than the interval between events of a working head.
STALL_THRESHOLD_S = 0.25
# Penalty for an upstream in another hall, since traffic between halls is expensive.
OTHER_HALL_PENALTY_MS = 10.0
OTHER_HALL_PENALTY_REQUESTS = 1
# Penalty for a cold upstream: it is avoided unless the others are busy.
COLD_PENALTY_MS = 30.0
COLD_PENALTY_REQUESTS = 2
# Penalty per low-priority request that waits at a head; spreads such requests over the heads.
STANDING_BACK_PENALTY_MS = 20.0


def predict_first_event_ms(
    profile: EngineProfile, pace: float, running: int, pending_tokens: int, prompt_tokens: int
) -> float:
    """Return the time to the first event of a request, by the engine's cost model.

    Parameters
    ==========

    pace : slowdown factor of the upstream; 1 is the usual speed.
    running : requests in flight at the upstream that are served before this one.
    pending_tokens : prompt tokens of those requests that the engine has yet to process.
    prompt_tokens : prompt tokens of the request itself.

    Examples
    ========

    >>> profile = EngineProfile((), slots=8, step_ms=10, read_tokens_per_s=1000, stride=1)
    >>> predict_first_event_ms(profile, 1.0, 0, 0, 100)
    110.5
    """
    reading_ms = (pending_tokens + prompt_tokens) * 1000 / profile.read_tokens_per_s
    step_ms = profile.step_ms + profile.per_sequence_ms * (running + 1)
    waiting = max(0, running + 1 - profile.slots)
    return pace * (reading_ms + profile.stride * step_ms + waiting * QUEUED_PENALTY_MS)


def _pace(head: Head, profile: EngineProfile) -> float:
    """Return the slowdown factor of a head, the product of its hosts' and its model's factors."""
    model = profile.model(head.model)
    return head.pace * (model.pace if model else 1.0)


class Router:
    """Chooses among the heads of a model, or among the upstreams of a plain service.

    Explanation
    ===========

    The known load of other nodes is a tenth of a second old. If all nodes took the best of all
    heads, they would all take the same one. Each node therefore takes the better one of two
    random heads [1]_. One of the two is from the node's own hall and is preferred unless it is
    clearly slower, since traffic between halls is expensive.

    Parameters
    ==========

    hall : the hall of this node, whose upstreams are preferred; empty for no preference.

    References
    ==========

    .. [1] Mitzenmacher, "How useful is old information?", 2000.
    """

    def __init__(self, loads: LoadTracker, rng: random.Random, hall: str = ""):
        self._loads = loads
        self._rng = rng
        self._hall = hall

    def choose_head(
        self,
        heads: list[Head],
        profile: EngineProfile,
        prompt_tokens: int,
        suspects: set[str],
        cold: Set[str] = frozenset(),
    ) -> Head | None:
        """Return the better one of two random heads that are neither suspect nor stalled.

        A head whose requests are all stalled has probably lost a member of its group, which the
        coordinator detects only after some tenths of a second.

        Parameters
        ==========

        suspects : the ids of upstreams that recently failed a request.
        cold : the ids of cold upstreams.
        """
        candidates = [head for head in heads if head.upstream.id not in suspects] or heads
        local = self._sample([head for head in candidates if self._is_local(head.upstream)], 1)
        sampled = local + self._sample(candidates, COMPARED_HEADS - len(local))

        def cost_ms(head: Head) -> float:
            other_hall_ms = 0.0 if self._is_local(head.upstream) else OTHER_HALL_PENALTY_MS
            cold_ms = COLD_PENALTY_MS if head.upstream.id in cold else 0.0
            standing_back_ms = STANDING_BACK_PENALTY_MS * self._loads.standing_back(
                head.upstream.id
            )
            return (
                other_hall_ms
                + cold_ms
                + standing_back_ms
                + self.predicted_first_event_ms(head, profile, prompt_tokens)
            )

        return min(sampled, key=cost_ms, default=None)

    def _sample(self, heads: list[Head], count: int) -> list[Head]:
        """Return up to ``count`` random heads, stalled ones only if all sampled heads are."""
        sampled = self._rng.sample(heads, min(SAMPLED_HEADS, len(heads)))
        working = [head for head in sampled if not self._is_stalled(head)] or sampled
        return working[:count]

    def _is_local(self, upstream: Upstream) -> bool:
        return upstream.hall == self._hall

    def _is_stalled(self, head: Head) -> bool:
        return self._loads.stalled_s_all_nodes(head.upstream.id) > STALL_THRESHOLD_S

    def predicted_first_event_ms(
        self, head: Head, profile: EngineProfile, prompt_tokens: int
    ) -> float:
        """Return the predicted time in milliseconds to a request's first event at a head."""
        return predict_first_event_ms(
            profile,
            _pace(head, profile),
            self._loads.running_ahead(head.upstream.id),
            self._loads.pending_tokens(head.upstream.id),
            prompt_tokens,
        )

    def predicted_wait_ms(self, head: Head, profile: EngineProfile) -> float:
        """Return the predicted delay in milliseconds that requests ahead at a head cause.

        The request's own prompt is not included.
        """
        idle_ms = predict_first_event_ms(profile, _pace(head, profile), 0, 0, 0)
        return self.predicted_first_event_ms(head, profile, 0) - idle_ms

    def choose_plain(
        self, upstreams: list[Upstream], suspects: set[str], cold: Set[str] = frozenset()
    ) -> Upstream | None:
        """Return the least used upstream of a plain service, a suspect one only if all are."""

        def cost(upstream: Upstream) -> tuple:
            other_hall_requests = 0 if self._is_local(upstream) else OTHER_HALL_PENALTY_REQUESTS
            cold_requests = COLD_PENALTY_REQUESTS if upstream.id in cold else 0
            running = self._loads.running(upstream.id)
            used = (running + other_hall_requests + cold_requests) / max(1, upstream.slots)
            return (upstream.id in suspects, used, self._rng.random())

        return min(upstreams, key=cost, default=None)
