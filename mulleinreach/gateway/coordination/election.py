"""How long a node waits before it asks for the lease of the coordinator."""

from __future__ import annotations

import random

from mulleinreach.gateway.known.turns import AMPLE_CORES

# Nodes that notice together that the lease is free must not all write in the same moment.
MAX_ELECTION_DELAY_S = 0.06
# A coordinator decodes the reports of all nodes, so a node with ample processor time
# should be the first to ask; it doesn't wait for better ones.
SCARCE_CORES_DELAY_S = 0.2


def election_delay_s(processor_cores: float, rng: random.Random) -> float:
    """Return for how long a node waits before it asks: a random time, and by what it lacks."""
    return rng.uniform(0, MAX_ELECTION_DELAY_S) + scarcity_delay_s(processor_cores)


def scarcity_delay_s(processor_cores: float) -> float:
    """Return for how long a node leaves it to better ones to become coordinator.

    Examples
    ========

    >>> scarcity_delay_s(2.0)
    0.0
    >>> scarcity_delay_s(0.5)
    0.1
    """
    return SCARCE_CORES_DELAY_S * max(0.0, 1.0 - processor_cores / AMPLE_CORES)
