"""A whole deployment of gateway nodes and hosts in one process, on a virtual network."""

from __future__ import annotations

import asyncio
import string
from collections.abc import AsyncIterable, Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import aiohttp
from aiohttp import web

from mulleinreach.common import Address, VirtualClock
from mulleinreach.gateway.deployment import DeploymentBounds, GatewayIdentity
from mulleinreach.gateway.model import (
    Configuration,
    EngineModel,
    EngineProfile,
    Organisation,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from mulleinreach.gateway.node import GatewayNode
from mulleinreach.gateway.ports import Ports
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.standins.gateway.crashes import Crashes
from mulleinreach.standins.gateway.dialect import DEADLINE_MS, MODEL, REQUEST_ID, PlainDialect
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.hosts import HostStandIn, HostTimes, make_upstream
from mulleinreach.standins.gateway.orders import FabricOrders
from mulleinreach.standins.gateway.store import (
    CONFIGURATION,
    EVACUATE,
    UPSTREAMS,
    MemoryConfigurations,
    MemoryLease,
    MemoryStore,
    MemoryUpstreams,
)
from mulleinreach.standins.links import Links
from mulleinreach.standins.virtual import SuspendableClock, VirtualNetwork

MODEL_SERVICE = "models"
PLAIN_SERVICE = "desk"
CALLER_HOST = "tint.example"
API_KEY = "key-of-tint"
LARGE, SMALL = "large", "small"
PROFILE = EngineProfile(
    models=(
        EngineModel(LARGE, 4, share=0.67, pace=1.0, load_s=1.6, warm_s=0.5),
        EngineModel(SMALL, 2, share=0.33, pace=0.6, load_s=1.2, warm_s=0.5),
    ),
    slots=13,
    step_ms=6.0,
    read_tokens_per_s=46_000.0,
    stride=5,
    loads_per_s=4.0,
    max_concurrent_loads=6,
)


def make_configuration(version: int = 1, keys: frozenset[str] = frozenset({API_KEY})):
    """Return a configuration with one route of each kind."""
    common = {"host": CALLER_HOST, "objective_s": 0.5, "priority": 1}
    to_models = (WeightedService(MODEL_SERVICE, 1),)
    to_desk = (WeightedService(PLAIN_SERVICE, 1),)
    streaming = RouteKind.STREAMING
    return Configuration(
        version=version,
        routes=(
            Route(
                "stream",
                path_prefix="/stream/",
                kind=streaming,
                timeout_s=8,
                destinations=to_models,
                max_attempts=2,
                is_resumable=True,
                **common,
            ),
            Route(
                "order",
                path_prefix="/order/",
                kind=RouteKind.UNSAFE,
                timeout_s=2,
                destinations=to_desk,
                max_attempts=2,
                **common,
            ),
            Route(
                "stock",
                path_prefix="/stock/",
                kind=RouteKind.SAFE,
                timeout_s=2,
                destinations=to_desk,
                max_attempts=2,
                **common,
            ),
            Route(
                "open",
                path_prefix="/public/",
                kind=RouteKind.SAFE,
                timeout_s=2,
                destinations=to_desk,
                is_public=True,
                **common,
            ),
        ),
        services={
            MODEL_SERVICE: Service(MODEL_SERVICE, engine=PROFILE),
            PLAIN_SERVICE: Service(PLAIN_SERVICE),
        },
        organisations=(Organisation("tint", keys),),
    )


@dataclass(frozen=True)
class CallerAnswer:
    """What a caller saw; ``is_cut`` if the answer ended before it was whole."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_cut: bool = False

    @property
    def event_ids(self) -> list[str]:
        """The ids of the events in the order in which they came."""
        lines = self.body.decode().splitlines()
        return [line.removeprefix("id: ") for line in lines if line.startswith("id: ")]


@dataclass
class PlainStandIn:
    """An upstream of a plain service; ``script`` is called for each request."""

    upstream: Upstream
    script: Callable[[web.BaseRequest], object]
    seen: list[str] = field(default_factory=list)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer as the script says."""
        self.seen.append(request.headers.get(REQUEST_ID, ""))
        return await self.script(request)


class GatewayWorld:
    """Nodes, hosts and a caller.

    Parameters
    ==========

    nodes : how many gateway nodes run.
    domains, hosts_per_domain : the model service's hosts.
    halls : how many halls there are; domains and nodes stand in them in turn.
    bounds : what the operators of the deployment have agreed on.
    regions : the region of each hall; all stand in one if it is left out.
    """

    def __init__(
        self,
        nodes: int = 2,
        domains: int = 2,
        hosts_per_domain: int = 8,
        bounds: DeploymentBounds | None = None,
        halls: int = 1,
        regions: dict[str, str] | None = None,
    ):
        self.links = Links()
        self.clock = VirtualClock()
        self.store = MemoryStore()
        self.fabric = Fabric(self.store, reset_connection=self.links.reset_peer)
        self.crashes = Crashes(self.links, self.fabric, self.clock, self.add_host)
        self.nodes: dict[str, GatewayNode] = {}
        self.plain: dict[str, PlainStandIn] = {}
        self._node_names = [f"node-{number}" for number in range(nodes)]
        self._domains = domains
        self.halls = [f"hall-{letter}" for letter in string.ascii_lowercase[:halls]]
        self._bounds = bounds or DeploymentBounds()
        self._regions = regions or dict.fromkeys(self.halls, "region-1")
        self._hosts_per_domain = hosts_per_domain
        self._listeners: list[tuple[web.Server, asyncio.AbstractServer]] = []
        self._next_port = 9000
        self._requests = 0

    async def start(self) -> None:
        """Write the configuration, start hosts and nodes."""
        self._session = VirtualNetwork(self.links, "caller").http_client(keeps_connections=False)
        self.store.put(CONFIGURATION, "newest", make_configuration())
        for domain in range(self._domains):
            for number in range(self._hosts_per_domain):
                name = f"host-{domain}-{number}"
                await self.add_host(name, f"domain-{domain}", self._hall(domain))
        for number, name in enumerate(self._node_names):
            await self.start_node(name, hall=self._hall(number))

    def _hall(self, number: int) -> str:
        """Return the hall of a domain or node by its number."""
        return self.halls[number % len(self.halls)]

    def evacuate(self, hall: str) -> None:
        """Ask, as an operator does, that nothing more be sent to a hall."""
        self.store.put(CONFIGURATION, EVACUATE + hall, True)

    def take_back(self, hall: str) -> None:
        """Take the operator's request to empty a hall back."""
        self.store.put(CONFIGURATION, EVACUATE + hall, None)

    async def add_host(self, name: str, domain: str, hall: str = "hall-a") -> HostStandIn:
        """Start an empty host."""
        upstream = make_upstream(name, MODEL_SERVICE, self._port(), domain, hall)
        host = self.fabric.add(upstream, HostTimes())
        await self._serve(self.crashes.guard(host.handle, host.id), upstream)
        return host

    async def add_plain(self, name: str, script: Callable, hall: str = "hall-a") -> PlainStandIn:
        """Start an upstream of the plain service."""
        upstream = make_upstream(name, PLAIN_SERVICE, self._port(), None, hall)
        plain = PlainStandIn(upstream, script)
        self.plain[name] = plain
        await self._serve(self.crashes.guard(plain.handle, name), upstream)
        self.store.put(UPSTREAMS, name, upstream)
        return plain

    async def _serve(self, handler, upstream: Upstream) -> None:
        server = web.Server(handler, handler_cancellation=True, access_log=None)
        address = upstream.address
        self.links.names[str(address)] = upstream.id
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, address.host, address.port)
        self._listeners.append((server, listener))

    def _port(self) -> int:
        self._next_port += 1
        return self._next_port

    async def start_node(
        self, name: str, processor_cores: float = 1.0, hall: str = "hall-a"
    ) -> GatewayNode:
        """Start a node, or start it again at other addresses."""
        identity = GatewayIdentity(
            name,
            hall,
            callers_address=Address("10.0.0.1", self._port()),
            readiness_address=Address("10.0.0.1", self._port()),
            peers_address=Address("10.0.0.1", self._port()),
            tunnel_address=Address("10.0.0.1", self._port()),
            processor_cores=processor_cores,
            regions=self._regions,
        )
        for address in (
            identity.callers_address,
            identity.readiness_address,
            identity.peers_address,
            identity.tunnel_address,
        ):
            self.links.names[str(address)] = name
        self.links.accept(name)
        network = VirtualNetwork(self.links, name)
        clock = SuspendableClock()
        node = GatewayNode(
            identity, self._bounds, self.make_ports, network, clock, seed=self._next_port
        )
        self.nodes[name] = node
        await node.start()
        return node

    def make_ports(self, network: VirtualNetwork) -> Ports:
        """Return the ports of one node, whose calls to the store can't be cut."""
        return Ports(
            MemoryConfigurations(self.store),
            MemoryUpstreams(self.store),
            MemoryLease(self.store),
            FabricOrders(self.fabric, network),
            PlainDialect(),
        )

    def suspend(self, name: str, seconds: float) -> None:
        """Let a node's machine be suspended for some seconds, which go by in no time here."""
        self.nodes[name].clock.suspended_s += seconds

    async def kill_node(self, name: str) -> None:
        """End a node as a crash would."""
        self.links.refuse(name)
        await self.nodes.pop(name).abort()

    async def lose_hall(self, hall: str) -> None:
        """Cut the power of a hall: its nodes and hosts fall silent in one moment."""
        for host in self.hosts_in(hall):
            host.is_dark = True
        names = [name for name, node in self.nodes.items() if node.identity.hall == hall]
        self.links.darken(names)
        await asyncio.gather(*(self.nodes.pop(name).abort() for name in names))

    def hosts_in(self, hall: str) -> list[HostStandIn]:
        """Return the hosts that stand in a hall."""
        return [host for host in self.fabric.hosts.values() if host.upstream.hall == hall]

    def upstreams_in(self, hall: str) -> list[Upstream]:
        """Return the upstreams of all services that stand in a hall."""
        standins = [*self.fabric.hosts.values(), *self.plain.values()]
        return [s.upstream for s in standins if s.upstream.hall == hall]

    def coordinator(self) -> str | None:
        """Return the name of the node that holds the lease."""
        return next((n for n, node in self.nodes.items() if node.lease.is_held()), None)

    def open_groups(self, model: str, node: str | None = None) -> int:
        """Return how many groups of a model a node would use."""
        chosen = self.nodes[node] if node else next(iter(self.nodes.values()))
        return len(chosen.chooser.heads(MODEL_SERVICE, model))

    async def until(self, holds: Callable[[], bool], timeout_s: float = 30.0) -> float:
        """Wait until something holds; returns how long it took."""
        started_at = self.clock.now()
        async with asyncio.timeout(timeout_s):
            while not holds():
                await asyncio.sleep(0.02)
        return self.clock.now() - started_at

    async def until_formed(self) -> float:
        """Wait until every domain has its groups, at every node."""

        def is_formed() -> bool:
            return all(
                self.open_groups(model, name) == self._domains
                for name in self.nodes
                for model in (LARGE, SMALL)
            )

        return await self.until(is_formed)

    async def call(
        self,
        path: str,
        body: bytes | AsyncIterable[bytes] = b"",
        node: str | None = None,
        model: str = LARGE,
        key: str | None = API_KEY,
        deadline_s: float = 8.0,
        method: str = "POST",
        fields: Mapping[str, str] = MappingProxyType({}),
    ) -> CallerAnswer:
        """Send a request as a caller would; each has an id of its own."""
        self._requests += 1
        chosen = self.nodes[node] if node else next(iter(self.nodes.values()))
        headers = {
            "Host": CALLER_HOST,
            REQUEST_ID: f"request-{self._requests}",
            DEADLINE_MS: str(int(deadline_s * 1000)),
            MODEL: model,
            **fields,
        }
        if key is not None:
            headers["Authorization"] = key
        url = chosen.identity.callers_address.url + path
        async with self._session.request(method, url, data=body, headers=headers) as response:
            parts = []
            try:
                async for data in response.content.iter_any():
                    parts.append(data)
                is_cut = False
            except aiohttp.ClientError:
                is_cut = True
            return CallerAnswer(response.status, dict(response.headers), b"".join(parts), is_cut)

    async def stream(self, pieces: int, **options) -> CallerAnswer:
        """Ask for a stream of so many events."""
        return await self.call("/stream/draft", str(pieces).encode(), **options)

    async def close(self) -> None:
        """End everything."""
        for node in self.nodes.values():
            await node.abort()
        await self.crashes.close()
        await self.fabric.close()
        for server, listener in self._listeners:
            listener.close()
            await server.shutdown(0.1)
        await self._session.close()
