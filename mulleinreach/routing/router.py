"""Which replica gets a request.

Explanation
===========

The preferred replica of a key is the first by rendezvous hashing, so that all
nodes prefer the same one without talking. It is taken unless its load exceeds
that of the least loaded one by more than ``SLACK`` of a replica's slots; then
the least loaded of all is taken. docs/design/08-routing.md gives the figures.

References
==========

.. [1] Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded loads", 2016.
.. [2] "Prefix-Aware Routing", Inference Platform Engineering, section 4: affinity
   with a load threshold.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from mulleinreach.common import rendezvous_rank
from mulleinreach.routing.replicas import Candidate

SLACK = 0.25


@dataclass(frozen=True)
class Choice:
    """The replica that was chosen, and why."""

    candidate: Candidate
    why: str


class Router:
    """Affinity by key, with a bound on load."""

    def __init__(self, rng: random.Random, slack: float = SLACK):
        self._rng = rng
        self._slack = slack

    def choose(self, candidates: list[Candidate], key: str) -> Choice | None:
        """Return the choice among ``candidates``, or ``None`` if there are none.

        Parameters
        ==========

        key : what should stay together; empty for no preference.
        """
        if not candidates:
            return None
        least = self._least_loaded(candidates)
        if not key:
            return Choice(least, f"least loaded of {len(candidates)} ({least.load:.0f})")
        by_name = {c.replica: c for c in candidates}
        preferred = by_name[rendezvous_rank(key, by_name)[0]]
        bound = least.load + self._slack * preferred.slots
        if preferred.load <= bound:
            why = f"preferred for its prefix (load {preferred.load:.0f}, bound {bound:.1f})"
            return Choice(preferred, why)
        why = (
            f"{preferred.replica} is preferred but over the bound"
            f" ({preferred.load:.0f} > {bound:.1f}); least loaded ({least.load:.0f})"
        )
        return Choice(least, why)

    def _least_loaded(self, candidates: list[Candidate]) -> Candidate:
        """Return the least loaded by share of slots; a tie is broken at random."""
        lowest = min(c.load / c.slots for c in candidates)
        tied = [c for c in candidates if c.load / c.slots == lowest]
        return tied[0] if len(tied) == 1 else self._rng.choice(tied)
