"""Which nodes there are, and the exchange of pings with each.

Explanation
===========

A node writes one row when it starts and reads those of the others through the
shared cache. It keeps a connection to each other node and pings it; the answer
carries all that nodes tell each other regularly. What an answer says is dated
from before its ping was sent, by our own clock, so a delayed or stale answer
can't make anything look fresher than it is.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from mulleinreach.common import Address, Clock, EventLog, Network, TaskGroup
from mulleinreach.roster.link import KeyRing, Link, LinkError, new_hello
from mulleinreach.roster.messages import ConfigPush, Message, Ping, Pong, Withdrawal
from mulleinreach.stores import (
    Committed,
    Condition,
    HostDirectory,
    Row,
    TableCache,
    TableClient,
    Unresolved,
    Write,
)

NODES_PREFIX = "state/nodes/"
RECONNECT_DELAY_S = 0.5
NEVER = float("-inf")


@dataclass(frozen=True)
class NodeRecord:
    """A node's row in the table."""

    name: str
    address: str
    hall: str
    region: str
    incarnation: str

    @classmethod
    def from_row(cls, row: Row) -> NodeRecord:
        """Read a row; raises ``TypeError`` if it isn't a node's."""
        return cls(**row.value)


@dataclass
class PeerState:
    """What we know of one other node, dated on our own monotonic clock."""

    record: NodeRecord
    answered_at: float = NEVER
    pong: Pong | None = None
    link: Link | None = None
    incarnation: str = ""


class PeerProtocol(Protocol):
    """What the roster needs from the rest of a node; called from the links' tasks."""

    def make_ping(self, peer: str, seq: int) -> Ping:
        """Return what to ask ``peer``."""

    def make_pong(self, peer: str, ping: Ping) -> Pong:
        """Return the answer to a ping from ``peer``."""

    def config_for(self, peer_version: int) -> ConfigPush | None:
        """Return our configuration if it is newer than ``peer_version``."""

    def on_pong(self, peer: str, pong: Pong, asked_at: float) -> None:
        """Take in an answer, dated from before its ping was sent."""

    def on_config(self, push: ConfigPush) -> None:
        """Take in a configuration that a peer sent."""

    def on_withdrawal(self, peer: str, withdrawal: Withdrawal) -> None:
        """Take in that a replica is no longer whole."""


class Roster:
    """The other nodes, and one task for each connection to or from them."""

    def __init__(
        self,
        own: NodeRecord,
        network: Network,
        clock: Clock,
        log: EventLog,
        cache: TableCache,
        table: TableClient,
        directory: HostDirectory,
        ring: KeyRing,
        protocol: PeerProtocol,
        ping_interval_s: float,
        fresh_s: float,
    ):
        self.own = own
        self._network = network
        self._clock = clock
        self._log = log
        self._cache = cache
        self._table = table
        self._directory = directory
        self._ring = ring
        self._protocol = protocol
        self._ping_interval_s = ping_interval_s
        self._fresh_s = fresh_s
        self._tasks = TaskGroup()
        self._peer_tasks: dict[str, asyncio.Task] = {}
        self._server: asyncio.AbstractServer | None = None
        self._incoming: set[Link] = set()
        self.peers: dict[str, PeerState] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        cache.listeners.append(self._update_peers)

    async def start(self) -> None:
        """Listen for peers and keep our own row in the table."""
        self._server = await self._network.listen(Address.parse(self.own.address), self._serve)
        self._tasks.spawn(self._register())

    async def stop(self) -> None:
        """End every connection."""
        if self._server:
            self._server.close()
        for link in list(self._incoming):
            link.close()
        await self._tasks.close()

    async def _register(self) -> None:
        key = NODES_PREFIX + self.own.name
        value = self.own.__dict__
        while True:
            await self._cache.refresh()
            row = self._cache.get(key)
            if self._cache.was_read and row.value != value:
                result = await self._table.transact(
                    [Condition(key, row.version)], [Write(key, value)]
                )
                if isinstance(result, Committed | Unresolved):
                    self._log.event("node_registered", incarnation=self.own.incarnation)
                continue
            await asyncio.sleep(RECONNECT_DELAY_S if row.value != value else 10.0)

    def _update_peers(self) -> None:
        """Start and end peer tasks so that they fit the rows in the table."""
        listed = {}
        for row in self._cache.rows_with_prefix(NODES_PREFIX):
            record = NodeRecord.from_row(row)
            if record.name != self.own.name and not self._directory.is_gone(record.name):
                listed[record.name] = record
        for name in list(self.peers):
            if listed.get(name) != self.peers[name].record:
                self._peer_tasks.pop(name).cancel()
                del self.peers[name]
        for name, record in listed.items():
            if name not in self.peers:
                self.peers[name] = PeerState(record)
                self._peer_tasks[name] = self._tasks.spawn(
                    self._maintain_connection(self.peers[name])
                )

    async def _maintain_connection(self, peer: PeerState) -> None:
        """Keep a connection to one peer, pinging it, for as long as it is listed."""
        while True:
            try:
                await self._ping_until_broken(peer)
            except (LinkError, OSError, TimeoutError) as error:
                self._log.event("peer_unreachable", peer=peer.record.name, reason=error)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _ping_until_broken(self, peer: PeerState) -> None:
        reader, writer = await self._network.connect(Address.parse(peer.record.address))
        link = Link(reader, writer)
        try:
            own_hello = new_hello(self.own.name, self.own.incarnation)
            other = await link.handshake(own_hello, self._ring, is_client=True)
            if other.node != peer.record.name:
                raise LinkError(f"{other.node!r} answers at the address of {peer.record.name!r}")
            if peer.incarnation != other.incarnation:
                self._log.event("peer_connected", peer=other.node)
            peer.incarnation = other.incarnation
            peer.link = link
            await self._ping_loop(peer, link)
        finally:
            peer.link = None
            self.bytes_sent += link.bytes_sent
            self.bytes_received += link.bytes_received
            link.close()

    async def _ping_loop(self, peer: PeerState, link: Link) -> None:
        seq = 0
        while True:
            seq += 1
            asked_at = self._clock.now()
            async with asyncio.timeout(self._fresh_s):
                await link.send(self._protocol.make_ping(peer.record.name, seq))
                pong = await self._await_pong(peer, link, seq)
            peer.answered_at = asked_at
            peer.pong = pong
            self._protocol.on_pong(peer.record.name, pong, asked_at)
            await asyncio.sleep(self._ping_interval_s)

    async def _await_pong(self, peer: PeerState, link: Link, seq: int) -> Pong:
        while True:
            message = await link.receive()
            if isinstance(message, Pong) and message.seq == seq:
                return message
            self._handle_push(peer.record.name, message)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the pings of one peer that connected to us."""
        link = Link(reader, writer)
        self._incoming.add(link)
        try:
            own_hello = new_hello(self.own.name, self.own.incarnation)
            other = await link.handshake(own_hello, self._ring, is_client=False)
            while True:
                await self._answer(other.node, link, await link.receive())
        except (LinkError, OSError, TimeoutError) as error:
            self._log.event("peer_link_closed", reason=error)
        finally:
            self._incoming.discard(link)
            self.bytes_sent += link.bytes_sent
            self.bytes_received += link.bytes_received
            link.close()

    async def _answer(self, peer: str, link: Link, message: Message) -> None:
        if not isinstance(message, Ping):
            self._handle_push(peer, message)
            return
        push = self._protocol.config_for(message.config_version)
        if push is not None:
            await link.send(push)
        await link.send(self._protocol.make_pong(peer, message))

    def _handle_push(self, peer: str, message: Message) -> None:
        if isinstance(message, ConfigPush):
            self._protocol.on_config(message)
        elif isinstance(message, Withdrawal):
            self._protocol.on_withdrawal(peer, message)

    async def broadcast(self, message: Message) -> None:
        """Send ``message`` at once to each peer that is connected."""
        for peer in list(self.peers.values()):
            if peer.link is not None:
                try:
                    await peer.link.send(message)
                except OSError:
                    continue

    def node_names(self) -> list[str]:
        """Return the names of all nodes that are listed, ours among them, in order."""
        return sorted([self.own.name, *self.peers])

    def live_node_names(self) -> list[str]:
        """Return the names of the nodes that answered lately, ours among them."""
        now = self._clock.now()
        live = [n for n, p in self.peers.items() if now - p.answered_at < self._fresh_s]
        return sorted([self.own.name, *live])
