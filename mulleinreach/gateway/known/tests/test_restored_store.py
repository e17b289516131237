"""What nodes know is kept up to date by a store that came back from a copy.

Requests went on to an upstream for 2.3 s after the store had taken its word that it leaves.
The store had been away for a moment and had come back from a copy some seconds old, whose
versions are lower. Each node took each answer about the list for one that a newer answer had
overtaken, until the versions had risen beyond those it knew. Shown by the revision at which the
list changed again, and by these tests without any other fault.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.tests.desk import echo_path, start_plain_upstreams
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

# How long the store has been back, as a caller would see it.
RECOVERY_S = 3.0
# News of a change has to be everywhere within this time.
PROPAGATION_S = 0.5
HEARTBEAT_S = 1.2
# Upstreams that live are back two seconds after the store is; one that is not has left then, and
# the bound on leaving upstreams is two seconds.
REMOVAL_S = 4.0
REQUESTS = 12
LEAVING = "desk-0"
# Versions that the copy lacks, and such as are given out again before a node asks.
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
    """Return the requests that reach an upstream when callers ask all nodes."""
    world.plain[name].seen.clear()
    await _request_all_nodes(world)
    return world.plain[name].seen


@pytest.mark.parametrize("writes_at_once", WRITES_AT_ONCE)
@pytest.mark.parametrize("lost_writes", LOST_WRITES)
def test_leave_that_is_told_after_the_store_was_restored_is_heeded(lost_writes, writes_at_once):
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, writes_at_once=writes_at_once):
            write_others(world.store, lost_writes)
        await asyncio.sleep(RECOVERY_S)
        _write_drain(world)
        await asyncio.sleep(PROPAGATION_S)
        assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_leave_that_is_told_before_anybody_has_read_the_copy_is_heeded():
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


def test_upstream_that_said_it_leaves_stays_so_when_the_store_has_forgotten_that():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=PROPAGATION_S):
            await asyncio.sleep(1)
            _write_drain(world)
        for _ in range(4):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_upstream_that_was_off_the_list_gets_nothing_when_the_copy_still_names_it():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=1):
            await asyncio.sleep(1)
            world.store.put(UPSTREAMS, LEAVING, None)
        for _ in range(3):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, LEAVING) == []
        # Three heartbeats of silence.
        world.store.put(UPSTREAMS, LEAVING, None)
        for _ in range(4):
            await asyncio.sleep(1)
            assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_upstream_that_the_copy_names_is_used_again_if_it_lives():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=1):
            await asyncio.sleep(1)
            world.store.put(UPSTREAMS, LEAVING, None)
        await asyncio.sleep(8)
        assert await _requests_reaching(world, LEAVING) != []

    _run(test)


def test_upstream_that_the_copy_lacks_serves_on():
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
def test_upstream_that_the_copy_lacks_serves_on_though_nobody_missed_the_store(away_s):
    async def test(world):
        await _start_upstreams(world, 1)
        async with restored_after(world.store, away_s=away_s):
            await world.add_plain("desk-1", echo_path)
        for _ in range(int(HEARTBEAT_S / 0.2)):
            await asyncio.sleep(0.2)
            assert await _requests_reaching(world, "desk-1") != []

    _run(test)


def test_word_that_an_upstream_leaves_outlives_the_doubt_about_a_copy():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store, age_s=PROPAGATION_S):
            await asyncio.sleep(1)
            _write_drain(world)
        await asyncio.sleep(8)
        assert await _requests_reaching(world, LEAVING) == []
        # A heartbeat that was on its way.
        _rewrite_row(world, LEAVING)
        await asyncio.sleep(1)
        assert await _requests_reaching(world, LEAVING) == []

    _run(test)


def test_upstream_that_the_copy_lacks_and_that_is_not_back_is_gone():
    async def test(world):
        await _start_upstreams(world, 1)
        async with restored_after(world.store):
            await world.add_plain("desk-1", echo_path)
        await asyncio.sleep(REMOVAL_S)
        assert await _requests_reaching(world, "desk-1") == []

    _run(test)


def test_start_that_a_later_one_has_replaced_is_not_taken_from_the_copy():
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


def test_nodes_stop_reading_for_themselves_once_the_store_is_restored():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            write_others(world.store, 60)
        await asyncio.sleep(RECOVERY_S)
        calls = world.store.calls
        await asyncio.sleep(10)
        # The coordinator's renewals, its two waits, and one look at what the copy showed.
        assert world.store.calls - calls < 40

    _run(test, nodes=5)


@pytest.mark.parametrize("writes_at_once", WRITES_AT_ONCE)
@pytest.mark.parametrize("lost_writes", LOST_WRITES)
def test_evacuation_that_is_asked_for_after_the_restore_is_heeded(lost_writes, writes_at_once):
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


def test_evacuation_that_the_copy_lacks_holds_until_it_is_written_again():
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


def test_evacuation_that_the_copy_lacks_outlives_another_row_that_is_written():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            world.evacuate("hall-b")
        for version in (5, 6, 7):
            await asyncio.sleep(0.6)
            world.store.put(CONFIGURATION, NEWEST, make_configuration(version))
            await asyncio.sleep(PROPAGATION_S)
            for node in world.nodes.values():
                assert node.in_force.evacuations.halls == {"hall-b"}

    _run(test, halls=2)


def test_evacuation_that_is_not_written_again_ends():
    async def test(world):
        await _start_upstreams(world)
        async with restored_after(world.store):
            world.evacuate("hall-b")
        await asyncio.sleep(8)
        for node in world.nodes.values():
            assert node.in_force.evacuations.halls == frozenset()

    _run(test, halls=2)


@pytest.mark.parametrize("writes_at_once", WRITES_AT_ONCE)
def test_configuration_that_is_written_after_the_restore_is_in_force(writes_at_once):
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


def test_older_configuration_of_a_copy_proves_nothing():
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
def test_groups_serve_on_when_the_copy_knows_nothing_of_them(away_s):
    async def test(world):
        copy = world.store.copy()
        await world.until_formed()
        await asyncio.sleep(3)
        epochs = {h.id: h.standing.epoch for h in world.fabric.hosts.values() if h.standing}
        await restore(world.store, copy, away_s)
        for _ in range(int(HEARTBEAT_S / 0.1)):
            await asyncio.sleep(0.1)
            assert all(world.open_groups(LARGE, name) == 2 for name in world.nodes)
        # What operators wrote before the copy was taken stands; hosts write the rest again.
        write_hosts_again(world.fabric)
        await asyncio.sleep(8)
        again = {h.id: h.standing.epoch for h in world.fabric.hosts.values() if h.standing}
        assert again == epochs
        for name in world.nodes:
            assert (world.open_groups(LARGE, name), world.open_groups(SMALL, name)) == (2, 2)

    run_world(test, nodes=3)
