"""In which order engines are asked to let requests in."""

from __future__ import annotations

import asyncio
import random

import pytest

from mulleinreach.gateway.request.urgency import (
    LATE_PRIORITY,
    MAX_WAITS_PER_ROUTE,
    MIN_WAITS,
    FirstWaitEstimator,
)
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import (
    LARGE,
    MODEL_SERVICE,
    PROFILE,
    make_configuration,
)

STREAM = next(route for route in make_configuration().routes if route.name == "stream")
IN_TIME_S = 0.1


async def send_with_deadlines(world, deadlines_s):
    """Let a node see how long callers wait that ask for the first time; all are in time."""
    for deadline_s in deadlines_s:
        await world.stream(1, deadline_s=deadline_s)


def spread_waits(longest_s: float, spread: float, count: int = 60) -> list[float]:
    """Return waits spread evenly over a part of the longest one, in no order."""
    waits = [longest_s * (1 - spread * number / count) for number in range(count)]
    return random.Random(1).sample(waits, count)


def test_late_retry_gets_the_late_priority():
    async def test(world):
        await world.until_formed()
        await send_with_deadlines(world, [8.0] * MIN_WAITS)
        await world.stream(1, deadline_s=7.8)
        await world.stream(1, deadline_s=6.0)
        seen = list(world.fabric.checks.priorities.values())
        assert seen == [["2"]] * (MIN_WAITS + 1) + [[str(LATE_PRIORITY)]]

    run_world(test, nodes=1)


@pytest.mark.parametrize("spread", [0.0, 0.15, 0.30, 0.60])
def test_callers_with_spread_deadlines_are_not_late(spread):
    async def test(world):
        await world.until_formed()
        await send_with_deadlines(world, spread_waits(8.0, spread))
        seen = list(world.fabric.checks.priorities.values())
        assert seen == [["2"]] * 60

    run_world(test, nodes=1)


def test_callers_with_two_kinds_of_deadline_are_not_late():
    async def test(world):
        await world.until_formed()
        waits = [8.0] * 54 + [3.0] * 6
        await send_with_deadlines(world, random.Random(1).sample(waits, 60))
        await world.stream(1, deadline_s=3.0)
        seen = list(world.fabric.checks.priorities.values())[30:]
        assert seen == [["2"]] * 31

    run_world(test, nodes=1)


def test_late_callers_are_distinguished_from_short_deadlines():
    waits = FirstWaitEstimator()
    for wait_s in spread_waits(8.0, 0.15):
        waits.note(STREAM, wait_s, IN_TIME_S)
    assert not waits.is_late(STREAM, 8.0 * 0.85)
    assert waits.is_late(STREAM, 8.0 * 0.85 - 2 * STREAM.objective_s)


def test_late_answers_do_not_change_the_first_wait():
    waits = FirstWaitEstimator()
    for _ in range(MIN_WAITS):
        waits.note(STREAM, 8.0, IN_TIME_S)
    for _ in range(MAX_WAITS_PER_ROUTE):
        waits.note(STREAM, 5.0, STREAM.objective_s + 0.1)
    assert waits.is_late(STREAM, 5.0)


def test_retries_during_an_outage_still_count_as_late():
    waits = FirstWaitEstimator()
    for wait_s in [8.0] * 190 + [5.0] * 9:
        waits.note(STREAM, wait_s, IN_TIME_S)
    assert waits.is_late(STREAM, 5.0)


def test_moved_stream_gets_the_highest_priority():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        for head in world.nodes["node-0"].chooser.heads(MODEL_SERVICE, LARGE)[:1]:
            world.fabric.hosts[head.upstream.id].breaks_after = 3
        answers = await asyncio.gather(*(world.stream(12) for _ in range(6)))
        assert all(len(answer.event_ids) == 12 for answer in answers)
        moved = [seen for seen in world.fabric.checks.priorities.values() if len(seen) > 1]
        assert moved
        assert all(seen == ["2", "0"] for seen in moved)

    run_world(test, nodes=1)


def test_first_wait_adapts_to_recent_requests():
    waits = FirstWaitEstimator()
    for _ in range(MAX_WAITS_PER_ROUTE):
        waits.note(STREAM, 60.0, IN_TIME_S)
    for _ in range(MAX_WAITS_PER_ROUTE // 10):
        waits.note(STREAM, 6.0, IN_TIME_S)
    assert not waits.is_late(STREAM, 6.0)
    assert waits.is_late(STREAM, 5.0)


def test_no_request_is_late_until_enough_were_seen():
    waits = FirstWaitEstimator()
    for _ in range(MIN_WAITS - 1):
        waits.note(STREAM, STREAM.timeout_s, IN_TIME_S)
    assert not waits.is_late(STREAM, 1.0)
    waits.note(STREAM, STREAM.timeout_s, IN_TIME_S)
    assert waits.is_late(STREAM, 1.0)


def test_late_requests_leave_slots_to_those_that_can_be_in_time():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        await asyncio.gather(*(world.stream(1, deadline_s=8.0) for _ in range(MIN_WAITS)))
        late = [asyncio.create_task(world.stream(40, deadline_s=6.0)) for _ in range(60)]
        await asyncio.sleep(0.5)
        node = world.nodes["node-0"]
        heads = node.chooser.heads(MODEL_SERVICE, LARGE)
        filled = max(node.loads.running(head.upstream.id) for head in heads)
        assert filled <= PROFILE.slots
        answer = await world.stream(3, deadline_s=8.0)
        assert answer.status == 200
        answers = await asyncio.gather(*late)
        assert all(len(answer.event_ids) == 40 for answer in answers)

    run_world(test, nodes=1)


def test_new_nodes_restore_the_first_waits_of_an_earlier_coordinator():
    async def test(world):
        await world.until_formed()
        for name in world.nodes:
            for _ in range(MIN_WAITS):
                await world.stream(1, deadline_s=8.0, node=name)
        await asyncio.sleep(2)
        for name in list(world.nodes):
            await world.kill_node(name)
        await world.start_node("node-new")
        await world.until(lambda: world.open_groups(LARGE) == 2)
        await world.stream(1, deadline_s=6.0)
        assert list(world.fabric.checks.priorities.values())[-1] == [str(LATE_PRIORITY)]

    run_world(test, nodes=2)
