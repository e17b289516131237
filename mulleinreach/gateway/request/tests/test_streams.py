"""Streams come whole and in order, also where replicas break."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.tests.support import run_world


def test_stream_comes_whole_and_in_order():
    async def test(world):
        await world.until_formed()
        answer = await world.stream(12)
        assert answer.event_ids == [str(n) for n in range(1, 13)]
        assert not answer.is_cut

    run_world(test, nodes=1)


def test_stream_that_breaks_is_continued_at_another_replica():
    async def test(world):
        await world.until_formed()
        for host in list(world.fabric.hosts.values())[:8]:
            host.breaks_after = 5
        for _ in range(4):
            answer = await world.stream(12)
            assert answer.event_ids == [str(n) for n in range(1, 13)]
            assert not answer.is_cut

    run_world(test, nodes=1)


def test_stream_that_can_not_be_continued_looks_cut():
    async def test(world):
        await world.until_formed()
        for host in world.fabric.hosts.values():
            host.breaks_after = 5
        answer = await world.stream(12)
        ids = [int(i) for i in answer.event_ids]
        assert answer.is_cut
        assert ids == list(range(1, len(ids) + 1))

    run_world(test, nodes=1)


def test_stream_moves_when_its_group_loses_a_member():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        asking = asyncio.create_task(world.stream(60))
        await asyncio.sleep(0.5)
        run_at = next(iter(world.fabric.checks.runs.values()))[0]
        victim = world.fabric.hosts[world.fabric.hosts[run_at].standing.members[1]]
        dying = asyncio.create_task(victim.die())
        answer = await asking
        await dying
        assert answer.event_ids == [str(n) for n in range(1, 61)]

    run_world(test, nodes=1)


def test_caller_that_leaves_ends_the_run():
    async def test(world):
        await world.until_formed()
        asking = asyncio.create_task(world.stream(200))
        await asyncio.sleep(0.5)
        asking.cancel()
        await asyncio.sleep(0.3)
        node = world.nodes["node-0"]
        assert node.relay.in_flight == 0
        assert all(node.loads.running(h) == 0 for h in world.fabric.hosts)

    run_world(test, nodes=1)
