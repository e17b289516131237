"""Chunked bodies, header limits and resumed streams of callers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.model import RequestLimits
from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION, NEWEST
from mulleinreach.standins.gateway.world import make_configuration

PARTS = [b"part-%d;" % number for number in range(50)]
SMALL_BODY = RequestLimits(body_bytes=100)


class _BodyRecorder:
    """Script of an upstream that records the request bodies."""

    def __init__(self):
        self.bodies: list[bytes] = []

    async def __call__(self, request):
        self.bodies.append(await request.read())
        return await echo_path(request)


async def _chunked_body(pause_s: float):
    for part in PARTS:
        await asyncio.sleep(pause_s)
        yield part


@pytest.mark.parametrize("path", ["/order/1", "/stock/list"])
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_chunked_body_reaches_its_upstream_complete(path, pause_s):
    async def test(world):
        recorder = _BodyRecorder()
        await start_plain_upstreams(world, recorder)
        answer = await world.call(path, _chunked_body(pause_s))
        assert answer.status == 200
        assert recorder.bodies == [b"".join(PARTS)]

    run_world(test, domains=0)


def test_chunked_body_over_the_limit_is_not_forwarded():
    async def test(world):
        recorder = _BodyRecorder()
        await start_plain_upstreams(world, recorder)
        world.store.put(CONFIGURATION, NEWEST, replace(make_configuration(2), limits=SMALL_BODY))
        await asyncio.sleep(1)
        assert (await world.call("/order/1", _chunked_body(0.0))).status == 413
        assert recorder.bodies == []

    run_world(test, domains=0)


def test_headers_over_the_limit_are_refused_and_not_forwarded():
    async def test(world):
        recorder = _BodyRecorder()
        await start_plain_upstreams(world, recorder)
        answer = await world.call("/order/1", fields={"X-Long": "x" * 40_000})
        assert answer.status in (400, 431)
        assert recorder.bodies == []

    run_world(test, domains=0)


@pytest.mark.parametrize("seen", [0, 1, 7, 19])
def test_resumed_stream_continues_after_the_last_event_id(seen):
    async def test(world):
        await world.until_formed()
        answer = await world.stream(20, fields={"Last-Event-Id": str(seen)})
        assert answer.event_ids == [str(number) for number in range(seen + 1, 21)]

    run_world(test)


def test_resumed_stream_that_breaks_again_skips_and_repeats_no_event():
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
