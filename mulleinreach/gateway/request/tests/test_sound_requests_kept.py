"""Requests that don't crash replicas are still served after their replicas have crashed."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.gateway.tests.support import run_world

FATAL_BODY = b"999"
THREE_HALLS = {"halls": 3, "nodes": 3, "domains": 3}


def test_retries_beside_a_crashing_request_are_served():
    async def test(world):
        await world.until_formed()
        pending = [
            asyncio.create_task(world.stream(40 + number, node=name))
            for number in range(8)
            for name in world.nodes
        ]
        await asyncio.sleep(0.2)
        world.crashes.fatal_bodies.add(FATAL_BODY)
        for number in range(10):
            await world.call("/stream/draft", FATAL_BODY, node=f"node-{number % 3}")
            await asyncio.sleep(0.4)
        await asyncio.gather(*pending)
        await world.until_formed()
        for number in range(8):
            for name in world.nodes:
                answer = await world.stream(40 + number, node=name)
                assert (answer.status, answer.is_cut) == (200, False)

    run_world(test, **THREE_HALLS)


@pytest.mark.parametrize("gap_s", [0.0, 0.15, 0.4])
def test_loss_of_a_hall_holds_no_request(gap_s):
    """Replicas of a hall crash in quick succession while they run many unrelated requests."""

    async def test(world):
        await world.until_formed()
        lost = world.hosts_in("hall-a")
        pending = set()
        for round_number in range(12):
            for number in range(12):
                for name in world.nodes:
                    task = asyncio.create_task(world.stream(10 + number, node=name))
                    pending.add(task)
            if lost and round_number >= 1:
                for _ in range(8):
                    world.crashes.begin(lost.pop().id, back_after_s=60)
                    await asyncio.sleep(gap_s)
            await asyncio.sleep(0.2)
        await asyncio.gather(*pending)
        # Retries of the same requests are served: none of them is held.
        for number in range(12):
            for name in world.nodes:
                answer = await world.stream(10 + number, node=name)
                assert (answer.status, answer.is_cut) == (200, False)

    run_world(test, **THREE_HALLS)


def test_crashing_plain_upstreams_hold_no_request():
    async def answer_late(request):
        await asyncio.sleep(0.3)
        return await echo_path(request)

    async def test(world):
        for number in range(6):
            await world.add_plain(f"desk-{number}", answer_late)
        await world.until_formed()
        # One upstream crashes each second, while callers repeat a few identical requests.
        for second in range(12):
            pending = [
                asyncio.create_task(world.call(f"/stock/{number}", node=name))
                for number in range(6)
                for name in world.nodes
            ]
            await asyncio.sleep(0.1)
            world.crashes.begin(f"desk-{second % 6}", back_after_s=2)
            await asyncio.gather(*pending)
            await asyncio.sleep(0.7)
        for number in range(6):
            for name in world.nodes:
                answer = await world.call(f"/stock/{number}", node=name)
                assert answer.status == 200

    run_world(test, **THREE_HALLS)
