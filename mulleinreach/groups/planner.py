"""Planner of the next changes of the fleet, given one view of it.

The planner keeps no state between calls, so any node that holds the duty's lease
can run it at any time. Each decision is a :class:`Change`: rows to write in one
transaction, and the reason.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mulleinreach.groups.model import GroupRecord, GroupState, HostRecord, HostUse
from mulleinreach.groups.placement import Placement, Shortage, place_replica
from mulleinreach.groups.repair import (
    LoadTimeModel,
    RepairKind,
    RepairOption,
    RepairPlanner,
    downtime_weight,
    loading_hosts,
)
from mulleinreach.groups.view import FleetView
from mulleinreach.intents import ServiceIntent

UNLIMITED = 1_000_000
MAX_REASON_CHARS = 2_000


@dataclass(frozen=True)
class Change:
    """Rows to write in one transaction, and the reason.

    Parameters
    ==========

    action : the name of the change in the audit trail.
    subject : the replica or host that is changed.
    group : the group's new row, or ``None`` if no group's row is written.
    removed : groups whose rows are deleted.
    hosts : new rows of hosts; the write is conditional on their ``version``.
    """

    action: str
    subject: str
    why: str
    group: GroupRecord | None = None
    removed: tuple[GroupRecord, ...] = ()
    hosts: tuple[HostRecord, ...] = ()


@dataclass
class Decision:
    """Changes to make, and notes by replica or service on the options considered."""

    changes: list[Change] = field(default_factory=list)
    notes: dict[str, str] = field(default_factory=dict)


class FleetPlanner:
    """Forms, repairs, drains and dissolves groups so that they fit the intent."""

    def __init__(
        self, loads: LoadTimeModel, unchecked_domains: frozenset[str], drain_deadline_s: float
    ):
        self._repairs = RepairPlanner(loads)
        self._unchecked_domains = unchecked_domains
        self._drain_deadline_s = drain_deadline_s

    def decide(
        self,
        view: FleetView,
        epoch: int,
        is_drained: Callable[[GroupRecord], bool],
        lease_epoch: int,
        max_changes: int = UNLIMITED,
    ) -> Decision:
        """Return the next changes.

        Parameters
        ==========

        epoch : the last epoch in use; each new group gets a higher one.
        is_drained : returns whether a draining group has no requests in flight.
        lease_epoch : the epoch of the lease under which orders will be sent.
        max_changes : number of changes after which no more replicas are formed;
            the next call continues.
        """
        round_ = _Round(self, view, epoch, lease_epoch)
        for group in sorted(view.groups, key=round_.urgency):
            round_.update_group(group, is_drained)
        services = [s for s in view.config.intent.services if s.kind == "model"]
        for service in sorted(services, key=lambda s: (s.priority, s.name)):
            round_.form_missing_replicas(service, max_changes)
        return round_.decision


class _Round:
    """One run of the planner over one view."""

    def __init__(self, planner: FleetPlanner, view: FleetView, epoch: int, lease_epoch: int):
        self._planner = planner
        self._view = view
        self._epoch = epoch
        self._lease_epoch = lease_epoch
        self._loading_hosts = loading_hosts(view)
        self._surplus = self._find_surplus()
        self.decision = Decision()

    def urgency(self, group: GroupRecord) -> tuple:
        """Return a sort key: groups with the highest cost per lost host come first."""
        lost = len(self._view.lost_members(group))
        service = self._view.config.intent.service(group.service)
        if not lost or service is None:
            return (0.0, group.replica)
        weights = self._view.config.intent.measures
        cost_rate = downtime_weight(weights, service)
        cost_rate += weights.stranded_accelerators * (len(group.hosts) - lost)
        return (-cost_rate / lost, group.replica)

    def update_group(self, group: GroupRecord, is_drained) -> None:
        """Decide the next change of an existing group."""
        view = self._view
        if group.replica in view.reserved_names:
            return
        lost = view.lost_members(group)
        service = view.config.intent.service(group.service)
        if service is None and lost:
            self._dissolve(group, "its service was removed and a member is lost")
        elif group.state is GroupState.DRAINING:
            self._finish_drain(group, lost, is_drained)
        elif lost and view.needs_replacement(group):
            self._dissolve(group, f"lost {', '.join(lost)} while it was to be replaced")
        elif lost:
            self._repair(group, lost)
        elif group.state is GroupState.LOADING and view.is_ready(group):
            serving = replace(group, state=GroupState.SERVING)
            self._add(Change("serve", group.replica, "all members are ready", group=serving))
        elif view.needs_replacement(group) or self._is_surplus(group):
            self._drain_when_replaceable(group)

    def _finish_drain(self, group: GroupRecord, lost: list[str], is_drained) -> None:
        waited_s = self._view.wall - group.since
        if lost:
            self._dissolve(group, f"lost {', '.join(lost)} while draining")
        elif is_drained(group):
            self._dissolve(group, "drained: nothing is in flight")
        elif waited_s > self._planner._drain_deadline_s:
            self._dissolve(group, f"drain deadline passed after {waited_s:.0f} s")

    def _repair(self, group: GroupRecord, lost: list[str]) -> None:
        options = self._planner._repairs.options_for_group(self._view, group, self._loading_hosts)
        considered = "; ".join(option.explain() for option in options)
        why = f"lost {', '.join(lost)}; {considered}"
        self.decision.notes[group.replica] = why
        if options and options[0].kind is not RepairKind.WAIT:
            self._replace_members(group, options[0], f"{options[0].kind}: {why}")

    def _replace_members(self, group: GroupRecord, option: RepairOption, why: str) -> None:
        new_group = self._new_group(
            group.replica, group.service, option.domain, option.hosts, why, group.version
        )
        hosts = self._stop_rows(group, set(option.hosts))
        self._add_assembled_group("repair", new_group, option, why, hosts)

    def _add_assembled_group(
        self,
        action: str,
        new_group: GroupRecord,
        option: RepairOption,
        why: str,
        hosts: list[HostRecord],
    ) -> None:
        """Add the change that writes the new group and dissolves its victims."""
        victims = [g for g in self._view.groups if g.replica in option.victims]
        for victim in victims:
            hosts = hosts + self._stop_rows(victim, set(option.hosts))
        hosts = hosts + self._member_rows(new_group)
        self._add(
            Change(
                action,
                new_group.replica,
                why,
                group=new_group,
                removed=tuple(victims),
                hosts=tuple(hosts),
            )
        )
        self._loading_hosts += len(option.hosts)

    def _drain_when_replaceable(self, group: GroupRecord) -> None:
        """Drain a group once its replacement is serving, or if none can be formed."""
        view = self._view
        service = view.config.intent.service(group.service)
        if service is not None and not self._is_surplus(group):
            others = [g for g in view.groups_of(group.service) if not view.needs_replacement(g)]
            serving = sum(g.state is GroupState.SERVING for g in others)
            can_replace = isinstance(place_replica(view, service), Placement)
            if serving < service.replicas and (can_replace or len(others) > serving):
                return
            draining = any(
                g.state is GroupState.DRAINING or g.replica in view.reserved_names
                for g in view.groups_of(group.service)
            )
            if serving < service.replicas and draining:
                return
        why = self._drain_reason(group)
        draining_group = replace(group, state=GroupState.DRAINING, since=view.wall, why=why)
        self._add(Change("drain", group.replica, why, group=draining_group))

    def _drain_reason(self, group: GroupRecord) -> str:
        leaving = [n for n in group.hosts if n in self._view.hosts and self._view.hosts[n].leaving]
        if leaving:
            return f"{', '.join(leaving)} is leaving"
        if self._view.config.intent.service(group.service) is None:
            return "its service was removed"
        if self._view.is_outdated(group):
            return "the service asks for another model, version or size"
        return "more replicas than the service asks for"

    def _is_surplus(self, group: GroupRecord) -> bool:
        """Whether the service has enough other groups; the highest-numbered are surplus."""
        return group.replica in self._surplus

    def _find_surplus(self) -> set[str]:
        """Return the replicas in excess of their service's number, or of removed services."""
        remaining: dict[str, list[str]] = {}
        surplus = set()
        for group in self._view.groups:
            if self._view.config.intent.service(group.service) is None:
                surplus.add(group.replica)
            elif not self._view.needs_replacement(group):
                remaining.setdefault(group.service, []).append(group.replica)
        for name, replicas in remaining.items():
            wanted = self._view.config.intent.service(name).replicas
            surplus.update(sorted(replicas, key=_replica_sort_key)[wanted:])
        return surplus

    def form_missing_replicas(self, service: ServiceIntent, max_changes: int = UNLIMITED) -> None:
        """Form the missing replicas of a service."""
        view = self._view
        remaining = [g for g in view.groups_of(service.name) if not view.needs_replacement(g)]
        replica_count = len(remaining)
        while replica_count < service.replicas and len(self.decision.changes) < max_changes:
            placement = place_replica(view, service)
            considered = "; ".join(candidate.explain() for candidate in placement.considered)
            if isinstance(placement, Shortage):
                if not self._form_with_victims(service):
                    self._note_shortage(service, placement, considered)
                    return
            else:
                why = f"{service.name} wants {service.replicas}, has {replica_count}; {considered}"
                group = self._new_group(
                    self._next_replica_name(service),
                    service.name,
                    placement.domain,
                    placement.hosts,
                    why,
                )
                rows = tuple(self._member_rows(group))
                self._add(Change("form", group.replica, why, group=group, hosts=rows))
            replica_count += 1

    def _form_with_victims(self, service: ServiceIntent) -> bool:
        """Form a replica from free hosts and hosts of victims, if cheaper than waiting."""
        options = self._planner._repairs.options_for_missing_replica(
            self._view, service, self._loading_hosts
        )
        best = options[0]
        if best.kind is RepairKind.WAIT:
            return False
        why = "; ".join(option.explain() for option in options)
        group = self._new_group(
            self._next_replica_name(service), service.name, best.domain, best.hosts, why
        )
        self._add_assembled_group("form", group, best, why, [])
        return True

    def _note_shortage(self, service: ServiceIntent, shortage: Shortage, considered: str) -> None:
        self.decision.notes[service.name] = (
            f"{service.name} lacks replicas: {shortage.needed} more hosts needed in one"
            f" domain; {considered}"
        )

    def _next_replica_name(self, service: ServiceIntent) -> str:
        reserved_names = {group.replica for group in self._view.groups} | self._view.reserved_names
        return _next_replica_name(service.name, reserved_names)

    def _new_group(self, replica, service_name, domain, hosts, why, version=0) -> GroupRecord:
        service = self._view.config.intent.service(service_name)
        self._epoch += 1
        return GroupRecord(
            replica=replica,
            service=service_name,
            epoch=self._epoch,
            domain=domain,
            hosts=tuple(hosts),
            model=service.model,
            model_version=service.version,
            adapters=tuple(service.adapters),
            state=GroupState.LOADING,
            why=why[:MAX_REASON_CHARS],
            since=self._view.wall,
            version=version,
        )

    def _member_rows(self, group: GroupRecord) -> list[HostRecord]:
        return [
            self._order(name, HostUse.MEMBER, group.replica, group.epoch) for name in group.hosts
        ]

    def _stop_rows(self, group: GroupRecord, kept: set[str]) -> list[HostRecord]:
        """Return rows with stop orders, under a new epoch, for all members not in ``kept``."""
        self._epoch += 1
        return [
            self._order(name, HostUse.STOPPING, group.replica, self._epoch)
            for name in group.hosts
            if name not in kept
        ]

    def _order(self, name: str, use: HostUse, replica: str, epoch: int) -> HostRecord:
        view = self._view.hosts[name]
        unchecked = view.host.domain in self._planner._unchecked_domains
        action = "load" if use is HostUse.MEMBER else "stop"
        incarnation = view.report.incarnation if view.report else view.record.incarnation
        # Copies of orders for an earlier process have no effect on this one.
        same_process = incarnation == view.record.incarnation
        still_unresolved = view.record.unresolved if same_process else 0
        return view.record.with_order(
            action,
            use=use,
            replica=replica,
            epoch=epoch,
            incarnation=incarnation,
            unresolved=still_unresolved + 1 if unchecked else 0,
            copies=1,
            sender=self._lease_epoch,
        )

    def _dissolve(self, group: GroupRecord, why: str) -> None:
        rows = tuple(self._stop_rows(group, set()))
        self._add(Change("dissolve", group.replica, why, removed=(group,), hosts=rows))

    def _add(self, change: Change) -> None:
        self.decision.changes.append(change)
        self._view.reserved_names.update(row.name for row in change.hosts)
        self._view.reserved_names.add(change.subject)
        self._view.reserved_names.update(group.replica for group in change.removed)
        removed = {group.replica for group in change.removed}
        if removed:
            self._view.groups[:] = [g for g in self._view.groups if g.replica not in removed]
        if change.action == "form":
            # Later placements in the same view must take the new group into account.
            self._view.groups.append(change.group)

    @property
    def epoch(self) -> int:
        """The last epoch that was assigned."""
        return self._epoch


def _next_replica_name(service: str, reserved_names: set[str]) -> str:
    number = 1
    while f"{service}-{number}" in reserved_names:
        number += 1
    return f"{service}-{number}"


def _replica_sort_key(replica: str) -> tuple[int, str]:
    _, _, number = replica.rpartition("-")
    return (int(number) if number.isdigit() else 0, replica)
