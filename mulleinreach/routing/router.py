"""Which replica gets a request.

Explanation
===========

Requests of a conversation share the beginning of their prompts, and rendezvous
hashing ranks the replicas for each conversation, the same at every node. The
request goes to the first in that ranking that is not over the bound: ``MIN_LOAD_BOUND`` of
its slots, or ``MAX_EXCESS_LOAD`` above the mean load of all, whichever is more. So a
conversation that spills goes to the same second choice each time, and nodes
that share reports which lag do not all run to the same least loaded replica.
A request without a key goes to the less loaded of two at random, for the same
reason. docs/design/08-routing.md gives the figures, and those of what lost.

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

MAX_EXCESS_LOAD = 0.25
MIN_LOAD_BOUND = 0.85


@dataclass(frozen=True)
class Choice:
    """The replica that was chosen, and why."""

    candidate: Candidate
    why: str


class Router:
    """Affinity by conversation, with a bound on load."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, candidates: list[Candidate], key: str) -> Choice | None:
        """Return the choice, or ``None`` if no candidate has room.

        Parameters
        ==========

        candidates : all replicas that may be sent work, full ones too.
        key : what should stay together; empty for no preference.
        """
        available = [candidate for candidate in candidates if candidate.has_capacity]
        if not available:
            return None
        if not key or len(available) == 1:
            return self._choose_of_two(available)
        return self._choose_by_rank(candidates, available, key)

    def _choose_of_two(self, available: list[Candidate]) -> Choice:
        two = available if len(available) == 1 else self._rng.sample(available, 2)
        least = min(two, key=lambda c: c.load / c.slots)
        return Choice(least, f"less loaded of {len(two)} at random ({least.load:.0f})")

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
        least = min(skipped, key=lambda c: c.load / c.slots)
        return Choice(least, f"all are over the bound of {bound:.0%}; least loaded")


def _explain(candidate: Candidate, skipped: list[Candidate], bound: float) -> str:
    """Say which place in the conversation's ranking the choice has, and why not before."""
    load = f"load {candidate.load:.0f} of {candidate.slots}, bound {bound:.0%}"
    if not skipped:
        return f"first choice of its conversation ({load})"
    names = ", ".join(f"{c.replica} with {c.load:.0f}" for c in skipped)
    return f"choice {len(skipped) + 1} of its conversation ({load}); over it: {names}"
