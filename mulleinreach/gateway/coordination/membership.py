"""Finds or becomes the coordinator, and exchanges reports with it.

Explanation
===========

Every node has one connection to the coordinator. Over it go what the node has in
flight, and back come the totals, the heads that are open and the upstreams that
are lost. A node that is connected has no need to read the lease. A refused
connection shows that the holder's process has ended, so the lease may be taken
at once; silence shows nothing, and the lease has to lapse first.

A coordinator that can't renew its lease gives no more orders, but stays the place
where nodes meet: it resigns in its reports, goes on once it can renew the same row,
and is replaced by a node that can read the store itself.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import deque
from collections.abc import Awaitable, Callable

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.coordination.election import election_delay_s
from mulleinreach.gateway.coordination.frames import FrameReader, FrameWriter, PeerError
from mulleinreach.gateway.coordination.hub import (
    MAX_BUFFERED_BYTES,
    SILENCE_S,
    HeardNode,
    Knowledge,
    MemberHub,
    report_interval_s,
)
from mulleinreach.gateway.coordination.lease import (
    RENEW_S,
    CoordinatorLease,
    LeaseState,
    Renewal,
    Resignation,
    Successor,
)
from mulleinreach.gateway.coordination.messages import (
    CoordinatorReport,
    NodeReport,
    decode_coordinator_report,
    encode_node_report,
)
from mulleinreach.gateway.coordination.succession import CONNECT_S, tell_replaced
from mulleinreach.gateway.known.load import LoadBook, LoadReport
from mulleinreach.gateway.ports import GatewayIdentity, LeaseRecord

OWN_REPORTS_KEPT = 40
RETRY_S = 0.3
RECONNECT_S = 0.05
RENEW_AGAIN_S = 0.15
RENEW_PAUSES_S = {
    Renewal.DONE: RENEW_S,
    Renewal.DONE_CHANGED: RENEW_S,
    # The next answer may be lost too, and the lease counts from the earlier write.
    Renewal.DONE_BEFORE: 0.3,
}
# Without the lease there is no hurry but to find out that the store is back.
TAKE_UP_AGAIN_S = 0.5
# Evidence that is younger shows that this node reads the store itself.
OWN_EVIDENCE_S = 0.9
# For so long a replaced coordinator tells its nodes who has replaced it: two reports at
# least reach a node that is connected.
SUCCESSOR_TOLD_S = 0.5


class _Ended(enum.Enum):
    """Why following a coordinator came to its end."""

    PROCESS_GONE = enum.auto()
    UNREACHED = enum.auto()
    LOST = enum.auto()
    RESIGNED = enum.auto()
    REPLACED = enum.auto()


class Coordination:
    """This node's part: coordinator or one that reports to it.

    Parameters
    ==========

    identity : who this node is, and where the others reach it.
    coordinate : runs for as long as the lease is held; cancelled when it is lost.
    knowledge : what is passed on.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        lease: CoordinatorLease,
        loads: LoadBook,
        network: Network,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        coordinate: Callable[[], Awaitable[None]],
        knowledge: Knowledge,
    ):
        self._identity = identity
        self._lease = lease
        self._loads = loads
        self._network = network
        self._clock = clock
        self._log = log
        self._rng = rng
        self._coordinate = coordinate
        self._knowledge = knowledge
        self._hub = MemberHub(lease, network, identity.peers, clock, knowledge, self._own_report)
        self._seq = 0
        self._sent: deque[tuple[int, float, list[LoadReport]]] = deque(maxlen=OWN_REPORTS_KEPT)
        self._resignation: Resignation | None = None
        self._seen_state: LeaseState | None = None
        self._told_node_count = 1
        # Whether a coordinator reports to this node.
        self.is_following = False
        self.is_stopping = False

    async def listen(self) -> None:
        """Accept connections of other nodes."""
        await self._hub.listen()

    async def close(self) -> None:
        """Stop listening and end the connections."""
        self._lease.give_up()
        self._hub.stop_listening()
        self._hub.close_connections()

    @property
    def is_hub(self) -> bool:
        """Whether the other nodes meet here, under the lease or while it can't be renewed."""
        return self._hub.is_open

    @property
    def node_count(self) -> int:
        """How many nodes there are, as known."""
        return self._hub.node_count if self.is_hub else self._told_node_count

    def node_reports(self) -> list[NodeReport]:
        """Return the latest report of each node, our own first."""
        return self._hub.node_reports()

    def heard_nodes(self) -> list[HeardNode]:
        """Return the nodes that were heard lately, our own first."""
        return self._hub.heard_nodes()

    async def run(self) -> None:
        """Take part for ever."""
        while True:
            try:
                await self._take_part_once()
            except (OSError, PeerError) as error:
                self._log.event("coordination_failed", why=repr(error))
                await asyncio.sleep(RETRY_S)

    async def _take_part_once(self) -> None:
        state = self._seen_state or await self._look()
        self._seen_state = None
        if state is LeaseState.UNKNOWN:
            await asyncio.sleep(RETRY_S)
        elif state is LeaseState.FREE:
            await self._stand_for_election()
        elif state is LeaseState.OTHERS:
            ended = await self._follow(Address.parse(self._lease.record.address))
            if ended is _Ended.PROCESS_GONE:
                await self._stand_for_election()
            elif ended is _Ended.RESIGNED:
                await self._stand_after_resignation(self._resignation)
            elif ended is _Ended.REPLACED:
                self._seen_state = LeaseState.OTHERS
            else:
                is_new = ended is _Ended.LOST
                await asyncio.sleep(RECONNECT_S if is_new else RETRY_S)

    async def _look(self) -> LeaseState:
        """Read the lease's row, and what its holder left there for nodes that start."""
        state = await self._lease.look()
        if self._lease.record is not None:
            self._knowledge.take_first_waits(self._lease.record.first_waits)
        return state

    async def _stand_for_election(self) -> None:
        if self.is_stopping:
            await asyncio.sleep(RETRY_S)
            return
        record = self._lease.record
        await asyncio.sleep(self._election_delay_s())
        # Most nodes find here that another one was first, which spares them a write.
        # A row that its holder has renewed meanwhile must not be taken either.
        state = await self._lease.look()
        if self._lease.record != record:
            self._seen_state = state
        elif state is not LeaseState.UNKNOWN and await self._lease.acquire():
            await self._hold_after(record)
        else:
            await self._rest_after_election()

    async def _stand_after_resignation(self, resignation: Resignation) -> None:
        await asyncio.sleep(self._election_delay_s())
        replaced = self._lease.record
        if not self.is_stopping and await self._lease.acquire_after(resignation):
            await self._hold_after(replaced)
        else:
            await self._rest_after_election()

    async def _rest_after_election(self) -> None:
        """Leave time to the node that was first, or to a store that loses answers."""
        await asyncio.sleep(self._rng.uniform(1, 2) * RETRY_S)

    async def _hold_after(self, replaced: LeaseRecord | None) -> None:
        """Coordinate, and tell the holder of an earlier record, if that was another node."""
        if replaced is None or replaced.address == str(self._identity.peers):
            await self._hold()
            return
        own = self._lease.as_successor()
        telling = asyncio.create_task(
            tell_replaced(replaced, own, self._identity.name, self._network, self._log)
        )
        try:
            await self._hold()
        finally:
            telling.cancel()

    def _election_delay_s(self) -> float:
        return election_delay_s(self._identity, self._rng)

    # At the coordinator.

    async def _hold(self) -> None:
        """Coordinate until somebody else holds the lease, or this node stops."""
        self._hub.resignation = None
        self._hub.successor = None
        self._hub.is_open = True
        reporting = asyncio.create_task(self._hub.report_to_members())
        try:
            while await self._coordinate_while_held(reporting):
                if not await self._take_up_again(reporting):
                    break
        finally:
            self._hub.is_open = False
            self._lease.give_up()
            self._log.event("lease_ended", token=self._lease.token)
            reporting.cancel()
            await asyncio.gather(reporting, return_exceptions=True)
            if self.is_stopping:
                # Others take the lease at once where they find nobody listening.
                self._hub.stop_listening()
            self._hub.close_connections()

    async def _coordinate_while_held(self, reporting: asyncio.Task) -> bool:
        """Do the duty under the lease; returns whether it merely can't be renewed."""
        duty = asyncio.create_task(self._coordinate())
        fenced = asyncio.create_task(self._lease.fenced.wait())
        pause_s, renewal = RENEW_S, Renewal.DONE
        try:
            while not self.is_stopping:
                waits = {duty, reporting, fenced}
                done, _ = await asyncio.wait(
                    waits, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
                )
                if fenced in done:
                    return False
                if done:
                    self._log.event("duty_failed", why=repr(done.pop().exception()))
                    return False
                renewal = await self._renew()
                if renewal is Renewal.LOST:
                    return False
                if not self._lease.is_held():
                    return True
                pause_s = RENEW_PAUSES_S.get(renewal, RENEW_AGAIN_S)
            # A node that stops hands the lease over, unless nobody can take it.
            return renewal is Renewal.UNKNOWN
        finally:
            duty.cancel()
            fenced.cancel()
            await asyncio.gather(duty, fenced, return_exceptions=True)

    async def _renew(self) -> Renewal:
        """Renew the lease, and have the same write prove what is known of the store."""
        rows = self._knowledge.operator_rows()
        asked_at = self._clock.now()
        renewal = await self._lease.renew(rows, self._knowledge.first_waits())
        if renewal is Renewal.DONE:
            self._knowledge.confirm(rows, asked_at)
        elif renewal is Renewal.DONE_CHANGED:
            await self._knowledge.read_changed_rows(rows)
        elif renewal is Renewal.DONE_BEFORE:
            await self._knowledge.read_unproven_rows()
        elif renewal is Renewal.UNKNOWN:
            self._knowledge.note_store_failed()
        return renewal

    async def _take_up_again(self, reporting: asyncio.Task) -> bool:
        """Resign, and wait until the row can be renewed; returns whether it could.

        A node that stops stays the place where the others meet: while nobody can write
        the row, no other one can take its place.
        """
        self._lease.give_up()
        self._log.event("lease_lapsed", token=self._lease.token)
        while not reporting.done():
            if self._hub.successor is not None:
                return await self._give_way(self._hub.successor)
            self._hub.resignation = Resignation(self._lease.token, self._lease.record.renewal)
            renewal = await self._renew()
            if renewal is Renewal.LOST:
                return False
            if renewal is not Renewal.UNKNOWN:
                self._hub.resignation = None
                self._log.event("lease_taken_up_again", token=self._lease.token)
                return True
            await asyncio.sleep(TAKE_UP_AGAIN_S)
        return False

    async def _give_way(self, successor: Successor) -> bool:
        """Tell the nodes that meet here whom to follow, then follow it too."""
        self._log.event("coordinator_replaced", token=successor.token, by=successor.address)
        await asyncio.sleep(SUCCESSOR_TOLD_S)
        self._lease.adopt(successor)
        self._seen_state = LeaseState.OTHERS
        return False

    def _own_report(self) -> NodeReport:
        loads = self._loads.own_reports()
        return NodeReport(
            self._identity.name,
            loads,
            self.is_stopping,
            self._lease.secret,
            self._seq,
            self._knowledge.list_revision(),
            self._knowledge.configuration_version(),
            hall=self._identity.hall,
        )

    # At the other nodes.

    async def _follow(self, address: Address) -> _Ended:
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await self._network.connect(address)
        except ConnectionRefusedError:
            return _Ended.PROCESS_GONE
        except (OSError, TimeoutError):
            return _Ended.UNREACHED
        sending = asyncio.create_task(self._report_to_coordinator(FrameWriter(writer)))
        frames = FrameReader(reader)
        ended = _Ended.UNREACHED
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    report = decode_coordinator_report(await frames.read())
                ended = _Ended.LOST
                self.is_following = True
                self._told_node_count = report.totals.nodes
                self._take(report)
                successor = report.totals.successor
                if successor is not None and successor.token > self._lease.token:
                    self._lease.adopt(successor)
                    return _Ended.REPLACED
                if self._can_replace(report):
                    self._resignation = report.totals.resignation
                    return _Ended.RESIGNED
        except (PeerError, OSError, TimeoutError):
            return ended
        finally:
            self.is_following = False
            sending.cancel()
            writer.close()

    def _can_replace(self, report: CoordinatorReport) -> bool:
        """Whether the coordinator has resigned for want of a store that we can read."""
        is_resigned = report.totals.resignation is not None
        return is_resigned and self._knowledge.evidence_age_s() < OWN_EVIDENCE_S

    def _take(self, report: CoordinatorReport) -> None:
        """Take a report; what it tells is no older than what it answers."""
        for seq, sent_at, loads in self._sent:
            if seq == report.echoed_seq:
                self._knowledge.take(report, sent_at, loads)
                return

    async def _report_to_coordinator(self, writer: FrameWriter) -> None:
        while not writer.is_closing():
            self._seq += 1
            report = self._own_report()
            self._sent.append((self._seq, self._clock.now(), report.loads))
            # A report that finds the buffer full is left out; the next one replaces it.
            if writer.buffered_bytes() < MAX_BUFFERED_BYTES:
                writer.write(encode_node_report(report))
            await asyncio.sleep(report_interval_s(self.node_count))
