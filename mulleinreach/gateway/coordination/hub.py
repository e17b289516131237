"""The coordinator's side of its connections with all other nodes.

Explanation
===========

Every node reports its load. The hub sends the totals and the coordinator's state to all nodes.
Totals are encoded once for all nodes; changes of the upstream list are sent to each node once,
in order.
"""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.coordination.coordinator_messages import (
    encode_coordinator_report,
    encode_totals,
)
from mulleinreach.gateway.coordination.frames import FrameReader, FrameWriter, PeerError
from mulleinreach.gateway.coordination.knowledge import Knowledge
from mulleinreach.gateway.coordination.lease import CoordinatorLease, Resignation, Successor
from mulleinreach.gateway.coordination.list_messages import ChangePacker, encode_list
from mulleinreach.gateway.coordination.node_messages import decode_node_report
from mulleinreach.gateway.coordination.node_numbers import NodeNumbers
from mulleinreach.gateway.coordination.permit_allocation import PermitAllocator
from mulleinreach.gateway.coordination.reports import CoordinatorReport, NodeReport
from mulleinreach.gateway.coordination.share_leasing import ShareLeasing
from mulleinreach.gateway.coordination.totals import TotalsCompactor, sum_loads
from mulleinreach.gateway.coordination.tunnel_assignment import TunnelAssignment
from mulleinreach.gateway.state.leased_share import ShareLease
from mulleinreach.gateway.state.permits import PermitCount

REPORT_INTERVAL_S = 0.1
# Limits the coordinator's processor time in large deployments.
LARGE_CLUSTER_INTERVAL_S = 0.2
SMALL_CLUSTER_MAX_NODES = 32
# A connection without a report for this time is closed.
REPORT_TIMEOUT_S = 1.0
MAX_BUFFERED_BYTES = 262_144
# By then a node that can read the store has replaced a coordinator that resigned.
REPLACEMENT_DEADLINE_S = 2.0
# By then most nodes have connected to a new coordinator.
TUNNEL_ASSIGNMENT_DELAY_S = 0.5
# Long enough to detect a failed hall by the age of its nodes' last reports.
RECENT_NODE_TTL_S = 5.0


def report_interval_s(node_count: int) -> float:
    """Return the interval between the reports of each node and of the coordinator."""
    return REPORT_INTERVAL_S if node_count <= SMALL_CLUSTER_MAX_NODES else LARGE_CLUSTER_INTERVAL_S


@dataclass(frozen=True)
class RecentNode:
    """The latest report of a node, whose connection may have ended since.

    Parameters
    ==========

    silent_s : seconds since the report was received; 0 for the coordinator itself.
    """

    report: NodeReport
    silent_s: float


@dataclass(frozen=True)
class _ReceivedReport:
    report: NodeReport
    received_at: float


@dataclass(eq=False)
class _Member:
    """A node that is connected to this coordinator."""

    writer: FrameWriter
    report: NodeReport | None = None
    sent_revision: int | None = None
    sent_configuration: int = 0
    has_list: bool = False
    sent_tunnel_servers: tuple[Address, ...] | None = None
    # Sequence number of the latest report for which permits were allocated.
    allocated_seq: int = -1


class MemberHub:
    """Serves the connections of all other nodes while this node coordinates.

    Parameters
    ==========

    own_report : returns this node's own report.
    regions : the region of each hall.
    shared_window_s : length of the windows of bounds on all nodes together.
    """

    def __init__(
        self,
        lease: CoordinatorLease,
        network: Network,
        address: Address,
        clock: Clock,
        knowledge: Knowledge,
        own_report: Callable[[], NodeReport],
        regions: Mapping[str, str],
        shared_window_s: float,
        log: EventLog,
    ):
        self._lease = lease
        self._network = network
        self._address = address
        self._clock = clock
        self._knowledge = knowledge
        self._own_report = own_report
        self._regions = regions
        self._tunnels = TunnelAssignment(regions, clock.now())
        self._members: dict[object, _Member] = {}
        self._received: dict[str, _ReceivedReport] = {}
        self._server: asyncio.AbstractServer | None = None
        self._compactor = TotalsCompactor()
        self._latest_totals: bytes | None = None
        self._numbering = NodeNumbers(clock.now())
        self._allocator = PermitAllocator(clock.now())
        self.shares = ShareLeasing(lease, shared_window_s, clock, log)
        self._encoded_list: tuple[int, bytes] = (0, b"")
        self._change_packer = ChangePacker()
        self._resignation: Resignation | None = None
        self._resigned_at = 0.0
        self._has_lost_members = False
        # The coordinator that has replaced this one, as reported by the new one.
        self.successor: Successor | None = None
        self.is_open = False
        self.node_count = 1

    @property
    def resignation(self) -> Resignation | None:
        """The resignation in force; ``None`` while the lease is held."""
        return self._resignation

    @resignation.setter
    def resignation(self, resignation: Resignation | None) -> None:
        if self._resignation is None:
            self._resigned_at = self._clock.now()
            self._has_lost_members = False
        self._resignation = resignation

    def is_store_unavailable(self) -> bool:
        """Whether no node appears to be able to read the store.

        A node that can read it replaces a resigned coordinator and disconnects from it. Without
        connected nodes, an outage of the store can't be distinguished from a network partition.
        """
        if self._resignation is None or self._has_lost_members or not self._members:
            return False
        return self._clock.now() - self._resigned_at > REPLACEMENT_DEADLINE_S

    def has_member_reaching_hosts(self) -> bool:
        """Whether another node can connect to hosts."""
        reports = [member.report for member in self._members.values()]
        return any(report is not None and report.tunnel_address for report in reports)

    async def listen(self) -> None:
        """Start listening; reports are accepted while the hub is open."""
        self._server = await self._network.listen(self._address, self._serve_member)

    def stop_listening(self) -> None:
        """Refuse new connections, which shows other nodes that this process is ending."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """Close all connections."""
        for member in list(self._members.values()):
            member.writer.close()

    async def report_to_members(self) -> None:
        """Send the totals to all members periodically, until cancelled."""
        self._numbering = NodeNumbers(self._clock.now())
        self._allocator = PermitAllocator(self._clock.now())
        self.shares.begin_term()
        self._tunnels = TunnelAssignment(
            self._regions, self._clock.now() + TUNNEL_ASSIGNMENT_DELAY_S
        )
        while True:
            reports = self.node_reports()
            self.node_count = len(reports)
            loads = sum_loads(reports)
            totals = self._knowledge.totals(self._lease.token, len(reports), loads)
            totals = replace(
                totals,
                resignation=self.resignation,
                is_store_unavailable=self.is_store_unavailable(),
                successor=self.successor,
                numbers=self._numbers(),
            )
            encoded = self._latest_totals = encode_totals(self._compactor.compact(totals))
            permits = self._allocate_permits(reports[0])
            shares = self.shares.lease(reports)
            self._tunnels.update(reports, self._clock.now())
            for member in list(self._members.values()):
                if member.report is not None:
                    member_permits = tuple(permits.get(member, ()))
                    share = shares.get(member.report.incarnation)
                    self._report_to(member, encoded, member_permits, share)
            # Applying its own flag would make this node retain removed upstreams forever.
            own_totals = replace(totals, keeps_removed=False)
            own = CoordinatorReport(
                0,
                own_totals,
                permits=tuple(permits.get(None, ())),
                tunnel_servers=self._tunnels.servers_of(reports[0].node),
                share=shares.get(reports[0].incarnation),
            )
            self._knowledge.take(own, self._clock.now(), reports[0].loads)
            await asyncio.sleep(report_interval_s(self.node_count))

    def _numbers(self) -> int:
        """Return the count of node numbers; 0 if another node may be coordinating."""
        if self._lease.is_held():
            known = [m for m in self._members.values() if m.report is not None]
            self._numbering.update(known, self._clock.now())
            return self._numbering.count
        return self._numbering.count if self.is_store_unavailable() else 0

    def _allocate_permits(self, own_report: NodeReport) -> dict[_Member | None, list[PermitCount]]:
        """Return the permits for each member; those for this node have the key ``None``."""
        if not (self._lease.is_held() or self.is_store_unavailable()):
            return {}
        wanted: dict[_Member | None, tuple[PermitCount, ...]] = {None: own_report.wanted}
        for member in self._members.values():
            # A report that was already answered doesn't account for the permits in the answer.
            if member.report is not None and member.report.seq != member.allocated_seq:
                wanted[member] = member.report.wanted
                member.allocated_seq = member.report.seq
        return self._allocator.allocate(wanted, self._knowledge.limits(), self._clock.now())

    def _report_to(
        self,
        member: _Member,
        totals: bytes,
        permits: tuple[PermitCount, ...] = (),
        share: ShareLease | None = None,
    ) -> None:
        whole_list = self._list_for(member)
        if member.sent_revision is None:
            member.sent_revision = member.report.list_revision
        changes = self._knowledge.changes_since(member.sent_revision)
        if changes:
            member.sent_revision = changes[-1].revision
        is_unknown = changes is None
        if is_unknown:
            # The node reads the list from the store and reports its new revision.
            member.sent_revision = None
        data = encode_coordinator_report(
            member.report.seq,
            totals,
            self._change_packer.pack(changes or ()),
            is_unknown,
            self._missing_configuration(member),
            whole_list,
            self._numbering.number_of(member),
            permits,
            self._changed_tunnel_servers(member),
            share,
        )
        if member.writer.buffered_bytes() > MAX_BUFFERED_BYTES:
            # Changes must not be skipped, so a node that reads too slowly has to reconnect.
            member.writer.close()
        else:
            member.writer.write(data)

    def _list_for(self, member: _Member) -> bytes:
        """Return the encoded list for a member without one; empty if it was sent before."""
        if member.has_list or member.report.list_revision:
            member.has_list = True
            return b""
        whole = self._knowledge.whole_list()
        if whole is None:
            return b""
        if self._encoded_list[0] != whole.revision:
            self._encoded_list = (whole.revision, encode_list(whole))
        member.has_list, member.sent_revision = True, whole.revision
        return self._encoded_list[1]

    def _missing_configuration(self, member: _Member) -> bytes:
        """Return the configuration if a member lacks it; each version is sent once."""
        version = self._knowledge.configuration_version()
        if max(member.report.configuration_version, member.sent_configuration) >= version:
            return b""
        member.sent_configuration = version
        return self._knowledge.configuration_document()

    def _changed_tunnel_servers(self, member: _Member) -> tuple[Address, ...] | None:
        """Return the tunnel servers of a member; ``None`` if it has them already."""
        servers = self._tunnels.servers_of(member.report.node)
        if servers == member.sent_tunnel_servers:
            return None
        member.sent_tunnel_servers = servers
        return servers

    def node_reports(self) -> list[NodeReport]:
        """Return the latest report of each connected node, this node's own first."""
        return [self._own_report()] + [
            m.report for m in self._members.values() if m.report is not None
        ]

    def recent_nodes(self) -> list[RecentNode]:
        """Return the nodes that reported recently, connected or not, this node first."""
        now = self._clock.now()
        self._received = {
            n: r for n, r in self._received.items() if now - r.received_at <= RECENT_NODE_TTL_S
        }
        others = [RecentNode(r.report, now - r.received_at) for r in self._received.values()]
        return [RecentNode(self._own_report(), 0.0), *others]

    def _record_report(self, report: NodeReport) -> None:
        """Record a node's report; a node that is stopping is removed instead."""
        if report.is_stopping:
            self._received.pop(report.node, None)
        else:
            self._received[report.node] = _ReceivedReport(report, self._clock.now())

    def _accept_successor(self, successor: Successor) -> None:
        """Record a successor that has a higher token than this coordinator."""
        if successor.token > self._lease.token:
            self.successor = successor

    async def _serve_member(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        member, frames = _Member(FrameWriter(writer)), FrameReader(reader)
        key = object()
        self._members[key] = member
        try:
            while self.is_open:
                async with asyncio.timeout(REPORT_TIMEOUT_S):
                    report = decode_node_report(await frames.read())
                if not hmac.compare_digest(report.secret, self._lease.secret):
                    raise PeerError("report without the secret of the lease")
                if report.successor is not None:
                    self._accept_successor(report.successor)
                    return
                is_first = member.report is None
                member.report = report
                self._knowledge.merge_sightings(report.sightings)
                self._knowledge.merge_served(
                    report.node, report.served_count, report.known_suspects
                )
                self._knowledge.merge_limits(report.limits)
                self._record_report(report)
                self.shares.note_end(report)
                if is_first and self._latest_totals is not None:
                    # A node that has just connected gets the current state without delay.
                    self._report_to(member, self._latest_totals)
        except (PeerError, OSError, TimeoutError):
            pass
        finally:
            self._members.pop(key, None)
            is_expected = member.report is None or member.report.is_stopping
            if self._resignation is not None and not is_expected:
                self._has_lost_members = True
            writer.close()
