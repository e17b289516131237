"""A new configuration is read by the coordinator and reaches all nodes."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import return_unavailable, run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import API_KEY, make_configuration

CHANGES = 10
PAUSE_S = 0.4


def _versions(world) -> set[int]:
    return {node.in_force.version for node in world.nodes.values()}


def test_changes_reach_every_node_with_few_store_calls():
    async def test(world):
        await asyncio.sleep(3)
        calls_before = world.store.calls
        for version in range(2, 2 + CHANGES):
            world.store.put(CONFIGURATION, "newest", make_configuration(version))
            await asyncio.sleep(PAUSE_S)
        assert _versions(world) == {1 + CHANGES}
        # Only the coordinator calls the store: long polls, lease renewals, and one more long
        # poll per change.
        assert world.store.calls - calls_before < 10 * CHANGES * PAUSE_S + 3 * CHANGES

    run_world(test, nodes=40, domains=0)


def test_node_that_the_store_refuses_follows_the_configuration():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        name = next(name for name in world.nodes if name != world.coordinator())
        ports = world.nodes[name].ports
        ports.configurations.wait = ports.configurations.read = return_unavailable
        world.store.put(CONFIGURATION, "newest", make_configuration(2, frozenset({"new"})))
        await asyncio.sleep(0.5)
        assert (await world.call("/order/1", node=name, key=API_KEY)).status == 401
        assert (await world.call("/order/1", node=name, key="new")).status == 200

    run_world(test, nodes=4, domains=0)
