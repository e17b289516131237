"""What upstreams said of themselves must have been heeded."""

from __future__ import annotations

from mulleinreach.platform.tests.soak.callers import Callers, SentRequest
from mulleinreach.platform.tests.soak.notices import Arrival, Rest
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

# What the deployment's rules allow: drain_ms, what was on its way when a rest began, and how
# many requests may come within it.
DRAIN_S = 2.0
ON_ITS_WAY_S = 0.5
MOST_IN_A_REST = 2
# A refusal whose connection was reset about then may have reached nobody.
RESET_S = 0.2
UNKNOWN = SentRequest(0.0, "")


class NoticeChecks:
    """Checks that what upstreams said of themselves was heeded."""

    def __init__(self, world: SoakWorld, callers: Callers, report: SoakReport):
        self._world = world
        self._callers = callers
        self._report = report

    def check(self) -> None:
        """Check the whole soak; what is broken goes into the report."""
        for rest in self._world.notices.rests:
            self._check_rest(rest)
        for arrival in self._world.notices.arrivals:
            self._check_leaving(arrival)

    def _sent(self, request_id: str) -> SentRequest:
        return self._callers.sent.get(request_id, UNKNOWN)

    def _check_rest(self, rest: Rest) -> None:
        """BUDGET: no more than two requests of a gateway come within a rest.

        Excused are gateways that were started or frozen meanwhile, and a refusal whose
        connection was reset.
        """
        gateway = self._sent(rest.request_id).gateway
        ends_at = rest.at + rest.rest_s
        came = [
            a.at
            for a in self._world.notices.arrivals
            if a.upstream_id == rest.upstream_id
            and rest.at + ON_ITS_WAY_S < a.at < ends_at
            and self._sent(a.request_id).gateway == gateway
        ]
        if len(came) <= MOST_IN_A_REST or self._world.is_out_of_touch(gateway, rest.at, ends_at):
            return
        if self._was_reset(rest):
            return
        self._report.broken.append(
            f"{rest.upstream_id} asked {gateway} for {rest.rest_s:.1f} s of rest"
            f" and got {len(came)} requests"
        )

    def _was_reset(self, rest: Rest) -> bool:
        return any(
            upstream_id == rest.upstream_id and abs(at - rest.at) < RESET_S
            for upstream_id, at in self._world.resets
        )

    def _check_leaving(self, arrival: Arrival) -> None:
        """DRAIN: nothing comes that was sent ``drain_ms`` after a gateway passed its word on."""
        sent = self._sent(arrival.request_id)
        for told in self._callers.told_leaving:
            if (told.upstream_id, told.gateway) != (arrival.upstream_id, sent.gateway):
                continue
            if told.upstream_id in self._world.notices.restarted:
                continue
            late_s = sent.at - told.at
            if late_s > DRAIN_S and not self._world.is_out_of_touch(
                sent.gateway, told.at, arrival.at
            ):
                self._report.broken.append(
                    f"{arrival.request_id} reached {arrival.upstream_id} from {sent.gateway}"
                    f" {late_s:.1f} s after it had said that it leaves"
                )
                return
