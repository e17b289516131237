"""How long a node waits before it asks for the lease of the coordinator.

Explanation
===========

A coordinator decodes the reports of all nodes, and answers each. A report takes some
hundred bytes, an answer with the loads of all heads about a thousand, and with many
nodes both go five times a second: 40 kbit a second for each node, 4 Mbit for a hundred.
That is a tenth of a link of 40 Mbit/s, which carries the requests of callers as well; a
narrower link is better left to callers.
"""

from __future__ import annotations

import random

from mulleinreach.gateway.deployment import GatewayIdentity
from mulleinreach.gateway.known.turns import AMPLE_CORES

# Nodes that notice together that the lease is free must not all write in the same moment.
MAX_ELECTION_JITTER_S = 0.06
# With a hundred nodes, the coordinator's answers take a tenth of such a link.
AMPLE_LINK_MBPS = 40.0
# Three times the random delay, so that the best nodes have written by then; callers wait for
# the repair of lost groups meanwhile, so no longer.
MAX_RESOURCE_DELAY_S = 0.2


def election_delay_s(identity: GatewayIdentity, rng: random.Random) -> float:
    """Return for how long a node waits before it asks: a random time, and by what it lacks."""
    own_s = resource_delay_s(identity.processor_cores, identity.link_mbps)
    return rng.uniform(0, MAX_ELECTION_JITTER_S) + own_s


def resource_delay_s(processor_cores: float, link_mbps: float) -> float:
    """Return for how long a node leaves it to better ones to become coordinator.

    What it lacks most decides: a coordinator is as quick as the scarcer of both.

    Examples
    ========

    >>> resource_delay_s(2.0, 100.0)
    0.0
    >>> resource_delay_s(0.5, 100.0)
    0.1
    >>> resource_delay_s(2.0, 20.0), resource_delay_s(0.5, 20.0)
    (0.1, 0.1)
    """
    scarcest = min(processor_cores / AMPLE_CORES, link_mbps / AMPLE_LINK_MBPS)
    return MAX_RESOURCE_DELAY_S * max(0.0, 1.0 - scarcest)
