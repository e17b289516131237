"""Streams that were broken off by upstreams which still run wait until they can go on elsewhere."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE

SPARE_HOSTS = {"domains": 3, "hosts_per_domain": 8, "nodes": 3}
# One group of each model, and a host to replace a lost one.
ONE_DOMAIN = {"domains": 1, "hosts_per_domain": 7, "nodes": 3}
SETTLED_AFTER_S = 3.0


def members_of_all_groups(world, model: str):
    """Return one host of each group of a model that isn't its head."""
    heads = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, model)
    standings = [world.fabric.hosts[head.upstream.id].standing for head in heads]
    return [world.fabric.hosts[standing.members[1]] for standing in standings]


def runs_requests(node) -> bool:
    """Whether a node has a request at any upstream."""
    return any(load.running for load in node.loads.own_reports())


async def lose_all_groups(world) -> None:
    """Lose a member of each group of the model that the streams use, at one moment."""
    await asyncio.gather(*(host.die() for host in members_of_all_groups(world, LARGE)))


# Guards against streams that are cut as the last group of their model dissolves.
def test_streams_go_on_when_the_only_group_of_their_model_is_replaced():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(SETTLED_AFTER_S)
        assert world.open_groups(LARGE) == 1
        streams = [asyncio.create_task(world.stream(60)) for _ in range(8)]
        await asyncio.sleep(1)
        await lose_all_groups(world)
        answers = await asyncio.gather(*streams)
        assert [len(answer.event_ids) for answer in answers if answer.is_cut] == []

    run_world(test, **ONE_DOMAIN)


# Guards against streams that use up their attempts at groups that dissolve in the same moment.
def test_streams_go_on_when_all_groups_of_their_model_are_replaced():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(SETTLED_AFTER_S)
        streams = [asyncio.create_task(world.stream(100)) for _ in range(24)]
        await asyncio.sleep(1)
        await lose_all_groups(world)
        answers = await asyncio.gather(*streams)
        assert [len(answer.event_ids) for answer in answers if answer.is_cut] == []

    run_world(test, **SPARE_HOSTS)


# Guards against streams that are cut though another node has the retry that they lack.
@pytest.mark.parametrize("slack", [40.0, 100.0])
def test_streams_of_one_node_go_on_with_what_other_nodes_do_not_use(slack):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(SETTLED_AFTER_S)
        (node, *_) = sorted(world.nodes)
        streams = [asyncio.create_task(world.stream(100, node=node)) for _ in range(45)]
        await asyncio.sleep(1)
        (lost, *_) = members_of_all_groups(world, LARGE)
        await lost.die()
        answers = await asyncio.gather(*streams)
        assert [len(answer.event_ids) for answer in answers if answer.is_cut] == []

    bounds = DeploymentBounds(retry_slack=slack, retry_ratio=0.0)
    run_world(test, **SPARE_HOSTS, bounds=bounds)


# Guards against streams that are sent on though their callers left while they waited.
def test_stream_whose_caller_leaves_while_it_waits_is_sent_no_more():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(SETTLED_AFTER_S)
        streams = [asyncio.create_task(world.stream(100)) for _ in range(8)]
        await asyncio.sleep(1)
        await lose_all_groups(world)
        await world.until(lambda: not any(map(runs_requests, world.nodes.values())))
        for stream in streams:
            stream.cancel()
        arrived = sum(len(host.arrivals) for host in world.fabric.hosts.values())
        await asyncio.sleep(8)
        assert sum(len(host.arrivals) for host in world.fabric.hosts.values()) == arrived

    run_world(test, **ONE_DOMAIN)
