"""A term of the coordinator: renews the lease, resigns, and gives way to a successor.

Explanation
===========

A coordinator that can't renew its lease gives no more orders, but stays the place
where nodes meet: it resigns in its reports, goes on once it can renew the same row,
and is replaced by a node that can read the store itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.hub import MemberHub
from mulleinreach.gateway.coordination.lease import (
    RENEW_INTERVAL_S,
    CoordinatorLease,
    RenewalOutcome,
    Resignation,
    Successor,
)
from mulleinreach.gateway.coordination.own_report import OwnReports
from mulleinreach.gateway.coordination.passed_on import Knowledge

# Seconds until the next renewal after one whose outcome isn't known.
UNKNOWN_OUTCOME_RETRY_S = 0.15
# Seconds until the next renewal after one that was done.
RENEW_PAUSES_S = {
    RenewalOutcome.RENEWED: RENEW_INTERVAL_S,
    RenewalOutcome.RENEWED_ROWS_CHANGED: RENEW_INTERVAL_S,
    # The next answer may be lost too, and the lease counts from the earlier write.
    RenewalOutcome.RENEWED_BY_EARLIER_WRITE: 0.3,
}
# Without the lease there is no hurry but to find out that the store is back.
REACQUIRE_INTERVAL_S = 0.5
# For so long a replaced coordinator tells its nodes who has replaced it: two reports at
# least reach a node that is connected.
SUCCESSOR_NOTICE_S = 0.5


class CoordinatorTerm:
    """What this node does from taking the lease until another one holds it.

    Parameters
    ==========

    hub : where the other nodes meet.
    own_reports : tells whether this node is stopping.
    coordinate : runs for as long as the lease is held; cancelled when it is lost.
    """

    def __init__(
        self,
        lease: CoordinatorLease,
        hub: MemberHub,
        own_reports: OwnReports,
        knowledge: Knowledge,
        coordinate: Callable[[], Awaitable[None]],
        clock: Clock,
        log: EventLog,
    ):
        self._lease = lease
        self._hub = hub
        self._own_reports = own_reports
        self._knowledge = knowledge
        self._coordinate = coordinate
        self._clock = clock
        self._log = log
        self._stepped_down = False

    async def serve(self) -> bool:
        """Coordinate until somebody else holds the lease, or this node stops.

        Returns whether it gave way to a successor, which this node can follow at once.
        """
        self._stepped_down = False
        self._hub.resignation = None
        self._hub.successor = None
        self._hub.is_open = True
        reporting = asyncio.create_task(self._hub.report_to_members())
        try:
            while await self._coordinate_while_held(reporting):
                if not await self._reacquire(reporting):
                    break
        finally:
            await self._end(reporting)
        return self._stepped_down

    async def _end(self, reporting: asyncio.Task) -> None:
        self._hub.is_open = False
        self._lease.relinquish()
        self._log.event("lease_ended", token=self._lease.token)
        reporting.cancel()
        await asyncio.gather(reporting, return_exceptions=True)
        if self._own_reports.is_stopping:
            # Others take the lease at once where they find nobody listening.
            self._hub.stop_listening()
        self._hub.close_connections()

    async def _coordinate_while_held(self, reporting: asyncio.Task) -> bool:
        """Do the duty under the lease, and renew it, until the lease or this node ends.

        Returns whether the lease may be taken up again: the store gave no answer, and nobody
        else is known to hold it.
        """
        duty = asyncio.create_task(self._coordinate())
        fenced = asyncio.create_task(self._lease.fenced.wait())
        pause_s, renewal = RENEW_INTERVAL_S, RenewalOutcome.RENEWED
        try:
            while not self._own_reports.is_stopping:
                waits = {duty, reporting, fenced}
                done, _ = await asyncio.wait(
                    waits, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
                )
                if fenced in done:
                    return False
                if done:
                    self._log.event("duty_failed", why=repr(done.pop().exception()))
                    return False
                renewal = await self._renew()
                if renewal is RenewalOutcome.LOST:
                    return False
                if not self._lease.is_held():
                    return True
                pause_s = RENEW_PAUSES_S.get(renewal, UNKNOWN_OUTCOME_RETRY_S)
            # A node that stops hands the lease over, unless nobody can take it.
            return renewal is RenewalOutcome.UNKNOWN
        finally:
            duty.cancel()
            fenced.cancel()
            await asyncio.gather(duty, fenced, return_exceptions=True)

    async def _renew(self) -> RenewalOutcome:
        """Renew the lease, and have the same write prove what is known of the store."""
        rows = self._knowledge.operator_rows()
        asked_at = self._clock.now()
        renewal = await self._lease.renew(rows, self._knowledge.inheritance())
        if renewal is RenewalOutcome.RENEWED:
            self._knowledge.confirm(rows, asked_at)
        elif renewal is RenewalOutcome.RENEWED_ROWS_CHANGED:
            await self._knowledge.read_changed_rows(rows)
        elif renewal is RenewalOutcome.RENEWED_BY_EARLIER_WRITE:
            await self._knowledge.read_unconfirmed_rows()
        elif renewal is RenewalOutcome.UNKNOWN:
            self._knowledge.note_store_failed()
        return renewal

    async def _reacquire(self, reporting: asyncio.Task) -> bool:
        """Resign, and wait until the lease is held again; returns whether it is.

        A node that stops stays the place where the others meet: while nobody can write
        the row, no other one can take its place.
        """
        self._lease.relinquish()
        self._log.event("lease_lapsed", token=self._lease.token)
        while not reporting.done():
            if self._hub.successor is not None:
                await self._step_down(self._hub.successor)
                return False
            self._hub.resignation = Resignation(self._lease.token, self._lease.record.renewal)
            renewal = await self._renew()
            if renewal is RenewalOutcome.LOST:
                return False
            if renewal is not RenewalOutcome.UNKNOWN and self._lease.is_held():
                self._hub.resignation = None
                self._log.event("lease_taken_up_again", token=self._lease.token)
                return True
            await asyncio.sleep(REACQUIRE_INTERVAL_S)
        return False

    async def _step_down(self, successor: Successor) -> None:
        """Tell the nodes that meet here whom to follow, then follow it too."""
        self._log.event("coordinator_replaced", token=successor.token, by=successor.address)
        await asyncio.sleep(SUCCESSOR_NOTICE_S)
        self._lease.adopt(successor)
        self._stepped_down = True
