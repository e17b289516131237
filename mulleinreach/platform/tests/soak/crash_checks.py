"""Requests that crash replicas must be kept from them once they have crashed a few."""

from __future__ import annotations

from mulleinreach.platform.tests.soak.callers import Callers
from mulleinreach.platform.tests.soak.notices import Arrival
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

# What the deployment's rules allow: so many arrivals later than so long after a number of crashes.
KNOWN_CRASHES = 3
KNOWN_CRASHES_BY_PART = 5
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3


class CrashChecks:
    """Checks where the requests that crash replicas arrived, and when."""

    def __init__(self, world: SoakWorld, callers: Callers, report: SoakReport):
        self._world = world
        self._callers = callers
        self._report = report

    def check(self) -> None:
        """BUDGET: after some crashes few of the requests that cause them reach replicas.

        Where a part of a prompt causes them, requests from gateways out of touch don't count.
        """
        self._check_late(self._callers.fatal, KNOWN_CRASHES)
        self._check_late(self._from_gateways_in_touch(), KNOWN_CRASHES_BY_PART)

    def _from_gateways_in_touch(self) -> set[str]:
        """Return the requests with the part that gateways in touch have sent on."""
        return {
            arrival.request_id
            for arrival in self._world.arrivals()
            if arrival.request_id in self._callers.fatal_by_part and self._is_from_in_touch(arrival)
        }

    def _is_from_in_touch(self, arrival: Arrival) -> bool:
        gateway = self._callers.sent[arrival.request_id].gateway
        return self._world.is_in_touch(gateway, arrival.at, CONTACT_S)

    def _check_late(self, fatal: set[str], known_crashes: int) -> None:
        crashes = sorted(self._world.domain_crashes)
        if len(crashes) < known_crashes:
            return
        known_at = crashes[known_crashes - 1] + CONTACT_S
        late = sum(
            arrival.at > known_at and arrival.request_id in fatal
            for arrival in self._world.arrivals()
        )
        self._report.late_fatal = max(self._report.late_fatal, late)
        if late > MAX_LATE_ARRIVALS:
            self._report.broken.append(
                f"requests that had crashed {len(crashes)} replicas arrived {late} times"
                f" over {CONTACT_S:g} s after the crash {known_crashes}"
            )
