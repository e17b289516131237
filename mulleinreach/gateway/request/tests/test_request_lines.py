"""The lines about a request tell its longest pause, and why it counted as late."""

from __future__ import annotations

import asyncio
import math

from aiohttp import web

from mulleinreach.gateway.request.urgency import ENOUGH_SEEN
from mulleinreach.gateway.tests.desk import NO_HOSTS, serve_desk
from mulleinreach.gateway.tests.logged import fields_of, keep_events
from mulleinreach.gateway.tests.noticed import DeskStandIn, ask_for
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import LEAVING, LIMIT, REFUSED, RETRY_AFTER

STANDSTILL_S = 0.6


def test_answered_request_tells_its_longest_pause():
    async def test(world):
        await world.until_formed()
        kept = keep_events(world.nodes["node-0"])
        asking = asyncio.create_task(world.stream(20))
        await asyncio.sleep(0.3)
        hosts = list(world.fabric.hosts.values())
        for host in hosts:
            host.is_dark = True
        await asyncio.sleep(STANDSTILL_S)
        for host in hosts:
            host.is_dark = False
        await asking
        (line,) = fields_of(kept, "request_answered")
        assert line["pause_ms"] >= 1000 * STANDSTILL_S * 0.9
        assert line["ms"] > line["pause_ms"]

    run_world(test, nodes=1)


def test_late_request_tells_what_made_it_late():
    async def test(world):
        await world.until_formed()
        for _ in range(ENOUGH_SEEN):
            await world.stream(1, deadline_s=8.0)
        kept = keep_events(world.nodes["node-0"])
        await world.stream(1, deadline_s=8.0)
        await world.stream(1, deadline_s=6.0)
        in_time, late = fields_of(kept, "request_sent")
        assert (in_time["late"], late["late"]) == (False, True)
        (held_back,) = fields_of(kept, "request_held_back")
        for line in (late, held_back):
            assert 5900 < line["caller_wait_ms"] <= 6000
            assert 7900 < line["first_wait_ms"] <= 8000

    run_world(test, nodes=1)


def test_what_an_upstream_says_of_itself_is_told():
    async def refuse_and_leave(request):
        headers = {REFUSED: "1", RETRY_AFTER: "2.5", LEAVING: "1"}
        return web.Response(status=503, headers=headers)

    async def test(world):
        await serve_desk(world, refuse_and_leave)
        kept = keep_events(world.nodes["node-0"])
        await world.call("/order/1")
        (line,) = fields_of(kept, "upstream_notice")
        assert line == {"upstream": "desk-0", "leaving": True, "rest_s": 2.5}

    run_world(test, **NO_HOSTS)


def test_limit_that_an_upstream_names_is_told_when_it_changes():
    async def test(world):
        desk = DeskStandIn({LIMIT: "1.5"})
        await serve_desk(world, desk)
        kept = keep_events(world.nodes["node-0"])
        await ask_for(3.0, lambda: world.call("/order/1"))
        desk.headers = {}
        await ask_for(3.0, lambda: world.call("/order/1"))
        assert [line["per_s"] for line in fields_of(kept, "upstream_limit")] == [1.5, math.inf]

    run_world(test, **NO_HOSTS)


def test_wait_for_a_permit_is_told_with_what_came_of_it():
    async def test(world):
        await serve_desk(world, DeskStandIn({LIMIT: "0.5"}))
        await asyncio.sleep(5)
        await world.call("/order/1")
        kept = keep_events(world.nodes["node-0"])
        answers = [await world.call("/order/1") for _ in range(2)]
        lines = fields_of(kept, "permit_awaited")
        assert [line["given"] for line in lines] == [answer.status == 200 for answer in answers]
        assert {line["upstream"] for line in lines} == {"desk-0"}

    run_world(test, **NO_HOSTS)
