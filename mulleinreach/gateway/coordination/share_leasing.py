"""Leases shares of bounds on all nodes together to the nodes that report to a coordinator."""

from __future__ import annotations

import asyncio
from dataclasses import asdict

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.lease import CoordinatorLease
from mulleinreach.gateway.coordination.reports import NodeReport
from mulleinreach.gateway.coordination.share_ledger import ShareDivision, ShareLedger
from mulleinreach.gateway.model import ShareStatement
from mulleinreach.gateway.state.leased_share import ShareLease


class ShareLeasing:
    """The coordinator's ledger of shares, one for each of its terms.

    Parameters
    ==========

    window_s : length of the windows that the bounds concern.
    """

    def __init__(self, lease: CoordinatorLease, window_s: float, clock: Clock, log: EventLog):
        self._lease = lease
        self._window_s = window_s
        self._clock = clock
        self._log = log
        self._logged: ShareDivision | None = None
        # Set when a node needs more than what is stated with the lease.
        self.statement_needed = asyncio.Event()
        self.begin_term()

    def begin_term(self) -> None:
        """Begin anew, with what the lease's row states of earlier coordinators."""
        record = self._lease.record
        inherited = record.inheritance.shares if record else None
        self._ledger = ShareLedger(self._clock.now(), self._window_s, self._lease.token, inherited)

    def propose(self) -> ShareStatement:
        """Return what to state with the lease before more is leased."""
        return self._ledger.propose(self._clock.now())

    def confirm(self, statement: ShareStatement | None) -> None:
        """Record which statement stands in the lease's row."""
        self._ledger.confirm(statement)

    def lease(self, reports: list[NodeReport]) -> dict[int, ShareLease]:
        """Return the share of each node by its incarnation; none unless the lease is held."""
        if not self._lease.is_held():
            return {}
        now = self._clock.now()
        held = {report.incarnation: report.held_share for report in reports}
        leased = self._ledger.lease(held, now)
        self._log_division(self._ledger.division(leased, now).rounded())
        if self._ledger.needs_statement(now):
            self.statement_needed.set()
        return leased

    def note_end(self, report: NodeReport) -> None:
        """Take the share of a node back that is about to end, if it has released it.

        Its connection ends before shares are leased again.
        """
        if report.held_share.is_released:
            self._ledger.release(report.incarnation, report.held_share, self._clock.now())

    def _log_division(self, division: ShareDivision) -> None:
        """Log how the bounds are divided, if that has changed."""
        if division == self._logged:
            return
        self._logged = division
        self._log.event("shares_divided", token=self._lease.token, **asdict(division))
