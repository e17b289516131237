"""What must hold of the runs that hosts and plain upstreams saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from mulleinreach.platform.tests.soak.callers import Callers, SentRequest
from mulleinreach.platform.tests.soak.document import COLD_OVERAGE, COLD_PER_S, COLD_SLACK
from mulleinreach.platform.tests.soak.faults import REVOKE_S
from mulleinreach.platform.tests.soak.processes import EVACUATION_S
from mulleinreach.platform.tests.soak.records import Disturbance, Evacuation
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.gateway.standings import ColdStart

# A gateway counts as in touch once its last disturbance is over for so long.
CONTACT_S = 4.0
# Gateways know a row after so long: the soak's bound on upstreams that leave (drain_ms).
TOLD_S = 2.0
COLD_LIMIT = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
UNKNOWN = SentRequest(0.0, "")


@dataclass(frozen=True)
class Start:
    """A run of a request as it began; ``at`` is the loop's time."""

    request_id: str
    upstream_id: str
    at: float


class RunChecks:
    """Checks the runs of a whole soak, once it is over."""

    def __init__(self, world: SoakWorld, callers: Callers, report: SoakReport):
        self._world = world
        self._callers = callers
        self._report = report

    def check(self) -> None:
        """Check all of it; what is broken goes into the report."""
        self._check_orders()
        for start in self._starts():
            self._check_key(start)
            self._check_evacuation(start)
            self._check_leaving(start)
        self._check_cold_hosts()
        for run in self._world.plain.runs:
            if run.request_id not in self._callers.sent or run.organisation != "soak":
                self._report.broken.append(f"a run that nobody asked for: {run}")

    def _starts(self) -> list[Start]:
        starts = [Start(r.request_id, r.upstream_id, r.started_at) for r in self._world.plain.runs]
        checks = self._world.fabric.checks
        for request_id, times in checks.started_at.items():
            hosts = checks.runs[request_id]
            starts += [Start(request_id, h, at) for h, at in zip(hosts, times, strict=True)]
        return starts

    def _check_orders(self) -> None:
        runs = Counter(run.request_id for run in self._world.plain.runs)
        for request_id in self._callers.orders:
            if runs[request_id] > 1:
                self._report.broken.append(f"{request_id} ran {runs[request_id]} times")
        for request_id in self._callers.not_run & self._callers.orders:
            if runs[request_id]:
                self._report.broken.append(f"{request_id} was told as not run, and ran")

    def _check_key(self, start: Start) -> None:
        """No request runs that was sent long after its key was taken away.

        A request that waited until its key was back, as one does that comes while a
        node starts, is decided by the configuration that then holds the key.
        """
        sent = self._callers.sent.get(start.request_id, UNKNOWN)
        for revocation in self._world.revocations:
            is_late = revocation.since + REVOKE_S < sent.at and start.at < revocation.until
            if revocation.key == sent.key and is_late:
                late_s = sent.at - revocation.since
                self._report.broken.append(
                    f"{start.request_id} ran {late_s:.1f} s after its key went"
                )

    def _check_evacuation(self, start: Start) -> None:
        """EVAC: nothing starts in a hall once the bound since its evacuation is over.

        Excused are requests of a gateway that within the last ``CONTACT_S`` was frozen,
        whose link to the store let nothing through one way or both, or whose store
        refused every call: no gateway can know more then. Not excused, though the
        deployment's rules would excuse some of it: a gateway that was just started,
        that is being ended, whose link is slow or was reset, whose store forgot its
        history or loses answers to writes, and whatever befalls the other gateways.
        """
        gateway = self._callers.sent.get(start.request_id, UNKNOWN).gateway
        hall = self._world.hall_of(start.upstream_id)
        for evacuation in self._world.evacuations:
            if evacuation.hall != hall or not is_too_late(evacuation, start.at):
                continue
            if self._was_in_touch(gateway, start.at):
                late_s = start.at - evacuation.since
                self._report.broken.append(
                    f"{start.request_id} of {gateway} started at {start.upstream_id}"
                    f" {late_s:.2f} s after {hall} was evacuated"
                )

    def _check_leaving(self, start: Start) -> None:
        """DRAIN: nothing starts at an upstream ``drain_ms`` after its row told that it leaves.

        Excused are words that the store took beside a disturbance, and gateways that were
        started, frozen or cut off since, or that feel a disturbance.
        """
        gateway = self._callers.sent.get(start.request_id, UNKNOWN).gateway
        for leaving in self._world.leavings:
            if leaving.upstream_id != start.upstream_id or start.at <= leaving.since + TOLD_S:
                continue
            if not self._was_in_touch(gateway, leaving.since):
                continue
            is_out = self._world.is_out_of_touch(gateway, leaving.since, start.at)
            if self._was_in_touch(gateway, start.at) and not is_out:
                late_s = start.at - leaving.since
                self._report.broken.append(
                    f"{start.request_id} of {gateway} started at {start.upstream_id}"
                    f" {late_s:.2f} s after its row told that it leaves"
                )

    def _was_in_touch(self, gateway: str, at: float) -> bool:
        return not any(
            disturbance.gateway in (None, gateway) and is_felt(disturbance, at)
            for disturbance in self._world.disturbances
        )

    def _check_cold_hosts(self) -> None:
        """FAILBACK: no cold host gets in any second more requests than it bears.

        Whether it is cold it knows itself. All gateways count together, in touch or
        not. Excused are requests that start before gateways can know: a host whose
        row was that of a warm one tells it with its next row, and that takes up to
        ``TOLD_S``; where the store refused all calls meanwhile, that host isn't counted
        until it is warm. Of a host that has just started, or whose hall was just taken
        back, nothing is excused: both are known as cold by that alone.
        """
        times: dict[str, list[float]] = defaultdict(list)
        for start in self._world.fabric.checks.cold_starts:
            if self._was_known_cold(start):
                times[start.host_id].append(start.at)
        for host_id, starts in times.items():
            most = most_in_a_second(starts)
            if most > COLD_LIMIT:
                self._report.broken.append(
                    f"{host_id} was cold and got {most} requests in a second,"
                    f" {COLD_LIMIT:g} at most are borne"
                )

    def _was_known_cold(self, start: ColdStart) -> bool:
        told_at = start.at - start.told_for_s
        was_down = any(
            d.gateway is None and d.since <= told_at + TOLD_S and told_at <= d.until
            for d in self._world.disturbances
        )
        return start.told_for_s >= TOLD_S and not was_down


def is_too_late(evacuation: Evacuation, at: float) -> bool:
    """Return whether nothing may start in the hall at a moment."""
    return evacuation.since + EVACUATION_S < at < evacuation.until


def is_felt(disturbance: Disturbance, at: float) -> bool:
    """Return whether a disturbance goes on, or has ended just before a moment."""
    return disturbance.since <= at <= disturbance.until + CONTACT_S


def most_in_a_second(times: list[float]) -> int:
    """Return how many moments at most lie within one second.

    Examples
    ========

    >>> most_in_a_second([0.0, 0.9, 1.1, 1.8, 5.0])
    3
    """
    ordered = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(ordered):
        while at - ordered[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
