"""What a node tells its peers in pings and pongs, and makes of what they tell.

Explanation
===========

One exchange carries evidence of the configuration's version, of replicas being
whole, their load, leaving hosts, and shares of limits. All of it is dated from
before the ping was sent. A stale, doubled or missing answer is harmless:
evidence ages out, loans lapse, and load is corrected by what we sent ourselves.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulleinreach.common import Address
from mulleinreach.groups.model import GroupRecord, GroupState
from mulleinreach.groups.polling import watchers_of
from mulleinreach.intents import ConfigDocument
from mulleinreach.roster.messages import ConfigPush, HostReport, Ping, Pong, Withdrawal
from mulleinreach.stores import HostKind, HostState

if TYPE_CHECKING:
    from mulleinreach.node import Node


class Evidence:
    """The node's side of the exchange with its peers."""

    def __init__(self, node: Node):
        self._node = node
        self._peer_hosts: dict[str, tuple[HostReport, float]] = {}
        self._peer_leaving: dict[str, tuple[set[str], float]] = {}
        self._wanted_until = float("-inf")
        self._watched_basis: tuple = ()
        self._leaving_basis: tuple = ()
        self._leaving: frozenset[str] = frozenset()
        self._watched: list[GroupRecord] = []

    # What we tell.

    def make_ping(self, peer: str, seq: int) -> Ping:
        """Ask ``peer`` for its evidence, and for a part of its shares."""
        node = self._node
        return Ping(
            seq,
            node.force.version,
            demands=node.shares.demands(),
            wants_hosts=node.lease.is_held() or node.clock.now() < self._wanted_until,
        )

    def make_pong(self, peer: str, ping: Ping) -> Pong:
        """Answer a ping with what we know ourselves, never with what peers told us."""
        node = self._node
        reports = []
        for group in self._watched_groups():
            report = node.watch.report_replica(
                group, node.replicas.load_of(group.replica).in_flight
            )
            if report is not None:
                reports.append(report)
        return Pong(
            seq=ping.seq,
            config_version=node.force.version,
            vouches=node.force.vouches(),
            replicas=reports,
            hosts=node.watch.report_hosts() if ping.wants_hosts else [],
            grants=node.shares.lend(peer, ping.demands),
            leaving=node.is_stopping,
            leaving_hosts=sorted(self._own_leaving()),
        )

    def config_for(self, peer_version: int) -> ConfigPush | None:
        """Return our configuration for a peer that is behind."""
        document = self._node.force.document
        if document.version <= peer_version:
            return None
        return ConfigPush(document.version, document.model_dump_json())

    async def tell_configuration(self, document: ConfigDocument) -> None:
        """Send a configuration that was just written to all peers at once."""
        push = ConfigPush(document.version, document.model_dump_json())
        await self._node.roster.broadcast(push)

    async def tell_withdrawal(self, group: GroupRecord, reason: str) -> None:
        """Tell all peers at once that a replica is no longer whole."""
        await self._node.roster.broadcast(Withdrawal(group.replica, group.epoch, reason))

    # What we are told.

    def on_pong(self, peer: str, pong: Pong, asked_at: float) -> None:
        """Take in a peer's answer."""
        node = self._node
        node.force.hear(peer, pong.config_version, pong.vouches, asked_at)
        for report in pong.replicas:
            # A group that our rows don't show yet gets no work from us anyway.
            replica = node.replicas.replica_of(report.epoch)
            if replica is not None:
                node.wholeness.record_report(replica, report, asked_at)
        for host in pong.hosts:
            self._take_host(host, asked_at - host.age_ms / 1000)
        node.shares.apply_grants(peer, pong.grants, asked_at)
        self._peer_leaving[peer] = (set(pong.leaving_hosts), asked_at)
        node.queue.admit_all_waiting()

    def _take_host(self, report: HostReport, seen_at: float) -> None:
        known = self._peer_hosts.get(report.host)
        if known is None or seen_at > known[1]:
            self._peer_hosts[report.host] = (report, seen_at)

    def on_config(self, push: ConfigPush) -> None:
        """Apply a configuration that a peer has and we don't."""
        self._node.force.learn(ConfigDocument.model_validate_json(push.document))

    def on_withdrawal(self, peer: str, withdrawal: Withdrawal) -> None:
        """Stop using a replica at once."""
        node = self._node
        if not node.wholeness.withdraw(withdrawal.replica, withdrawal.epoch):
            return
        node.log.event(
            "replica_withdrawn",
            replica=withdrawal.replica,
            epoch=withdrawal.epoch,
            by=peer,
            why=withdrawal.reason,
        )
        node.active.sweep()

    # What follows for this node.

    async def gather_hosts(self) -> None:
        """Ask all peers for what they know of hosts, and wait for their next answers.

        Explanation
        ===========

        Only the holder of the duty hears of all hosts all the time; another node
        needs them for the moment in which it makes a plan or explains a host.
        """
        node = self._node
        if not any(self._is_unknown(h.name) for h in node.directory.of_kind(HostKind.ENGINE)):
            return
        rounds_s = 2 * node.settings.timing.peer_ping_s
        is_recent = node.clock.now() < self._wanted_until - rounds_s
        self._wanted_until = node.clock.now() + 2 * rounds_s
        if not is_recent:
            await asyncio.sleep(rounds_s)

    def host_reports(self) -> dict[str, tuple[HostReport, float]]:
        """Return the latest report on each host, of ours and those of peers."""
        node = self._node
        now = node.clock.now()
        reports = dict(self._peer_hosts)
        for report in node.watch.report_hosts():
            seen_at = now - report.age_ms / 1000
            known = reports.get(report.host)
            if known is None or seen_at > known[1]:
                reports[report.host] = (report, seen_at)
        return reports

    def _own_leaving(self) -> frozenset[str]:
        """Return the hosts that leave by the host list, the operator, or a drain."""
        node = self._node
        basis = (node.directory.reads, node.replicas.changes, node.force.version)
        if basis == self._leaving_basis:
            return self._leaving
        leaving = set(node.force.document.drained_hosts)
        for kind in (HostKind.ENGINE, HostKind.PLAIN):
            hosts = node.directory.of_kind(kind)
            leaving.update(h.name for h in hosts if h.state is HostState.LEAVING)
        for group in node.replicas.all_groups():
            if group.state is GroupState.DRAINING:
                leaving.update(group.hosts)
        self._leaving_basis, self._leaving = basis, frozenset(leaving)
        return self._leaving

    def leaving_hosts(self) -> set[str]:
        """Return the hosts that leave by our own word or that of a peer, lately."""
        node = self._node
        leaving = set(self._own_leaving())
        oldest = node.clock.now() - node.settings.timing.evidence_fresh_s
        for hosts, asked_at in self._peer_leaving.values():
            if asked_at > oldest:
                leaving |= hosts
        return leaving

    def _watched_groups(self) -> list[GroupRecord]:
        """Return the groups that this node watches."""
        nodes = self._node.roster.live_node_names()
        basis = (self._node.replicas.changes, tuple(nodes))
        if basis != self._watched_basis:
            # Ranking every replica over all nodes is too much for each pong.
            self._watched_basis = basis
            self._watched = [
                group
                for group in self._node.replicas.all_groups()
                if self._node.name in watchers_of(group.replica, nodes)
            ]
        return self._watched

    def assign_watch(self) -> None:
        """Watch the hosts that rendezvous hashing gives to this node, and report on them."""
        node = self._node
        groups = self._watched_groups()
        grouped = {host for group in node.replicas.all_groups() for host in group.hosts}
        watched = {host for group in groups for host in group.hosts}
        nodes = node.roster.live_node_names()
        for host in node.directory.of_kind(HostKind.ENGINE):
            is_ours = host.name not in grouped and node.name in watchers_of(host.name, nodes)
            if is_ours or (node.lease.is_held() and self._is_unreported(host.name)):
                watched.add(host.name)
        addresses = {}
        for name in sorted(watched):
            host = node.directory.get(name)
            if host is not None and host.state is not HostState.GONE:
                addresses[name] = Address.parse(host.address)
        node.watch.assign(addresses, groups)
        now = node.clock.now()
        for group in groups:
            in_flight = node.replicas.load_of(group.replica).in_flight
            report = node.watch.report_replica(group, in_flight)
            if report is not None:
                node.wholeness.record_report(group.replica, report, now)

    def _is_unreported(self, host: str) -> bool:
        """Whether no peer has told of a host lately, so that we have to ask or look."""
        known = self._peer_hosts.get(host)
        return known is None or self._is_old(known[1])

    def _is_unknown(self, host: str) -> bool:
        """Whether neither a peer nor our own watch has told of a host lately."""
        own = self._node.watch.host_observations.get(host)
        return self._is_unreported(host) and (own is None or self._is_old(own.asked_at))

    def _is_old(self, seen_at: float) -> bool:
        return self._node.clock.now() - seen_at > self._node.settings.timing.whole_fresh_s
