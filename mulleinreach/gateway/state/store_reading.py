"""When a node reads the store directly, and how long its long polls last."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import EventLog

# Long poll of a node that reads only for itself. Its data can be as old as two polls.
FOLLOWER_WAIT_S = 0.45
# Long poll of the node that reads for all. Bounds how long a dead connection goes undetected.
# Changes end the poll at once, and renewals of the lease prove in between that there were none.
READER_WAIT_S = 2.0
# After a failure, a short poll tests whether the source answers at all.
PROBE_WAIT_S = 0.01
# How often a node checks whether it has to read.
CHECK_INTERVAL_S = 0.1
START_CHECK_INTERVAL_S = 0.02
# Older evidence shows that the coordinator doesn't read the store any more. Otherwise its age is at
# most a renewal of the lease (0.7 s), 0.1 s more for the list, and two reports (0.2 s each).
MAX_EVIDENCE_AGE_S = 1.5


class SourceState:
    """Whether a source answers; logs when it is lost and when it is regained.

    Parameters
    ==========

    name : the name of the source in the log.
    is_reader : whether this node reads the store for the others.
    """

    def __init__(self, name: str, log: EventLog, is_reader: Callable[[], bool]):
        self._name = name
        self._log = log
        self._is_reader = is_reader
        self.is_lost = False

    def wait_s(self) -> float:
        """Return how long the next read may wait for a change."""
        if self.is_lost:
            return PROBE_WAIT_S
        return READER_WAIT_S if self._is_reader() else FOLLOWER_WAIT_S

    def record_failure(self, reason: str) -> None:
        """Record a failed read."""
        if not self.is_lost:
            self._log.event("dependency_lost", dependency=self._name, why=reason)
        self.is_lost = True

    def record_answer(self) -> None:
        """Record a successful read."""
        if self.is_lost:
            self._log.event("dependency_regained", dependency=self._name)
        self.is_lost = False


@dataclass(frozen=True)
class DirectReadSchedule:
    """When a node reads the store directly, because the coordinator didn't send the data.

    Parameters
    ==========

    start_wait_s : how long a starting node waits for the coordinator.
    extra_s : the time beyond :data:`MAX_EVIDENCE_AGE_S` before this node reads.
    """

    start_wait_s: float = 0.1
    extra_s: float = 0.0

    def is_due(self, evidence_age_s: float) -> bool:
        """Whether evidence of this age requires a direct read."""
        return evidence_age_s > MAX_EVIDENCE_AGE_S + self.extra_s


async def wait_for_coordinator(
    was_read: asyncio.Event, schedule: DirectReadSchedule, is_reader: Callable[[], bool]
) -> None:
    """Wait at start for the coordinator to send what this node would otherwise read."""
    loop = asyncio.get_running_loop()
    until = loop.time() + schedule.start_wait_s
    while loop.time() < until and not is_reader() and not was_read.is_set():
        await wait_for(was_read, START_CHECK_INTERVAL_S)


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, at most until a timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
