"""Engines refuse the orders of a replaced coordinator, and the refusal ends its term."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.coordination.lease import RenewalOutcome
from mulleinreach.gateway.fleet.formation import LeaseLost
from mulleinreach.gateway.ports import Accepted, Fenced
from mulleinreach.gateway.state.groups import collect_groups
from mulleinreach.gateway.tests.support import block_store_access, run_world
from mulleinreach.standins.gateway.store import LEASE
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE


async def partition_coordinator(world):
    """Isolate the coordinator until it is replaced, then make it believe that it holds the lease.

    Returns the stale coordinator and its successor.
    """
    name = world.coordinator()
    stale_coordinator = world.nodes[name]
    block_store_access(stale_coordinator)
    for other in world.nodes:
        world.links.cut_both(name, other)
    await world.until(lambda: world.coordinator() not in (name, None))
    successor = world.nodes[world.coordinator()]
    stale_coordinator.lease._held_until = float("inf")
    return stale_coordinator, successor


def open_group(node):
    """Return a serving group known to a node."""
    head = node.chooser.heads(MODEL_SERVICE, LARGE)[0]
    return collect_groups(node.directory.of_service(MODEL_SERVICE))[head.group, head.epoch]


def test_orders_of_paused_coordinator_with_expired_lease_have_no_effect():
    async def test(world):
        world.fabric.requires_fence = True
        await world.until_formed()
        await asyncio.sleep(3)
        stale_coordinator, successor = await partition_coordinator(world)
        group = open_group(successor)
        for member in group.members.values():
            host = world.fabric.hosts[member.id]
            order = await world.fabric.leave(host.upstream, "nothing", 1, successor.lease.token)
            assert order == Accepted()
        orders = world.fabric.orders_by_token[stale_coordinator.lease.token]
        orders_before = len(orders)
        with pytest.raises(LeaseLost):
            await stale_coordinator.operator.dissolve(group)
        assert world.fabric.hosts[group.head.id].standing is not None
        assert not stale_coordinator.lease.is_held()
        await asyncio.sleep(3)
        assert not stale_coordinator.lease.is_held()
        # Only the refused order was sent with that token.
        assert len(orders) == orders_before + 1

    run_world(test, nodes=3, domains=1)


def test_fenced_coordinator_does_not_renew_its_lease():
    async def test(world):
        await world.until_formed()
        holder = world.nodes[world.coordinator()]
        holder.lease.mark_fenced()
        assert await holder.lease.renew() is RenewalOutcome.LOST
        assert not holder.lease.is_held()
        # The lease expires, and a new term begins with a higher token.
        token = holder.lease.token
        await world.until(lambda: world.coordinator() is not None)
        assert world.nodes[world.coordinator()].lease.token > token

    run_world(test, nodes=2, domains=1)


def test_engine_that_requires_tokens_refuses_stale_token():
    async def test(world):
        world.fabric.requires_fence = True
        await world.until_formed()
        group = open_group(world.nodes[world.coordinator()])
        stale = world.nodes[world.coordinator()].lease.token - 1
        result = await world.fabric.open(group.head, group.name, group.epoch, stale)
        assert result == Fenced()

    run_world(test, domains=1)


def test_token_increases_after_row_of_lease_is_corrupted():
    async def test(world):
        await world.until_formed()
        token = world.nodes[world.coordinator()].lease.token
        world.store.put(LEASE, "coordinator", None)
        await asyncio.sleep(0.05)
        await world.until(lambda: world.coordinator() is not None)
        await asyncio.sleep(3)
        assert world.nodes[world.coordinator()].lease.token > token

    run_world(test, nodes=3, domains=1)
