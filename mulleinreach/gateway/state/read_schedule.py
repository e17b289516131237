"""Computes when a node reads the store directly if the coordinator sends no data."""

from __future__ import annotations

import random

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.state.store_reading import DirectReadSchedule

# From the coordinator's last answer to the end of a direct read, with a retry but no extra wait.
MAX_DIRECT_READ_DELAY_S = 2.5
# A node with this many cores can handle the work of a coordinator.
AMPLE_CORES = 1.0
# Fractions of the available extra wait. Nodes with ample cores read first, and may take over.
AMPLE_CORES_RANGE = (0.0, 0.1)
SCARCE_CORES_RANGE = (0.3, 1.0)
# How long a starting node waits for the coordinator's data; longer while there is no traffic yet.
START_WAIT_S = 0.1
FIRST_START_WAIT_S = 2.0


def direct_read_schedule(
    bounds: DeploymentBounds, processor_cores: float, is_first_start: bool, rng: random.Random
) -> DirectReadSchedule:
    """Return the read schedule of a node, random so that nodes don't all read at once."""
    tightest_s = min(bounds.leaving_propagation_s, bounds.config_propagation_s, bounds.evacuation_s)
    slack_s = max(0.0, tightest_s - MAX_DIRECT_READ_DELAY_S)
    fraction_range = AMPLE_CORES_RANGE if processor_cores >= AMPLE_CORES else SCARCE_CORES_RANGE
    start_wait_s = FIRST_START_WAIT_S if is_first_start else START_WAIT_S
    return DirectReadSchedule(start_wait_s, slack_s * rng.uniform(*fraction_range))
