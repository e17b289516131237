"""When a node reads the store itself, and for how long it waits there for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import EventLog

# How long a node waits for a change that reads for itself alone: what it knows is as old
# as its last wait, and the one before.
FOLLOWER_WAIT_S = 0.45
# How long the node waits that reads for all. Changes end a wait at once, and renewals of
# the lease prove in between that there was none, so this bounds only for how long a
# connection that has fallen silent goes unnoticed. Two waits of 0.45 s were 4.4 calls a
# second for ever, three quarters of all calls of a calm minute.
READER_WAIT_S = 2.0
# After a failure the first question is whether the source answers at all.
PROBE_WAIT_S = 0.01
# How often a node looks whether it has to read: often enough beside the 1.5 s below, and at
# its start beside the 0.1 s that it waits for the coordinator.
CHECK_INTERVAL_S = 0.1
START_CHECK_INTERVAL_S = 0.02
# A coordinator's evidence is as old as its last renewal of the lease (0.7 s), the list's
# 0.1 s older, and both are older by two reports on their way (0.2 s each). Older evidence shows
# that it reads no more; where the bounds are tightest, a node has to read itself before two
# seconds are over.
MAX_EVIDENCE_AGE_S = 1.5


class SourceState:
    """Logs when a source is lost and when it answers again.

    Parameters
    ==========

    is_reader : whether this node reads for the others.
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
        """Note a failed read."""
        if not self.is_lost:
            self._log.event("dependency_lost", dependency=self._name, why=reason)
        self.is_lost = True

    def record_answer(self) -> None:
        """Note a read that worked."""
        if self.is_lost:
            self._log.event("dependency_regained", dependency=self._name)
        self.is_lost = False


@dataclass(frozen=True)
class DirectReadSchedule:
    """When a node reads itself what the coordinator should pass on.

    Parameters
    ==========

    start_wait_s : how long a node that knows nothing yet waits for the coordinator.
    extra_s : how much longer than :data:`MAX_EVIDENCE_AGE_S` this node waits for evidence.
    """

    start_wait_s: float = 0.1
    extra_s: float = 0.0

    def is_due(self, evidence_age_s: float) -> bool:
        """Whether evidence of an age is too old."""
        return evidence_age_s > MAX_EVIDENCE_AGE_S + self.extra_s


async def wait_for_coordinator(
    was_read: asyncio.Event, turn: DirectReadSchedule, is_reader: Callable[[], bool]
) -> None:
    """Give the coordinator time to pass on what this node would read at its start."""
    loop = asyncio.get_running_loop()
    until = loop.time() + turn.start_wait_s
    while loop.time() < until and not is_reader() and not was_read.is_set():
        await wait_for(was_read, START_CHECK_INTERVAL_S)


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, or until the time is over."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
