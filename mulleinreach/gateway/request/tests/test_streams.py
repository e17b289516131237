"""Streams come whole and in order, also where replicas break."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.tests.support import run_world


def test_stream_arrives_complete_and_in_order():
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


def test_stream_that_can_not_be_continued_is_cut():
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
        pending = asyncio.create_task(world.stream(60))
        await asyncio.sleep(0.5)
        run_at = next(iter(world.fabric.checks.runs.values()))[0]
        lost_host = world.fabric.hosts[world.fabric.hosts[run_at].standing.members[1]]
        loss = asyncio.create_task(lost_host.die())
        answer = await pending
        await loss
        assert answer.event_ids == [str(n) for n in range(1, 61)]

    run_world(test, nodes=1)


def test_caller_that_leaves_aborts_the_run():
    async def test(world):
        await world.until_formed()
        pending = asyncio.create_task(world.stream(200))
        await asyncio.sleep(0.5)
        pending.cancel()
        await asyncio.sleep(0.3)
        node = world.nodes["node-0"]
        assert node.relay.in_flight == 0
        assert all(node.loads.running(h) == 0 for h in world.fabric.hosts)

    run_world(test, nodes=1)
