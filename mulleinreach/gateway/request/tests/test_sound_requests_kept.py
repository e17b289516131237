"""Sound requests whose replicas end are served when they come again.

They are beside a request that ends its replicas, or at replicas that end for another reason.
"""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.tests.desk import echo_path
from mulleinreach.gateway.tests.support import run_world

FATAL = b"999"
THREE_HALLS = {"halls": 3, "nodes": 3, "domains": 3}


def test_sound_requests_beside_it_are_served_when_they_come_again():
    async def test(world):
        await world.until_formed()
        asking = [
            asyncio.create_task(world.stream(40 + number, node=name))
            for number in range(8)
            for name in world.nodes
        ]
        await asyncio.sleep(0.2)
        world.crashes.fatal_bodies.add(FATAL)
        for number in range(10):
            await world.call("/stream/draft", FATAL, node=f"node-{number % 3}")
            await asyncio.sleep(0.4)
        await asyncio.gather(*asking)
        await world.until_formed()
        for number in range(8):
            for name in world.nodes:
                answer = await world.stream(40 + number, node=name)
                assert (answer.status, answer.is_cut) == (200, False)

    run_world(test, **THREE_HALLS)


@pytest.mark.parametrize("gap_s", [0.0, 0.15, 0.4])
def test_hall_that_is_lost_holds_no_request_back(gap_s):
    """Replicas of a hall end one soon after the other, under many requests that are sound."""

    async def test(world):
        await world.until_formed()
        lost = world.hosts_in("hall-a")
        asking = set()
        for round_number in range(12):
            for number in range(12):
                for name in world.nodes:
                    task = asyncio.create_task(world.stream(10 + number, node=name))
                    asking.add(task)
            if lost and round_number >= 1:
                for _ in range(8):
                    world.crashes.begin(lost.pop().id, back_after_s=60)
                    await asyncio.sleep(gap_s)
            await asyncio.sleep(0.2)
        await asyncio.gather(*asking)
        # The same come again, and none of them is known as one that ends replicas.
        for number in range(12):
            for name in world.nodes:
                answer = await world.stream(10 + number, node=name)
                assert (answer.status, answer.is_cut) == (200, False)

    run_world(test, **THREE_HALLS)


def test_plain_upstreams_that_end_hold_no_request_back():
    async def answer_late(request):
        await asyncio.sleep(0.3)
        return await echo_path(request)

    async def test(world):
        for number in range(6):
            await world.add_plain(f"desk-{number}", answer_late)
        await world.until_formed()
        # One ends each second, while many callers ask for few different things.
        for second in range(12):
            asking = [
                asyncio.create_task(world.call(f"/stock/{number}", node=name))
                for number in range(6)
                for name in world.nodes
            ]
            await asyncio.sleep(0.1)
            world.crashes.begin(f"desk-{second % 6}", back_after_s=2)
            await asyncio.gather(*asking)
            await asyncio.sleep(0.7)
        for number in range(6):
            for name in world.nodes:
                answer = await world.call(f"/stock/{number}", node=name)
                assert answer.status == 200

    run_world(test, **THREE_HALLS)
