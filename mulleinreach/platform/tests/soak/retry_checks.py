"""Arrivals beyond the first of each request must stay within a service's budget."""

from __future__ import annotations

from collections import defaultdict

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.request.tests.retry_bound import RetryRecord
from mulleinreach.platform.tests.soak.callers import Callers
from mulleinreach.platform.tests.soak.processes import RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

BOUNDS = DeploymentBounds(
    retry_ratio=RETRY_RATIO, retry_slack=RETRY_SLACK, retry_window_s=RETRY_WINDOW_S
)


class RetryChecks:
    """Checks what upstreams have read of all gateways' retries together, in touch or not."""

    def __init__(self, world: SoakWorld, callers: Callers, report: SoakReport):
        self._world = world
        self._callers = callers
        self._report = report

    def check(self) -> None:
        """BUDGET: in any window come no more retries than the bound allows."""
        for service, record in self._records().items():
            excess = record.max_excess(BOUNDS)
            most = record.most_retries(BOUNDS.retry_window_s)
            self._report.most_retries[service] = most
            self._report.retry_bound_used[service] = round(record.max_use(BOUNDS), 3)
            if excess > 0:
                self._report.broken.append(
                    f"{service} got {most} retries in {RETRY_WINDOW_S:g} s,"
                    f" {excess:.0f} above the bound"
                )

    def _records(self) -> dict[str, RetryRecord]:
        """Return the requests for each service, and the arrivals beyond their first."""
        records: dict[str, RetryRecord] = defaultdict(RetryRecord)
        for sent in self._callers.sent.values():
            records[sent.service].requests_at.append(sent.at)
        arrived = set()
        for arrival in sorted(self._world.arrivals(), key=lambda each: each.at):
            sent = self._callers.sent.get(arrival.request_id)
            if sent is not None and arrival.request_id in arrived:
                records[sent.service].retries_at.append(arrival.at)
            arrived.add(arrival.request_id)
        return records
