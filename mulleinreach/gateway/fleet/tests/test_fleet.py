"""Tests for forming and repairing groups, and for coordinator changes meanwhile."""

import asyncio

import pytest

from mulleinreach.gateway.coordination.frames import FrameWriter
from mulleinreach.gateway.coordination.node_messages import encode_node_report
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.tests.support import request_streams_forever, run_world
from mulleinreach.standins.gateway.hosts import HostTimes
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, SMALL, GatewayWorld

MAX_REPAIR_S = 1.3


def member_of(world: GatewayWorld, model: str, rank: int):
    """Return the member of an open group with the given rank."""
    head = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, model)[0]
    standing = world.fabric.hosts[head.upstream.id].standing
    return world.fabric.hosts[standing.members[rank]]


def test_every_domain_gets_its_groups():
    async def test(world):
        assert await world.until_formed() < 10

    run_world(test)


def test_lost_member_is_replaced_by_a_standby():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        await asyncio.sleep(1)
        victim = member_of(world, LARGE, rank=2)
        head = victim.standing.members[0]
        failing = asyncio.create_task(victim.die())
        await world.until(lambda: not _serves(world, head, victim.id))
        taken_s = await world.until(lambda: world.open_groups(LARGE) == 2)
        traffic.cancel()
        await failing
        assert taken_s < MAX_REPAIR_S

    run_world(test)


def _serves(world, head: str, lost: str) -> bool:
    standing = world.fabric.hosts[head].standing
    return standing is not None and lost in standing.members


def test_lost_head_has_its_members_leave_before_they_join_again():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(request_streams_forever(world, SMALL))
        await asyncio.sleep(1)
        head = member_of(world, SMALL, rank=0)
        failing = asyncio.create_task(head.die())
        await asyncio.sleep(MAX_REPAIR_S)
        await world.until(lambda: world.open_groups(SMALL) == 2, timeout_s=4)
        traffic.cancel()
        await failing

    run_world(test)


def test_head_that_is_off_the_list_but_alive_leaves_before_its_members_are_used():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        head = member_of(world, LARGE, rank=0)
        head.cut_from_list()
        await asyncio.sleep(4)
        assert head.standing is None or head.standing.state != "open"

    run_world(test)


def test_delayed_orders_are_harmless():
    async def test(world):
        for host in list(world.fabric.hosts.values())[::2]:
            host.late_orders = 2
        await world.until_formed()
        await asyncio.sleep(10)
        await world.until_formed()

    run_world(test)


def test_killed_coordinator_is_replaced_at_once():
    async def test(world):
        await world.until_formed()
        old = world.coordinator()
        await world.kill_node(old)
        taken_s = await world.until(lambda: world.coordinator() is not None)
        assert taken_s < 0.5
        await world.until_formed()

    run_world(test, nodes=3)


def test_new_coordinator_keeps_serving_groups():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        epochs = {h.standing.epoch for h in world.fabric.hosts.values() if h.standing}
        await world.kill_node(world.coordinator())
        await asyncio.sleep(3)
        assert {h.standing.epoch for h in world.fabric.hosts.values() if h.standing} == epochs

    run_world(test, nodes=3)


def test_unreachable_coordinator_is_replaced_after_its_lease_expires():
    async def test(world):
        await world.until_formed()
        old = world.coordinator()
        for name in world.nodes:
            if name != old:
                world.links.cut_both(old, name)
        others = [n for n in world.nodes if n != old]
        world.nodes[old].ports.lease.write = _never
        await world.until(lambda: any(world.nodes[n].lease.is_held() for n in others), 8)
        assert not world.nodes[old].lease.is_held()

    run_world(test, nodes=3)


async def _never(version, record):
    await asyncio.sleep(3600)


def test_two_lost_members_leave_the_smaller_model_served():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(request_streams_forever(world, SMALL))
        for _ in range(2):
            await asyncio.sleep(1)
            failing = asyncio.create_task(member_of(world, SMALL, rank=1).die())
            await asyncio.sleep(3)
            await failing
        traffic.cancel()
        assert world.open_groups(SMALL) == 1

    run_world(test, domains=1)


def test_host_added_later_becomes_a_standby():
    async def test(world):
        await world.until_formed()
        host = await world.add_host("late-host", "domain-0")
        await world.until(lambda: host.upstream.staged != ())

    run_world(test)


def test_reports_without_the_secret_are_rejected():
    async def test(world):
        await world.until_formed()
        coordinator = world.nodes[world.coordinator()]
        address = coordinator.identity.peers_address
        reader, writer = await world.nodes["node-0"].network.connect(address)
        report = NodeReport("intruder", [LoadReport("u", 9, 0, 9.0, 9.0)], secret="guess")
        FrameWriter(writer).write(encode_node_report(report))
        await asyncio.sleep(0.3)
        names = [r.node for r in coordinator.coordination.node_reports()]
        writer.close()
        assert "intruder" not in names

    run_world(test)


@pytest.mark.parametrize("after_s", [1.0, 1.6, 1.8, 1.9, 2.0, 2.1, 2.2, 2.3, 2.4, 2.6])
def test_coordinator_killed_while_it_forms_groups(after_s):
    async def test(world):
        await asyncio.sleep(after_s)
        if world.coordinator() is not None:
            await world.kill_node(world.coordinator())
        await world.until_formed()

    run_world(test, nodes=3)


@pytest.mark.parametrize("after_s", [0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2])
def test_coordinator_killed_while_it_repairs_a_group(after_s):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        await asyncio.sleep(1)
        failing = asyncio.create_task(member_of(world, LARGE, rank=2).die())
        await asyncio.sleep(after_s)
        traffic.cancel()
        await world.kill_node(world.coordinator())
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        await asyncio.sleep(4)
        await world.until(lambda: world.open_groups(LARGE) == 2, timeout_s=8)
        traffic.cancel()
        await failing

    run_world(test, nodes=3)


def test_slow_member_is_replaced_by_a_sound_standby():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        slow = member_of(world, LARGE, rank=2)
        slow.pace = 12.0
        await world.until(lambda: not _is_used(world, slow), timeout_s=6)
        await world.until(lambda: world.open_groups(LARGE) == 2, timeout_s=3)
        traffic.cancel()

    run_world(test)


def _is_used(world, host) -> bool:
    standing = host.standing
    if standing is None:
        return False
    head = world.fabric.hosts[standing.members[0]].standing
    return head is not None and head.epoch == standing.epoch and head.state == "open"


def test_slow_group_is_kept_without_a_sound_standby():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        for host in world.fabric.hosts.values():
            host.pace = 9.0
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        epochs = {h.standing.epoch for h in world.fabric.hosts.values()}
        await asyncio.sleep(5)
        traffic.cancel()
        assert {h.standing.epoch for h in world.fabric.hosts.values()} == epochs

    run_world(test)


def test_state_published_by_a_dead_coordinator_expires():
    async def test(world):
        await world.until_formed()
        node = next(n for name, n in world.nodes.items() if name != world.coordinator())
        node.coordination.run = _never
        await world.kill_node(world.coordinator())
        await asyncio.sleep(1.2)
        if not node.lease.is_held():
            assert node.chooser.coordinator_heads() == []
        assert world.open_groups(LARGE, node.identity.name) == 2

    run_world(test)


def test_only_the_coordinator_polls_the_store():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(4)
        calls_before = world.store.calls
        await asyncio.sleep(10)
        assert (world.store.calls - calls_before) / 10 < 8

    run_world(test, nodes=6)


def test_nodes_read_the_store_while_the_coordinator_cannot():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        coordinator.ports.configurations.wait = _hang
        coordinator.ports.upstreams.wait = _hang
        await asyncio.sleep(4)
        for name, node in world.nodes.items():
            if node is not coordinator:
                assert node.in_force.evidence_age_s() < 2.0, name
                assert node.follower.list_age_s() < 2.0, name

    run_world(test, nodes=3)


async def _hang(revision, wait_s):
    await asyncio.sleep(3600)


@pytest.mark.parametrize("silent_s", [1.0, 1.5, 2.0, 2.5, 3.0])
def test_members_that_were_all_unreachable_stay_bound_to_their_group(silent_s):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        await asyncio.sleep(0.5)
        head = member_of(world, LARGE, rank=0)
        silent = [world.fabric.hosts[member] for member in head.standing.members]
        for host in silent:
            host.is_dark = True
        await asyncio.sleep(silent_s)
        for host in silent:
            host.is_dark = False
        await asyncio.sleep(6)
        await world.until(lambda: world.open_groups(LARGE) == 2)
        traffic.cancel()

    run_world(test)


def test_node_with_the_most_processor_time_becomes_the_coordinator():
    async def test(world):
        for name, cores in (("slow-1", 0.5), ("slow-2", 0.5), ("fast", 2.0), ("slow-3", 0.5)):
            await world.start_node(name, cores)
        await world.until(lambda: world.coordinator() is not None)
        assert world.coordinator() == "fast"

    run_world(test, nodes=0, domains=0)


def test_group_does_not_serve_before_its_slowest_member_is_ready():
    async def test(world):
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        slow = list(world.fabric.hosts.values())[1::2]
        for host in slow:
            host.times = HostTimes(load_s=6.0)
        await world.until_formed()
        await asyncio.sleep(2)
        traffic.cancel()

    run_world(test, domains=1)


def test_lease_that_was_renewed_during_an_election_is_not_taken():
    async def test(world):
        await world.until_formed()
        holder = world.nodes[world.coordinator()]
        other = next(node for node in world.nodes.values() if node is not holder)
        await other.lease.read_state()
        other.coordination._election_delay_s = lambda: 1.0
        election = asyncio.create_task(other.coordination._stand_for_election())
        await asyncio.sleep(1.5)
        election.cancel()
        assert not other.lease.is_held()
        assert holder.lease.is_held()

    run_world(test, nodes=2)


def test_host_is_free_of_a_group_only_if_it_or_the_head_has_left():
    async def test(world):
        hosts = world.nodes["node-0"].hosts
        group = Group("ended", 7)
        hosts.mark_ended(group, set())
        assert not hosts.has_left("member", ("ended", 7))
        hosts.mark_ended(group, {"member"})
        assert hosts.has_left("member", ("ended", 7))
        assert not hosts.has_left("other", ("ended", 7))
        assert not hosts.has_left("member", ("another", 7))
        hosts.mark_ended(group, None)
        assert hosts.has_left("other", ("ended", 7))

    run_world(test, nodes=1, domains=0)
