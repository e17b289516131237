"""Chooses the replica that a request is sent to.

Explanation
===========

Rendezvous hashing ranks the replicas for each conversation, identically at every
node, so that its requests reach the replica that cached their common prefix. The
first replica in the ranking whose load is within the bound is selected: the greater
of ``MIN_LOAD_BOUND`` and ``MAX_EXCESS_LOAD`` above the mean. A request without a
key goes to the less loaded of two random replicas. Neither sends all requests to
the same least loaded replica when reports lag.

References
==========

.. [1] Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded loads", 2016.
.. [2] Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
.. [3] "Prefix-Aware Routing", Inference Platform Engineering, section 3: affinity by
   conversation up to 85% of a replica's capacity.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from mulleinreach.common import rendezvous_rank
from mulleinreach.routing.replicas import Candidate

# Load above the mean that still allows affinity, as a fraction of the mean.
MAX_EXCESS_LOAD = 0.25
# Smallest load bound, as a fraction of a replica's slots.
MIN_LOAD_BOUND = 0.85


@dataclass(frozen=True)
class Choice:
    """The selected replica, and the reason for the selection."""

    candidate: Candidate
    why: str


class Router:
    """Chooses replicas by conversation affinity, within a bound on load."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, candidates: list[Candidate], key: str) -> Choice | None:
        """Return the choice, or ``None`` if no candidate has room.

        Parameters
        ==========

        candidates : all replicas that may be sent requests, including full ones.
        key : requests with the same key prefer the same replica; empty for none.
        """
        available = [candidate for candidate in candidates if candidate.has_capacity]
        if not available:
            return None
        if not key or len(available) == 1:
            return self._choose_of_two(available)
        return self._choose_by_rank(candidates, available, key)

    def _choose_of_two(self, available: list[Candidate]) -> Choice:
        two = available if len(available) == 1 else self._rng.sample(available, 2)
        least_loaded = min(two, key=lambda c: c.load / c.slots)
        return Choice(
            least_loaded, f"less loaded of {len(two)} at random ({least_loaded.load:.0f})"
        )

    def _choose_by_rank(
        self, candidates: list[Candidate], available: list[Candidate], key: str
    ) -> Choice:
        mean = sum(c.load / c.slots for c in candidates) / len(candidates)
        bound = max(MIN_LOAD_BOUND, (1 + MAX_EXCESS_LOAD) * mean)
        by_name = {c.replica: c for c in available}
        skipped = []
        for name in rendezvous_rank(key, by_name):
            candidate = by_name[name]
            if candidate.load <= bound * candidate.slots:
                return Choice(candidate, _explain(candidate, skipped, bound))
            skipped.append(candidate)
        least_loaded = min(skipped, key=lambda c: c.load / c.slots)
        return Choice(least_loaded, f"all are over the bound of {bound:.0%}; least loaded")


def _explain(candidate: Candidate, skipped: list[Candidate], bound: float) -> str:
    """Describe the choice's rank for the conversation and the skipped replicas."""
    load = f"load {candidate.load:.0f} of {candidate.slots}, bound {bound:.0%}"
    if not skipped:
        return f"first choice of its conversation ({load})"
    names = ", ".join(f"{c.replica} with {c.load:.0f}" for c in skipped)
    return f"choice {len(skipped) + 1} of its conversation ({load}); over it: {names}"
