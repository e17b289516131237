"""Log events of a request: its longest pause, why it was late, notices, limits and permits."""

from __future__ import annotations

import asyncio
import math

from aiohttp import web

from mulleinreach.gateway.request.urgency import MIN_WAITS
from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.notice_support import ScriptedUpstream, request_repeatedly
from mulleinreach.gateway.tests.plain_upstreams import NO_HOSTS, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import LEAVING, LIMIT, REFUSED, RETRY_AFTER

PAUSE_S = 0.6


def test_answered_request_logs_its_longest_pause():
    async def test(world):
        await world.until_formed()
        events = record_events(world.nodes["node-0"])
        pending = asyncio.create_task(world.stream(20))
        await asyncio.sleep(0.3)
        hosts = list(world.fabric.hosts.values())
        for host in hosts:
            host.is_dark = True
        await asyncio.sleep(PAUSE_S)
        for host in hosts:
            host.is_dark = False
        await pending
        (line,) = event_fields(events, "request_answered")
        assert line["pause_ms"] >= 1000 * PAUSE_S * 0.9
        assert line["ms"] > line["pause_ms"]

    run_world(test, nodes=1)


def test_late_request_logs_the_waits_that_made_it_late():
    async def test(world):
        await world.until_formed()
        for _ in range(MIN_WAITS):
            await world.stream(1, deadline_s=8.0)
        events = record_events(world.nodes["node-0"])
        await world.stream(1, deadline_s=8.0)
        await world.stream(1, deadline_s=6.0)
        in_time, late = event_fields(events, "request_sent")
        assert (in_time["late"], late["late"]) == (False, True)
        (held_back,) = event_fields(events, "request_held_back")
        for line in (late, held_back):
            assert 5900 < line["caller_wait_ms"] <= 6000
            assert 7900 < line["first_wait_ms"] <= 8000

    run_world(test, nodes=1)


def test_upstream_notice_is_logged():
    async def refuse_and_leave(request):
        headers = {REFUSED: "1", RETRY_AFTER: "2.5", LEAVING: "1"}
        return web.Response(status=503, headers=headers)

    async def test(world):
        await start_plain_upstreams(world, refuse_and_leave)
        events = record_events(world.nodes["node-0"])
        await world.call("/order/1")
        (line,) = event_fields(events, "upstream_notice")
        assert line == {"upstream": "desk-0", "leaving": True, "rest_s": 2.5}

    run_world(test, **NO_HOSTS)


def test_named_limit_is_logged_when_it_changes():
    async def test(world):
        limited = ScriptedUpstream({LIMIT: "1.5"})
        await start_plain_upstreams(world, limited)
        events = record_events(world.nodes["node-0"])
        await request_repeatedly(3.0, lambda: world.call("/order/1"))
        limited.headers = {}
        await request_repeatedly(3.0, lambda: world.call("/order/1"))
        assert [line["per_s"] for line in event_fields(events, "upstream_limit")] == [1.5, math.inf]

    run_world(test, **NO_HOSTS)


def test_wait_for_a_permit_is_logged_with_its_outcome():
    async def test(world):
        await start_plain_upstreams(world, ScriptedUpstream({LIMIT: "0.5"}))
        await asyncio.sleep(5)
        await world.call("/order/1")
        events = record_events(world.nodes["node-0"])
        answers = [await world.call("/order/1") for _ in range(2)]
        lines = event_fields(events, "permit_awaited")
        assert [line["given"] for line in lines] == [answer.status == 200 for answer in answers]
        assert {line["upstream"] for line in lines} == {"desk-0"}

    run_world(test, **NO_HOSTS)
