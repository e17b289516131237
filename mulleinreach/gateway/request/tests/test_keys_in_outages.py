"""How long keys are accepted while all nodes, or single nodes, can't reach the store."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.coordination import membership
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import block_store_access, run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import make_configuration

LENIENT = DeploymentBounds(max_key_evidence_age_s=6.3, trusts_keys_in_outages=True)
STRICT = DeploymentBounds(max_key_evidence_age_s=6.3)
LONG_OUTAGE_S = 12.0
OPTIONS = {"domains": 0, "hosts_per_domain": 0, "nodes": 4}


async def _statuses(world) -> dict[str, int]:
    """Return the status of each node's answer to a request with a key."""
    return {name: (await world.call("/order/1", node=name)).status for name in world.nodes}


@pytest.mark.parametrize("outage", ["is_down", "is_silent"])
def test_keys_work_while_no_node_reaches_the_store(outage):
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        setattr(world.store, outage, True)
        for _ in range(int(LONG_OUTAGE_S)):
            await asyncio.sleep(1)
            assert set((await _statuses(world)).values()) == {200}
        setattr(world.store, outage, False)
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert set((await _statuses(world)).values()) == {200}

    run_world(test, bounds=LENIENT, **OPTIONS)


def test_keys_are_refused_in_an_outage_under_strict_bounds():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        world.store.is_down = True
        await asyncio.sleep(LONG_OUTAGE_S)
        assert set((await _statuses(world)).values()) == {503}

    run_world(test, bounds=STRICT, **OPTIONS)


@pytest.mark.parametrize("blocked_count", [1, 2, 3])
def test_nodes_cut_off_from_the_store_refuse_a_revoked_key(blocked_count):
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        coordinator = world.coordinator()
        others = [name for name in world.nodes if name != coordinator]
        for name in [coordinator, *others][:blocked_count]:
            block_store_access(world.nodes[name])
        # A store call that was in flight may still be answered.
        await asyncio.sleep(1)
        world.store.put(CONFIGURATION, "newest", make_configuration(2, frozenset()))
        await asyncio.sleep(LENIENT.max_key_evidence_age_s + 0.3)
        for status in (await _statuses(world)).values():
            assert status in (401, 503)

    run_world(test, bounds=LENIENT, **OPTIONS)


@pytest.mark.parametrize("stops_after_s", [1.0, 3.0, 5.0])
def test_keys_keep_working_when_the_coordinator_stops_during_an_outage(stops_after_s):
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        coordinator = world.coordinator()
        world.store.is_down = True
        await asyncio.sleep(stops_after_s)
        stopping = asyncio.create_task(world.nodes[coordinator].stop())
        await asyncio.sleep(9.0 - stops_after_s)
        others = [name for name in world.nodes if name != coordinator]
        for name in others:
            assert (await world.call("/order/1", node=name)).status == 200
        await stopping

    run_world(test, bounds=LENIENT, **OPTIONS)


@pytest.mark.parametrize("blocked_count", [1, 2])
def test_replaced_coordinator_does_not_mistake_its_own_cut_off_for_an_outage(
    blocked_count, monkeypatch
):
    """This holds even if it is never notified of its successor."""
    monkeypatch.setattr(membership, "notify_replaced", _drop_notification)

    async def test(world):
        await asyncio.sleep(2)
        coordinator = world.nodes[world.coordinator()]
        others = [node for node in world.nodes.values() if node is not coordinator]
        for node in [coordinator, *others][:blocked_count]:
            block_store_access(node)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert not coordinator.coordination._hub.is_store_unavailable()

    run_world(test, bounds=LENIENT, **OPTIONS)


async def _drop_notification(*_):
    """Drop the notification of a new coordinator."""
