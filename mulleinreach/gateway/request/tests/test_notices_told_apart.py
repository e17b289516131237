"""Answers that must not count as a notice of an upstream that rests or leaves."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from mulleinreach.gateway.state.notices import NoticeTracker
from mulleinreach.gateway.state.tests.test_crashes import ManualClock, NullLog
from mulleinreach.gateway.state.upstreams import ListChange, UpstreamDirectory
from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.notice_support import (
    LEAVING_HEADERS,
    REST_HEADERS,
    REST_S,
    ScriptedUpstream,
    large_heads,
    request_repeatedly,
)
from mulleinreach.gateway.tests.plain_upstreams import NO_HOSTS, echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import Notice, UpstreamState, incarnation_id
from mulleinreach.standins.gateway.dialect import REFUSED, REQUEST_ID, RETRY_AFTER
from mulleinreach.standins.gateway.hosts import make_upstream

ORIGINAL = make_upstream(incarnation_id("desk-0", 1), "desk", 1, None)
RESTARTED = make_upstream(incarnation_id("desk-0", 2), "desk", 1, None)
# An upstream that failed a request is avoided for 1 s and gets requests again soon after.
MAX_AVOIDED_S = 2.0


def make_tracker() -> tuple[NoticeTracker, UpstreamDirectory, ManualClock]:
    """Return a notice tracker, its upstream directory and its clock."""
    clock, directory = ManualClock(), UpstreamDirectory()
    directory.replace_all(1, [ORIGINAL], clock.now())
    return NoticeTracker(directory, clock, NullLog(), lambda: None), directory, clock


def test_later_shorter_rest_does_not_end_a_longer_one():
    tracker, _, clock = make_tracker()
    tracker.record(ORIGINAL, Notice(rest_s=3.0))
    clock.at += 1
    tracker.record(ORIGINAL, Notice(rest_s=0.5))
    assert tracker.rest(ORIGINAL.id).remaining_s == 2.0


def test_later_longer_rest_replaces_a_shorter_one():
    tracker, _, clock = make_tracker()
    tracker.record(ORIGINAL, Notice(rest_s=1.0))
    clock.at += 0.5
    tracker.record(ORIGINAL, Notice(rest_s=3.0))
    assert tracker.rest(ORIGINAL.id).remaining_s == 3.0
    clock.at += 3.0
    assert tracker.rest(ORIGINAL.id) is None
    assert tracker.resting() == []


def test_restarted_upstream_neither_rests_nor_leaves():
    tracker, directory, clock = make_tracker()
    tracker.record(ORIGINAL, Notice(is_leaving=True, rest_s=3.0))
    directory.apply(ListChange(2, [RESTARTED], []), clock.now())
    assert tracker.rest(RESTARTED.id) is None
    assert directory.get(RESTARTED.id).state is UpstreamState.READY


def test_ready_row_does_not_refute_a_leaving_notice():
    tracker, directory, clock = make_tracker()
    tracker.record(ORIGINAL, Notice(is_leaving=True))
    for change in (ListChange(2, [ORIGINAL], []), ListChange(3, [], ["desk-0"])):
        directory.apply(change, clock.now())
    directory.replace_all(4, [ORIGINAL], clock.now())
    assert directory.get(ORIGINAL.id).state is UpstreamState.DRAINING


def test_refusal_without_a_rest_excludes_its_upstream_only_briefly():
    async def test(world):
        refusing = ScriptedUpstream()
        refusing.refuses = True
        await start_plain_upstreams(world, refusing, echo_path)
        await request_repeatedly(3.0, lambda: world.call("/stock/1", method="GET"))
        assert len(refusing.arrivals) >= 2

    run_world(test, **NO_HOSTS)


@pytest.mark.parametrize("status", [200, 429, 500])
def test_retry_after_of_another_answer_is_no_rest(status):
    """A 429 may concern a single organisation, so it must not exclude the upstream."""

    async def test(world):
        arrivals = []

        async def answer(request):
            arrivals.append(world.clock.now())
            response = await echo_path(request)
            response.set_status(status)
            response.headers[RETRY_AFTER] = "30"
            if status == 429:
                response.headers[REFUSED] = "1"
            return response

        await start_plain_upstreams(world, answer, echo_path)
        await request_repeatedly(1.0, lambda: world.call("/stock/1", method="GET"))
        await request_repeatedly(MAX_AVOIDED_S, lambda: world.call("/stock/1", method="GET"))
        assert arrivals[-1] > arrivals[0] + 1.0

    run_world(test, **NO_HOSTS)


def test_closed_connection_is_no_leaving_notice():
    async def test(world):
        closing = ScriptedUpstream({"Connection": "close"})
        await start_plain_upstreams(world, closing)
        answers = await request_repeatedly(4.0, lambda: world.call("/order/1"))
        assert {answer.status for answer in answers} == {200}

    run_world(test, **NO_HOSTS)


def test_rest_asked_of_one_node_excludes_no_other_node():
    async def test(world):
        refusing = ScriptedUpstream(REST_HEADERS)
        refusing.refuses = True
        await world.add_plain("desk-0", refusing)
        await world.until(lambda: all(len(n.directory) for n in world.nodes.values()))
        await world.until(lambda: all(n.is_ready() for n in world.nodes.values()))
        assert (await world.call("/order/1", node="node-0")).status == 503
        refusing.refuses = False
        await asyncio.sleep(1.0)
        assert (await world.call("/order/1", node="node-0")).status == 503
        assert (await world.call("/order/1", node="node-1")).status == 200

    run_world(test, domains=0, hosts_per_domain=0, nodes=2)


def test_head_that_rests_is_not_lost_and_keeps_its_group():
    async def test(world):
        await world.until_formed()
        events = record_events(world.nodes["node-0"])
        head, *_ = large_heads(world)
        head.refuses, head.headers = 1, REST_HEADERS
        await request_repeatedly(2 * REST_S, lambda: world.stream(2))
        assert event_fields(events, "group_dissolving") == []
        assert event_fields(events, "upstream_lost") == []

    run_world(test, nodes=1)


def test_answer_of_a_leaving_upstream_is_forwarded_unchanged():
    async def test(world):
        await start_plain_upstreams(world, ScriptedUpstream(LEAVING_HEADERS))
        answer = await world.call("/order/1")
        assert answer.status == 200
        assert answer.headers.items() >= LEAVING_HEADERS.items()

    run_world(test, **NO_HOSTS)


def test_stream_of_a_leaving_head_is_not_cut():
    async def test(world):
        await world.until_formed()
        head, *_ = large_heads(world)
        head.headers = LEAVING_HEADERS
        answers = await request_repeatedly(2.0, lambda: world.stream(30))
        assert all(len(answer.event_ids) == 30 for answer in answers)
        assert not any(answer.is_cut for answer in answers)

    run_world(test, nodes=1)


def test_notice_of_an_answer_with_an_unknown_request_id_counts():
    """Each request has its own connection, so any answer on it comes from that upstream."""

    async def test(world):
        arrivals = []

        async def answer(request):
            arrivals.append(world.clock.now())
            headers = {REQUEST_ID: "another", **REST_HEADERS}
            return web.Response(status=503, headers=headers)

        await start_plain_upstreams(world, answer, echo_path)
        await request_repeatedly(REST_S - 0.1, lambda: world.call("/stock/1", method="GET"))
        assert len(arrivals) == 1

    run_world(test, **NO_HOSTS)
