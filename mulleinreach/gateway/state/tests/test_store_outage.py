"""Nodes keep upstreams, groups and the coordinator across an outage of the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.coordination.lease import RenewalOutcome, Resignation
from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.state.upstream_follower import RETENTION_NOTICE_TTL_S
from mulleinreach.gateway.tests.support import block_store_access, run_world
from mulleinreach.gateway.upstream import Membership, MemberState
from mulleinreach.standins.gateway.store import UPSTREAMS
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, SMALL

OUTAGE_S = 4.0
RELIST_DELAY_S = 1.8


async def _expire_all_rows(world) -> None:
    """Stop the store, and start it again without the hosts' rows."""
    world.store.is_down = True
    await asyncio.sleep(OUTAGE_S)
    for host in world.fabric.hosts:
        world.store.put(UPSTREAMS, host, None)
    world.store.is_down = False


def _epochs(world) -> set[int]:
    return {host.standing.epoch for host in world.fabric.hosts.values() if host.standing}


def test_hosts_whose_rows_expired_in_an_outage_keep_serving():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        epochs = _epochs(world)
        await _expire_all_rows(world)
        for _ in range(int(RELIST_DELAY_S / 0.1)):
            await asyncio.sleep(0.1)
            for name in world.nodes:
                assert world.open_groups(LARGE, name) == 2
                assert world.open_groups(SMALL, name) == 2
        for host in world.fabric.hosts.values():
            host.list_again()
        await asyncio.sleep(3)
        assert _epochs(world) == epochs
        assert world.open_groups(LARGE) == 2

    run_world(test, nodes=3)


def test_retention_follows_the_coordinator_s_flag():
    async def test(world):
        await world.until_formed()
        follower = world.nodes["node-0"].follower
        for _ in range(20):
            follower.note_coordinator_retention(keeps_removed=True)
            await asyncio.sleep(0.2)
        assert follower.keeps_removed()
        follower.note_coordinator_retention(keeps_removed=False)
        await asyncio.sleep(RETENTION_NOTICE_TTL_S + 0.1)
        assert not follower.keeps_removed()

    run_world(test, nodes=1)


def test_host_still_missing_after_an_outage_is_removed():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        await _expire_all_rows(world)
        missing, *others = world.fabric.hosts.values()
        for host in others:
            host.list_again()
        await asyncio.sleep(3)
        for node in world.nodes.values():
            assert node.directory.get(missing.id) is None
            assert node.directory.get(others[0].id) is not None

    run_world(test, nodes=3)


def test_host_that_leaves_while_the_store_works_is_removed_at_once():
    async def test(world):
        await world.until_formed()
        leaving = next(iter(world.fabric.hosts.values()))
        leaving.cut_from_list()
        await asyncio.sleep(0.5)
        for node in world.nodes.values():
            assert node.directory.get(leaving.id) is None

    run_world(test, nodes=3)


def test_late_answer_without_an_outage_retains_no_removed_host():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        others = [node for node in world.nodes.values() if node is not coordinator]
        coordinator.ports.upstreams.wait = _hang
        for node in others:
            node.ports.upstreams.wait = _hang
        await asyncio.sleep(2)
        leaving = next(iter(world.fabric.hosts.values()))
        leaving.cut_from_list()
        for node in others:
            del node.ports.upstreams.wait
            node.follower.current_as_of = world.clock.now() - 3.0
            await node.follower.read_once()
            assert node.directory.get(leaving.id) is None

    run_world(test, nodes=3)


async def _hang(revision, wait_s):
    await asyncio.sleep(3600)


def test_coordinator_keeps_its_lease_across_a_store_outage():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator, token = world.coordinator(), world.nodes["node-0"].lease.token
        world.store.is_down = True
        await asyncio.sleep(6)
        assert world.coordinator() is None
        world.store.is_down = False
        await world.until(lambda: world.coordinator() is not None, 0.6)
        assert (world.coordinator(), world.nodes["node-0"].lease.token) == (coordinator, token)
        await asyncio.sleep(0.3)
        for node in world.nodes.values():
            assert node.in_force.evidence_age_s() < 1.0
        await asyncio.sleep(1)
        assert world.coordinator() == coordinator

    run_world(test, nodes=4)


def test_store_outage_causes_few_calls_per_node():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        calls_before = world.store.calls
        world.store.is_down = True
        await asyncio.sleep(10)
        calls_a_node = (world.store.calls - calls_before) / len(world.nodes)
        assert calls_a_node / 10 < 4

    run_world(test, nodes=10, domains=1)


def test_coordinator_that_the_store_refuses_is_replaced_before_its_lease_expires():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        old = world.nodes[world.coordinator()]
        block_store_access(old)
        await world.until(lambda: not old.lease.is_held(), 3)
        taken_s = await world.until(lambda: world.coordinator() is not None, 3)
        assert taken_s < 1.5
        await asyncio.sleep(1)
        assert world.nodes[world.coordinator()] is not old

    run_world(test, nodes=4)


def test_superseded_resignation_is_rejected():
    async def test(world):
        await world.until_formed()
        old = world.nodes[world.coordinator()]
        other = next(node for node in world.nodes.values() if node is not old)
        resigned = Resignation(old.lease.token, old.lease.record.renewal)
        await old.lease.renew()
        assert not await other.lease.acquire_after(resigned)
        assert await other.lease.acquire_after(
            Resignation(old.lease.token, old.lease.record.renewal)
        )
        assert await old.lease.renew() is RenewalOutcome.LOST

    run_world(test, nodes=2)


def test_nodes_that_start_together_make_few_calls():
    async def test(world):
        await world.until(lambda: world.coordinator() is not None)
        await asyncio.sleep(0.3)
        # A node reads the configuration, the list, and the lease twice.
        assert world.store.calls < 4.5 * len(world.nodes)

    run_world(test, nodes=30, domains=0)


def test_stale_rows_do_not_free_hosts_from_their_group():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        head = coordinator.chooser.heads(MODEL_SERVICE, LARGE)[0].upstream
        members = world.fabric.hosts[head.id].standing.members
        coordinator.hosts.mark_ended(Group("earlier", 1, {}), None)
        for rank, host in enumerate(members):
            stale = Membership("earlier", 1, rank, MemberState.READY)
            row = replace(world.fabric.hosts[host].describe(), membership=stale, models=())
            world.store.put(UPSTREAMS, host, row)
        await asyncio.sleep(2)
        await world.until(lambda: world.open_groups(LARGE) == 2)

    run_world(test)


@pytest.mark.parametrize("back_after_s", [0.5, RELIST_DELAY_S])
def test_nodes_that_start_after_an_outage_keep_groups_whose_rows_expired(back_after_s):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        epochs = _epochs(world)
        world.store.is_down = True
        for name in list(world.nodes):
            await world.kill_node(name)
        await asyncio.sleep(1)
        for number, host in enumerate(world.fabric.hosts):
            # The rows of some hosts remain, in any group.
            if number % 3:
                world.store.put(UPSTREAMS, host, None)
        for name in ("new-0", "new-1", "new-2"):
            await world.start_node(name)
        world.store.is_down = False
        await asyncio.sleep(back_after_s)
        for host in world.fabric.hosts.values():
            host.list_again()
        await asyncio.sleep(4)
        assert _epochs(world) == epochs
        assert world.open_groups(LARGE) == 2
        assert world.open_groups(SMALL) == 2

    run_world(test, nodes=3)


def test_group_whose_head_is_gone_when_a_coordinator_starts_is_formed_again():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        head = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, LARGE)[0].upstream
        world.store.is_down = True
        for name in list(world.nodes):
            await world.kill_node(name)
        world.fabric.hosts[head.id].is_dark = True
        world.store.put(UPSTREAMS, head.id, None)
        await world.start_node("new-0")
        world.store.is_down = False
        await asyncio.sleep(1)
        await world.until(lambda: world.open_groups(LARGE) == 2, timeout_s=5)

    run_world(test, nodes=3)
