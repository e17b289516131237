"""Choosing what to do with a replica that has lost a member.

Explanation
===========

Each way to repair is given an expected cost: seconds until the replica serves
again, times the weight of group downtime, plus host-seconds that stay idle
because of it, times the weight of stranded accelerators. The lowest one is
taken, and all are kept for the explanation.

How long an absent host stays away isn't known. The longer it has been away,
the longer it is expected to stay (a heavy-tailed absence): the rest is taken
as ``ABSENCE_FACTOR`` times the time so far, and at least ``MIN_ABSENCE_S``.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from mulleinreach.groups.formation import Placement, place_replica
from mulleinreach.groups.model import GroupRecord, HostUse
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import MeasureWeights, ServiceIntent

MIN_ABSENCE_S = 10.0
ABSENCE_FACTOR = 1.0
PLANNING_HORIZON_S = 900.0
PRIORITY_STEP = 4.0


class RepairKind(enum.StrEnum):
    """The ways to repair a replica."""

    WAIT = "wait"
    REJOIN = "rejoin"
    SPARE = "spare"
    TAKE = "take"
    REFORM = "reform"


@dataclass(frozen=True)
class LoadModel:
    """How long loads take: the weight store serves ``streams`` hosts at once."""

    host_load_s: float
    streams: int

    def seconds(self, hosts: int, busy: int = 0) -> float:
        """Return when ``hosts`` more hosts have loaded, behind ``busy`` others.

        Examples
        ========

        >>> LoadModel(60.0, 4).seconds(4, busy=2)
        120.0
        """
        if hosts == 0:
            return 0.0
        return math.ceil((busy + hosts) / self.streams) * self.host_load_s


@dataclass(frozen=True)
class RepairOption:
    """One way to repair, with its expected consequences.

    Parameters
    ==========

    downtime_s : replica-seconds until service, those of a victim included.
    stranded_s : host-seconds that stay idle.
    hosts : the members of the new group; empty for ``WAIT``.
    victim : the replica that hosts are taken from.
    """

    kind: RepairKind
    downtime_s: float
    stranded_s: float
    cost: float
    domain: str = ""
    hosts: tuple[str, ...] = ()
    victim: str = ""

    def explain(self) -> str:
        """Return the option in a few words."""
        target = f" from {self.victim}" if self.victim else ""
        return (
            f"{self.kind}{target}: cost {self.cost:.0f}"
            f" (down {self.downtime_s:.0f} s, stranded {self.stranded_s:.0f} host-s)"
        )


def expected_absence_s(absent_s: float) -> float:
    """Return how much longer a host is expected to stay away.

    Examples
    ========

    >>> expected_absence_s(3.0), expected_absence_s(120.0)
    (10.0, 120.0)
    """
    return min(PLANNING_HORIZON_S, max(MIN_ABSENCE_S, ABSENCE_FACTOR * absent_s))


class RepairPlanner:
    """Weighs the ways to repair one broken group."""

    def __init__(self, loads: LoadModel):
        self._loads = loads

    def weigh(self, view: FleetView, group: GroupRecord, busy: int) -> list[RepairOption]:
        """Return the options for ``group``, the cheapest first.

        Parameters
        ==========

        busy : hosts that are loading weights at the moment.
        """
        service = view.config.intent.service(group.service)
        lost = view.lost_members(group)
        options = [self._wait(view, service, group, lost, busy)]
        if all(self._is_back(view, name) for name in lost):
            options.append(self._rejoin(view, service, group, lost, busy))
        options += self._spare(view, service, group, lost, busy)
        options += self._take(view, service, group, lost, busy)
        options += self._reform(view, service, group, lost, busy)
        return sorted(options, key=lambda o: (o.cost, o.kind))

    def _is_back(self, view: FleetView, name: str) -> bool:
        host = view.hosts.get(name)
        return host is not None and not host.lost and not host.leaving

    def _price(
        self,
        view: FleetView,
        service: ServiceIntent,
        kind: RepairKind,
        downtime_s: float,
        stranded_s: float,
        **fields,
    ) -> RepairOption:
        weights = view.config.intent.measures
        cost = downtime_s * downtime_weight(weights, service) + (
            stranded_s * weights.stranded_accelerators
        )
        return RepairOption(kind, downtime_s, stranded_s, cost, **fields)

    def _absence(self, view: FleetView, lost: list[str]) -> float:
        return max((self._absence_of(view.hosts.get(name)) for name in lost), default=0.0)

    def _absence_of(self, host: HostView | None) -> float:
        if host is None or host.leaving:
            return PLANNING_HORIZON_S
        if not host.lost:
            return 0.0
        return expected_absence_s(host.absent_s)

    def _wait(self, view, service, group, lost, busy) -> RepairOption:
        absence = self._absence(view, lost)
        down = absence + self._loads.seconds(len(lost), busy)
        idle = len(group.hosts) - len(lost)
        return self._price(view, service, RepairKind.WAIT, down, idle * down)

    def _rejoin(self, view, service, group, lost, busy) -> RepairOption:
        down = self._loads.seconds(len(lost), busy)
        idle = len(group.hosts) * down
        return self._price(
            view,
            service,
            RepairKind.REJOIN,
            down,
            idle,
            domain=group.domain,
            hosts=group.hosts,
        )

    def _replace(self, group: GroupRecord, lost: list[str], new: list[str]) -> tuple[str, ...]:
        """Put each new host at the rank of a lost one: the others keep their weights."""
        replacement = dict(zip(lost, new, strict=True))
        return tuple(replacement.get(name, name) for name in group.hosts)

    def _spare(self, view, service, group, lost, busy) -> list[RepairOption]:
        spares = [h.name for h in view.free_hosts() if h.host.domain == group.domain]
        if len(spares) < len(lost):
            return []
        hosts = self._replace(group, lost, spares[: len(lost)])
        down = self._loads.seconds(len(lost), busy)
        idle = (len(group.hosts) - len(lost)) * down
        return [
            self._price(
                view, service, RepairKind.SPARE, down, idle, domain=group.domain, hosts=hosts
            )
        ]

    def _take(self, view, service, group, lost, busy) -> list[RepairOption]:
        """Take members of another replica that matters less or is broken itself."""
        options = []
        for victim in view.groups:
            if victim.domain != group.domain or victim.replica == group.replica:
                continue
            option = self._take_from(view, service, group, lost, busy, victim)
            if option is not None:
                options.append(option)
        return options

    def _take_from(self, view, service, group, lost, busy, victim) -> RepairOption | None:
        owner = view.config.intent.service(victim.service)
        if owner is None or victim.replica in view.taken:
            return None
        victim_lost = view.lost_members(victim)
        usable = [n for n in victim.hosts if n not in victim_lost and not view.hosts[n].leaving]
        if len(usable) < len(lost):
            return None
        down = self._loads.seconds(len(lost), busy)
        own_absence = self._absence(view, lost)
        # The victim waits for the lost hosts in our place; if it is broken
        # already it loses only what its own wait would have been shorter by.
        already = self._absence(view, victim_lost) if victim_lost else 0.0
        victim_down = max(0.0, own_absence - already) + (0.0 if victim_lost else down)
        idle = (len(victim.hosts) - len(lost)) * victim_down
        weights = view.config.intent.measures
        ratio = downtime_weight(weights, owner) / max(1e-9, downtime_weight(weights, service))
        return self._price(
            view,
            service,
            RepairKind.TAKE,
            down + victim_down * ratio,
            idle + (len(group.hosts) - len(lost)) * down,
            domain=group.domain,
            hosts=self._replace(group, lost, usable[: len(lost)]),
            victim=victim.replica,
        )

    def _reform(self, view, service, group, lost, busy) -> list[RepairOption]:
        placement = place_replica(view, service)
        if not isinstance(placement, Placement):
            return []
        down = self._loads.seconds(len(placement.hosts), busy)
        survivors = len(group.hosts) - len(lost)
        # The survivors change places with hosts that were idle anyway.
        idle = len(placement.hosts) * down + max(0, survivors - len(placement.hosts)) * down
        return [
            self._price(
                view,
                service,
                RepairKind.REFORM,
                down,
                idle,
                domain=placement.domain,
                hosts=placement.hosts,
            )
        ]


def downtime_weight(weights: MeasureWeights, service: ServiceIntent) -> float:
    """Return the cost of a replica-second down; higher priorities weigh more."""
    return weights.group_downtime * PRIORITY_STEP ** (1 - service.priority)


def loading_hosts(view: FleetView) -> int:
    """Return how many hosts load weights at the moment."""
    members = [h for h in view.hosts.values() if h.record.use is HostUse.MEMBER]
    return sum(h.report is not None and h.report.state == "loading" for h in members)
