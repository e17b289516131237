"""Slots of model replicas: waiting for one, holding it during an attempt, and its release."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from mulleinreach.admission import AdmissionQueue, Ticket
from mulleinreach.common import Clock, Code, MulleinreachError
from mulleinreach.requests.call import AttemptHistory, AttemptResult, ModelCall
from mulleinreach.requests.journal import RequestJournal
from mulleinreach.routing import Candidate, ReplicaTable, Router

# How long a request waits for a first replica of its service, which may just be repaired.
MAX_WAIT_S = 2.0
POLL_INTERVAL_S = 0.1
RETRY_AFTER_S = 2.0


@dataclass
class HeldSlot:
    """The result of the attempt that holds a slot; ``None`` if it was cancelled."""

    result: AttemptResult | None = None


class ReplicaSlots:
    """Gives requests slots of replicas, in the order of the admission queue."""

    def __init__(
        self,
        replicas: ReplicaTable,
        router: Router,
        queue: AdmissionQueue,
        journal: RequestJournal,
        clock: Clock,
    ):
        self._replicas = replicas
        self._router = router
        self._queue = queue
        self._journal = journal
        self._clock = clock

    async def enter(self, ticket: Ticket, call: ModelCall, attempts: AttemptHistory) -> Candidate:
        """Wait for a slot; raises :class:`MulleinreachError` if the request gets none."""
        await self._await_candidates(call)
        return await self._queue.enter(
            ticket,
            lambda: self._acquire(call, attempts),
            lambda candidate: self._replicas.note_finished(candidate.replica, failed=False),
        )

    async def _await_candidates(self, call: ModelCall) -> None:
        give_up_at = min(call.deadline, self._clock.now() + MAX_WAIT_S)
        while not self._replicas.candidates(call.service.name):
            if self._clock.now() >= give_up_at:
                message = f"no replica of {call.service.name!r} is available"
                raise MulleinreachError(Code.NO_REPLICA, message, retry_after_s=RETRY_AFTER_S)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _acquire(self, call: ModelCall, attempts: AttemptHistory) -> Candidate | None:
        """Choose a replica with capacity and count the request; ``None`` if none has."""
        usable = self._replicas.candidates(call.service.name)
        untried = [c for c in usable if c.replica not in attempts.failed_replicas]
        choice = self._router.choose(untried or usable, call.affinity)
        if choice is None:
            return None
        self._replicas.note_sent(choice.candidate.replica)
        candidate = choice.candidate
        self._journal.note(
            call.trace,
            f"attempt {attempts.count} to {candidate.replica} "
            f"(epoch {candidate.epoch}): {choice.why}",
        )
        return candidate

    @contextlib.contextmanager
    def hold(self, call: ModelCall, candidate: Candidate) -> Iterator[HeldSlot]:
        """Release the acquired slot when the attempt ends, whatever its result."""
        slot = HeldSlot()
        try:
            yield slot
        finally:
            failed = slot.result is not None and slot.result.is_failure
            self._replicas.note_finished(candidate.replica, failed)
            self._queue.admit_waiting(call.service.name)
