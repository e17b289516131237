"""What this node reports of itself, and when it sent each report."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.coordination.lease import CoordinatorLease
from mulleinreach.gateway.coordination.passed_on import Knowledge
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.deployment import GatewayIdentity
from mulleinreach.gateway.known.load import LoadReport, LoadTracker

# For so long a new coordinator is told all that this node saw of upstreams that ended.
FULL_REPORT_PERIOD_S = 1.0
# A coordinator's answer may be late, but it names a report of the latest seconds.
MAX_KEPT_REPORTS = 40


@dataclass(frozen=True)
class SentReport:
    """A report that was sent to a coordinator.

    Parameters
    ==========

    sent_at : when it was sent.
    loads : what it told of the load of upstreams.
    """

    seq: int
    sent_at: float
    loads: list[LoadReport]


class OwnReports:
    """The reports of this node, numbered from 1.

    Parameters
    ==========

    identity : who this node is, and where it stands.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        lease: CoordinatorLease,
        loads: LoadTracker,
        knowledge: Knowledge,
        clock: Clock,
    ):
        self._identity = identity
        self._lease = lease
        self._loads = loads
        self._knowledge = knowledge
        self._clock = clock
        self._seq = 0
        self._coordinator_token = lease.token
        self._coordinator_since = float("-inf")
        self._sent: deque[SentReport] = deque(maxlen=MAX_KEPT_REPORTS)
        # Whether this node is about to end; its reports tell it from then on.
        self.is_stopping = False

    def current(self) -> NodeReport:
        """Return how things stand now, under the number of the latest report."""
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
            limits=self._knowledge.unreported_limits(includes_told=is_coordinator_new),
            wanted=self._knowledge.wanted_permits(),
        )

    def _is_coordinator_new(self) -> bool:
        """Whether the coordinator is a new one, which has not heard what this node told before."""
        now = self._clock.now()
        if self._coordinator_token != self._lease.token:
            self._coordinator_token, self._coordinator_since = self._lease.token, now
        return now - self._coordinator_since < FULL_REPORT_PERIOD_S

    def next(self) -> NodeReport:
        """Return the next report, which is about to be sent."""
        self._seq += 1
        report = self.current()
        self._sent.append(SentReport(self._seq, self._clock.now(), report.loads))
        return report

    def find_sent(self, seq: int) -> SentReport | None:
        """Return a report that was find_sent, ``None`` if it is none of the latest ones."""
        return next((report for report in self._sent if report.seq == seq), None)
