"""Upstreams that named a limit must have got no more from gateways that had told it."""

from __future__ import annotations

from mulleinreach.platform.tests.soak.callers import Callers, SentRequest
from mulleinreach.platform.tests.soak.notices import Limited
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

# What the deployment's rules allow: contact_ms, the window, what goes beyond the limit in it, and
# how long before a request its gateway must have passed the limit on.
CONTACT_S = 3.0
WINDOW_S = 4.0
OVERAGE, SLACK = 1.5, 5
TOLD_S = 0.5
UNKNOWN = SentRequest(0.0, "")


class LimitChecks:
    """Checks that limits which upstreams named were heeded by all gateways together."""

    def __init__(self, world: SoakWorld, callers: Callers, report: SoakReport):
        self._world = world
        self._callers = callers
        self._report = report

    def check(self) -> None:
        """Check the whole soak; what is broken goes into the report."""
        for limit in self._world.notices.limited:
            self._check_limit(limit)

    def _check_limit(self, limit: Limited) -> None:
        """LIMIT: within any window come no more than the limit allows, and a few.

        Excused are gateways that were started, frozen or cut off since they passed it on.
        """
        came = sorted(
            arrival.at
            for arrival in self._world.notices.arrivals
            if arrival.upstream_id == limit.upstream_id
            and limit.since + CONTACT_S <= arrival.at < limit.until
            and self._counts(limit, arrival.request_id, arrival.at)
        )
        allowed = OVERAGE * limit.per_s * WINDOW_S + SLACK
        most = max((sum(at <= a < at + WINDOW_S for a in came) for at in came), default=0)
        if most > allowed:
            self._report.broken.append(
                f"{limit.upstream_id} named a limit of {limit.per_s:.2f} a second and got"
                f" {most} requests in {WINDOW_S:g} s"
            )

    def _counts(self, limit: Limited, request_id: str, at: float) -> bool:
        """Whether a request came from a gateway that knew of the limit."""
        gateway = self._callers.sent.get(request_id, UNKNOWN).gateway
        told_at = [
            told.at
            for told in self._callers.told_limits
            if told.gateway == gateway
            and told.upstream_id == limit.upstream_id
            and limit.since <= told.at <= at - TOLD_S
        ]
        return bool(told_at) and not self._world.is_out_of_touch(gateway, told_at[0], at)
