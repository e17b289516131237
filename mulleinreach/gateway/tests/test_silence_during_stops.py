"""A node that stops passes on accepted streams whose sound upstream is silent for a moment."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE

SILENT_S = 1.2
EVENTS = 60


# Guards against streams that are ended for silence though no other upstream can continue them.
@pytest.mark.parametrize("is_stopping", [False, True])
def test_silence_of_the_only_upstream_ends_no_stream(is_stopping):
    async def test(world):
        await world.until(lambda: all(world.open_groups(LARGE, name) for name in world.nodes))
        await asyncio.sleep(2)
        head = next(h for h in world.fabric.hosts.values() if h.standing.model == LARGE)
        first = world.fabric.hosts[head.standing.members[0]]
        name = next(name for name in world.nodes if name != world.coordinator())
        calls = [asyncio.create_task(world.stream(EVENTS, node=name)) for _ in range(6)]
        await asyncio.sleep(0.6)
        stopping = asyncio.create_task(world.nodes[name].stop()) if is_stopping else None
        await asyncio.sleep(0.2)
        await first.pause(SILENT_S)
        answers = await asyncio.gather(*calls)
        if stopping is not None:
            await stopping
        expected = [str(number) for number in range(1, EVENTS + 1)]
        assert [answer.event_ids for answer in answers] == [expected] * len(calls)

    run_world(test, nodes=3, domains=1)


# Guards against a group that is taken apart for a silent moment of its head, with all that runs
# there, though no other group serves its model.
def test_only_group_of_a_model_outlives_the_silence_of_its_head():
    async def test(world):
        await world.until(lambda: all(world.open_groups(LARGE, name) for name in world.nodes))
        await asyncio.sleep(2)
        host = next(h for h in world.fabric.hosts.values() if h.standing.model == LARGE)
        head = world.fabric.hosts[host.standing.members[0]]
        group = head.standing.group
        calls = [asyncio.create_task(world.stream(EVENTS)) for _ in range(6)]
        await asyncio.sleep(0.8)
        await head.pause(SILENT_S)
        await asyncio.gather(*calls)
        assert head.standing.group == group
        assert all(len(hosts) == 1 for hosts in world.fabric.checks.runs.values())

    run_world(test, nodes=3, domains=1)
