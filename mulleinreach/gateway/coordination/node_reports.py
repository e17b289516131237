"""Creates this node's reports, and records when each of them was sent."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.coordination.knowledge import Knowledge
from mulleinreach.gateway.coordination.lease import CoordinatorLease
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.deployment import GatewayIdentity
from mulleinreach.gateway.state.load import LoadReport, LoadTracker

# For this time a new coordinator gets all observations and limits, not only new ones.
FULL_REPORT_PERIOD_S = 1.0
# Covers a few seconds of reports, since the coordinator's answers may be delayed.
MAX_KEPT_REPORTS = 40


@dataclass(frozen=True)
class SentReport:
    """A report that was sent to a coordinator.

    Parameters
    ==========

    loads : the load of upstreams in the report.
    """

    seq: int
    sent_at: float
    loads: list[LoadReport]


class OwnReports:
    """This node's reports, with sequence numbers from 1.

    Parameters
    ==========

    identity : this node's name and hall.
    incarnation : a random number that identifies this process.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        lease: CoordinatorLease,
        loads: LoadTracker,
        knowledge: Knowledge,
        clock: Clock,
        incarnation: int,
    ):
        self._identity = identity
        self._incarnation = incarnation
        self._lease = lease
        self._loads = loads
        self._knowledge = knowledge
        self._clock = clock
        self._seq = 0
        self._coordinator_token = lease.token
        self._coordinator_since = float("-inf")
        self._sent: deque[SentReport] = deque(maxlen=MAX_KEPT_REPORTS)
        # Whether this node is stopping, which its reports announce.
        self.is_stopping = False

    def current(self) -> NodeReport:
        """Return the current state with the sequence number of the latest report."""
        is_coordinator_new = self._is_coordinator_new()
        return NodeReport(
            self._identity.name,
            self._loads.own_reports(),
            self.is_stopping,
            self._lease.secret,
            self._seq,
            self._knowledge.list_revision(),
            self._knowledge.configuration_version(),
            hall=self._identity.hall,
            sightings=self._knowledge.sightings(includes_old=is_coordinator_new),
            limits=self._knowledge.unreported_limits(includes_published=is_coordinator_new),
            wanted=self._knowledge.wanted_permits(),
            tunnel_address=self._tunnel_address(),
            served_count=self._knowledge.served_count(),
            known_suspects=self._knowledge.known_suspects(),
            incarnation=self._incarnation,
            held_share=self._knowledge.held_share(),
        )

    def _tunnel_address(self) -> str:
        """Return where this node opens tunnels; empty if it can't, or won't do so for long."""
        if self.is_stopping or not self._knowledge.can_open_tunnels():
            return ""
        return str(self._identity.tunnel_address)

    def _is_coordinator_new(self) -> bool:
        """Whether the coordinator has changed recently and lacks this node's earlier reports."""
        now = self._clock.now()
        if self._coordinator_token != self._lease.token:
            self._coordinator_token, self._coordinator_since = self._lease.token, now
        return now - self._coordinator_since < FULL_REPORT_PERIOD_S

    def next(self) -> NodeReport:
        """Create the next report and record it as sent."""
        self._seq += 1
        report = self.current()
        self._sent.append(SentReport(self._seq, self._clock.now(), report.loads))
        return report

    def find_sent(self, seq: int) -> SentReport | None:
        """Return a sent report by its number; ``None`` if it is no longer recorded."""
        return next((report for report in self._sent if report.seq == seq), None)
