"""What callers may do with bodies, heads and streams of their own."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.model import RequestLimits
from mulleinreach.gateway.tests.desk import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION, NEWEST
from mulleinreach.standins.gateway.world import make_configuration

PARTS = [b"part-%d;" % number for number in range(50)]
SMALL_BODY = RequestLimits(body_bytes=100)


class _Reader:
    """An upstream's script that keeps the bodies that it reads."""

    def __init__(self):
        self.bodies: list[bytes] = []

    async def __call__(self, request):
        self.bodies.append(await request.read())
        return await echo_path(request)


async def _in_parts(pause_s: float):
    for part in PARTS:
        await asyncio.sleep(pause_s)
        yield part


@pytest.mark.parametrize("path", ["/order/1", "/stock/list"])
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_body_in_chunks_reaches_its_upstream_whole(path, pause_s):
    async def test(world):
        reader = _Reader()
        await start_plain_upstreams(world, reader)
        answer = await world.call(path, _in_parts(pause_s))
        assert answer.status == 200
        assert reader.bodies == [b"".join(PARTS)]

    run_world(test, domains=0)


def test_body_in_chunks_beyond_the_limit_reaches_nobody():
    async def test(world):
        reader = _Reader()
        await start_plain_upstreams(world, reader)
        world.store.put(CONFIGURATION, NEWEST, replace(make_configuration(2), limits=SMALL_BODY))
        await asyncio.sleep(1)
        assert (await world.call("/order/1", _in_parts(0.0))).status == 413
        assert reader.bodies == []

    run_world(test, domains=0)


def test_head_beyond_the_limit_is_denied_and_reaches_nobody():
    async def test(world):
        reader = _Reader()
        await start_plain_upstreams(world, reader)
        answer = await world.call("/order/1", fields={"X-Long": "x" * 40_000})
        assert answer.status in (400, 431)
        assert reader.bodies == []

    run_world(test, domains=0)


@pytest.mark.parametrize("seen", [0, 1, 7, 19])
def test_stream_that_its_caller_resumes_goes_on_after_what_was_seen(seen):
    async def test(world):
        await world.until_formed()
        answer = await world.stream(20, fields={"Last-Event-Id": str(seen)})
        assert answer.event_ids == [str(number) for number in range(seen + 1, 21)]

    run_world(test)


def test_resumed_stream_that_breaks_again_lacks_and_repeats_nothing():
    async def test(world):
        await world.until_formed()
        for host in world.fabric.hosts.values():
            host.breaks_after = 12
        answer = await world.stream(20, fields={"Last-Event-Id": "5"})
        ids = [int(event_id) for event_id in answer.event_ids]
        assert ids == list(range(6, 6 + len(ids)))
        assert len(ids) > 4
        assert answer.is_cut == (ids[-1] != 20)

    run_world(test)
