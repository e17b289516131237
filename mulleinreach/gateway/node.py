"""One gateway node: creates its components, runs their tasks and stops gracefully."""

from __future__ import annotations

import random
import secrets
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from mulleinreach.common import Address, Clock, Network, TaskGroup
from mulleinreach.common.listening import listen_when_free
from mulleinreach.common.loop import suspended_s
from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.gateway.connectivity.tunnel_server import TunnelServer
from mulleinreach.gateway.connectivity.upstream_network import UpstreamNetwork
from mulleinreach.gateway.coordination.lease import CoordinatorLease
from mulleinreach.gateway.coordination.membership import Coordination
from mulleinreach.gateway.coordination.totals import sum_loads
from mulleinreach.gateway.deployment import DeploymentBounds, GatewayIdentity
from mulleinreach.gateway.fleet.controller import FleetController
from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.http_server import NodeServers
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import RequestLimits
from mulleinreach.gateway.ports import MakePorts
from mulleinreach.gateway.request.active import ActiveExchanges
from mulleinreach.gateway.request.admission import Admission
from mulleinreach.gateway.request.budget import WindowedRetryBudget
from mulleinreach.gateway.request.exchange import UpstreamClient
from mulleinreach.gateway.request.exchange_events import ExchangeEvents
from mulleinreach.gateway.request.late import LateGate
from mulleinreach.gateway.request.relay import Relay
from mulleinreach.gateway.request.run_outcomes import RunOutcomeRecorder
from mulleinreach.gateway.request.send_policy import SendPolicy
from mulleinreach.gateway.request.sending import Sender
from mulleinreach.gateway.request.starting import StartGate
from mulleinreach.gateway.request.urgency import FirstWaitEstimator
from mulleinreach.gateway.resources import share_resources
from mulleinreach.gateway.shared_state import SharedState
from mulleinreach.gateway.state.announced_ends import AnnouncedEnds
from mulleinreach.gateway.state.cold import ColdRateLimit, ColdUpstreams
from mulleinreach.gateway.state.configuration_follower import ConfigurationInForce
from mulleinreach.gateway.state.crashes import CrashTracker
from mulleinreach.gateway.state.eligibility import Eligibility
from mulleinreach.gateway.state.evacuations import Evacuations
from mulleinreach.gateway.state.instrumented import CountedEventLog, CountedLease, CountedSource
from mulleinreach.gateway.state.leased_share import LeasedShare
from mulleinreach.gateway.state.limits import LimitTracker
from mulleinreach.gateway.state.load import LoadTracker
from mulleinreach.gateway.state.notices import NoticeTracker
from mulleinreach.gateway.state.permits import SendPermits
from mulleinreach.gateway.state.read_schedule import direct_read_schedule
from mulleinreach.gateway.state.retiring import RetiringHeads
from mulleinreach.gateway.state.routing import Router
from mulleinreach.gateway.state.selection import SuspectList, UpstreamChooser
from mulleinreach.gateway.state.store_calls import StoreCalls, StoreRole, pause_s
from mulleinreach.gateway.state.suspension import SuspensionMonitor
from mulleinreach.gateway.state.upstream_follower import UpstreamFollower
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.stopping import GracefulStop
from mulleinreach.gateway.upstream import Notice, Upstream

UPSTREAM_LIST_READ_DELAY_S = 0.03


class GatewayNode:
    """A gateway node that reaches its platform through the ports of an adapter.

    Parameters
    ==========

    make_ports : creates the adapter's ports.
    seed : of the node's random numbers; ``None`` for a random seed.
    callers_socket : a socket that already listens on the callers' address; ``None`` to open
        one.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        bounds: DeploymentBounds,
        make_ports: MakePorts,
        network: Network | None = None,
        clock: Clock | None = None,
        seed: int | None = None,
        callers_socket: socket.socket | None = None,
    ):
        self.identity = identity
        self.bounds = bounds
        self.network = network or Network(identity.name)
        self.clock = clock or Clock()
        self.metrics = GatewayMetrics()
        self.log = CountedEventLog(identity.name, self.clock, self.metrics)
        self.rng = random.Random(secrets.randbits(64) if seed is None else seed)
        self.store_calls = StoreCalls(
            self.metrics, self.log, self.clock, self.rng, self._store_pause_s
        )
        self.active = ActiveExchanges()
        self.exchange_events = ExchangeEvents(self.active, self.log)
        self.directory = UpstreamDirectory(self.exchange_events.on_replaced)
        self.upstream_network = UpstreamNetwork(
            self.network,
            self.directory.addresses,
            lambda: self.lease.secret,
            self.clock,
            self.log,
            self.rng,
        )
        self.tunnel_server = TunnelServer(
            self.network,
            self.directory.addresses,
            lambda: self.lease.recent_secrets,
            self.metrics,
            self.log,
        )
        self.ports = make_ports(self.network)
        self._callers_socket = callers_socket
        self._tasks = TaskGroup()
        self._resources = share_resources(identity.memory_mb, identity.max_descriptors)
        self._make_state()
        self._make_relay()
        self._make_control()
        self._servers = NodeServers(
            self._resources,
            self._request_limits,
            self.relay.refuse_overload,
            self.metrics,
            self.clock,
            self.log,
        )

    def _make_state(self) -> None:
        self.loads = LoadTracker(self.clock)
        self.suspects = SuspectList(self.clock)
        self.limits = LimitTracker(self.directory, self.clock, self.log)
        self.permits = SendPermits(self.limits, self.clock, self.rng)
        self.leased_share = LeasedShare(self.clock, self.bounds)
        self.notices = NoticeTracker(
            self.directory, self.clock, self.log, self._on_upstreams_changed
        )
        self.ports.orders.subscribe(self._on_notice)
        self.crashes = CrashTracker(self.clock, self.log, self.rng, self.exchange_events.on_held)
        schedule = direct_read_schedule(
            self.bounds, self.identity.processor_cores, self.identity.is_first_start, self.rng
        )
        # The configuration is read first; its result shows whether the store answers at all.
        list_schedule = replace(schedule, extra_s=schedule.extra_s + UPSTREAM_LIST_READ_DELAY_S)
        evacuations = Evacuations(
            self.bounds.evacuation_s, self.identity.regions, self.clock, self.log
        )
        self.cold_limit = ColdRateLimit(self.bounds, self.clock, self.log)
        self.cold = ColdUpstreams(self.directory, evacuations, self.cold_limit, self.clock)
        self.eligibility = Eligibility(
            evacuations,
            self.cold,
            self.notices,
            self.permits,
            self.identity.regions,
            self.metrics,
            self.rng,
        )
        self.in_force = ConfigurationInForce(
            CountedSource(self.ports.configurations, "configuration", self.store_calls),
            evacuations,
            self.clock,
            self.log,
            self._reads_store_for_all,
            schedule,
        )
        self.follower = UpstreamFollower(
            CountedSource(self.ports.upstreams, "upstreams", self.store_calls),
            self.directory,
            self.clock,
            self.log,
            self._reads_store_for_all,
            self._on_upstreams_changed,
            lambda: self.operator.is_waiting,
            list_schedule,
            self.bounds.heartbeat_s,
        )

    def _make_relay(self) -> None:
        self.announced_ends = AnnouncedEnds(
            self.directory, self.bounds.leaving_propagation_s, self.clock
        )
        self.chooser = UpstreamChooser(
            self.directory,
            Router(self.loads, self.rng, self.identity.hall),
            self.suspects,
            self.eligibility,
            self.cold,
            self.permits,
            self.announced_ends,
            self.clock,
        )
        self._sessions = [
            self.upstream_network.http_client(may_tunnel) for may_tunnel in (True, False)
        ]
        answers = MemoryLedger(self._resources.answers_bytes)
        client, direct_client = (
            UpstreamClient(session, self.ports.dialect, self._on_notice, answers)
            for session in self._sessions
        )
        budget = WindowedRetryBudget(self.bounds, self.clock, self.leased_share)
        self.first_waits = FirstWaitEstimator()
        policy = SendPolicy(self.chooser, budget, self.crashes, self.metrics, self.clock, self.log)
        outcomes = RunOutcomeRecorder(
            self.chooser,
            self.crashes,
            self.upstream_network.process_state,
            self.clock,
            self.log,
        )
        sender = Sender(
            self.chooser,
            policy,
            client,
            direct_client,
            self.identity.regions.get(self.identity.hall),
            self.ports.dialect,
            self.loads,
            self.active,
            self.suspects,
            self.first_waits,
            outcomes,
            self.metrics,
            self.clock,
            self.log,
        )
        self.relay = Relay(
            Admission(self.in_force, self.bounds),
            policy,
            sender,
            outcomes,
            self.ports.dialect,
            budget,
            self.first_waits,
            StartGate([self.in_force.was_read, self.follower.was_read]),
            LateGate(self.chooser, self.loads, self.clock, self.rng),
            self.metrics,
            self.clock,
            self.log,
            self.rng,
        )

    def _make_control(self) -> None:
        incarnation = self.rng.getrandbits(48)
        holder = f"{self.identity.name}.{incarnation:012x}"
        self.lease = CoordinatorLease(
            CountedLease(self.ports.lease, self.store_calls),
            holder,
            str(self.identity.peers_address),
            self.clock,
            self.log,
            self.identity.is_first_start,
        )
        self.hosts = HostRegistry(self.directory, self.clock, self._longest_timeout_s)
        self.operator = GroupOperator(
            self.ports.orders,
            self.lease,
            self.hosts,
            self._report_lag_s,
            self.notices.is_resting,
            lambda: not self.upstream_network.reachability.is_isolated,
            self.metrics,
            self.clock,
            self.log,
        )
        self.controller = FleetController(
            self.identity.hall,
            self.bounds.max_lost_halls >= 1,
            self.hosts,
            self.operator,
            self.in_force,
            self._total_loads,
            lambda: self.coordination.recent_nodes(),
            lambda: self.lease.is_first_term,
            self.follower.read_now,
            self.announced_ends,
            self.clock,
            self.log,
        )
        self.coordination = Coordination(
            self.identity,
            self.lease,
            self.loads,
            self.network,
            self.clock,
            self.log,
            self.rng,
            self.controller.run,
            SharedState(
                self.in_force,
                self.follower,
                self.directory,
                self.loads,
                self.chooser,
                self.eligibility,
                self.cold_limit,
                self.permits,
                self.leased_share,
                self.controller,
                self.first_waits,
                self.crashes,
                self.upstream_network,
                RetiringHeads(self.clock),
                self.exchange_events.on_lost,
                self.exchange_events.on_overdue,
            ),
            incarnation,
            self.bounds.retry_window_s,
        )

    async def start(self, gives_up: Callable[[], bool] = lambda: False) -> None:
        """Open all listening sockets, that for callers last, then start all tasks.

        Raises :class:`MulleinreachError` if an address can't be listened on.

        Parameters
        ==========

        gives_up : whether to wait no more for addresses that are in use.
        """
        for address, listen in self._listeners():
            await listen_when_free(address, listen, gives_up)
        suspension = SuspensionMonitor(suspended_s, self._describe_wake, self.log)
        duties: dict[str, Callable[[], Awaitable[None]]] = {
            **self._servers.duties(),
            "configuration": self.in_force.follow,
            "upstreams": self.follower.follow,
            "coordination": self.coordination.run,
            "store_call_counts": self.store_calls.log_counts,
            "lost_paths": self.upstream_network.probe_lost_paths,
            "suspension": suspension.run,
        }
        for name, duty in duties.items():
            self._tasks.spawn_forever(name, duty)
        self.log.event(
            "node_started", callers=self.identity.callers_address, hall=self.identity.hall
        )

    def _listeners(self) -> list[tuple[Address, Callable[[], Awaitable[None]]]]:
        """Return this node's addresses, and what listens on each."""
        identity = self.identity
        operators = [
            (address, partial(self._servers.serve_operators, handler, address))
            for handler, address in (
                (self._handle_readiness, identity.readiness_address),
                (self._handle_metrics, identity.metrics_address),
            )
            if address is not None
        ]
        serve_callers = partial(
            self._servers.serve_callers,
            self.relay.handle,
            identity.callers_address,
            self._callers_socket,
        )
        return [
            (identity.peers_address, self.coordination.listen),
            (
                identity.tunnel_address,
                partial(self.tunnel_server.listen, identity.tunnel_address),
            ),
            *operators,
            (identity.callers_address, serve_callers),
        ]

    # Callbacks of the components.

    def _request_limits(self) -> RequestLimits:
        configuration = self.in_force.configuration
        return configuration.limits if configuration else RequestLimits()

    def _store_pause_s(self, failures: int) -> float:
        if self.coordination.is_hub:
            role = StoreRole.READER
        elif self.coordination.is_following:
            role = StoreRole.FOLLOWER
        else:
            role = StoreRole.NO_COORDINATOR
        return pause_s(role, self._node_count(), failures)

    def _reads_store_for_all(self) -> bool:
        return self.coordination.is_hub

    def _on_notice(self, upstream: Upstream, notice: Notice) -> None:
        self.notices.record(upstream, notice)
        if notice.limit_per_s is not None:
            self.limits.record_answer(upstream.id, notice.limit_per_s)

    def _on_upstreams_changed(self) -> None:
        self.controller.notify()

    def _report_lag_s(self, service: str) -> float:
        configuration = self.in_force.configuration
        configured = configuration.services.get(service) if configuration else None
        return configured.engine.report_lag_s if configured and configured.engine else 0.0

    def _longest_timeout_s(self, service: str) -> float:
        configuration = self.in_force.configuration
        return configuration.longest_timeout_s(service) if configuration else 0.0

    def _node_count(self) -> int:
        return self.coordination.node_count

    def _total_loads(self):
        return sum_loads(self.coordination.node_reports())

    def _describe_wake(self) -> dict[str, object]:
        return {
            "holds_lease": self.lease.is_held(),
            "evidence_age_s": self.in_force.evidence_age_s(),
            "list_age_s": self.follower.list_age_s(),
            "in_flight": self.relay.in_flight,
        }

    # Readiness and metrics.

    def is_ready(self) -> bool:
        """Whether this node should get new connections."""
        has_started = self.in_force.configuration is not None
        return (
            has_started and not self.relay.is_stopping and self.upstream_network.reaches_upstreams()
        )

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != self.ports.dialect.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        self.metrics.in_flight.set(self.relay.in_flight)
        self.metrics.set_groups(self.directory.group_states())
        self.metrics.holds_lease.set(self.lease.is_held())
        self.metrics.evidence_age.set(self.in_force.evidence_age_s())
        self.metrics.leased_share.set(self.leased_share.fraction)
        self.metrics.open_groups.set(len(self.chooser.coordinator_heads()))
        self.metrics.halls_down.set(len(self.hosts.down_halls))
        configuration = self.in_force.configuration
        services = configuration.services.values() if configuration else ()
        self.metrics.cold_heads.set(self.chooser.count_cold_heads(services))
        self.metrics.unusable_rows.set(self.follower.unusable_count)
        self.metrics.resting_upstreams.set(len(self.notices.resting()))
        self.metrics.limited_upstreams.set(len(self.limits.limits()))
        reachability = self.upstream_network.reachability
        self.metrics.unreachable_upstreams.set(len(reachability.unreachable()))
        self.metrics.is_isolated.set(reachability.is_isolated)
        self.metrics.open_tunnels.set(self.tunnel_server.open_count)
        self.metrics.held_requests.set(len(self.crashes.held()))
        self.metrics.evacuated_halls.set(len(self.in_force.evacuations.halls))
        body = generate_latest(self.metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    # Stopping.

    async def stop(self) -> None:
        """Stop gracefully: report not ready, hand over duties, answer requests in flight."""
        await GracefulStop(
            self.relay,
            self._servers,
            self.coordination,
            self.tunnel_server,
            self.clock,
            self.log,
            self.bounds.stop_grace_s,
        ).run()
        await self.abort()
        self.log.event("node_stopped", in_flight=self.relay.in_flight)

    async def abort(self) -> None:
        """Cancel all tasks and close all connections immediately."""
        await self._tasks.close()
        await self.coordination.close()
        await self.tunnel_server.close()
        await self._servers.abort()
        for session in self._sessions:
            await session.close()
