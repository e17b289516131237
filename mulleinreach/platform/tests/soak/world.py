"""The users' platform in one process: store, hosts, a plain service; gateways beside it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import string
from dataclasses import replace
from pathlib import Path

from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.upstream import Upstream, UpstreamState, incarnation_id, upstream_name
from mulleinreach.platform.sources import CONFIGURATION_KEY, CONFIGURATION_TABLE, EVACUATION_PREFIX
from mulleinreach.platform.tests.soak.document import (
    COLD_S,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    DocumentOptions,
    make_document,
)
from mulleinreach.platform.tests.soak.host_app import NAMES, TIMES, host_app
from mulleinreach.platform.tests.soak.local_servers import LocalServers
from mulleinreach.platform.tests.soak.notices import Arrival, Notices, Run
from mulleinreach.platform.tests.soak.plain import PlainService
from mulleinreach.platform.tests.soak.processes import LOCAL, GatewayProcess, make_gateway
from mulleinreach.platform.tests.soak.proxy import Link, Proxy
from mulleinreach.platform.tests.soak.records import (
    Disturbance,
    Evacuation,
    Leaving,
    Revocation,
)
from mulleinreach.platform.tests.soak.replicas import USUAL_BACKLOG, ReplicaProcess
from mulleinreach.platform.tests.standin import StoreStandIn
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.hosts import HostStandIn, make_upstream
from mulleinreach.standins.gateway.store import UPSTREAMS, MemoryStore
from mulleinreach.standins.resets import reset

HALLS = 3
# The list names a host that has fallen silent for so many seconds more.
LISTED_S = 2.0


class SoakWorld:
    """Everything that a soak needs, on loopback.

    Explanation
    ===========

    Each hall has a domain of hosts and a plain upstream; gateways stand in the halls
    in turn. Hosts that start once the world runs come cold. Further domains of hosts
    may be processes of their own.

    Parameters
    ==========

    hosts : hosts of each hall in this process.
    domains : domains that are processes of their own.
    backlog : connections to each of their hosts that are held until they are accepted.
    crash_framing : how the ends of streams are marked if requests may crash those processes.
    gateways_from : the directory of the version whose gateways run; this one's by default.
    """

    def __init__(
        self,
        directory: Path,
        nodes: int,
        hosts: int,
        seed: int,
        domains: int = 0,
        backlog: int = USUAL_BACKLOG,
        crash_framing: BodyFraming | None = None,
        gateways_from: Path | None = None,
    ):
        self._directory = directory
        self._nodes = nodes
        self._hosts_per_hall = hosts
        self._domains = domains
        self._backlog = backlog
        self._crash_framing = crash_framing
        self._gateways_from = gateways_from
        self._ended_replicas: list[ReplicaProcess] = []
        # When processes of domains ended under a request.
        self.domain_crashes: list[float] = []
        self.halls = [f"hall-{letter}" for letter in string.ascii_lowercase[:HALLS]]
        self.lost_halls: set[str] = set()
        self.memory = MemoryStore()
        self.store = StoreStandIn(self.memory, page=500, tables={"servers": UPSTREAMS})
        self.fabric = Fabric(self.memory, seed, NAMES, reset)
        self.plain = PlainService()
        self.plain_upstreams: dict[str, Upstream] = {}
        self.proxy = Proxy()
        self.links: dict[str, Link] = {}
        self.gateways: list[GatewayProcess] = []
        self.replicas: list[ReplicaProcess] = []
        self.version = 0
        # When configurations were written.
        self.configured_at: list[float] = []
        self.options = DocumentOptions()
        self.keys = ["key-1", "key-2"]
        self.revocations: list[Revocation] = []
        self.evacuations: list[Evacuation] = []
        self.leavings: list[Leaving] = []
        self.disturbances: list[Disturbance] = []
        self.notices = Notices()
        # Which hosts' connections were reset, and when.
        self.resets: list[tuple[str, float]] = []
        self._servers = LocalServers()
        self._ending: list[asyncio.Task] = []
        self._next_upstream = 0
        # By the name of a host, what holds its latest start.
        self._cells: dict[str, list[HostStandIn]] = {}

    async def start(self) -> None:
        """Start the stand-ins, write the configuration, start the gateways."""
        self._store_port = await self._servers.serve(self.store.app())
        self.configure(self.keys)
        for hall in self.halls:
            await self.fill_hall(hall, cold_s=0.0)
        for number in range(self._domains):
            self._start_domain(f"domain-{number}", self.halls[number % HALLS])
        for number in range(self._nodes):
            link = await self.open_store_link()
            hall = self.halls[number % HALLS]
            gateway = make_gateway(
                f"gateway-{number}", hall, self.halls, link, self._directory, self._gateways_from
            )
            self.gateways.append(gateway)
            gateway.start()

    async def open_store_link(self) -> Link:
        """Open a link to the store for one gateway."""
        return await self.proxy.open(LOCAL, self._store_port)

    def _start_domain(self, name: str, hall: str) -> None:
        """Start a domain of hosts that is a process of its own."""
        domain = ReplicaProcess(name, hall, self._directory, self._backlog, self._crash_framing)
        domain.start(self._store_port)
        self.replicas.append(domain)

    def replace_domain(self, domain: ReplicaProcess) -> None:
        """Take the rows of a domain whose process has ended away, and start another one."""
        for row in self.memory.rows(UPSTREAMS):
            if domain.runs(row.key):
                self.memory.put(UPSTREAMS, row.key, None)
        self.replicas.remove(domain)
        self._ended_replicas.append(domain)
        self._start_domain(f"{domain.domain}-again", domain.hall)

    # What operators write.

    def configure(self, keys: list[str]) -> None:
        """Write a configuration with these keys; the others are taken away."""
        now = asyncio.get_running_loop().time()
        for revocation in self.revocations:
            if revocation.key in keys:
                revocation.until = min(revocation.until, now)
        self.revocations += [Revocation(key, now) for key in self.keys if key not in keys]
        self.keys = keys
        self.version += 1
        self._write_configuration()

    def change_options(self, options: DocumentOptions) -> None:
        """Write a configuration with the same keys and other options."""
        self.options = options
        self.configure(self.keys)

    def _write_configuration(self) -> None:
        self.configured_at.append(asyncio.get_running_loop().time())
        document = make_document(self.version, self.keys, self.options)
        self.memory.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, document)

    def evacuate(self, hall: str) -> None:
        """Ask that nothing more be sent to a hall."""
        self.memory.put(CONFIGURATION_TABLE, EVACUATION_PREFIX + hall, {"evacuate": True})
        self.evacuations.append(Evacuation(hall, asyncio.get_running_loop().time()))

    def take_back(self, hall: str) -> None:
        """Take the request to empty a hall back; hosts that are cold are told as that by it."""
        now = asyncio.get_running_loop().time()
        for evacuation in self.evacuations:
            if evacuation.hall == hall:
                evacuation.until = min(evacuation.until, now)
        for host in self.hosts_of(hall):
            host.note_told_cold()
        self.memory.put(CONFIGURATION_TABLE, EVACUATION_PREFIX + hall, None)

    def evacuated_halls(self) -> set[str]:
        """Return the halls that are to be empty now."""
        return {e.hall for e in self.evacuations if e.until == float("inf")}

    def write_operators_rows_again(self) -> None:
        """Write what a copy of the store lacks."""
        stored = self.memory.get(CONFIGURATION_TABLE, CONFIGURATION_KEY).value
        if stored is None or stored["version"] != self.version:
            self._write_configuration()
        evacuated = self.evacuated_halls()
        for hall in self.halls:
            key = EVACUATION_PREFIX + hall
            if bool(self.memory.get(CONFIGURATION_TABLE, key).version) != (hall in evacuated):
                value = {"evacuate": True} if hall in evacuated else None
                self.memory.put(CONFIGURATION_TABLE, key, value)

    @contextlib.contextmanager
    def disturbed(self, gateway: str | None):
        """Note that a gateway, or every one with ``None``, is out of touch meanwhile."""
        disturbance = Disturbance(gateway, asyncio.get_running_loop().time())
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.until = asyncio.get_running_loop().time()

    def is_out_of_touch(self, gateway: str, since: float, until: float) -> bool:
        """Whether a gateway was started, frozen or cut off from the store meanwhile."""
        started = [g.started_at for g in self.gateways if g.name == gateway]
        was_disturbed = any(
            d.gateway == gateway and d.since <= until and since <= d.until
            for d in self.disturbances
        )
        return was_disturbed or any(since <= at <= until for times in started for at in times)

    def is_in_touch(self, gateway: str, at: float, contact_s: float) -> bool:
        """Whether a gateway and the store were undisturbed for some time before a moment."""
        since = at - contact_s
        is_store_disturbed = any(
            d.gateway is None and d.since <= at and since <= d.until for d in self.disturbances
        )
        if is_store_disturbed or self.is_out_of_touch(gateway, since, at):
            return False
        [process] = [g for g in self.gateways if g.name == gateway]
        started_at = max((t for t in process.started_at if t <= at), default=0.0)
        # A gateway that is being stopped stays out of touch until it has been started again.
        return not any(started_at <= t <= at for t in process.terminated_at)

    # Upstreams.

    def hosts_of(self, hall: str) -> list[HostStandIn]:
        """Return a hall's hosts that live."""
        hosts = self.fabric.hosts.values()
        return [h for h in hosts if h.upstream.hall == hall and not h.is_dark]

    def hall_of(self, upstream_id: str) -> str:
        """Return the hall of a host or a plain upstream, whether it lives or not."""
        host = self.fabric.hosts.get(upstream_id)
        return self.plain_upstreams[upstream_id].hall if host is None else host.upstream.hall

    async def fill_hall(self, hall: str, cold_s: float = COLD_S) -> None:
        """Start the hosts and the plain upstream that a hall lacks, unless it is lost."""
        if hall in self.lost_halls:
            return
        while len(self.hosts_of(hall)) < self._hosts_per_hall:
            await self.add_host(hall, cold_s)
        if all(u.hall != hall or self.links[u.id].is_silent for u in self.plain_upstreams.values()):
            await self._add_plain(hall)

    async def add_host(self, hall: str, cold_s: float = COLD_S) -> None:
        """Start an empty host behind a link of its own."""
        name = self._new_name("host")
        cell: list[HostStandIn] = []
        link = await self._open_link(name, host_app(cell, lambda n: self.fabric.running(n).id))
        domain = f"domain-of-{hall}"
        upstream = make_upstream(name, MODEL_SERVICE, link.port, domain, hall)
        upstream = replace(upstream, address=Address(LOCAL, link.port))
        self._cells[name] = cell
        cell.append(self.fabric.add(upstream, TIMES, cold_s))

    def crash_host(self, host: HostStandIn) -> None:
        """End a host's process, whose connections are reset."""
        host.crash()
        self.reset_host(host)

    def start_again(self, host: HostStandIn, started_ms: int) -> None:
        """Start a host's process again under its name; it holds nothing of before and is cold.

        In a hall that was lost meanwhile, its row goes instead.
        """
        name = upstream_name(host.id)
        if host.upstream.hall in self.lost_halls:
            self.memory.put(UPSTREAMS, name, None)
            return
        self.notices.forget(name)
        upstream = replace(host.upstream, id=incarnation_id(name, started_ms), staged=())
        self._cells[name][:] = [self.fabric.add(upstream, TIMES, COLD_S)]

    async def _add_plain(self, hall: str) -> None:
        name = self._new_name("desk")
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.plain.handler(name))
        link = await self._open_link(name, app)
        upstream = Upstream(name, PLAIN_SERVICE, Address(LOCAL, link.port), hall, slots=6)
        self.plain_upstreams[name] = replace(upstream, state=UpstreamState.READY)
        self.memory.put(UPSTREAMS, name, self.plain_upstreams[name])

    def _new_name(self, kind: str) -> str:
        self._next_upstream += 1
        return f"{kind}-{self._next_upstream}"

    async def _open_link(self, name: str, app: web.Application) -> Link:
        self.notices.attach(app, name)
        self.links[name] = await self.proxy.open(LOCAL, await self._servers.serve(app))
        return self.links[name]

    def reset_host(self, host: HostStandIn) -> None:
        """Break all connections to a host."""
        self.resets.append((upstream_name(host.id), asyncio.get_running_loop().time()))
        self.links[upstream_name(host.id)].reset()

    def end_host(self, host: HostStandIn) -> None:
        """Let a host fall silent for good."""
        self.links[upstream_name(host.id)].is_silent = True
        self._ending.append(asyncio.create_task(host.die(LISTED_S)))

    def end_leaving_host(self, host: HostStandIn) -> None:
        """End a host that has announced its end: it refuses connections, and its row goes."""
        if host.is_dark:
            return
        self.crash_host(host)
        self.links[upstream_name(host.id)].refuses = True
        self.memory.put(UPSTREAMS, upstream_name(host.id), None)

    async def replace_host(self, host: HostStandIn) -> None:
        """End a host, unless it has ended already, and start another one in its place."""
        if not host.is_dark:
            self.end_host(host)
        await self.fill_hall(host.upstream.hall)

    def lose_hall(self, hall: str) -> None:
        """Let all that stands in a hall end in one moment."""
        self.lost_halls.add(hall)
        for gateway in self.gateways:
            if gateway.hall == hall:
                gateway.signal(signal.SIGKILL)
        for host in self.hosts_of(hall):
            self.end_host(host)
        for upstream in self.plain_upstreams.values():
            if upstream.hall == hall and not self.links[upstream.id].is_silent:
                self.links[upstream.id].is_silent = True
                self._ending.append(asyncio.create_task(self._unlist(upstream)))

    async def _unlist(self, upstream: Upstream) -> None:
        await asyncio.sleep(LISTED_S)
        self.memory.put(UPSTREAMS, upstream.id, None)

    async def return_hall(self, hall: str) -> None:
        """Let a lost hall be back: its gateways, and other hosts, which are cold."""
        self.lost_halls.discard(hall)
        self.restart_ended()
        await self.fill_hall(hall)

    def arrivals(self) -> list[Arrival]:
        """Return all requests that upstreams have read."""
        domains = [*self.replicas, *self._ended_replicas]
        return self.notices.arrivals + [a for each in domains for a in each.arrivals()]

    def lasting_runs(self) -> list[Run]:
        """Return the runs at hosts whose processes have not ended."""
        own = [
            Run(request_id, host)
            for request_id, hosts in self.fabric.checks.runs.items()
            for host in hosts
            if not self.fabric.hosts[host].is_dark
        ]
        return own + [run for each in self.replicas for run in each.runs_begun()]

    # Gateways.

    def serving_gateways(self) -> list[GatewayProcess]:
        """Return the gateways that run and weren't asked to stop."""
        return [g for g in self.gateways if g.is_running() and not g.is_stopping()]

    def restart_ended(self) -> None:
        """Start the gateways that have ended, but for those of lost halls."""
        for gateway in self.gateways:
            if not gateway.is_running() and gateway.hall not in self.lost_halls:
                gateway.start()

    async def close(self) -> None:
        """End everything that was started, by its process."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            gateway.process.wait()
        for domain in self.replicas:
            domain.end()
        for task in self._ending:
            task.cancel()
        self.proxy.close()
        await self.fabric.close()
        await self._servers.close()
