"""How a node shares its machine's memory and descriptors among its duties."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common.loop import ACCEPT_BATCH

# The program itself, what it knows of its deployment, and its connections.
PROCESS_MB = 96.0
CALLERS_MEMORY_RATIO = 0.4
ANSWERS_MEMORY_RATIO = 0.25
MIN_CALLERS_MB = 16.0
MIN_ANSWERS_MB = 16.0
MAX_ANSWERS_MB = 64.0
# Connections that are accepted before the first of them can be closed: it takes some turns of the
# event loop.
ACCEPTED_DESCRIPTORS = 4 * ACCEPT_BATCH
# For files, the store, other nodes, their tunnels, readiness probes and metrics.
MAX_CONTROL_DESCRIPTORS = 500
CONTROL_RATIO = 0.25
# Of the rest; each caller's request may need a connection to an upstream.
CALLERS_DESCRIPTOR_RATIO = 0.5


@dataclass(frozen=True)
class ResourceShares:
    """The parts of a machine's resources that a node gives to its duties.

    Parameters
    ==========

    callers_bytes : memory for requests of callers and for answers that they haven't taken.
    answers_bytes : memory for answers of upstreams that are being read.
    caller_connections : connections of callers.
    """

    callers_bytes: int
    answers_bytes: int
    caller_connections: int


def share_resources(memory_mb: float, max_descriptors: int) -> ResourceShares:
    """Return a node's shares of its machine.

    Examples
    ========

    >>> shares = share_resources(300, 4100)
    >>> shares.callers_bytes, shares.answers_bytes
    (85563801, 53477376)
    >>> shares.caller_connections
    1768
    """
    spare_mb = memory_mb - PROCESS_MB
    callers_mb = max(MIN_CALLERS_MB, spare_mb * CALLERS_MEMORY_RATIO)
    answers_mb = min(MAX_ANSWERS_MB, max(MIN_ANSWERS_MB, spare_mb * ANSWERS_MEMORY_RATIO))
    control = min(MAX_CONTROL_DESCRIPTORS, int(max_descriptors * CONTROL_RATIO))
    return ResourceShares(
        callers_bytes=int(callers_mb * 2**20),
        answers_bytes=int(answers_mb * 2**20),
        caller_connections=int(
            (max_descriptors - ACCEPTED_DESCRIPTORS - control) * CALLERS_DESCRIPTOR_RATIO
        ),
    )
