"""Selection of the repair of a replica that has lost a member or isn't formed.

The cost of an option is its expected downtime and idle host-seconds, weighted
by the intent's measures; the cheapest option is applied. Options are to wait, or
to assemble the replica in a fabric domain from its survivors (in its own domain
only; they keep their ranks and weights), free hosts, and hosts of victims (other
replicas that are dissolved, whose own cost is added). The remaining absence of a
host is estimated as its absence so far, as for a heavy-tailed distribution.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from mulleinreach.groups.model import GroupRecord, HostUse
from mulleinreach.groups.placement import allowed_hosts, pick_hosts
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import MeasureWeights, ServiceIntent

MIN_ABSENCE_S = 10.0
MAX_ABSENCE_S = 3600.0
# A shorter absence may be a paused process: half the load time is expected then.
MAX_PAUSE_S = 40.0
# Ratio of the downtime costs of two consecutive priorities.
PRIORITY_COST_FACTOR = 4.0
# Cost of each load to other hosts that share the weight store.
LOAD_PENALTY_HOST_S = 5.0


class RepairKind(enum.StrEnum):
    """The kinds of repair options.

    ``REJOIN`` keeps all members, ``SPARE`` replaces lost members by free hosts of
    the domain, ``TAKE`` uses hosts of victims, and ``REFORM`` forms the replica on
    free hosts only.
    """

    WAIT = "wait"
    REJOIN = "rejoin"
    SPARE = "spare"
    TAKE = "take"
    REFORM = "reform"


@dataclass(frozen=True)
class LoadTimeModel:
    """Load times when the weight store serves at most ``parallel_loads`` hosts at once."""

    host_load_s: float
    parallel_loads: int

    def load_seconds(self, hosts: int, loading: int = 0) -> float:
        """Return the time in seconds to load ``hosts`` hosts, queued behind ``loading`` others.

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
    """One way to repair a replica, with its expected cost.

    Parameters
    ==========

    downtime_s : expected seconds until the replica serves.
    stranded_host_s : host-seconds that stay idle, those of victims included.
    cost : weighted sum of both, plus the cost of the victims.
    hosts : the members of the new group in rank order; empty for ``WAIT``.
    victims : the replicas that are dissolved to use their hosts.
    """

    kind: RepairKind
    downtime_s: float
    stranded_host_s: float
    cost: float
    domain: str = ""
    hosts: tuple[str, ...] = ()
    victims: tuple[str, ...] = ()

    def explain(self) -> str:
        """Return a short description for explanations."""
        target = f" from {', '.join(self.victims)}" if self.victims else ""
        where = f" in {self.domain}" if self.domain else ""
        return (
            f"{self.kind}{target}{where}: cost {self.cost:.0f}"
            f" (down {self.downtime_s:.0f} s, stranded {self.stranded_host_s:.0f} host-s)"
        )


@dataclass(frozen=True)
class Victim:
    """A replica that could be dissolved for its hosts, and the cost of doing so."""

    group: GroupRecord
    hosts: tuple[str, ...]
    downtime_s: float
    stranded_host_s: float
    cost: float


def expected_absence_s(absent_s: float) -> float:
    """Return how many more seconds an absent host is expected to stay absent.

    Examples
    ========

    >>> expected_absence_s(3.0), expected_absence_s(120.0)
    (10.0, 120.0)
    """
    return min(MAX_ABSENCE_S, max(MIN_ABSENCE_S, absent_s))


class RepairPlanner:
    """Computes and sorts the options to repair one replica."""

    def __init__(self, loads: LoadTimeModel):
        self._loads = loads

    def options_for_group(
        self, view: FleetView, group: GroupRecord, loading: int
    ) -> list[RepairOption]:
        """Return the options for a group that has lost members, the cheapest first.

        Parameters
        ==========

        loading : number of hosts that are loading weights.
        """
        service = view.config.intent.service(group.service)
        lost = view.lost_members(group)
        options = []
        if any(self._remaining_absence_s(view.hosts.get(name)) > 0 for name in lost):
            # If all lost members have restarted, there is nothing to wait for.
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
        free_count = len(view.free_hosts())
        wait = self._build_option(
            view,
            service,
            RepairKind.WAIT,
            wait_s,
            min(free_count, service.hosts_per_replica) * wait_s,
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

    # Expected absence of hosts.

    def _longest_absence_s(self, view: FleetView, lost: list[str]) -> float:
        return max((self._remaining_absence_s(view.hosts.get(name)) for name in lost), default=0.0)

    def _remaining_absence_s(self, host: HostView | None) -> float:
        if host is None or host.leaving:
            return MAX_ABSENCE_S
        if not host.lost:
            return 0.0
        return expected_absence_s(host.absent_s)

    def _shortest_absence_s(self, view: FleetView) -> float:
        """Return the time in seconds until the first lost host is expected to return."""
        absences = [self._remaining_absence_s(h) for h in view.hosts.values() if h.lost]
        return min(absences, default=MAX_ABSENCE_S)

    def _wait_option(self, view, service, group, lost, loading) -> RepairOption:
        absence_s = self._longest_absence_s(view, lost)
        load_s = self._loads.load_seconds(len(lost), loading)
        may_be_pause = all(
            view.hosts[n].lost and view.hosts[n].absent_s < MAX_PAUSE_S
            for n in lost
            if n in view.hosts
        )
        downtime_s = absence_s + (load_s / 2 if may_be_pause else load_s)
        survivors = len(group.hosts) - len(lost)
        return self._build_option(
            view, service, RepairKind.WAIT, downtime_s, survivors * downtime_s
        )

    # Assembly of a replica in one domain.

    def _assembly_option(
        self,
        view: FleetView,
        service: ServiceIntent,
        domain: str,
        group: GroupRecord | None,
        loading: int,
    ) -> RepairOption | None:
        """Return the option to assemble the replica in ``domain``, if it is possible."""
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
        """Whether a host can't be in a new group; a host that has restarted can."""
        host = view.hosts.get(name)
        return host is None or host.lost or host.leaving

    def _build_assembly_option(
        self, view, service, domain, group, hosts, victims, loading
    ) -> RepairOption:
        in_place = group is not None and group.domain == domain
        lost = view.lost_members(group) if group else []
        kept = len([n for n in group.hosts if n not in lost]) if in_place else 0
        downtime_s = self._loads.load_seconds(len(hosts) - kept, loading)
        # Each load delays other loads from the shared weight store.
        idle_host_s = len(hosts) * downtime_s + LOAD_PENALTY_HOST_S * (len(hosts) - kept)
        if group is not None and not in_place:
            # Survivors that exceed the size of the new group stay idle.
            idle_host_s += max(0, len(group.hosts) - len(lost) - len(hosts)) * downtime_s
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
            idle_host_s + sum(v.stranded_host_s for v in victims),
            sum(v.cost for v in victims),
            domain=domain,
            hosts=hosts,
            victims=tuple(v.group.replica for v in victims),
        )

    # Choice of victims.

    def _choose_victims(
        self, view, service, domain, group, needed: int, loading: int
    ) -> list[Victim] | None:
        """Return the victims with the lowest cost per host, ``None`` if too few hosts."""
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
            # The victim is already down, so only its additional downtime counts.
            downtime_s = max(
                0.0,
                downtime_s
                - self._longest_absence_s(view, lost)
                - self._loads.load_seconds(len(lost), loading),
            )
        idle_host_s = max(0, len(hosts) - len(lost)) * min(downtime_s, reload_s)
        weights = view.config.intent.measures
        cost = (
            downtime_s * downtime_weight(weights, victim_service)
            + idle_host_s * weights.stranded_accelerators
        )
        return Victim(group, hosts, downtime_s, idle_host_s, cost)

    def _fits_elsewhere(self, view: FleetView, victim_service: ServiceIntent, domain: str) -> bool:
        for other, free in allowed_hosts(victim_service, view.free_hosts()).items():
            if other != domain and len(free) >= victim_service.hosts_per_replica:
                return True
        return False


def downtime_weight(weights: MeasureWeights, service: ServiceIntent) -> float:
    """Return the cost of one second of downtime; lower priority numbers cost more."""
    return weights.group_downtime * PRIORITY_COST_FACTOR ** (1 - service.priority)


def loading_hosts(view: FleetView) -> int:
    """Return how many member hosts are loading weights."""
    members = [h for h in view.hosts.values() if h.record.use is HostUse.MEMBER]
    return sum(h.report is not None and h.report.state == "loading" for h in members)
