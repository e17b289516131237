"""Upstreams must not be given more time than callers wait."""

from __future__ import annotations

from collections import defaultdict

from mulleinreach.platform.tests.soak.callers import Callers
from mulleinreach.platform.tests.soak.notices import Arrival
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

# How much too long a time may be, and how late a further send counts as one.
TOLERANCE_S = 0.5
# More than so many requests, and than this part of those that can be told, break the rule.
MAX_EXCEPTIONS = 20
MAX_PART = 0.2


class DeadlineChecks:
    """Checks the time that requests announced to upstreams, in touch or not."""

    def __init__(self, world: SoakWorld, callers: Callers, report: SoakReport):
        self._world = world
        self._callers = callers
        self._report = report

    def check(self) -> None:
        """BUDGET: few requests announce none, or more than their caller, or end later again."""
        excessive = told = 0
        for request_id, arrivals in self._by_request().items():
            sent = self._callers.sent[request_id]
            ends_at = sent.at + sent.deadline_s
            first = arrivals[0]
            for arrival in arrivals:
                is_again = arrival.at - first.at > TOLERANCE_S
                is_excessive = _is_excessive(arrival, sent.deadline_s) or (
                    is_again and _ends_late(arrival, first, ends_at)
                )
                excessive += is_excessive
                told += is_excessive or is_again
        self._report.excessive_deadlines = excessive
        if excessive > max(MAX_EXCEPTIONS, MAX_PART * told):
            self._report.broken.append(
                f"{excessive} of {told} sends gave upstreams more time than remained"
            )

    def _by_request(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each request, the first one first."""
        arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in sorted(self._world.arrivals(), key=lambda each: each.at):
            if arrival.request_id in self._callers.sent:
                arrivals[arrival.request_id].append(arrival)
        return arrivals


def _is_excessive(arrival: Arrival, deadline_s: float) -> bool:
    """Whether a request announces no time, or more than its caller waits in all."""
    return arrival.remaining_s is None or arrival.remaining_s > deadline_s + TOLERANCE_S


def _ends_late(arrival: Arrival, first: Arrival, caller_ends_at: float) -> bool:
    """Whether a further send ends after both the first one and the caller's patience."""
    ends_at = arrival.at + (arrival.remaining_s or 0.0)
    first_ends_at = first.at + (first.remaining_s or 0.0)
    return ends_at > max(first_ends_at, caller_ends_at) + TOLERANCE_S
