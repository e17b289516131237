"""Nodes without access to the store are notified of the coordinator's successor."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.coordination.lease import Successor
from mulleinreach.gateway.coordination.succession import notify_replaced
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import block_store_access, run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import API_KEY, make_configuration

STRICT = DeploymentBounds(max_key_evidence_age_s=4.5)
NODES = 6


async def block_store_access_of_half(world) -> list[str]:
    """Block store access for half of the nodes, the coordinator included; returns them."""
    coordinator = world.coordinator()
    others = [name for name in world.nodes if name != coordinator]
    without_store = [coordinator, *others[: NODES // 2 - 1]]
    for name in without_store:
        block_store_access(world.nodes[name])
    return without_store


def test_half_of_the_nodes_serve_on_without_store_access():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(3)
        without_store = await block_store_access_of_half(world)
        refused = 0
        for _ in range(60):
            await asyncio.sleep(0.2)
            for name in without_store:
                refused += (await world.call("/order/1", node=name)).status != 200
        assert refused == 0
        assert world.coordinator() not in without_store

    run_world(test, bounds=STRICT, nodes=NODES, domains=0)


def test_nodes_without_store_access_apply_new_configuration():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(3)
        without_store = await block_store_access_of_half(world)
        await asyncio.sleep(4)
        world.store.put(CONFIGURATION, "newest", make_configuration(2, frozenset({"new"})))
        await asyncio.sleep(0.8)
        for name in without_store:
            assert (await world.call("/order/1", node=name, key=API_KEY)).status == 401
            assert (await world.call("/order/1", node=name, key="new")).status == 200

    run_world(test, bounds=STRICT, nodes=NODES, domains=0)


@pytest.mark.parametrize("secret", ["", "another"])
def test_successor_is_accepted_only_with_the_secret_of_the_lease(secret):
    async def test(world):
        await asyncio.sleep(3)
        holder = world.nodes[world.coordinator()]
        other = next(node for node in world.nodes.values() if node is not holder)
        forged = replace(holder.lease.record, secret=secret)
        successor = Successor(99, "10.0.0.1:1", "mine")
        await notify_replaced(forged, successor, other.identity.name, other.network, other.log)
        await asyncio.sleep(0.3)
        assert holder.coordination._hub.successor is None

    run_world(test, nodes=2, domains=0)
