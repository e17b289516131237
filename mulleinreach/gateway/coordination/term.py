"""A coordinator's term: renews the lease, resigns, and steps down for a successor.

Explanation
===========

A coordinator that can't renew its lease gives no more orders, but keeps exchanging reports with
the other nodes. It announces its resignation in them, and continues once it has renewed the lease
or until a node that can reach the store replaces it. A coordinator that can't connect to any host,
unlike another node, resigns as well: it could give no orders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.hub import MemberHub
from mulleinreach.gateway.coordination.knowledge import Knowledge
from mulleinreach.gateway.coordination.lease import (
    RENEW_INTERVAL_S,
    CoordinatorLease,
    RenewalOutcome,
    Resignation,
    Successor,
)
from mulleinreach.gateway.coordination.node_reports import OwnReports

# Delay until the next renewal after one whose outcome is unknown.
UNKNOWN_OUTCOME_RETRY_S = 0.15
# Shortest delay, if a node needs more than what is stated with the lease.
MIN_RENEW_INTERVAL_S = 0.1
# Delay until the next renewal after a successful one.
RENEW_PAUSES_S = {
    RenewalOutcome.RENEWED: RENEW_INTERVAL_S,
    RenewalOutcome.RENEWED_ROWS_CHANGED: RENEW_INTERVAL_S,
    # Shorter, since the lease already runs from the earlier write.
    RenewalOutcome.RENEWED_BY_EARLIER_WRITE: 0.3,
}
# Interval between attempts to reacquire an expired lease.
REACQUIRE_INTERVAL_S = 0.5
# Hosts that crash one after the other refuse connections for shorter.
HANDOVER_AFTER_S = 1.5
# Long enough for at least two reports to each connected node.
SUCCESSOR_NOTICE_S = 0.5


class CoordinatorTerm:
    """Runs this node as coordinator from acquiring the lease until another node holds it.

    Parameters
    ==========

    hub : serves the connections of the other nodes.
    own_reports : provides whether this node is stopping.
    coordinate : runs while the lease is held; cancelled when the lease is lost.
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
        """Coordinate until another node holds the lease, or this node stops.

        Returns whether this node stepped down for a known successor, which it can follow directly.
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
            # A refused connection lets other nodes acquire the lease at once.
            self._hub.stop_listening()
        self._hub.close_connections()

    async def _coordinate_while_held(self, reporting: asyncio.Task) -> bool:
        """Run the coordinator's duty and renew the lease until it is lost or this node stops.

        Returns whether to resign, and to try to reacquire the lease: it has expired, another node
        is to replace this one, or the store is unavailable while this node stops.
        """
        duty = asyncio.create_task(self._coordinate())
        fenced = asyncio.create_task(self._lease.fenced.wait())
        pause_s, renewal = RENEW_INTERVAL_S, RenewalOutcome.RENEWED
        try:
            while not self._own_reports.is_stopping:
                done = await self._wait_for_renewal({duty, reporting, fenced}, pause_s)
                if fenced in done:
                    return False
                if done:
                    self._log.event("duty_failed", why=repr(done.pop().exception()))
                    return False
                renewal = await self._renew()
                if renewal is RenewalOutcome.LOST:
                    return False
                if not self._lease.is_held() or self._should_hand_over():
                    return True
                pause_s = RENEW_PAUSES_S.get(renewal, UNKNOWN_OUTCOME_RETRY_S)
            # A stopping node hands over the lease, unless the store is unavailable.
            return renewal is RenewalOutcome.UNKNOWN
        finally:
            duty.cancel()
            fenced.cancel()
            await asyncio.gather(duty, fenced, return_exceptions=True)

    async def _wait_for_renewal(self, ends: set[asyncio.Task], pause_s: float) -> set[asyncio.Task]:
        """Wait until the lease is to be renewed; returns which tasks have ended before.

        Shares that a node needs are leased once a renewal has stated them.
        """
        self._hub.shares.statement_needed.clear()
        done, _ = await asyncio.wait(
            ends, timeout=MIN_RENEW_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
        )
        if done:
            return done
        needed = asyncio.create_task(self._hub.shares.statement_needed.wait())
        try:
            done, _ = await asyncio.wait(
                {*ends, needed},
                timeout=pause_s - MIN_RENEW_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            needed.cancel()
        return done - {needed}

    def _should_hand_over(self) -> bool:
        """Whether another node can connect to hosts and this one can't for a while."""
        is_isolated = self._knowledge.isolated_s() > HANDOVER_AFTER_S
        return is_isolated and self._hub.has_member_reaching_hosts()

    async def _renew(self) -> RenewalOutcome:
        """Renew the lease; the same write verifies that the operators' rows are unchanged."""
        rows = self._knowledge.operator_rows()
        asked_at = self._clock.now()
        shares = self._hub.shares.propose()
        inheritance = replace(self._knowledge.inheritance(), shares=shares)
        renewal = await self._lease.renew(rows, inheritance)
        if renewal in RENEW_PAUSES_S:
            self._hub.shares.confirm(self._lease.record.inheritance.shares)
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
        """Resign, and retry until the lease is held again; returns whether it is.

        A stopping node keeps serving the others meanwhile: no other node can replace it while the
        store is unavailable.
        """
        self._lease.relinquish()
        self._log.event("lease_lapsed", token=self._lease.token)
        while not reporting.done():
            if self._hub.successor is not None:
                await self._step_down(self._hub.successor)
                return False
            self._hub.resignation = Resignation(self._lease.token, self._lease.record.renewal)
            if self._should_hand_over():
                await asyncio.sleep(REACQUIRE_INTERVAL_S)
                continue
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
        """Announce the successor to the connected nodes, then adopt it."""
        self._log.event("coordinator_replaced", token=successor.token, by=successor.address)
        await asyncio.sleep(SUCCESSOR_NOTICE_S)
        self._lease.adopt(successor)
        self._stepped_down = True
