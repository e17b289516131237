"""Choosing what to do with a replica that has lost a member, or isn't formed.

Explanation
===========

Each way to bring a replica back is given an expected cost: seconds until it
serves, times the weight of group downtime, plus host-seconds that stay idle
because of it, times the weight of stranded accelerators. The lowest one is
taken, and all are kept for the explanation. The ways are to wait, and to
assemble the replica in one of the fabric domains, out of

- its own survivors (in its own domain; they keep their ranks and weights),
- free hosts,
- the hosts of victims: replicas that are broken themselves, matter less, or can
  be formed again elsewhere at once. What a victim loses is part of the cost.

How long an absent host stays away isn't known. The longer it has been away,
the longer it is expected to stay (a heavy-tailed absence): the rest is taken
as the time so far, and at least ``MIN_ABSENCE_S``. A short absence_s may be a
pause, after which nothing has to be loaded.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from mulleinreach.groups.formation import allowed_hosts, pick_hosts
from mulleinreach.groups.model import GroupRecord, HostUse
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import MeasureWeights, ServiceIntent

MIN_ABSENCE_S = 10.0
MAX_ABSENCE_S = 3600.0
MAX_PAUSE_S = 40.0
PRIORITY_COST_FACTOR = 4.0
LOAD_PENALTY_HOST_S = 5.0


class RepairKind(enum.StrEnum):
    """The ways to bring a replica back."""

    WAIT = "wait"
    REJOIN = "rejoin"
    SPARE = "spare"
    TAKE = "take"
    REFORM = "reform"


@dataclass(frozen=True)
class LoadTimeModel:
    """How long loads take: the weight store serves ``parallel_loads`` hosts at once."""

    host_load_s: float
    parallel_loads: int

    def load_seconds(self, hosts: int, loading: int = 0) -> float:
        """Return when ``hosts`` more hosts found_hosts loaded, behind ``loading`` others.

        Examples
        ========

        >>> LoadTimeModel(60.0, 4).load_seconds(4, loading=2)
        120.0
        """
        if hosts == 0:
            return 0.0
        return math.ceil((loading + hosts) / self.parallel_loads) * self.host_load_s


@dataclass(frozen=True)
class RepairOption:
    """One way to bring a replica back, with its expected consequences.

    Parameters
    ==========

    downtime_s : weighted replica-seconds until service, those of victims included.
    stranded_host_s : host-seconds that stay idle.
    hosts : the members of the new group, by rank; empty for ``WAIT``.
    victims : the replicas that hosts are taken from; they are dissolved.
    """

    kind: RepairKind
    downtime_s: float
    stranded_host_s: float
    cost: float
    domain: str = ""
    hosts: tuple[str, ...] = ()
    victims: tuple[str, ...] = ()

    def explain(self) -> str:
        """Return the option in a few words."""
        target = f" from {', '.join(self.victims)}" if self.victims else ""
        where = f" in {self.domain}" if self.domain else ""
        return (
            f"{self.kind}{target}{where}: cost {self.cost:.0f}"
            f" (down {self.downtime_s:.0f} s, stranded {self.stranded_host_s:.0f} host-s)"
        )


@dataclass(frozen=True)
class Victim:
    """A replica that could give its hosts, and what it would lose by that."""

    group: GroupRecord
    hosts: tuple[str, ...]
    downtime_s: float
    stranded_host_s: float
    cost: float


def expected_absence_s(absent_s: float) -> float:
    """Return how much longer a host is expected to stay away.

    Examples
    ========

    >>> expected_absence_s(3.0), expected_absence_s(120.0)
    (10.0, 120.0)
    """
    return min(MAX_ABSENCE_S, max(MIN_ABSENCE_S, absent_s))


class RepairPlanner:
    """Weighs the ways to bring one replica back."""

    def __init__(self, loads: LoadTimeModel):
        self._loads = loads

    def options_for_group(
        self, view: FleetView, group: GroupRecord, loading: int
    ) -> list[RepairOption]:
        """Return the options for a broken group, the cheapest first.

        Parameters
        ==========

        loading : hosts that are loading weights at the moment.
        """
        service = view.config.intent.service(group.service)
        lost = view.lost_members(group)
        options = []
        if any(self._remaining_absence_s(view.hosts.get(name)) > 0 for name in lost):
            # Where all are back as new processes there is nothing to wait for.
            options.append(self._wait_option(view, service, group, lost, loading))
        for domain in self._candidate_domains(view, service, group.domain):
            option = self._assembly_option(view, service, domain, group, loading)
            if option is not None:
                options.append(option)
        return sorted(options, key=lambda o: (o.cost, o.kind, o.domain))

    def options_for_missing_replica(
        self, view: FleetView, service: ServiceIntent, loading: int
    ) -> list[RepairOption]:
        """Return the options for a replica that isn't formed, the cheapest first."""
        wait_s = self._shortest_absence_s(view)
        idle = len(view.free_hosts())
        wait = self._build_option(
            view,
            service,
            RepairKind.WAIT,
            wait_s,
            min(idle, service.hosts_per_replica) * wait_s,
        )
        options = [wait]
        for domain in self._candidate_domains(view, service, None):
            option = self._assembly_option(view, service, domain, None, loading)
            if option is not None:
                options.append(option)
        return sorted(options, key=lambda o: (o.cost, o.kind, o.domain))

    def _candidate_domains(
        self, view: FleetView, service: ServiceIntent, own_domain: str | None
    ) -> list[str]:
        domains = set(allowed_hosts(service, list(view.hosts.values())))
        return sorted(domains | ({own_domain} if own_domain else set()))

    def _build_option(
        self,
        view: FleetView,
        service: ServiceIntent,
        kind: RepairKind,
        downtime_s: float,
        stranded_host_s: float,
        victim_cost: float = 0.0,
        **fields,
    ) -> RepairOption:
        weights = view.config.intent.measures
        cost = downtime_s * downtime_weight(weights, service)
        cost += stranded_host_s * weights.stranded_accelerators + victim_cost
        return RepairOption(kind, downtime_s, stranded_host_s, cost, **fields)

    # How long hosts stay away.

    def _longest_absence_s(self, view: FleetView, lost: list[str]) -> float:
        return max((self._remaining_absence_s(view.hosts.get(name)) for name in lost), default=0.0)

    def _remaining_absence_s(self, host: HostView | None) -> float:
        if host is None or host.leaving:
            return MAX_ABSENCE_S
        if not host.lost:
            return 0.0
        return expected_absence_s(host.absent_s)

    def _shortest_absence_s(self, view: FleetView) -> float:
        """Return when the next of the absent hosts is expected back."""
        absences = [self._remaining_absence_s(h) for h in view.hosts.values() if h.lost]
        return min(absences, default=MAX_ABSENCE_S)

    def _wait_option(self, view, service, group, lost, loading) -> RepairOption:
        absence_s = self._longest_absence_s(view, lost)
        load = self._loads.load_seconds(len(lost), loading)
        may_be_pause = all(
            view.hosts[n].lost and view.hosts[n].absent_s < MAX_PAUSE_S
            for n in lost
            if n in view.hosts
        )
        downtime_s = absence_s + (load / 2 if may_be_pause else load)
        idle = len(group.hosts) - len(lost)
        return self._build_option(view, service, RepairKind.WAIT, downtime_s, idle * downtime_s)

    # Putting a replica together in a domain.

    def _assembly_option(
        self,
        view: FleetView,
        service: ServiceIntent,
        domain: str,
        group: GroupRecord | None,
        loading: int,
    ) -> RepairOption | None:
        """Return the cheapest way to found_hosts the replica in ``domain``, if there is one."""
        in_place = group is not None and group.domain == domain
        unusable = [n for n in group.hosts if self._is_unusable(view, n)] if in_place else []
        needed = len(unusable) if in_place else service.hosts_per_replica
        free = allowed_hosts(service, view.free_hosts()).get(domain, [])
        victims: list[Victim] = []
        if len(free) < needed:
            victims = self._choose_victims(
                view, service, domain, group, needed - len(free), loading
            )
            if victims is None:
                return None
        found = list(pick_hosts(free, min(needed, len(free))))
        found += [name for victim in victims for name in victim.hosts]
        found = found[:needed]
        if in_place:
            replacement = dict(zip(unusable, found, strict=True))
            hosts = tuple(replacement.get(name, name) for name in group.hosts)
        else:
            hosts = tuple(found)
        return self._build_assembly_option(view, service, domain, group, hosts, victims, loading)

    def _is_unusable(self, view: FleetView, name: str) -> bool:
        """Whether a member can't be in the new group; a new process can."""
        host = view.hosts.get(name)
        return host is None or host.lost or host.leaving

    def _build_assembly_option(
        self, view, service, domain, group, hosts, victims, loading
    ) -> RepairOption:
        in_place = group is not None and group.domain == domain
        lost = view.lost_members(group) if group else []
        kept = len([n for n in group.hosts if n not in lost]) if in_place else 0
        downtime_s = self._loads.load_seconds(len(hosts) - kept, loading)
        # Each load takes the store from others that may need it.
        idle = len(hosts) * downtime_s + LOAD_PENALTY_HOST_S * (len(hosts) - kept)
        if group is not None and not in_place:
            # The survivors are freed; they idle until something is made of them.
            idle += max(0, len(group.hosts) - len(lost) - len(hosts)) * downtime_s
        kind = RepairKind.REFORM
        if victims:
            kind = RepairKind.TAKE
        elif in_place:
            kind = RepairKind.REJOIN if hosts == group.hosts else RepairKind.SPARE
        return self._build_option(
            view,
            service,
            kind,
            downtime_s,
            idle + sum(v.stranded_host_s for v in victims),
            sum(v.cost for v in victims),
            domain=domain,
            hosts=hosts,
            victims=tuple(v.group.replica for v in victims),
        )

    # Victims.

    def _choose_victims(
        self, view, service, domain, group, needed: int, loading: int
    ) -> list[Victim] | None:
        """Return the cheapest victims by host that give ``needed`` hosts, or ``None``."""
        replica = group.replica if group else ""
        considered = [
            self._evaluate_victim(view, service, other, loading)
            for other in view.groups
            if other.domain == domain and other.replica != replica
        ]
        usable = [victim for victim in considered if victim is not None and victim.hosts]
        usable.sort(key=lambda v: (v.cost / min(len(v.hosts), needed), v.group.replica))
        chosen, found_hosts = [], 0
        for victim in usable:
            chosen.append(victim)
            found_hosts += len(victim.hosts)
            if found_hosts >= needed:
                return chosen
        return None

    def _evaluate_victim(self, view, service, group: GroupRecord, loading: int) -> Victim | None:
        victim_service = view.config.intent.service(group.service)
        if victim_service is None or group.replica in view.reserved_names:
            return None
        lost = view.lost_members(group)
        hosts = tuple(n for n in group.hosts if not self._is_unusable(view, n))
        reload_s = self._loads.load_seconds(len(group.hosts), loading)
        if self._fits_elsewhere(view, victim_service, group.domain):
            downtime_s = reload_s
        else:
            downtime_s = reload_s + self._shortest_absence_s(view)
        if lost:
            # It is down already: it loses only what its own wait is shorter by.
            downtime_s = max(
                0.0,
                downtime_s
                - self._longest_absence_s(view, lost)
                - self._loads.load_seconds(len(lost), loading),
            )
        idle = max(0, len(hosts) - len(lost)) * min(downtime_s, reload_s)
        weights = view.config.intent.measures
        cost = (
            downtime_s * downtime_weight(weights, victim_service)
            + idle * weights.stranded_accelerators
        )
        return Victim(group, hosts, downtime_s, idle, cost)

    def _fits_elsewhere(self, view: FleetView, victim_service: ServiceIntent, domain: str) -> bool:
        for other, free in allowed_hosts(victim_service, view.free_hosts()).items():
            if other != domain and len(free) >= victim_service.hosts_per_replica:
                return True
        return False


def downtime_weight(weights: MeasureWeights, service: ServiceIntent) -> float:
    """Return the cost of a replica-second down; higher priorities weigh more."""
    return weights.group_downtime * PRIORITY_COST_FACTOR ** (1 - service.priority)


def loading_hosts(view: FleetView) -> int:
    """Return how many hosts load weights at the moment."""
    members = [h for h in view.hosts.values() if h.record.use is HostUse.MEMBER]
    return sum(h.report is not None and h.report.state == "loading" for h in members)
