"""The number of calls that a deployment makes to the store, which charges for each call."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.ports import OperatorRows
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION, UPSTREAMS
from mulleinreach.standins.gateway.world import make_configuration

IDLE_S = 20
OUTAGE_S = 10
# Each node reads the configuration and the list once when the coordinator sends no data.
DIRECT_READS_PER_NODE = 2


async def count_calls(world, during_s: float) -> int:
    """Return how many calls are made during a time."""
    before = world.store.calls
    await asyncio.sleep(during_s)
    return world.store.calls - before


def test_idle_deployment_makes_three_store_calls_a_second_at_most():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        assert await count_calls(world, IDLE_S) < 3 * IDLE_S
        for node in world.nodes.values():
            assert node.in_force.evidence_age_s() < 1.3
            assert node.follower.list_age_s() < 1.5

    run_world(test, nodes=9)


def test_nodes_without_a_configuration_wait_for_the_first_one():
    async def test(world):
        world.store.put(CONFIGURATION, "newest", None)
        for number in range(5):
            await world.start_node(f"early-{number}")
        await asyncio.sleep(1)
        assert await count_calls(world, 5) < 5 * 5
        world.store.put(CONFIGURATION, "newest", make_configuration())
        await world.until(lambda: all(node.is_ready() for node in world.nodes.values()), 0.6)

    run_world(test, nodes=0, domains=0)


@pytest.mark.parametrize("silent", ["configuration", "upstreams"])
def test_long_poll_that_stops_responding_is_detected(silent):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        source = getattr(world.nodes[world.coordinator()].ports, f"{silent}s".replace("ss", "s"))

        async def stop_responding(revision, wait_s):
            await asyncio.sleep(wait_s + 1.0)
            del source.wait
            return await source.wait(revision, wait_s)

        source.wait = stop_responding
        await asyncio.sleep(2.5)
        world.store.put(CONFIGURATION, "newest", make_configuration(2))
        leaving = next(iter(world.fabric.hosts.values()))
        leaving.cut_from_list()

        def is_known() -> bool:
            nodes = world.nodes.values()
            if silent == "configuration":
                return all(node.in_force.version == 2 for node in nodes)
            return all(node.directory.get(leaving.id) is None for node in nodes)

        limit_s = 1.2 if silent == "configuration" else 3.5
        await world.until(is_known, limit_s)

    run_world(test, nodes=3)


def test_list_reads_are_batched_unless_a_change_is_urgent():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        before = world.store.calls
        for number in range(40):
            host = list(world.fabric.hosts.values())[number % 16]
            world.store.put(UPSTREAMS, host.id, host.describe())
            await asyncio.sleep(0.1)
        # Four seconds of continuous changes, and the lease renewals.
        assert world.store.calls - before < 4 * 4 + 10

    run_world(test, nodes=3)


@pytest.mark.parametrize(
    ("outage", "nodes", "factor"),
    [
        ("is_down", 9, 2),
        # In a large deployment each node probes every three seconds.
        ("is_down", 68, 6),
        ("is_silent", 9, 2),
        # Each lease renewal takes three calls if answers are lost.
        ("loses", 9, 4),
    ],
)
def test_outage_multiplies_store_calls_by_a_small_factor(outage, nodes, factor):
    async def test(world):
        await asyncio.sleep(12)
        idle = await count_calls(world, OUTAGE_S)
        setattr(world.store, outage, True)
        calls = await count_calls(world, OUTAGE_S)
        setattr(world.store, outage, False)
        allowed = factor * idle + DIRECT_READS_PER_NODE * nodes
        assert calls <= allowed, (calls, idle)
        await world.until(lambda: world.coordinator() is not None, 1.5)
        await asyncio.sleep(0.5)
        for node in world.nodes.values():
            assert node.in_force.evidence_age_s() < 2.0

    run_world(test, nodes=nodes, domains=0)


def test_node_start_with_a_coordinator_takes_two_store_calls_at_most():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(1)
        calls = []
        for number in range(8):
            node = await world.start_node(f"late-{number}")
            await world.until(node.is_ready, 0.3)
            await asyncio.sleep(0.7)
            calls.append(sum(node.store_calls.take_counts().values()))
            assert len(node.directory) == 16
        assert max(calls) <= 2

    run_world(test, nodes=3)


@pytest.mark.parametrize("rows", [None, OperatorRows(1)])
def test_renewal_for_other_operator_rows_is_no_evidence(rows):
    async def test(world):
        await asyncio.sleep(3)
        holder = world.nodes[world.coordinator()]
        world.store.put(CONFIGURATION, "newest", make_configuration(2))
        await asyncio.sleep(0.5)
        assert holder.in_force.operator_rows() not in (None, OperatorRows(1))
        evidence_at = holder.in_force.evidence_at
        holder.in_force.confirm(rows, evidence_at + 100)
        assert holder.in_force.evidence_at == evidence_at
        holder.in_force.confirm(holder.in_force.operator_rows(), evidence_at + 100)
        assert holder.in_force.evidence_at == evidence_at + 100

    run_world(test, nodes=1, domains=0)
