"""A planned stop answers each request of which a part was read."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.tests.owed_support import (
    ORDER,
    STREAM,
    make_request,
    make_stream,
    send_segments,
    set_order_timeout,
)
from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    echo_path,
    hang,
    start_plain_upstreams,
)
from mulleinreach.gateway.tests.support import run_world

# When a load balancer opens no more connections, and when the node ends what still runs.
DRAINED_S, ENDS_S = 2.9, 7.0
SOON_S = 0.1


async def answer_in_five_s(request):
    """Answer correctly after five seconds."""
    await asyncio.sleep(5)
    return await echo_path(request)


async def stop(world):
    """Begin to stop the node; returns the node, the time and the task of the stop."""
    node = world.nodes["node-0"]
    return node, world.clock.now(), asyncio.create_task(node.stop())


# Guards against bodies that are thrown away since they arrive while connections are closed.
@pytest.mark.parametrize("gap_s", [0.01, 0.05, 0.3, 0.9])
def test_body_that_ends_after_new_connections_have_ended_is_read(gap_s):
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        node, at, stopping = await stop(world)
        calls = []
        for number in range(20):
            request = make_request(ORDER)
            head_at = at + DRAINED_S - 0.2 + number * 0.0095
            cut = len(request) - 1 - number % 6
            segments = [(head_at, request[:cut]), (head_at + gap_s, request[cut:])]
            calls.append(send_segments(world, node, segments))
        answers = await asyncio.gather(*calls)
        assert [answer.status for [answer] in answers] == [200] * len(calls)
        await stopping

    run_world(test, **NO_HOSTS)


# Guards against heads whose connections are closed as idle before the head's end.
def test_head_that_has_begun_when_idle_connections_are_closed_is_served():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        node, at, stopping = await stop(world)
        request = make_request(ORDER)
        segments = [(at + DRAINED_S - 0.1, request[:40]), (at + DRAINED_S + 0.5, request[40:])]
        [answer] = await send_segments(world, node, segments)
        assert answer.status == 200
        await stopping

    run_world(test, **NO_HOSTS)


# Guards against requests that are read to their end, or passed on, though the stop cuts them.
@pytest.mark.parametrize("body_at_s", [3.5, 5.0, 6.5, 6.95])
def test_request_that_would_outlast_the_stop_is_refused_at_once(body_at_s):
    async def test(world):
        await start_plain_upstreams(world, answer_in_five_s)
        await set_order_timeout(world, 8.0)
        node, at, stopping = await stop(world)
        request = make_request(ORDER)
        segments = [(at + 2.5, request[:-1]), (at + body_at_s, request[-1:])]
        [answer] = await send_segments(world, node, segments)
        assert answer.status == 503
        assert answer.answer.is_last
        assert answer.at <= at + DRAINED_S + SOON_S
        await stopping
        assert world.plain["desk-0"].seen == []

    run_world(test, **NO_HOSTS)


# Guards against requests behind a stream that are read, and dropped as its connection ends.
@pytest.mark.parametrize("events", [20, 80])
def test_requests_behind_a_stream_are_answered(events):
    async def test(world):
        await world.until_formed()
        await start_plain_upstreams(world, echo_path)
        node, began_at = world.nodes["node-0"], world.clock.now()
        orders = b"".join(make_request(ORDER) for _ in range(5))
        segments = [(began_at, make_stream(events)), (began_at + 0.3, orders)]
        call = asyncio.create_task(send_segments(world, node, segments, answers=6))
        await asyncio.sleep(0.2)
        _, _, stopping = await stop(world)
        answers = await call
        assert [answer.status for answer in answers] == [200] * 6
        assert [answer.answer.is_last for answer in answers] == [False] * 5 + [True]
        await stopping

    run_world(test, nodes=1)


# Guards against connections that stay open after a stream whose head didn't announce the end.
def test_connection_ends_with_a_stream_that_outlasts_the_balancers_time():
    async def test(world):
        await world.until_formed()
        node, began_at = world.nodes["node-0"], world.clock.now()
        call = asyncio.create_task(
            send_segments(world, node, [(began_at, make_stream(100))], answers=2)
        )
        await asyncio.sleep(0.2)
        _, at, stopping = await stop(world)
        first, second = await call
        assert first.status == 200
        assert first.at > at + DRAINED_S
        assert second.answer is None
        assert second.at <= first.at + SOON_S
        await stopping

    run_world(test, nodes=1)


# Guards against connections that are closed under requests which still run at the end.
def test_order_that_runs_at_the_end_gets_a_failure():
    async def test(world):
        await start_plain_upstreams(world, hang)
        await set_order_timeout(world, 20.0)
        node, now = world.nodes["node-0"], world.clock.now()
        request = make_request(ORDER, deadline_s=20.0)
        call = asyncio.create_task(send_segments(world, node, [(now, request)]))
        await asyncio.sleep(0.1)
        _, at, stopping = await stop(world)
        [answer] = await call
        # It may have run, so nothing is promised.
        assert answer.status == 502
        assert at + ENDS_S <= answer.at <= at + ENDS_S + SOON_S
        await stopping

    run_world(test, **NO_HOSTS)


# Guards against requests that wait at their node until the end, and are closed without a word.
def test_request_that_waits_at_the_end_is_told_that_it_has_not_run():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await set_order_timeout(world, 20.0)
        node, now = world.nodes["node-0"], world.clock.now()

        async def wait(job):
            await asyncio.sleep(3600)

        node.relay._sender.wait_for_permit = wait
        request = make_request(ORDER, deadline_s=20.0)
        call = asyncio.create_task(send_segments(world, node, [(now, request)]))
        await asyncio.sleep(0.1)
        _, at, stopping = await stop(world)
        [answer] = await call
        assert answer.status == 503
        assert at + ENDS_S <= answer.at <= at + ENDS_S + SOON_S
        await stopping
        assert world.plain["desk-0"].seen == []

    run_world(test, **NO_HOSTS)


# Guards against requests that are passed on late in a stop and cut at its end.
@pytest.mark.parametrize(("after_s", "status"), [(0.5, 200), (2.5, 503)])
def test_requests_taken_in_a_stop_are_those_whose_route_is_usually_quick_enough(after_s, status):
    async def test(world):
        await start_plain_upstreams(world, answer_in_five_s)
        await set_order_timeout(world, 8.0)
        node, now = world.nodes["node-0"], world.clock.now()
        usual = [send_segments(world, node, [(now, make_request(ORDER))]) for _ in range(30)]
        assert {answer.status for [answer] in await asyncio.gather(*usual)} == {200}
        seen = len(world.plain["desk-0"].seen)
        _, at, stopping = await stop(world)
        [answer] = await send_segments(world, node, [(at + after_s, make_request(ORDER))])
        assert answer.status == status
        assert len(world.plain["desk-0"].seen) == seen + (status == 200)
        if status == 503:
            assert answer.at <= at + after_s + SOON_S
        await stopping

    run_world(test, **NO_HOSTS)


# Guards against streams that can't end in time and are passed on behind another one.
def test_stream_behind_a_stream_that_would_outlast_the_stop_is_refused():
    async def test(world):
        await world.until_formed()
        node, began_at = world.nodes["node-0"], world.clock.now()
        # The first stream ends after connections were closed; the second one has 8 s of its own.
        segments = [(began_at, make_stream(100)), (began_at + 0.3, make_request(STREAM, b"20"))]
        call = asyncio.create_task(send_segments(world, node, segments, answers=2))
        await asyncio.sleep(0.2)
        _, at, stopping = await stop(world)
        first, second = await call
        assert (first.status, second.status) == (200, 503)
        assert first.at > at + DRAINED_S
        assert second.answer.is_last
        await stopping

    run_world(test, nodes=1)
