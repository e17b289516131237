"""What a control decision is taken from: services, hosts, groups, and their state."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.groups.model import GroupRecord, GroupState, HostRecord, HostUse
from mulleinreach.intents import ConfigDocument
from mulleinreach.roster.messages import HostReport
from mulleinreach.stores import Host, HostState


@dataclass(frozen=True)
class HostView:
    """One engine host: what the platform, the table and its watchers say.

    Parameters
    ==========

    report : the latest status that any watcher read, or ``None``.
    absent_s : seconds since the latest status was asked for; infinite if never.
    lost : whether that is long enough to act on, or the platform says gone.
    leaving : whether it is drained by an operator or leaving by the host list.
    """

    host: Host
    record: HostRecord
    report: HostReport | None
    absent_s: float
    lost: bool
    leaving: bool

    @property
    def name(self) -> str:
        """The host's name."""
        return self.host.name

    @property
    def is_available(self) -> bool:
        """Whether a new group may take this host."""
        return (
            self.record.use is HostUse.FREE
            and self.record.unresolved == 0
            and self.report is not None
            and not self.lost
            and not self.leaving
            and self.host.state is HostState.LIVE
        )


@dataclass
class FleetView:
    """All of it at one moment; ``now`` in monotonic seconds, ``wall`` in Unix seconds."""

    now: float
    wall: float
    config: ConfigDocument
    hosts: dict[str, HostView]
    groups: list[GroupRecord]
    reserved_names: set[str] = field(default_factory=set)

    def free_hosts(self) -> list[HostView]:
        """Return the hosts that a new group may take, in name order."""
        free = [
            h for h in self.hosts.values() if h.is_available and h.name not in self.reserved_names
        ]
        return sorted(free, key=lambda h: h.name)

    def groups_of(self, service: str) -> list[GroupRecord]:
        """Return the groups of a service."""
        return [g for g in self.groups if g.service == service]

    def lost_members(self, group: GroupRecord) -> list[str]:
        """Return the members that are lost, or came back as a new process."""
        return [name for name in group.hosts if self._is_member_lost(name)]

    def _is_member_lost(self, name: str) -> bool:
        view = self.hosts.get(name)
        if view is None or view.lost:
            return True
        return view.report is not None and view.report.incarnation != view.record.incarnation

    def is_ready(self, group: GroupRecord) -> bool:
        """Whether each member says that it is ready in this group."""
        for name in group.hosts:
            view = self.hosts.get(name)
            report = view.report if view else None
            if report is None or view.lost or report.state != "ready":
                return False
            if (report.replica, report.epoch) != (group.replica, group.epoch):
                return False
        return True

    def is_outdated(self, group: GroupRecord) -> bool:
        """Whether the service now asks for another model, version, adapters or size."""
        service = self.config.intent.service(group.service)
        if service is None:
            return True
        wanted = (service.model, service.version, tuple(service.adapters))
        held = (group.model, group.model_version, group.adapters)
        return wanted != held or service.hosts_per_replica != len(group.hosts)

    def needs_replacement(self, group: GroupRecord) -> bool:
        """Whether a group should make way for another one, in order."""
        if group.state is GroupState.DRAINING or self.is_outdated(group):
            return True
        return any(self.hosts[name].leaving for name in group.hosts if name in self.hosts)
