"""Chooses the upstream of a request by the time to its first event."""

from __future__ import annotations

import random
from collections.abc import Set

from mulleinreach.gateway.known.load import LoadTracker
from mulleinreach.gateway.known.upstreams import Head
from mulleinreach.gateway.model import EngineProfile
from mulleinreach.gateway.upstream import Upstream

# What each request that finds no free place adds to the predicted time, whatever the engine.
QUEUED_PENALTY_MS = 100.0
# The better of two heads against one that is drawn: 0.045 and 0.085 of a day's worth on two
# sites (ten days each).
COMPARED_HEADS = 2
# A few more are drawn, in case some of them stand still.
SAMPLED_HEADS = 5
# The pause between two events of a sound head is a small part of this.
STALL_THRESHOLD_S = 0.25
# What it costs to use another hall: a head there is taken if its first event is predicted
# to come so much sooner (four to seven requests fewer), a plain upstream if it runs so
# many requests fewer. Without either, a day is worth 0.007 less on two sites (ten days each),
# and 0.01 to 0.02 on one whose dearest price is bytes between halls.
OTHER_HALL_PENALTY_MS = 10.0
OTHER_HALL_PENALTY_REQUESTS = 1
# What a cold upstream costs beside its requests, for as long as it is slow: it is left alone
# while others have room, and still takes work from a full service.
COLD_PENALTY_MS = 30.0
COLD_PENALTY_REQUESTS = 2
# What each request at a head costs that stands back there: one that is sent next doesn't wait
# for it, but it waits for that one, so such requests should not gather at one head.
STANDING_BACK_PENALTY_MS = 20.0


def predict_first_event_ms(
    profile: EngineProfile, pace: float, running: int, pending_tokens: int, prompt_tokens: int
) -> float:
    """Return the time to the first event of a request, by the engine's cost model.

    Parameters
    ==========

    pace : how many times longer than usual the work takes there.
    running : requests in flight there that go before this one.
    pending_tokens : their prompt tokens that the engine has yet to read.
    prompt_tokens : those of the request itself.

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
    """Return how many times longer than usual work takes at a head, by its hosts and its model."""
    model = profile.model(head.model)
    return head.pace * (model.pace if model else 1.0)


class Router:
    """Chooses among the heads of a model, or among the upstreams of a plain service.

    Explanation
    ===========

    What a node knows of other nodes' requests is a tenth of a second old. Were all
    nodes to take the best of all heads, they would take the same one; so each takes
    the better one of two that it draws [1]_. One of the two is drawn from the node's
    own hall, and goes before the other unless it is clearly slower: bytes between halls
    are the dearest thing that a request costs.

    Parameters
    ==========

    hall : the hall of this node; empty if none is to be preferred.

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
        """Return the better one of two heads that are neither suspect nor stand still.

        A head whose requests all stand still has probably lost a member. It takes some
        tenths of a second until the coordinator has found that out.

        Parameters
        ==========

        suspects : the ids of upstreams that failed a request lately.
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
        """Return some heads, those that stand still only if nearly all do."""
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
        """Return the predicted milliseconds to a request's first event at a head."""
        return predict_first_event_ms(
            profile,
            _pace(head, profile),
            self._loads.running_ahead(head.upstream.id),
            self._loads.pending_tokens(head.upstream.id),
            prompt_tokens,
        )

    def predicted_wait_ms(self, head: Head, profile: EngineProfile) -> float:
        """Return how much of the time to a first event at a head is due to requests before.

        What the request's own prompt takes is not counted, so a long one doesn't stand back
        at an idle head.
        """
        idle_ms = predict_first_event_ms(profile, _pace(head, profile), 0, 0, 0)
        return self.predicted_first_event_ms(head, profile, 0) - idle_ms

    def choose_plain(
        self, upstreams: list[Upstream], suspects: set[str], cold: Set[str] = frozenset()
    ) -> Upstream | None:
        """Return a plain service's upstream with the most room, unless it is suspect."""

        def cost(upstream: Upstream) -> tuple:
            other_hall_requests = 0 if self._is_local(upstream) else OTHER_HALL_PENALTY_REQUESTS
            cold_requests = COLD_PENALTY_REQUESTS if upstream.id in cold else 0
            running = self._loads.running(upstream.id)
            used = (running + other_hall_requests + cold_requests) / max(1, upstream.slots)
            return (upstream.id in suspects, used, self._rng.random())

        return min(upstreams, key=cost, default=None)
