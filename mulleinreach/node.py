"""One node: puts the slices together and runs their tasks."""

from __future__ import annotations

import asyncio
import random
import secrets

import aiohttp

from mulleinreach.admission import AdmissionQueue, DistributedLimiter, KeyTable
from mulleinreach.audit import AuditTrail
from mulleinreach.common import Address, Clock, EventLog, Network, TaskGroup, run_periodically
from mulleinreach.common.server.bounds import ClientBounds
from mulleinreach.common.server.connections import ConnectionTable, ConnectionTimeouts
from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.entry.callers import CallerInterface, CallerParts
from mulleinreach.entry.explain import Explainer
from mulleinreach.entry.operators import OperatorInterface, OperatorParts
from mulleinreach.evidence import Evidence
from mulleinreach.groups.controller import DUTY, GroupController
from mulleinreach.groups.model import GroupState
from mulleinreach.groups.planner import FleetPlanner
from mulleinreach.groups.polling import HostPoller, ReplicaHealthTracker
from mulleinreach.groups.repair import LoadTimeModel
from mulleinreach.housekeeping import Housekeeping
from mulleinreach.intents import ConfigInForce
from mulleinreach.intents.plan import PlanStore
from mulleinreach.intents.preview import preview
from mulleinreach.intents.voters import VoterKeeper
from mulleinreach.metrics import NodeMetrics
from mulleinreach.orders import EngineClient
from mulleinreach.requests.active import ActiveAttempts
from mulleinreach.requests.budget import RetryBudget
from mulleinreach.requests.claims import ClaimStore
from mulleinreach.requests.journal import RequestJournal
from mulleinreach.requests.plain import PlainRunner
from mulleinreach.requests.runner import ModelRunner
from mulleinreach.roster import KeyRing, Lease, NodeRecord, PeerKey, Roster
from mulleinreach.routing import ReplicaTable, Router
from mulleinreach.settings import NodeSettings
from mulleinreach.stores import (
    HostDirectory,
    HostListClient,
    ObjectStore,
    TableCache,
    TableClient,
)

SWEEP_S = 0.1
STOP_POLL_S = 0.05
STOP_NOTICE_S = 1.0


class Node:
    """A whole node, on the network and clock that it is given.

    Parameters
    ==========

    settings : the node's checked settings.
    network, clock : the real ones, or those of a test.
    seed : for choices that may be random; ``None`` takes a fresh one.
    """

    def __init__(
        self,
        settings: NodeSettings,
        network: Network | None = None,
        clock: Clock | None = None,
        seed: int | None = None,
    ):
        self.settings = settings
        self.name = settings.node.name
        self.network = network or Network(self.name)
        self.clock = clock or Clock()
        self.log = EventLog(self.name)
        self.rng = random.Random(secrets.randbits(64) if seed is None else seed)
        self.incarnation = f"{self.rng.getrandbits(48):012x}"
        self.is_stopping = False
        self._tasks = TaskGroup()
        self._servers = []
        self._client_connections: list[ConnectionTable] = []

    async def start(self) -> None:
        """Listen, then begin all tasks."""
        self._make_clients()
        self._make_state()
        self._make_control()
        self._make_interfaces()
        listen = self.settings.listen
        await self.roster.start()
        for app, address in (
            (self.callers.app(), listen.callers),
            (self.operators.app(), listen.operators),
        ):
            bounds = self._make_client_bounds()
            server = await self.network.serve_http(app, Address.parse(address), bounds)
            self._servers.append(server)
            self._client_connections.append(bounds.connections)
        self._start_tasks()
        self.log.event("node_started", incarnation=self.incarnation)

    def _make_client_bounds(self) -> ClientBounds:
        """Return the bounds on what clients of one interface make the process hold."""
        limits = self.settings.limits
        connections = ConnectionTable(
            self.clock,
            limits.client_connections,
            lambda reason: self.log.event("connection_closed", why=reason),
        )
        return ClientBounds(
            connections,
            MemoryLedger(limits.client_memory_bytes),
            on_malformed=lambda status, reason: self.log.event(
                "request_malformed", status=status, why=reason
            ),
        )

    def _client_timeouts(self) -> ConnectionTimeouts:
        limits = self.settings.limits
        return ConnectionTimeouts(limits.idle_timeout_s, limits.head_timeout_s)

    def _make_clients(self) -> None:
        platform = self.settings.platform
        self.control_session: aiohttp.ClientSession = self.network.http_client()
        self.data_session: aiohttp.ClientSession = self.network.http_client()
        self.table = TableClient(self.control_session, Address.parse(platform.table))
        self.objects = ObjectStore(self.control_session, Address.parse(platform.objects))
        self.host_list = HostListClient(self.control_session, Address.parse(platform.host_list))
        self.engines = EngineClient(self.control_session)
        self.cache = TableCache(self.table, self.clock)
        self.directory = HostDirectory()
        self.trail = AuditTrail(self.name, self.table, self.objects, self.clock, self.log)

    def _make_state(self) -> None:
        timing, limits = self.settings.timing, self.settings.limits
        self.force = ConfigInForce(
            self.name,
            self.cache,
            self.clock,
            self.log,
            timing.evidence_fresh_s,
            timing.clock_rate_error,
            self.directory.is_gone,
        )
        self.keys = KeyTable()
        self.shares = DistributedLimiter(self.name, self.clock, timing.clock_rate_error)
        self.force.listeners += [self.keys.follow, self.shares.follow]
        self.wholeness = ReplicaHealthTracker(self.clock, timing.whole_fresh_s)
        self.replicas = ReplicaTable(
            self.cache,
            self.directory,
            self.wholeness,
            self.clock,
            self.leaving_hosts,
            lambda: len(self.roster.live_node_names()),
        )
        self.journal = RequestJournal(self.clock, limits.explained_requests)
        owner = f"{self.name}.{self.incarnation}"
        self.claims = ClaimStore(owner, self.table, self.clock, self.log, timing.claim_interval_s)
        self.queue = AdmissionQueue(self.clock, limits.queue_length)
        self.active = ActiveAttempts(
            self.clock,
            self.wholeness.is_whole,
            self._must_move,
            timing.first_token_s,
            timing.token_gap_s,
        )
        self.budget = RetryBudget()
        self._make_runners()

    def _make_runners(self) -> None:
        limits = self.settings.limits
        self.models = ModelRunner(
            self.data_session,
            self.replicas,
            Router(self.rng),
            self.queue,
            self.active,
            self.budget,
            self.journal,
            self.clock,
            self.log,
            limits.answer_bytes,
            limits.resume_bytes,
        )
        self.plain = PlainRunner(
            self.data_session,
            self.directory,
            self.leaving_hosts,
            self.budget,
            self.journal,
            self.clock,
            self.log,
        )

    def _make_control(self) -> None:
        timing, engines = self.settings.timing, self.settings.engines
        self.watch = HostPoller(
            self.engines, self.clock, self.log, timing.host_poll_s, self._on_broken
        )
        self.evidence = Evidence(self)
        identity, listen = self.settings.node, self.settings.listen
        own = NodeRecord(self.name, listen.peers, identity.hall, identity.region, self.incarnation)
        ring = KeyRing([PeerKey(k.id, k.read_secret()) for k in self.settings.peer_keys])
        self.roster = Roster(
            own,
            self.network,
            self.clock,
            self.log,
            self.cache,
            self.table,
            self.directory,
            ring,
            self.evidence,
            timing.peer_ping_s,
            timing.evidence_fresh_s,
        )
        loads = LoadTimeModel(engines.host_load_s, engines.load_streams)
        planner = FleetPlanner(loads, frozenset(engines.unchecked_domains), timing.drain_deadline_s)
        self.lease = self._make_lease(DUTY)
        self.controller = GroupController(
            self.lease,
            planner,
            self.table,
            self.cache,
            self.directory,
            self.engines,
            self.trail,
            self.clock,
            self.log,
            self.evidence.host_reports,
            lambda: self.force.document,
            timing.host_lost_s,
        )
        self.voters = VoterKeeper(
            self.lease, self.table, self.cache, self.force, self.trail, self.clock, self.roster
        )
        self.housekeeping = Housekeeping(
            self._make_lease("housekeeping"), self.trail, self.claims, self.clock
        )
        self.plans = PlanStore(
            self.name,
            self.table,
            self.cache,
            self.force,
            self.trail,
            self.clock,
            self.evidence.gather_hosts,
            lambda document: preview(self.controller.view(), document, planner, self.directory),
            self.evidence.tell_configuration,
        )

    def _make_lease(self, duty: str) -> Lease:
        timing = self.settings.timing
        return Lease(
            duty,
            self.name,
            self.incarnation,
            self.table,
            self.cache,
            self.clock,
            self.log,
            timing.lease_s,
            timing.clock_rate_error,
        )

    def _make_interfaces(self) -> None:
        self.metrics = NodeMetrics(self)
        self.explainer = Explainer(
            self.force,
            self.replicas,
            self.directory,
            self.roster,
            self.journal,
            self.controller.view,
            lambda: self.controller.notes,
            self.leaving_hosts,
            lambda: {DUTY: self.lease.holder()},
            self.evidence.gather_hosts,
        )
        self.callers = CallerInterface(
            CallerParts(
                self.name,
                self.clock,
                self.log,
                self.force,
                self.keys,
                self.shares,
                self.claims,
                self.journal,
                self.models,
                self.plain,
                self.settings.limits,
                self.metrics.registry,
                self.metrics.count_answer,
                self.why_not_ready,
            )
        )
        self.operators = OperatorInterface(
            OperatorParts(
                self.clock,
                self.settings.operators,
                self.force,
                self.plans,
                self.trail,
                self.explainer,
            )
        )

    def _start_tasks(self) -> None:
        timing = self.settings.timing
        self.claims.start()
        spawn = self._tasks.spawn
        spawn(run_periodically(timing.table_poll_s, self.cache.refresh))
        spawn(run_periodically(timing.host_list_poll_s, self._read_host_list))
        spawn(run_periodically(timing.host_poll_s, self._assign_watch))
        spawn(run_periodically(timing.host_poll_s, self.controller.tick))
        spawn(run_periodically(timing.peer_ping_s, self.voters.tick))
        spawn(run_periodically(timing.lease_s / 4, self.housekeeping.tick))
        spawn(run_periodically(SWEEP_S, self._sweep))

    async def _read_host_list(self) -> None:
        hosts = await self.host_list.read()
        if hosts is not None:
            self.directory.update(hosts)

    async def _assign_watch(self) -> None:
        self.evidence.assign_watch()
        self.shares.set_nodes(self.roster.node_names())

    async def _sweep(self) -> None:
        self.active.sweep()
        self.queue.admit_all_waiting()
        for connections in self._client_connections:
            connections.check(self._client_timeouts())

    # What the slices ask about the node.

    def leaving_hosts(self) -> set[str]:
        """Return the hosts that get no new work, by whichever source told first."""
        return self.evidence.leaving_hosts()

    def _must_move(self, replica: str) -> bool:
        """Whether streams should leave a replica: its drain has used half of its time."""
        limit_s = self.settings.timing.drain_deadline_s / 2
        for group in self.replicas.all_groups():
            if group.replica == replica and group.state is GroupState.DRAINING:
                return self.clock.wall() - group.since > limit_s
        return False

    def _on_broken(self, group, reason: str) -> None:
        self.log.event("replica_withdrawn", replica=group.replica, epoch=group.epoch, why=reason)
        self.wholeness.withdraw(group.replica, group.epoch)
        self._tasks.spawn(self.evidence.tell_withdrawal(group, reason))
        self.active.sweep()

    def why_not_ready(self) -> str | None:
        """Return why the balancer should send nothing here, or ``None``."""
        if self.is_stopping:
            return "it is stopping"
        if not self.force.is_fresh():
            return "it can't tell whether its configuration is the latest"
        return None

    # Ending.

    async def stop(self, grace_s: float = 30.0) -> None:
        """Stop as planned: take no more, finish what is in flight, hand duties over."""
        self.is_stopping = True
        self.log.event("node_stopping", in_flight=self.callers.in_flight)
        give_up_at = self.clock.now() + grace_s
        await asyncio.sleep(STOP_NOTICE_S)
        for connections in self._client_connections:
            connections.begin_draining()
        while self._owes_answers() and self.clock.now() < give_up_at:
            await asyncio.sleep(STOP_POLL_S)
        await self.controller.stop()
        await self.housekeeping.stop()
        await self.claims.stop()
        await self.kill()
        self.log.event("node_stopped")

    def _owes_answers(self) -> bool:
        """Whether callers wait for answers, or are in the middle of a request."""
        callers, _ = self._client_connections
        return callers.owes_answers()

    async def kill(self) -> None:
        """End everything at once, as a crash would."""
        await self._tasks.close()
        await self.controller.abandon()
        await self.claims.abandon()
        await self.watch.stop()
        await self.roster.stop()
        for server in self._servers:
            await server.close()
        self._servers = []
        await self.control_session.close()
        await self.data_session.close()
