"""Streams of very small events are paced: each event costs the loop as much as a large one."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from aiohttp import web

from mulleinreach.gateway.model import RouteKind, WeightedService
from mulleinreach.gateway.request.stream_forwarder import MAX_EVENTS_PER_S
from mulleinreach.gateway.tests.plain_upstreams import NO_HOSTS, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import REQUEST_ID, SIGNATURE
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import PLAIN_SERVICE, make_configuration

EVENTS = 100_000
DEADLINE_S = 2.0


def answer_with(events: bytes, count: int):
    """Return a script that answers with so many events at once."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: "s"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for _ in range(count // 1000):
            await response.write(events * 1000)
        return response

    return answer


async def send_streams_to_plain_upstreams(world) -> None:
    """Let streams run at the plain service."""
    configuration = make_configuration(version=2)
    to_plain = (WeightedService(PLAIN_SERVICE, 1),)
    routes = tuple(
        replace(route, destinations=to_plain) if route.kind is RouteKind.STREAMING else route
        for route in configuration.routes
    )
    world.store.put(CONFIGURATION, "newest", replace(configuration, routes=routes))
    await world.until(lambda: world.nodes["node-0"].in_force.configuration.version == 2)


# Guards against an event loop that a single stream of small events or comments keeps busy.
@pytest.mark.parametrize("event", [b":\n\n", b"id: 1\n\n", b"data: x\n\n"])
def test_small_events_are_paced(event):
    async def test(world):
        await start_plain_upstreams(world, answer_with(event, EVENTS))
        await send_streams_to_plain_upstreams(world)
        answer = await world.stream(1, deadline_s=DEADLINE_S)
        events = len(answer.body) // len(event)
        assert answer.is_cut
        assert 0 < events <= 1.5 * MAX_EVENTS_PER_S * DEADLINE_S

    run_world(test, **NO_HOSTS)


def test_events_that_come_together_are_not_delayed():
    async def test(world):
        event = b"id: 1\ndata: " + b"x" * 60 + b"\n\n"
        await start_plain_upstreams(world, answer_with(event, 1000))
        await send_streams_to_plain_upstreams(world)
        began_at = world.clock.now()
        answer = await world.stream(1)
        assert len(answer.body) == 1000 * len(event)
        assert world.clock.now() - began_at < 0.1

    run_world(test, **NO_HOSTS)


def test_other_requests_are_served_beside_small_events():
    async def test(world):
        await start_plain_upstreams(world, answer_with(b":\n\n", EVENTS))
        await send_streams_to_plain_upstreams(world)
        flood = asyncio.create_task(world.stream(1, deadline_s=DEADLINE_S))
        await asyncio.sleep(0.1)
        answers = [(await world.call("/none/1")).status for _ in range(10)]
        assert answers == [404] * 10
        assert not flood.done()
        await flood

    run_world(test, **NO_HOSTS)
