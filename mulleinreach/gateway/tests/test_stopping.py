"""Guards against requests that a graceful stop aborts or accepts too late."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    echo_path,
    start_plain_upstreams,
)
from mulleinreach.gateway.tests.support import run_world


def test_planned_stop_finishes_what_runs():
    async def test(world):
        await world.until_formed()
        request = asyncio.create_task(world.stream(60, node="node-0"))
        await asyncio.sleep(0.3)
        node = world.nodes["node-0"]
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(0.1)
        assert not node.is_ready()
        answer = await request
        assert len(answer.event_ids) == 60
        await stopping

    run_world(test, nodes=2)


async def answer_slowly(request):
    """Answer correctly after a delay."""
    await asyncio.sleep(0.8)
    return await echo_path(request)


@pytest.mark.parametrize("after_s", [0.0, 3.0, 3.19, 3.22, 3.3])
def test_planned_stop_aborts_no_accepted_request(after_s):
    async def test(world):
        await start_plain_upstreams(world, answer_slowly)
        node = world.nodes["node-0"]
        node._tasks.spawn(_finish_slowly())
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(after_s)
        try:
            answer = await world.call("/order/1", b"2 tins")
            assert answer.status == 200
        except aiohttp.ClientConnectionError:
            # The node didn't accept the request, so the caller can retry at another one.
            assert world.plain["desk-0"].seen == []
        await stopping

    run_world(test, **NO_HOSTS)


def test_planned_stop_accepts_no_new_requests_under_continuous_load():
    async def test(world):
        await start_plain_upstreams(world, answer_slowly)
        stopping = asyncio.create_task(world.nodes["node-0"].stop())
        started_at = world.clock.now()
        calls = []
        while not stopping.done():
            calls.append(asyncio.create_task(world.call("/order/1", b"2 tins")))
            await asyncio.sleep(0.2)
        assert world.clock.now() - started_at < 5.0
        results = await asyncio.gather(*calls, return_exceptions=True)
        answered = [r for r in results if not isinstance(r, Exception)]
        assert len(answered) == len(world.plain["desk-0"].seen)
        assert all(answer.status == 200 for answer in answered)

    run_world(test, **NO_HOSTS)


def test_planned_stop_closes_idle_connections():
    async def test(world):
        await start_plain_upstreams(world, answer_slowly)
        node = world.nodes["node-0"]
        reader, writer = await node.network.connect(node.identity.callers_address)
        first = asyncio.create_task(world.call("/order/1", b"2 tins"))
        stopping = asyncio.create_task(node.stop())
        await first
        second = asyncio.create_task(_call_after(world, 2.5))
        await asyncio.sleep(2.2)
        assert await reader.read() == b""
        writer.close()
        assert (await second).status == 200
        await stopping

    run_world(test, **NO_HOSTS)


async def _call_after(world, delay_s):
    await asyncio.sleep(delay_s - 1.0)
    return await world.call("/order/1", b"2 tins")


async def _finish_slowly():
    """Delay its cancellation, like a task on an overloaded node."""
    try:
        await asyncio.sleep(3600)
    finally:
        await asyncio.sleep(0.3)
