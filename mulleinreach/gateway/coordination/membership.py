"""Finds the coordinator or becomes it, and exchanges reports with it.

Explanation
===========

Every node has one connection to the coordinator, and doesn't read the lease while it is connected.
A refused connection shows that the holder's process has ended, so the lease may be acquired at
once. After a timeout the lease has to expire first.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.coordination.election import election_delay_s
from mulleinreach.gateway.coordination.follower import FollowEndReason, Follower
from mulleinreach.gateway.coordination.frames import PeerError
from mulleinreach.gateway.coordination.hub import MemberHub, RecentNode
from mulleinreach.gateway.coordination.knowledge import Knowledge
from mulleinreach.gateway.coordination.lease import CoordinatorLease, LeaseState, Resignation
from mulleinreach.gateway.coordination.node_reports import OwnReports
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.coordination.succession import notify_replaced
from mulleinreach.gateway.coordination.term import CoordinatorTerm
from mulleinreach.gateway.deployment import GatewayIdentity
from mulleinreach.gateway.ports import LeaseRecord
from mulleinreach.gateway.state.load import LoadTracker

RETRY_S = 0.3
RECONNECT_S = 0.05


class Coordination:
    """Runs this node as the coordinator or as a follower of it.

    Parameters
    ==========

    identity : this node's name, address and resources.
    coordinate : runs while the lease is held; cancelled when the lease is lost.
    knowledge : the state that nodes exchange.
    incarnation : a random number that identifies this process.
    shared_window_s : length of the windows of bounds on all nodes together, of which the
        coordinator leases shares.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        lease: CoordinatorLease,
        loads: LoadTracker,
        network: Network,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        coordinate: Callable[[], Awaitable[None]],
        knowledge: Knowledge,
        incarnation: int,
        shared_window_s: float,
    ):
        self._identity = identity
        self._lease = lease
        self._network = network
        self._log = log
        self._rng = rng
        self._knowledge = knowledge
        self._own_reports = OwnReports(identity, lease, loads, knowledge, clock, incarnation)
        self._follower = Follower(lease, network, self._own_reports, knowledge)
        self._hub = MemberHub(
            lease,
            network,
            identity.peers_address,
            clock,
            knowledge,
            self._own_reports.current,
            identity.regions,
            shared_window_s,
            log,
        )
        self._term = CoordinatorTerm(
            lease, self._hub, self._own_reports, knowledge, coordinate, clock, log
        )
        self._known_state: LeaseState | None = None

    async def listen(self) -> None:
        """Accept connections from other nodes."""
        await self._hub.listen()

    def begin_stopping(self) -> None:
        """Announce that this node is stopping, and hand over the lease if it holds it."""
        self._own_reports.is_stopping = True

    def announce_end(self) -> None:
        """Release what this node holds of shared bounds, so that others get it at once."""
        self._knowledge.release_share()
        self._follower.send_last_report()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._lease.relinquish()
        self._hub.stop_listening()
        self._hub.close_connections()

    @property
    def is_hub(self) -> bool:
        """Whether other nodes report to this one, even while the lease can't be renewed."""
        return self._hub.is_open

    @property
    def is_following(self) -> bool:
        """Whether this node receives a coordinator's reports."""
        return self._follower.is_following

    @property
    def node_count(self) -> int:
        """The known number of nodes."""
        return self._hub.node_count if self.is_hub else self._follower.node_count

    def node_reports(self) -> list[NodeReport]:
        """Return the latest report of each connected node, this node's own first."""
        return self._hub.node_reports()

    def recent_nodes(self) -> list[RecentNode]:
        """Return the nodes that reported recently, this node first."""
        return self._hub.recent_nodes()

    async def run(self) -> None:
        """Coordinate or follow until cancelled."""
        while True:
            try:
                await self._run_once()
            except (OSError, PeerError) as error:
                self._log.event("coordination_failed", why=repr(error))
                await asyncio.sleep(RETRY_S)

    async def _run_once(self) -> None:
        state = self._known_state or await self._read_lease()
        self._known_state = None
        if state is LeaseState.UNKNOWN:
            await asyncio.sleep(RETRY_S)
        elif state is LeaseState.FREE:
            await self._stand_for_election()
        elif state is LeaseState.HELD_BY_OTHER:
            await self._follow(Address.parse(self._lease.record.address))

    async def _read_lease(self) -> LeaseState:
        """Read the lease, and apply the state that its holder has stored with it."""
        state = await self._lease.read_state()
        if self._lease.record is not None:
            self._knowledge.apply_inheritance(self._lease.record.inheritance)
        return state

    async def _follow(self, address: Address) -> None:
        """Follow a coordinator until that ends, then act on the reason."""
        ended = await self._follower.follow(address)
        if ended.reason is FollowEndReason.PROCESS_GONE:
            await self._stand_for_election()
        elif ended.reason is FollowEndReason.RESIGNED:
            await self._stand_after_resignation(ended.resignation)
        elif ended.reason is FollowEndReason.REPLACED:
            self._known_state = LeaseState.HELD_BY_OTHER
        else:
            was_connected = ended.reason is FollowEndReason.CONNECTION_LOST
            await asyncio.sleep(RECONNECT_S if was_connected else RETRY_S)

    async def _stand_for_election(self) -> None:
        if self._own_reports.is_stopping:
            await asyncio.sleep(RETRY_S)
            return
        record = self._lease.record
        await asyncio.sleep(self._election_delay_s())
        # Another node may have acquired the lease, or its holder renewed it, during the delay.
        state = await self._lease.read_state()
        if self._lease.record != record:
            self._known_state = state
        elif state is not LeaseState.UNKNOWN and await self._lease.acquire():
            await self._coordinate_after(record)
        else:
            await self._back_off_after_election()

    async def _stand_after_resignation(self, resignation: Resignation) -> None:
        await asyncio.sleep(self._election_delay_s())
        replaced_record = self._lease.record
        # A coordinator that can't connect to hosts is of no use; another node stands.
        may_stand = not self._own_reports.is_stopping and self._knowledge.can_open_tunnels()
        if may_stand and await self._lease.acquire_after(resignation):
            await self._coordinate_after(replaced_record)
        else:
            await self._back_off_after_election()

    async def _back_off_after_election(self) -> None:
        """Wait a random time: another node was elected, or the store doesn't respond."""
        await asyncio.sleep(self._rng.uniform(1, 2) * RETRY_S)

    async def _coordinate_after(self, replaced_record: LeaseRecord | None) -> None:
        """Coordinate, and notify the previous holder if it was another node."""
        if replaced_record is None or replaced_record.address == str(self._identity.peers_address):
            await self._coordinate()
            return
        own_successor = self._lease.as_successor()
        notification = asyncio.create_task(
            notify_replaced(
                replaced_record, own_successor, self._identity.name, self._network, self._log
            )
        )
        try:
            await self._coordinate()
        finally:
            notification.cancel()

    async def _coordinate(self) -> None:
        """Coordinate for one term; after stepping down, follow the successor directly."""
        if await self._term.serve():
            self._known_state = LeaseState.HELD_BY_OTHER

    def _election_delay_s(self) -> float:
        return election_delay_s(self._identity, self._rng)
