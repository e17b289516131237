"""The coordinator's side of the connections with all other nodes.

Explanation
===========

Every node reports what it has in flight; the hub adds that up and tells all nodes the
totals, and what else the coordinator knows. The totals are encoded once for all; the
changes of the list go to each node once, in order.
"""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from mulleinreach.common import Address, Clock, Network
from mulleinreach.gateway.coordination.frames import FrameReader, FrameWriter, PeerError
from mulleinreach.gateway.coordination.lease import CoordinatorLease, Resignation, Successor
from mulleinreach.gateway.coordination.messages import (
    decode_node_report,
    encode_coordinator_report,
    encode_list,
    encode_totals,
)
from mulleinreach.gateway.coordination.numbering import NodeNumbers
from mulleinreach.gateway.coordination.reports import (
    CoordinatorReport,
    NodeReport,
    OpenHead,
    Totals,
)
from mulleinreach.gateway.known.crashes import Sighting
from mulleinreach.gateway.known.load import LoadReport
from mulleinreach.gateway.known.upstreams import ListChange
from mulleinreach.gateway.model import Inheritance
from mulleinreach.gateway.ports import OperatorRows

REPORT_INTERVAL_S = 0.1
# With many nodes the reports would take too much of a slow coordinator's time.
LARGE_INTERVAL_S = 0.2
LARGE_NODES = 32
# One report in so many names open heads and held requests even if they are as they were told last.
HEADS_EVERY = 10
# A connection on which no report came for so long is given up.
SILENCE_S = 1.0
MAX_BUFFERED_BYTES = 262_144
# A node that can read the store has by then noticed that its evidence is old (1.5 s),
# has read and asked for the lease (0.3 s), and has left a coordinator that resigned.
REPLACED_BY_S = 2.0
# A hall that fails is found within some seconds of its nodes' last reports. Nodes that were
# taken away should not count for longer.
HEARD_MEMORY_S = 5.0


def report_interval_s(node_count: int) -> float:
    """Return the time between two reports, which all nodes keep."""
    return REPORT_INTERVAL_S if node_count <= LARGE_NODES else LARGE_INTERVAL_S


@dataclass(frozen=True)
class HeardNode:
    """A node as it was heard last; its connection may have ended since then.

    Parameters
    ==========

    silent_s : time since its latest report; 0 at the coordinator itself.
    """

    report: NodeReport
    silent_s: float


@dataclass(frozen=True)
class _Heard:
    report: NodeReport
    at: float


@dataclass(eq=False)
class _Member:
    """A node that is connected to this coordinator."""

    writer: FrameWriter
    report: NodeReport | None = None
    sent_revision: int | None = None
    sent_configuration: int = 0
    has_list: bool = False


class Knowledge(Protocol):
    """What this node knows, to be passed on, and takes what is passed on to it."""

    def totals(self, token: int, nodes: int, loads: list[LoadReport]) -> Totals:
        """Return what all nodes should know, heads included."""

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return the changes of the list after a revision, ``None`` if too many."""

    def whole_list(self) -> ListChange | None:
        """Return all upstreams of this node's list, ``None`` before the first one."""

    def list_revision(self) -> int:
        """Return the revision of this node's list; 0 before the first one."""

    def configuration_version(self) -> int:
        """Return the version in force at this node; 0 before the first one."""

    def configuration_document(self) -> bytes:
        """Return the configuration in force, in a form that other nodes can decode."""

    def evidence_age_s(self) -> float:
        """Return the age of the latest proof that operators have written nothing newer."""

    def operator_rows(self) -> OperatorRows | None:
        """Return the operators' rows in the store, if this node has read them."""

    def confirm(self, rows: OperatorRows | None, asked_at: float) -> None:
        """Take in that a write under the versions of these rows was done after ``asked_at``."""

    async def read_changed_rows(self, rows: OperatorRows | None) -> None:
        """Read the operators' rows, which have other versions, unless a wait has told it."""

    async def read_unproven_rows(self) -> None:
        """Read the operators' rows if renewals have not proved them for too long."""

    def inheritance(self) -> Inheritance:
        """Return what nodes that start should know."""

    def take_inheritance(self, inheritance: Inheritance) -> None:
        """Take what an earlier coordinator knew."""

    def sightings(self, includes_old: bool) -> list[Sighting]:
        """Return what this node saw of upstreams that ended under requests, lately or ever."""

    def take_sightings(self, sightings: list[Sighting]) -> None:
        """Take what another node saw of upstreams that ended under requests."""

    def note_store_failed(self) -> None:
        """Note that the store has just failed to answer."""

    def take(self, report: CoordinatorReport, asked_at: float, own_loads: list[LoadReport]) -> None:
        """Take a report that answers what this node had sent at ``asked_at``."""


class MemberHub:
    """The connections of all other nodes with this one while it coordinates.

    Parameters
    ==========

    own_report : returns what this node itself would report.
    """

    def __init__(
        self,
        lease: CoordinatorLease,
        network: Network,
        address: Address,
        clock: Clock,
        knowledge: Knowledge,
        own_report: Callable[[], NodeReport],
    ):
        self._lease = lease
        self._network = network
        self._address = address
        self._clock = clock
        self._knowledge = knowledge
        self._own_report = own_report
        self._members: dict[object, _Member] = {}
        self._heard: dict[str, _Heard] = {}
        self._server: asyncio.AbstractServer | None = None
        self._told_heads: list[OpenHead] = []
        self._told_held: set[int] = set()
        self._round = 0
        self._latest_totals: bytes | None = None
        self._numbering = NodeNumbers(clock.now())
        self._encoded_list: tuple[int, bytes] = (0, b"")
        self._resignation: Resignation | None = None
        self._resigned_at = 0.0
        self._has_deserters = False
        # Who has replaced this coordinator, as the new one told here.
        self.successor: Successor | None = None
        self.is_open = False
        self.node_count = 1

    @property
    def resignation(self) -> Resignation | None:
        """What the coordinator told when it could not renew its lease, while that holds."""
        return self._resignation

    @resignation.setter
    def resignation(self, resignation: Resignation | None) -> None:
        if self._resignation is None:
            self._resigned_at = self._clock.now()
            self._has_deserters = False
        self._resignation = resignation

    def is_store_away(self) -> bool:
        """Whether no node can read the store, as far as can be told here.

        A node that can read it replaces a coordinator that has resigned, and leaves.
        A coordinator that nobody reports to can't tell an outage from a cut.
        """
        if self._resignation is None or self._has_deserters or not self._members:
            return False
        return self._clock.now() - self._resigned_at > REPLACED_BY_S

    async def listen(self) -> None:
        """Listen for other nodes; they are heard while the hub is open."""
        self._server = await self._network.listen(self._address, self._serve_member)

    def stop_listening(self) -> None:
        """Refuse new connections, which shows others that this process ends."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """End the connections that there are."""
        for member in list(self._members.values()):
            member.writer.close()

    async def report_to_members(self) -> None:
        """Tell all members the totals, for ever."""
        self._numbering = NodeNumbers(self._clock.now())
        while True:
            reports = self.node_reports()
            self.node_count = len(reports)
            loads = sum_loads(reports)
            totals = self._knowledge.totals(self._lease.token, len(reports), loads)
            totals = replace(
                totals,
                resignation=self.resignation,
                is_store_away=self.is_store_away(),
                successor=self.successor,
                numbers=self._numbers(),
            )
            encoded = self._latest_totals = encode_totals(self._shortened(totals))
            for member in list(self._members.values()):
                if member.report is not None:
                    self._report_to(member, encoded)
            # Its own word on removed upstreams would keep them for ever.
            own = CoordinatorReport(0, replace(totals, keeps_removed=False))
            self._knowledge.take(own, self._clock.now(), reports[0].loads)
            await asyncio.sleep(report_interval_s(self.node_count))

    def _numbers(self) -> int:
        """Return how many numbers the nodes have; 0 where another one may coordinate by now."""
        if self._lease.is_held():
            known = [m for m in self._members.values() if m.report is not None]
            self._numbering.update(known, self._clock.now())
            return self._numbering.count
        return self._numbering.count if self.is_store_away() else 0

    def _shortened(self, totals: Totals) -> Totals:
        """Return totals without what the nodes know already or have no use for."""
        self._round += 1
        loads = [load for load in totals.loads if load.running > 0]
        heads = totals.heads
        if heads == self._told_heads and self._round % HEADS_EVERY:
            heads = None
        else:
            self._told_heads = heads
        held = totals.held
        contents = {h.content for h in held or ()}
        if contents == self._told_held and self._round % HEADS_EVERY:
            held = None
        else:
            self._told_held = contents
        return replace(totals, loads=loads, heads=heads, held=held)

    def _report_to(self, member: _Member, totals: bytes) -> None:
        whole_list = self._list_for(member)
        if member.sent_revision is None:
            member.sent_revision = member.report.list_revision
        changes = self._knowledge.changes_since(member.sent_revision)
        if changes:
            member.sent_revision = changes[-1].revision
        is_unknown = changes is None
        if is_unknown:
            # The node reads the list itself, and tells how far it then goes.
            member.sent_revision = None
        data = encode_coordinator_report(
            member.report.seq,
            totals,
            changes or [],
            is_unknown,
            self._lacking(member),
            whole_list,
            self._numbering.number_of(member),
        )
        if member.writer.buffered_bytes() > MAX_BUFFERED_BYTES:
            # Changes can't be left out, so a node that is too slow begins anew.
            member.writer.close()
        else:
            member.writer.write(data)

    def _list_for(self, member: _Member) -> bytes:
        """Return the whole list for a member that has none; it is sent to it once."""
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

    def _lacking(self, member: _Member) -> bytes:
        """Return the configuration if a member lacks it; each is sent to it once."""
        version = self._knowledge.configuration_version()
        if max(member.report.configuration_version, member.sent_configuration) >= version:
            return b""
        member.sent_configuration = version
        return self._knowledge.configuration_document()

    def node_reports(self) -> list[NodeReport]:
        """Return the latest report of each node, our own first."""
        return [self._own_report()] + [
            m.report for m in self._members.values() if m.report is not None
        ]

    def heard_nodes(self) -> list[HeardNode]:
        """Return the nodes that were heard lately, connected or not, our own first."""
        now = self._clock.now()
        self._heard = {n: h for n, h in self._heard.items() if now - h.at <= HEARD_MEMORY_S}
        others = [HeardNode(heard.report, now - heard.at) for heard in self._heard.values()]
        return [HeardNode(self._own_report(), 0.0), *others]

    def _note_heard(self, report: NodeReport) -> None:
        """Note when a node was heard; one that stops as planned is silent from then on."""
        if report.is_stopping:
            self._heard.pop(report.node, None)
        else:
            self._heard[report.node] = _Heard(report, self._clock.now())

    def _take_successor(self, successor: Successor) -> None:
        """Take the word of a new coordinator, which has read this one's secret in the row."""
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
                async with asyncio.timeout(SILENCE_S):
                    report = decode_node_report(await frames.read())
                if not hmac.compare_digest(report.secret, self._lease.secret):
                    raise PeerError("a report without the secret of the lease")
                if report.successor is not None:
                    self._take_successor(report.successor)
                    return
                is_first = member.report is None
                member.report = report
                self._knowledge.take_sightings(report.sightings)
                self._note_heard(report)
                if is_first and self._latest_totals is not None:
                    # What a node knows at its start it should know at once.
                    self._report_to(member, self._latest_totals)
        except (PeerError, OSError, TimeoutError):
            pass
        finally:
            self._members.pop(key, None)
            is_expected = member.report is None or member.report.is_stopping
            if self._resignation is not None and not is_expected:
                self._has_deserters = True
            writer.close()


def sum_loads(reports: list[NodeReport]) -> list[LoadReport]:
    """Return the load of several nodes together, one report an upstream.

    Examples
    ========

    >>> one = NodeReport("a", [LoadReport("u", 1, 10, 0.5, 0.5)])
    >>> two = NodeReport("b", [LoadReport("u", 2, 0, 0.1, 2.0)])
    >>> sum_loads([one, two])  # doctest: +NORMALIZE_WHITESPACE
    [LoadReport(upstream_id='u', running=3, pending_tokens=10, silent_s=0.1, oldest_s=2.0,
    standing_back=0)]
    """
    totals: dict[str, LoadReport] = {}
    for report in reports:
        for load in report.loads:
            known = totals.get(load.upstream_id)
            if known is not None:
                load = LoadReport(
                    load.upstream_id,
                    known.running + load.running,
                    known.pending_tokens + load.pending_tokens,
                    min(known.silent_s, load.silent_s),
                    max(known.oldest_s, load.oldest_s),
                    known.standing_back + load.standing_back,
                )
            totals[load.upstream_id] = load
    return list(totals.values())
