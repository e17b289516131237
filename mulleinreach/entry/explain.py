"""Answers why a request, a replica or a host is as it is, and lists what there is."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from mulleinreach.common import Code, MulleinreachError
from mulleinreach.groups.view import FleetView
from mulleinreach.intents import ConfigInForce, ServiceIntent
from mulleinreach.requests.journal import RequestJournal
from mulleinreach.roster import Roster
from mulleinreach.routing import ReplicaTable
from mulleinreach.stores import HostDirectory


class Explainer:
    """Reads the state of one node for people; changes nothing."""

    def __init__(
        self,
        force: ConfigInForce,
        replicas: ReplicaTable,
        directory: HostDirectory,
        roster: Roster,
        journal: RequestJournal,
        view: Callable[[], FleetView],
        notes: Callable[[], dict[str, str]],
        leaving: Callable[[], set[str]],
        holders: Callable[[], dict[str, str]],
        gather_hosts: Callable[[], Awaitable[None]],
    ):
        self._force = force
        self._replicas = replicas
        self._directory = directory
        self._roster = roster
        self._journal = journal
        self._view = view
        self._notes = notes
        self._leaving = leaving
        self._holders = holders
        self._gather_hosts = gather_hosts

    async def get(self, what: str) -> object:
        """Return a list of things of one kind, or the configuration."""
        if what == "hosts":
            await self._gather_hosts()
        kinds = {
            "config": self._get_config,
            "services": self._get_services,
            "replicas": self._get_replicas,
            "hosts": self._get_hosts,
            "nodes": self._get_nodes,
        }
        if what not in kinds:
            raise MulleinreachError(
                Code.NOT_FOUND, f"can't get {what!r}; there are {', '.join(kinds)}"
            )
        return kinds[what]()

    def _get_config(self) -> dict:
        acceptance = self._force.acceptance()
        document = self._force.document.model_dump(mode="json")
        return {"accepted": acceptance.accepted, "detail": acceptance.reason, **document}

    def _get_services(self) -> list[dict]:
        found = []
        for service in self._force.document.intent.services:
            serving = self._count_serving(service)
            groups = len(self._replicas.groups(service.name))
            found.append(
                {
                    "service": service.name,
                    "kind": service.kind,
                    "wanted": service.replicas,
                    "groups": groups,
                    "serving": serving,
                }
            )
        return found

    def _count_serving(self, service: ServiceIntent) -> int:
        """Return how many replicas, or hosts of a plain service, get work."""
        if service.kind == "model":
            return len(self._replicas.candidates(service.name))
        leaving = self._leaving()
        hosts = self._directory.live_plain_hosts(service.name)
        return sum(host.name not in leaving for host in hosts)

    def _get_replicas(self) -> list[dict]:
        leaving = self._leaving()
        found = []
        for group in self._replicas.all_groups():
            why = self._replicas.why_unusable(group, leaving)
            found.append(
                {
                    "replica": group.replica,
                    "epoch": group.epoch,
                    "state": str(group.state),
                    "domain": group.domain,
                    "hosts": list(group.hosts),
                    "usable": why is None,
                    "why": why or "it is whole",
                }
            )
        return found

    def _get_hosts(self) -> list[dict]:
        found = []
        for host in sorted(self._view().hosts.values(), key=lambda h: h.name):
            found.append(
                {
                    "host": host.name,
                    "domain": host.host.domain,
                    "use": str(host.record.use),
                    "replica": host.record.replica,
                    "epoch": host.record.epoch,
                    "lost": host.lost,
                    "leaving": host.leaving,
                }
            )
        return found

    def _get_nodes(self) -> list[dict]:
        live = set(self._roster.live_node_names())
        return [{"node": name, "answers": name in live} for name in self._roster.node_names()]

    def states(self) -> dict[str, str]:
        """Return a short state for each replica and for the configuration."""
        leaving = self._leaving()
        states = {"configuration": f"version {self._force.version}"}
        for group in self._replicas.all_groups():
            why = self._replicas.why_unusable(group, leaving)
            usable = "usable" if why is None else "not usable"
            states[group.replica] = f"{group.state}, epoch {group.epoch}, {usable}"
        return states

    async def explain(self, kind: str, name: str) -> list[str]:
        """Return a few lines on why a request, replica or host is as it is."""
        if kind == "host":
            await self._gather_hosts()
        kinds = {
            "request": self._explain_request,
            "replica": self._explain_replica,
            "host": self._explain_host,
        }
        if kind not in kinds:
            raise MulleinreachError(
                Code.NOT_FOUND, f"can't explain a {kind!r}; there are {', '.join(kinds)}, plan"
            )
        return kinds[kind](name)

    def _explain_request(self, name: str) -> list[str]:
        story = self._journal.get(name)
        if story is None:
            node = name.partition(".")[0]
            message = f"request {name!r} is not kept here; ask the node {node!r} it came to"
            raise MulleinreachError(Code.NOT_FOUND, message)
        return story.lines()

    def _explain_replica(self, name: str) -> list[str]:
        note = self._notes().get(name)
        for group in self._replicas.all_groups():
            if group.replica == name:
                why = self._replicas.why_unusable(group, self._leaving())
                lines = [
                    f"{name} is {group.state} in epoch {group.epoch} on {', '.join(group.hosts)}",
                    f"formed because: {group.why}",
                    f"gets work: {'yes' if why is None else 'no, ' + why}",
                ]
                return lines + ([f"now weighed: {note}"] if note else [])
        if note:
            return [f"{name} is not formed: {note}"]
        raise MulleinreachError(Code.NOT_FOUND, f"there is no replica {name!r}")

    def _explain_host(self, name: str) -> list[str]:
        host = self._view().hosts.get(name)
        if host is None:
            raise MulleinreachError(Code.NOT_FOUND, f"there is no host {name!r}")
        record = host.record
        lines = [f"{name} in domain {host.host.domain} is {record.use}"]
        if record.replica:
            lines.append(f"its latest order is {record.order_id} for {record.replica}")
        if record.unresolved:
            lines.append(f"{record.unresolved} copies of orders to it may still arrive")
        if host.report is None:
            lines.append("no node that reports to this one has its status")
        else:
            said = host.report
            seen = f"{host.absent_s:.1f} s ago"
            lines.append(f"its engine said {seen}: {said.state} in epoch {said.epoch}")
        if host.lost:
            lines.append("it counts as lost")
        if host.leaving:
            lines.append(f"it gets no new work: {self._why_leaving(name)}")
        holder = self._holders().get("groups")
        return lines + [f"the node {holder} decides about it"]

    def _why_leaving(self, name: str) -> str:
        if name in self._force.document.drained_hosts:
            return f"drained by {self._force.document.plan}"
        return "the host list says that it leaves"
