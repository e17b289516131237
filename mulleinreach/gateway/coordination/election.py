"""Delay before a node tries to acquire the coordinator's lease.

Nodes with little processor time or bandwidth wait longer, so that better equipped nodes win.
"""

from __future__ import annotations

import random

from mulleinreach.gateway.deployment import GatewayIdentity
from mulleinreach.gateway.state.read_schedule import AMPLE_CORES

# Spreads the writes of nodes that find the lease free at the same time.
MAX_ELECTION_JITTER_S = 0.06
# Leaves most of the link to requests of callers, also in large deployments.
AMPLE_LINK_MBPS = 40.0
# Exceeds the jitter, so that better equipped nodes write first.
MAX_RESOURCE_DELAY_S = 0.2


def election_delay_s(identity: GatewayIdentity, rng: random.Random) -> float:
    """Return a node's election delay in seconds: jitter plus the delay for its resources."""
    own_s = resource_delay_s(identity.processor_cores, identity.link_mbps)
    return rng.uniform(0, MAX_ELECTION_JITTER_S) + own_s


def resource_delay_s(processor_cores: float, link_mbps: float) -> float:
    """Return the part of the election delay, in seconds, that depends on a node's resources.

    The scarcer of processor cores and link bandwidth determines it.

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
