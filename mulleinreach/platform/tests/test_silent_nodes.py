"""Nodes keep the lease and observe changes although connections to the store stall."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.ports import Ports
from mulleinreach.gateway.upstream import UpstreamState
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
ALL_CONNECTIONS, EVEN_CONNECTIONS, ODD_CONNECTIONS = (
    slice(None),
    slice(0, None, 2),
    slice(1, None, 2),
)


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


@pytest.mark.parametrize("connections", [ALL_CONNECTIONS, EVEN_CONNECTIONS, ODD_CONNECTIONS])
@pytest.mark.parametrize("after_s", [0.0, 0.3, 0.6])
def test_coordinator_keeps_lease_and_nodes_observe_changes_in_time(connections, after_s):
    """The delay varies which calls are in flight when the connections stall."""

    async def test(world):
        coordinator = world.coordinator()
        leaving = next(iter(world.fabric.hosts.values()))
        await asyncio.sleep(after_s)
        world.links.silence(world.nodes, connections)
        world.configure(2)
        leaving.drain()
        configured_s = await world.until(lambda: _all_have_version(world, 2))
        drained_s = configured_s + await world.until(lambda: _all_know_leaving(world, leaving.id))
        assert configured_s <= BOUNDS.config_propagation_s
        assert drained_s <= BOUNDS.leaving_propagation_s
        assert world.coordinator() == coordinator

    run_platform_world(test)


def _all_have_version(world: PlatformWorld, version: int) -> bool:
    return all(node.in_force.version == version for node in world.nodes.values())


def _all_know_leaving(world: PlatformWorld, upstream_id: str) -> bool:
    known = [node.directory.get(upstream_id) for node in world.nodes.values()]
    return all(upstream.state is UpstreamState.DRAINING for upstream in known)
