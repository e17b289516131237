"""A small deployment in one process: stand-ins, engines and real nodes."""

from __future__ import annotations

import asyncio
import hashlib
import os
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from mulleinreach.common import Address, Clock, Network, VirtualClock
from mulleinreach.common.net import HttpServer
from mulleinreach.node import Node
from mulleinreach.settings import NodeSettings
from mulleinreach.standins.engine import EngineStandIn, Fabric
from mulleinreach.standins.engine_core import EngineSpeed
from mulleinreach.standins.links import Links
from mulleinreach.standins.plain import PlainServiceStandIn
from mulleinreach.standins.platform import (
    HostListStandIn,
    ObjectStoreStandIn,
    WeightStoreStandIn,
)
from mulleinreach.standins.table import TableStandIn
from mulleinreach.stores import Host, HostKind

PEER_SECRET_ENV = "MULLEINREACH_STANDIN_PEER_SECRET"
OPERATOR_TOKENS = {"amaka": "amaka-token", "bola": "bola-token", "viewer": "viewer-token"}
CALLER_KEYS = {"shop-lagos": "key-lagos", "shop-ibadan": "key-ibadan"}


def sha256(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass
class WorldSpec:
    """How large the deployment is, and how fast its stand-ins are."""

    nodes: int = 3
    domains: int = 2
    hosts_per_domain: int = 12
    hosts_per_rack: int = 6
    halls: tuple[str, ...] = ("ikeja", "apapa", "lekki")
    host_load_s: float = 1.0
    load_streams: int = 8
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    unchecked_domains: tuple[str, ...] = ()
    timing: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    host_list_lag_s: float = 0.0
    seed: int = 1


class AddressBook:
    """Gives each process its address: virtual ones, or free ports on loopback."""

    def __init__(self, virtual: bool):
        self._virtual = virtual
        self._count = 0
        self.names: dict[str, str] = {}

    def new(self, name: str) -> str:
        """Return an address for the process called ``name``."""
        self._count += 1
        if self._virtual:
            address = f"10.0.{self._count // 250}.{self._count % 250 + 1}:80"
        else:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.names[address] = name
        return address


class World:
    """The whole deployment; ``virtual`` puts it on a virtual clock and network."""

    def __init__(self, spec: WorldSpec, virtual: bool):
        self.spec = spec
        self.virtual = virtual
        self.clock: Clock = VirtualClock() if virtual else Clock()
        self.links = Links()
        self.book = AddressBook(virtual)
        self.links.names = self.book.names
        self.rng = random.Random(spec.seed)
        self.fabric = Fabric()
        self.table = TableStandIn()
        self.objects = ObjectStoreStandIn()
        self.host_list = HostListStandIn(spec.host_list_lag_s)
        self.weights = WeightStoreStandIn(spec.host_load_s, spec.load_streams)
        self.engines: dict[str, EngineStandIn] = {}
        self.plain: dict[str, PlainServiceStandIn] = {}
        self.nodes: dict[str, Node] = {}
        self._servers: dict[str, HttpServer] = {}
        self._addresses: dict[str, str] = {}
        self._settings: dict[str, NodeSettings] = {}

    def network(self, origin: str) -> Network:
        """Return the network as the process ``origin`` sees it."""
        if not self.virtual:
            return Network(origin)
        # Only tests have the virtual loop's library; the demo runs without it.
        from mulleinreach.standins.virtual import VirtualNetwork

        return VirtualNetwork(self.links, origin)

    async def start(self) -> None:
        """Start the stand-ins, then the nodes."""
        os.environ[PEER_SECRET_ENV] = "a secret for stand-ins only"
        await self.start_standins()
        for name in self.node_names():
            await self.start_node(name)

    async def start_standins(self) -> None:
        """Start the stand-ins and make the settings of the nodes."""
        await self._serve("table", self.table.app())
        await self._serve("objects", self.objects.app())
        await self._serve("host-list", self.host_list.app())
        for number in range(self.spec.domains):
            await self._start_domain(number)
        for number in range(2):
            await self.add_plain(f"desk-{number + 1}", "shop-desk")
        for number, name in enumerate(self.node_names()):
            self._settings[name] = self._make_settings(name, number)

    def node_names(self) -> list[str]:
        """Return the names of all nodes; halls take turns."""
        halls = self.spec.halls
        numbers = range(self.spec.nodes)
        return [f"{halls[n % len(halls)]}-{n // len(halls) + 1}" for n in numbers]

    async def _serve(self, name: str, app: web.Application) -> str:
        address = self._addresses.get(name) or self.book.new(name)
        self._addresses[name] = address
        self._servers[name] = await self.network(name).serve_http(app, Address.parse(address))
        return address

    async def _start_domain(self, number: int) -> None:
        domain = f"fabric-{chr(ord('a') + number)}"
        hall = self.spec.halls[number % len(self.spec.halls)]
        for index in range(self.spec.hosts_per_domain):
            name = f"{domain[-1]}{index + 1:02d}"
            rack = f"{domain}-r{index // self.spec.hosts_per_rack + 1}"
            engine = EngineStandIn(name, self.fabric, self.weights, self.spec.speed)
            engine.faults.checks_epoch = domain not in self.spec.unchecked_domains
            self.engines[name] = engine
            address = await self._serve(name, engine.app())
            self.host_list.add(Host(name, address, HostKind.ENGINE, hall, domain=domain, rack=rack))

    async def add_plain(self, name: str, service: str) -> None:
        """Start a host of a plain service."""
        self.plain[name] = PlainServiceStandIn(name)
        address = await self._serve(name, self.plain[name].app())
        hall = self.spec.halls[0]
        self.host_list.add(Host(name, address, HostKind.PLAIN, hall, service=service))

    def _make_settings(self, name: str, number: int) -> NodeSettings:
        hall = self.spec.halls[number % len(self.spec.halls)]
        timing = {"table_poll_s": 0.5, **self.spec.timing}
        return NodeSettings.model_validate(
            {
                "kind": "node",
                "deployment": "standin",
                "node": {"name": name, "hall": hall, "region": "lagos"},
                "listen": {
                    "callers": self.book.new(f"{name}/callers"),
                    "operators": self.book.new(f"{name}/operators"),
                    "peers": self.book.new(f"{name}/peers"),
                },
                "platform": {
                    "table": self._addresses["table"],
                    "objects": self._addresses["objects"],
                    "host_list": self._addresses["host-list"],
                },
                "operators": [
                    {
                        "name": operator,
                        "role": "viewer" if operator == "viewer" else "operator",
                        "token_sha256": sha256(token),
                    }
                    for operator, token in OPERATOR_TOKENS.items()
                ],
                "peer_keys": [{"id": "k1", "secret": f"env:{PEER_SECRET_ENV}"}],
                "timing": timing,
                "limits": self.spec.limits,
                "engines": {
                    "unchecked_domains": list(self.spec.unchecked_domains),
                    "load_streams": self.spec.load_streams,
                    "host_load_s": self.spec.host_load_s,
                },
            }
        )

    def settings_of(self, name: str) -> NodeSettings:
        """Return the settings of a node."""
        return self._settings[name]

    async def start_node(self, name: str) -> Node:
        """Start a node as a new process with its old settings."""
        seed = self.rng.getrandbits(32) if self.virtual else None
        node = Node(self._settings[name], self.network(name), self.clock, seed)
        self.nodes[name] = node
        self.links.accept(name)
        await node.start()
        return node

    async def kill_node(self, name: str) -> None:
        """End a node as a crash would."""
        await self.nodes.pop(name).kill()

    # What happens to hosts.

    def kill_host(self, name: str) -> None:
        """End an engine's process: its connections break, new ones are refused."""
        self.engines[name].alive = False
        self.links.refuse(name)

    def restart_host(self, name: str) -> None:
        """Start an engine's process anew."""
        self.engines[name].restart()
        self.links.accept(name)

    async def stop(self) -> None:
        """End everything."""
        for node in list(self.nodes.values()):
            await node.kill()
        for engine in self.engines.values():
            engine.resume()
        for server in self._servers.values():
            await server.close()

    async def until(
        self, condition: Callable[[], bool], timeout_s: float = 60.0, step_s: float = 0.05
    ) -> float:
        """Wait until ``condition`` holds; returns how many seconds that took."""
        began = self.clock.now()
        while not condition():
            if self.clock.now() - began > timeout_s:
                raise TimeoutError(f"not within {timeout_s} s")
            await asyncio.sleep(step_s)
        return self.clock.now() - began

    def usable(self, service: str, node: str | None = None) -> int:
        """Return how many replicas of a service a node, or the first one, may use."""
        found = self.nodes[node] if node else next(iter(self.nodes.values()))
        return len(found.replicas.candidates(service))
