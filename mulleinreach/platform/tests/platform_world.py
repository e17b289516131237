"""Whole nodes on a virtual clock that reach their store by the platform's protocol."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Address
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.ports import Ports
from mulleinreach.platform.sources import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    UPSTREAM_TABLE,
    PlatformConfigurations,
    PlatformLease,
    PlatformUpstreams,
)
from mulleinreach.platform.store import PlatformStore
from mulleinreach.platform.tests.soak.document import make_document
from mulleinreach.platform.tests.standin import StoreStandIn
from mulleinreach.standins.gateway.dialect import PlainDialect
from mulleinreach.standins.gateway.orders import FabricOrders
from mulleinreach.standins.gateway.store import UPSTREAMS
from mulleinreach.standins.gateway.world import GatewayWorld
from mulleinreach.standins.virtual import VirtualNetwork, run_virtual

STORE_ADDRESS = Address("10.9.0.1", 8000)
BOUNDS = DeploymentBounds(leaving_propagation_s=3.0, config_propagation_s=2.0)


class PlatformWorld(GatewayWorld):
    """A cluster whose nodes reach the store by the platform's protocol."""

    async def start(self) -> None:
        standin = StoreStandIn(self.store, page=500, tables={UPSTREAM_TABLE: UPSTREAMS})
        network = VirtualNetwork(self.links, "store")
        self.links.names[str(STORE_ADDRESS)] = "store"
        self._store_server = await network.serve_http(standin.app(), STORE_ADDRESS)
        self._clients: list[PlatformStore] = []
        self.configure(1)
        await super().start()

    def configure(self, version: int) -> None:
        """Write a configuration."""
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, make_document(version, ["key"]))

    def make_ports(self, network: VirtualNetwork) -> Ports:
        store = PlatformStore(network.http_client, STORE_ADDRESS)
        self._clients.append(store)
        return Ports(
            PlatformConfigurations(store),
            PlatformUpstreams(store),
            PlatformLease(store),
            FabricOrders(self.fabric, network),
            PlainDialect(),
        )

    async def close(self) -> None:
        await super().close()
        for client in self._clients:
            await client.close()
        await self._store_server.close()


def run_platform_world(test) -> None:
    """Run a test with three nodes, after they have elected a coordinator."""

    async def run() -> None:
        world = PlatformWorld(nodes=3, bounds=BOUNDS)
        await world.start()
        try:
            await world.until(lambda: world.coordinator() is not None)
            await asyncio.sleep(4)
            await test(world)
        finally:
            await world.close()

    run_virtual(run())


def all_have_version(world: PlatformWorld, version: int) -> bool:
    """Whether a version is in force on all nodes."""
    return all(node.in_force.version == version for node in world.nodes.values())
