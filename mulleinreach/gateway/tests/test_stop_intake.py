"""A stopping node takes only what it can answer before its end."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.tests.owed_support import make_stream, send_segments
from mulleinreach.gateway.tests.support import run_world

SOON_S = 0.1
# So many events take 0.4, 3.2 and 5.2 s.
SHORT, LONG, LONGEST = 10, 80, 130
# Of so many answers the longest one tells how long others may take.
KNOWN = 40
# After SIGTERM; the node ends 4.5 s later.
LATE_IN_STOP_S = 2.5


async def call(world, events: int, after_s: float = 0.0) -> asyncio.Task:
    """Begin to send a stream some time from now."""
    node = world.nodes["node-0"]
    segments = [(world.clock.now() + after_s, make_stream(events))]
    return asyncio.create_task(send_segments(world, node, segments))


async def answer_streams(world, events: int, count: int) -> None:
    """Have the node answer so many streams."""
    calls = [await call(world, events) for _ in range(count)]
    answers = await asyncio.gather(*calls)
    assert [answer.status for [answer] in answers] == [200] * count


async def check_refused_late_in_stop(world, events: int) -> None:
    """Stop the node, and send it a stream that would outlast it: it is refused, and isn't run."""
    node, at = world.nodes["node-0"], world.clock.now()
    stopping = asyncio.create_task(node.stop())
    late = await call(world, events, LATE_IN_STOP_S)
    await asyncio.sleep(LATE_IN_STOP_S - SOON_S)
    runs = len(world.fabric.checks.runs)
    [answer] = await late
    assert answer.status == 503
    assert answer.at <= at + LATE_IN_STOP_S + SOON_S
    assert len(world.fabric.checks.runs) == runs
    await stopping


# Guards against streams that a young node takes late in its stop, and cuts at its end.
@pytest.mark.parametrize("known", [0, 5, 20])
def test_stopping_node_that_knows_few_answers_refuses_what_may_outlast_it(known):
    async def test(world):
        await world.until_formed()
        await answer_streams(world, SHORT, known)
        await check_refused_late_in_stop(world, LONGEST)

    run_world(test, nodes=1)


# Guards against a route that looks quick, since only the answers that have ended are known.
def test_stopping_node_reckons_with_the_streams_that_still_run():
    async def test(world):
        await world.until_formed()
        await answer_streams(world, SHORT, KNOWN)
        running = await call(world, LONGEST)
        # It has run for 4.6 s when the late stream comes.
        await asyncio.sleep(2.1)
        await check_refused_late_in_stop(world, LONGEST)
        assert [answer.status for answer in await running] == [200]

    run_world(test, nodes=1)


# Guards against streams that are as long as some others were, and are cut though these are known.
def test_stopping_node_reckons_with_the_longest_of_the_known_answers():
    async def test(world):
        await world.until_formed()
        await answer_streams(world, LONGEST, 1)
        await answer_streams(world, SHORT, KNOWN)
        await check_refused_late_in_stop(world, LONGEST)

    run_world(test, nodes=1)


# Guards against a stop that refuses everything: callers shouldn't have to come again in vain.
def test_stopping_node_takes_what_ends_in_time_as_far_as_it_knows():
    async def test(world):
        await world.until_formed()
        await answer_streams(world, SHORT, KNOWN)
        stopping = asyncio.create_task(world.nodes["node-0"].stop())
        late = await call(world, SHORT, LATE_IN_STOP_S)
        assert [answer.status for answer in await late] == [200]
        await stopping

    run_world(test, nodes=1)


# Guards against requests that are taken as long as others were quick, up to the node's end.
def test_stopping_node_decides_by_deadlines_once_no_connection_is_opened_any_more():
    async def test(world):
        await world.until_formed()
        await answer_streams(world, SHORT, KNOWN)
        node, began_at = world.nodes["node-0"], world.clock.now()
        segments = [(began_at, make_stream(LONG)), (began_at + 0.3, make_stream(SHORT))]
        calling = asyncio.create_task(send_segments(world, node, segments, answers=2))
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(node.stop())
        first, second = await calling
        assert (first.status, second.status) == (200, 503)
        await stopping

    run_world(test, nodes=1)
