"""Callers of nodes that are partitioned from upstreams are served through other nodes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

import pytest
from aiohttp import web

from mulleinreach.gateway.connectivity.tests.partitions import (
    CONTACT_S,
    join_tries,
    partition_nodes,
    run_formed,
    try_for,
    upstream_names,
)
from mulleinreach.standins.gateway.store import CONFIGURATION, NEWEST
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, SMALL, make_configuration
from mulleinreach.standins.links import Partition

TRIED_FOR_S = 3.0
# The service's rule: served at least two thirds as often as at the other nodes.
LEAST_RELATIVE_SHARE = 2 / 3
# Much longer than a node takes to refuse, and shorter than any time-out.
AT_ONCE_S = 0.05

each_kind = pytest.mark.parametrize("kind", list(Partition))


def choose(world, who: str) -> list[str]:
    """Return the nodes to partition."""
    coordinator = world.coordinator()
    followers = [name for name in world.nodes if name != coordinator]
    return {
        "a follower": followers[:1],
        "the coordinator": [coordinator],
        "all but a follower": [coordinator, *followers[1:]],
    }[who]


# Guards against nodes that refuse all requests as soon as they can't connect to upstreams.
@each_kind
@pytest.mark.parametrize("who", ["a follower", "the coordinator", "all but a follower"])
def test_callers_of_partitioned_nodes_are_served_like_those_of_the_others(kind, who):
    async def test(world):
        partitioned = choose(world, who)
        others = [name for name in world.nodes if name not in partitioned]
        partition_nodes(world, partitioned, kind)
        await try_for(world, world.nodes, CONTACT_S)
        tries = await try_for(world, world.nodes, TRIED_FOR_S)
        elsewhere = join_tries(tries, others).served_share
        assert elsewhere == 1.0
        for node in partitioned:
            assert tries[node].served_share >= LEAST_RELATIVE_SHARE * elsewhere
        assert all(world.nodes[node].is_ready() for node in partitioned)

    run_formed(test)


# Guards against a coordinator that takes the loss of its own paths for the loss of the hosts.
@each_kind
def test_partitioned_coordinator_dissolves_no_group_and_finds_no_host_lost(kind):
    async def test(world):
        coordinator = world.coordinator()
        before = {model: world.open_groups(model) for model in (LARGE, SMALL)}
        groups = world.fabric.checks.ready.copy()
        partition_nodes(world, [coordinator], kind)
        for _ in range(4):
            await try_for(world, world.nodes, 1.5)
            assert not any(node.eligibility.lost for node in world.nodes.values())
        assert {model: world.open_groups(model) for model in (LARGE, SMALL)} == before
        assert world.fabric.checks.ready == groups

    run_formed(test)


# Guards against a coordinator that dissolves all groups while no node reaches any host.
@each_kind
def test_groups_outlive_the_partition_of_all_nodes(kind):
    async def test(world):
        groups = world.fabric.checks.ready.copy()
        partition_nodes(world, world.nodes, kind)
        for _ in range(4):
            await try_for(world, world.nodes, 1.0)
            assert not any(node.eligibility.lost for node in world.nodes.values())
        for node in world.nodes:
            world.links.end_partition(node)
        await asyncio.sleep(1.0)
        tries = await try_for(world, world.nodes, 1.0)
        assert join_tries(tries, world.nodes).served_share == 1.0
        assert world.fabric.checks.ready == groups

    run_formed(test)


# Guards against a partitioned coordinator that can't replace a lost member.
def test_partitioned_coordinator_repairs_a_group():
    async def test(world, kind):
        partition_nodes(world, [world.coordinator()], kind)
        await try_for(world, world.nodes, CONTACT_S)
        large = [h for h in world.fabric.hosts.values() if h.standing.model == LARGE]
        world.fabric.hosts[large[0].standing.members[-1]].crash()
        await asyncio.sleep(0.1)
        await try_for(world, world.nodes, 6.0)
        heads = next(iter(world.nodes.values())).chooser.heads(MODEL_SERVICE, LARGE)
        standings = [world.fabric.hosts[head.upstream.id].standing for head in heads]
        assert len(heads) == 2
        assert all(map(world.fabric.is_whole, standings))

    for kind in Partition:
        run_formed(partial(test, kind=kind))


async def stream_through_another_node(world):
    """Begin a long stream at a partitioned follower; returns its call and the other node's name."""
    node = next(name for name in world.nodes if name != world.coordinator())
    partition_nodes(world, [node], Partition.HANG)
    await try_for(world, [node], CONTACT_S)
    call = asyncio.create_task(world.stream(40, node=node))
    await asyncio.sleep(0.5)
    through = [name for name, other in world.nodes.items() if other.tunnel_server.open_count]
    assert len(through) == 1
    return call, through[0]


# Guards against planned stops that cut requests of other nodes.
def test_planned_stop_waits_for_streams_of_other_nodes():
    async def test(world):
        call, through = await stream_through_another_node(world)
        stopping = asyncio.create_task(world.nodes[through].stop())
        answer = await call
        assert answer.event_ids == [str(number) for number in range(1, 41)]
        assert len(world.fabric.checks.runs[max(world.fabric.checks.runs, key=_number)]) == 1
        await stopping

    run_formed(test)


def _number(request_id: str) -> int:
    return int(request_id.rpartition("-")[2])


# Guards against streams that end with the node through which they came.
@pytest.mark.parametrize("end", ["killed", "silent"])
def test_stream_is_resumed_if_the_node_in_between_is_lost(end):
    async def test(world):
        call, through = await stream_through_another_node(world)
        if end == "killed":
            await world.kill_node(through)
        else:
            world.links.darken([through])
        answer = await call
        assert not answer.is_cut
        assert answer.event_ids == [str(number) for number in range(1, 41)]

    run_formed(test)


# Guards against requests that wait for connections which are known to fail.
@each_kind
def test_requests_are_refused_at_once_while_no_node_reaches_an_upstream(kind):
    async def test(world):
        partition_nodes(world, world.nodes, kind)
        await try_for(world, world.nodes, CONTACT_S)
        tries = await try_for(world, world.nodes, TRIED_FOR_S)
        for node in world.nodes:
            assert set(tries[node].statuses) == {503}
            assert max(tries[node].times_s) < AT_ONCE_S
            assert not world.nodes[node].is_ready()
        for node in world.nodes:
            world.links.end_partition(node)
        await asyncio.sleep(CONTACT_S)
        tries = await try_for(world, world.nodes, 1.0)
        assert join_tries(tries, world.nodes).served_share == 1.0
        assert all(node.is_ready() for node in world.nodes.values())

    run_formed(test)


# Guards against bodies that reach nodes outside of the regions to which a request is bound.
def test_requests_bound_to_other_regions_take_no_tunnel():
    async def test(world):
        node = "node-0"
        configuration = make_configuration(2)
        routes = [replace(r, allowed_regions=frozenset({"south"})) for r in configuration.routes]
        configuration = replace(configuration, routes=tuple(routes))
        world.store.put(CONFIGURATION, NEWEST, configuration)
        await world.until(lambda: world.nodes[node].in_force.version == 2)
        assert (await world.call("/order/1", node=node)).status == 200
        partition_nodes(world, [node], Partition.HANG)
        tries = await try_for(world, [node], CONTACT_S)
        assert set(tries[node].statuses) == {503}
        assert not any(other.tunnel_server.open_count for other in world.nodes.values())

    run_formed(test, halls=2, regions={"hall-a": "north", "hall-b": "south"})


# Guards against requests that wait again and again for paths that stay lost.
@each_kind
@pytest.mark.parametrize("part", ["a hall", "every second upstream"])
def test_requests_are_in_time_at_a_node_that_lost_some_paths(kind, part):
    async def test(world):
        node = next(name for name in world.nodes if name != world.coordinator())
        upstreams = {
            "a hall": [u.id for u in world.upstreams_in("hall-a")],
            "every second upstream": upstream_names(world)[::2],
        }[part]
        others = [name for name in world.nodes if name != node]
        partition_nodes(world, [node], kind, upstreams)
        await try_for(world, world.nodes, CONTACT_S)
        tries = await try_for(world, world.nodes, TRIED_FOR_S)
        elsewhere = join_tries(tries, others).in_time_share
        assert tries[node].in_time_share >= LEAST_RELATIVE_SHARE * elsewhere

    run_formed(test, halls=2)


# Guards against blaming a request for a lost answer where connections are refused by a partition.
def test_upstream_behind_a_partition_does_not_count_as_ended():
    async def reset_later(request):
        await request.read()
        await asyncio.sleep(0.5)
        request.transport.abort()
        return web.Response()

    async def test(world):
        await world.add_plain("desk-resetting", reset_later)
        for name in list(world.plain)[:-1]:
            world.plain[name].script = reset_later
        node = next(name for name in world.nodes if name != world.coordinator())
        await asyncio.sleep(1)
        call = asyncio.create_task(world.call("/order/1", node=node))
        await asyncio.sleep(0.2)
        partition_nodes(world, [node], Partition.REFUSE)
        assert (await call).status == 502
        assert not world.nodes[node].crashes.own_observations(includes_old=True)

    run_formed(test)
