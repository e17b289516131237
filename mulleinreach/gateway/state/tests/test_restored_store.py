"""Nodes follow changes of a store that was restored from a copy, whose versions are lower.

Guards against nodes that discard its answers as outdated.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import UpstreamState
from mulleinreach.standins.gateway.hosts import make_upstream
from mulleinreach.standins.gateway.restoring import (
    COPY_AGE_S,
    restore,
    restored_after,
    write_hosts_again,
    write_others,
)
from mulleinreach.standins.gateway.store import CONFIGURATION, NEWEST, UPSTREAMS
from mulleinreach.standins.gateway.world import (
    LARGE,
    PLAIN_SERVICE,
    SMALL,
    GatewayWorld,
    make_configuration,
)

# Time after the restore before the change under test.
RECOVERY_S = 3.0
# A change has to reach all nodes within this time.
PROPAGATION_S = 0.5
HEARTBEAT_S = 1.2
# Two seconds for live upstreams to rewrite their rows, and the two-second bound on leaving ones.
REMOVAL_S = 4.0
REQUESTS = 12
LEAVING = "desk-0"
# Number of versions that the copy lacks, and of those reissued before a node reads the store.
LOST_WRITES = [0, 60]
WRITES_AT_ONCE = [0, 200]


def _run(test, nodes: int = 3, **options) -> None:
    run_world(test, nodes=nodes, domains=0, **options)


async def _start_upstreams(world: GatewayWorld, count: int = 2) -> None:
    await start_plain_upstreams(world, *[echo_path] * count)
    for node in world.nodes.values():
        await world.until(lambda node=node: len(node.directory) >= count and node.is_ready())


async def _request_all_nodes(world: GatewayWorld) -> None:
    for name in world.nodes:
        for _ in range(REQUESTS):
            answer = await world.call("/stock/list", node=name)
            assert answer.status == 200


def _write_drain(world: GatewayWorld) -> None:
    upstream = world.plain[LEAVING].upstream
    world.store.put(UPSTREAMS, LEAVING, replace(upstream, state=UpstreamState.DRAINING))


def _rewrite_row(world: GatewayWorld, name: str) -> None:
    world.store.put(UPSTREAMS, name, world.plain[name].upstream)


async def _requests_reaching(world: GatewayWorld, name: str) -> list[str]:
    """Return the requests that reach an upstream when callers send to all nodes."""
    world.plain[name].seen.clear()
    await _request_all_nodes(world)
    return world.plain[name].seen


@pytest.mark.parametrize("writes_at_once", WRITES_AT_ONCE)
@pytest.mark.parametrize("lost_writes", LOST_WRITES)
def test_drain_written_after_a_restore_takes_effect(lost_writes, writes_at_once):
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, writes_at_once=writes_at_once):
            write_others(world.store, lost_writes)
        await asyncio.sleep(RECOVERY_S)
        _write_drain(world)
        await asyncio.sleep(PROPAGATION_S)
        assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_drain_written_before_any_node_reads_the_copy_takes_effect():
    async def test(world):
        await _start_upstreams(world)
        copy = world.store.copy()
        await asyncio.sleep(COPY_AGE_S)
        world.store.is_down = True
        await asyncio.sleep(1)
        world.store.restore(copy)
        _write_drain(world)
        write_others(world.store, 200)
        world.store.is_down = False
        await asyncio.sleep(1 + PROPAGATION_S)
        assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_draining_upstream_stays_draining_when_a_restore_loses_its_drain():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=PROPAGATION_S):
            await asyncio.sleep(1)
            _write_drain(world)
        for _ in range(4):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_removed_upstream_gets_no_requests_when_the_copy_lists_it():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=1):
            await asyncio.sleep(1)
            world.store.put(UPSTREAMS, LEAVING, None)
        for _ in range(3):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, LEAVING) == []
        # The row expires after three missed heartbeats.
        world.store.put(UPSTREAMS, LEAVING, None)
        for _ in range(4):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_removed_upstream_in_the_copy_is_used_again_if_its_row_persists():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=1):
            await asyncio.sleep(1)
            world.store.put(UPSTREAMS, LEAVING, None)
        await asyncio.sleep(8)
        assert await _requests_reaching(world, LEAVING) != []

    _run(test)


def test_upstream_missing_from_the_copy_keeps_serving():
    async def test(world):
        await _start_upstreams(world, 1)
        async with restored_after(world.store):
            await world.add_plain("desk-1", echo_path)
        await asyncio.sleep(PROPAGATION_S)
        assert await _requests_reaching(world, "desk-1") != []
        await asyncio.sleep(HEARTBEAT_S - PROPAGATION_S)
        _rewrite_row(world, "desk-1")
        for _ in range(5):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, "desk-1") != []

    _run(test)


@pytest.mark.parametrize("away_s", [0.0, 0.3])
def test_upstream_missing_from_the_copy_serves_after_a_short_outage(away_s):
    async def test(world):
        await _start_upstreams(world, 1)
        async with restored_after(world.store, away_s=away_s):
            await world.add_plain("desk-1", echo_path)
        for _ in range(int(HEARTBEAT_S / 0.2)):
            await asyncio.sleep(0.2)
            assert await _requests_reaching(world, "desk-1") != []

    _run(test)


def test_drain_outlasts_the_untrusted_period():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=PROPAGATION_S):
            await asyncio.sleep(1)
            _write_drain(world)
        await asyncio.sleep(8)
        assert await _requests_reaching(world, LEAVING) == []
        # A delayed heartbeat.
        _rewrite_row(world, LEAVING)
        await asyncio.sleep(1)
        assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_upstream_missing_from_the_copy_is_removed_if_it_is_not_relisted():
    async def test(world):
        await _start_upstreams(world, 1)
        async with restored_after(world.store):
            await world.add_plain("desk-1", echo_path)
        await asyncio.sleep(REMOVAL_S)
        assert await _requests_reaching(world, "desk-1") == []

    _run(test)


def test_replaced_start_is_not_taken_from_the_copy():
    async def test(world):
        await _start_upstreams(world, 1)
        address = Address("10.0.0.77", 9977)
        before, after = (
            replace(make_upstream("desk-x", PLAIN_SERVICE, 1, None), id=f"desk-x@{born}")
            for born in (1000, 2000)
        )
        world.store.put(UPSTREAMS, "desk-x", replace(before, address=address))
        await asyncio.sleep(1)
        async with restored_after(world.store, age_s=1):
            world.store.put(UPSTREAMS, "desk-x", replace(after, address=address))
        await asyncio.sleep(PROPAGATION_S)
        for node in world.nodes.values():
            assert node.directory.running("desk-x") == after.id

    _run(test)


def test_nodes_stop_direct_reads_once_the_store_is_restored():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            write_others(world.store, 60)
        await asyncio.sleep(RECOVERY_S)
        calls = world.store.calls
        await asyncio.sleep(10)
        # The coordinator's lease renewals, its two long polls, and one repeated read of the list.
        assert world.store.calls - calls < 40

    _run(test, nodes=5)


@pytest.mark.parametrize("writes_at_once", WRITES_AT_ONCE)
@pytest.mark.parametrize("lost_writes", LOST_WRITES)
def test_evacuation_written_after_the_restore_takes_effect(lost_writes, writes_at_once):
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, writes_at_once=writes_at_once):
            write_others(world.store, lost_writes)
        await asyncio.sleep(RECOVERY_S)
        world.evacuate("hall-b")
        await asyncio.sleep(PROPAGATION_S)
        for node in world.nodes.values():
            assert node.in_force.evacuations.halls == {"hall-b"}

    _run(test, halls=2)


def test_evacuation_missing_from_the_copy_stays_until_it_is_rewritten():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            world.evacuate("hall-b")
        for _ in range(10):
            await asyncio.sleep(0.2)
            for node in world.nodes.values():
                assert node.in_force.evacuations.halls == {"hall-b"}
        world.evacuate("hall-b")
        await asyncio.sleep(10)
        for node in world.nodes.values():
            assert node.in_force.evacuations.halls == {"hall-b"}
        world.take_back("hall-b")
        await asyncio.sleep(PROPAGATION_S)
        for node in world.nodes.values():
            assert node.in_force.evacuations.halls == frozenset()

    _run(test, halls=2)


def test_evacuation_missing_from_the_copy_survives_a_write_of_another_row():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            world.evacuate("hall-b")
        # All three within the three seconds for which an unconfirmed evacuation holds.
        for version in (5, 6, 7):
            await asyncio.sleep(0.4)
            world.store.put(CONFIGURATION, NEWEST, make_configuration(version))
            await asyncio.sleep(PROPAGATION_S)
            for node in world.nodes.values():
                assert node.in_force.evacuations.halls == {"hall-b"}

    _run(test, halls=2)


def test_evacuation_that_is_not_rewritten_expires():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            world.evacuate("hall-b")
        await asyncio.sleep(8)
        for node in world.nodes.values():
            assert node.in_force.evacuations.halls == frozenset()

    _run(test, halls=2)


@pytest.mark.parametrize("writes_at_once", WRITES_AT_ONCE)
def test_configuration_written_after_the_restore_takes_effect(writes_at_once):
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, writes_at_once=writes_at_once):
            world.store.put(CONFIGURATION, NEWEST, make_configuration(5))
            write_others(world.store, 60)
        await asyncio.sleep(PROPAGATION_S)
        for node in world.nodes.values():
            assert node.in_force.version == 5
        world.store.put(CONFIGURATION, NEWEST, make_configuration(5))
        await asyncio.sleep(RECOVERY_S)
        world.store.put(CONFIGURATION, NEWEST, make_configuration(8))
        await asyncio.sleep(PROPAGATION_S)
        for node in world.nodes.values():
            assert node.in_force.version == 8

    _run(test)


def test_older_configuration_of_a_copy_is_no_evidence():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            world.store.put(CONFIGURATION, NEWEST, make_configuration(5))
        restored_at = world.clock.now()
        await asyncio.sleep(RECOVERY_S)
        for node in world.nodes.values():
            assert node.in_force.evidence_at < restored_at
        world.store.put(CONFIGURATION, NEWEST, make_configuration(5))
        await asyncio.sleep(1)
        for node in world.nodes.values():
            assert node.in_force.evidence_age_s() < 2

    _run(test)


@pytest.mark.parametrize("away_s", [0.4, 2.4, 6.0])
def test_groups_keep_serving_when_the_copy_lacks_them(away_s):
    async def test(world):
        copy = world.store.copy()
        await world.until_formed()
        await asyncio.sleep(3)
        epochs = {h.id: h.standing.epoch for h in world.fabric.hosts.values() if h.standing}
        await restore(world.store, copy, away_s)
        for _ in range(int(HEARTBEAT_S / 0.1)):
            await asyncio.sleep(0.1)
            assert all(world.open_groups(LARGE, name) == 2 for name in world.nodes)
        # The copy holds the operators' rows; hosts rewrite the others.
        write_hosts_again(world.fabric)
        await asyncio.sleep(8)
        again = {h.id: h.standing.epoch for h in world.fabric.hosts.values() if h.standing}
        assert again == epochs
        for name in world.nodes:
            assert (world.open_groups(LARGE, name), world.open_groups(SMALL, name)) == (2, 2)

    run_world(test, nodes=3)
