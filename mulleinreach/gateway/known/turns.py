"""When a node reads for itself what the coordinator should pass on."""

from __future__ import annotations

import random

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.known.reading import DirectReadSchedule

# By so long after its coordinator's last answer from the store, a node that reads for
# itself without a turn of its own has heard of what changed: 1.5 s until the evidence is too
# old, the read, and half a second for one that has to be repeated.
MAX_DIRECT_READ_DELAY_S = 2.5
# A node with this much processor time bears a coordinator's work.
AMPLE_CORES = 1.0
# Whoever reads first replaces a coordinator that the store turns away. On a machine with half
# a core, a coordinator of 195 nodes lost its lease five times in half a minute; so nodes with
# much processor time use the first part of the time that there is, and others the last ones.
AMPLE_CORES_RANGE = (0.0, 0.1)
SCARCE_CORES_RANGE = (0.3, 1.0)
# How long a node that starts waits for a coordinator that passes on what it needs. One
# that is there answers within 0.02 s; at the first start of all there is time, and each
# of 195 nodes spares four calls.
START_WAIT_S = 0.1
FIRST_START_WAIT_S = 2.0


def direct_read_schedule(
    bounds: DeploymentBounds, processor_cores: float, is_first_start: bool, rng: random.Random
) -> DirectReadSchedule:
    """Return the turn of a node; nodes that miss the coordinator don't all ask at once."""
    tightest_s = min(bounds.leaving_propagation_s, bounds.config_propagation_s, bounds.evacuation_s)
    slack_s = max(0.0, tightest_s - MAX_DIRECT_READ_DELAY_S)
    fraction_range = AMPLE_CORES_RANGE if processor_cores >= AMPLE_CORES else SCARCE_CORES_RANGE
    start_wait_s = FIRST_START_WAIT_S if is_first_start else START_WAIT_S
    return DirectReadSchedule(start_wait_s, slack_s * rng.uniform(*fraction_range))
