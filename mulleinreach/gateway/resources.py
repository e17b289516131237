"""How a node shares its machine's memory among its duties."""

from __future__ import annotations

from dataclasses import dataclass

# The program itself, what it knows of its deployment, and its connections.
PROCESS_MB = 96.0
CALLERS_MEMORY_RATIO = 0.5
MIN_CALLERS_MB = 16.0


@dataclass(frozen=True)
class ResourceShares:
    """The parts of a machine's resources that a node gives to its duties.

    Parameters
    ==========

    callers_bytes : memory for requests of callers and for answers that they haven't taken.
    """

    callers_bytes: int


def share_resources(memory_mb: float) -> ResourceShares:
    """Return a node's shares of its machine.

    Examples
    ========

    >>> shares = share_resources(300)
    >>> shares.callers_bytes
    106954752
    """
    spare_mb = memory_mb - PROCESS_MB
    callers_mb = max(MIN_CALLERS_MB, spare_mb * CALLERS_MEMORY_RATIO)
    return ResourceShares(
        callers_bytes=int(callers_mb * 2**20),
    )
