"""Nodes send nothing to an upstream whose answers ask for rest or say that it leaves.

Guards against retries at an upstream during its rest, and against new requests to one that
leaves. ``test_notices_told_apart.py`` has the answers that are no such notice.
"""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.notice_support import (
    LEAVING_HEADERS,
    REST_HEADERS,
    REST_S,
    ScriptedUpstream,
    count_during_rest,
    large_heads,
    request_repeatedly,
)
from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    echo_path,
    fail,
    start_plain_upstreams,
)
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import REQUEST_ID, SIGNATURE
from mulleinreach.standins.gateway.store import UPSTREAMS

# An upstream that leaves must get no requests after this time.
MAX_LEAVING_S = 2.0
IMMEDIATE_ANSWER_S = 0.05


def make_resting_upstream() -> ScriptedUpstream:
    """Return a plain upstream that refuses each request and asks for rest."""
    upstream = ScriptedUpstream(REST_HEADERS)
    upstream.refuses = True
    return upstream


def test_head_that_asks_for_rest_gets_no_request_until_it_ends():
    async def test(world):
        await world.until_formed()
        head, *_ = large_heads(world)
        head.refuses, head.headers = 1, REST_HEADERS
        answers = await request_repeatedly(8.0, lambda: world.stream(2))
        assert {answer.status for answer in answers} == {200}
        asked_at = head.arrivals[0]
        assert count_during_rest(head.arrivals, asked_at) == 0
        assert any(at > asked_at + REST_S for at in head.arrivals)

    run_world(test, nodes=1)


def test_plain_upstream_that_asks_for_rest_gets_no_request_until_it_ends():
    async def test(world):
        resting = make_resting_upstream()
        await start_plain_upstreams(world, resting, echo_path)
        await request_repeatedly(8.0, lambda: world.call("/stock/1", method="GET"))
        for asked_at in resting.arrivals:
            assert count_during_rest(resting.arrivals, asked_at) == 0
        assert len(resting.arrivals) > 1

    run_world(test, **NO_HOSTS)


def test_rest_asked_for_by_a_503_that_is_no_refusal_counts_too():
    async def test(world):
        arrivals = []

        async def fail_and_rest(request):
            arrivals.append(world.clock.now())
            answer = await fail(request)
            answer.set_status(503)
            answer.headers.update(REST_HEADERS)
            return answer

        await start_plain_upstreams(world, fail_and_rest, echo_path)
        await request_repeatedly(REST_S, lambda: world.call("/stock/1", method="GET"))
        assert count_during_rest(arrivals, arrivals[0]) == 0

    run_world(test, **NO_HOSTS)


def test_callers_get_retry_after_at_once_when_all_upstreams_rest():
    async def test(world):
        resting_upstreams = [make_resting_upstream(), make_resting_upstream()]
        await start_plain_upstreams(world, *resting_upstreams)
        for _ in range(2):
            await world.call("/stock/1", method="GET")
        asked_at = min(resting.arrivals[0] for resting in resting_upstreams)
        await asyncio.sleep(1.0)
        sent_at = world.clock.now()
        answer = await world.call("/order/1")
        assert answer.status == 503
        assert world.clock.now() - sent_at < IMMEDIATE_ANSWER_S
        retry_at = world.clock.now() + float(answer.headers["Retry-After"])
        assert retry_at >= asked_at + REST_S
        assert all(
            count_during_rest(resting.arrivals, resting.arrivals[0]) == 0
            for resting in resting_upstreams
        )

    run_world(test, **NO_HOSTS)


def test_second_send_goes_to_no_resting_upstream():
    async def test(world):
        failing, resting = ScriptedUpstream(), make_resting_upstream()
        await start_plain_upstreams(world, failing, resting)
        while not resting.arrivals:
            await world.call("/stock/1", method="GET")
        await asyncio.sleep(1.0)
        world.plain["desk-0"].script = fail
        answers = await request_repeatedly(1.5, lambda: world.call("/stock/1", method="GET"))
        assert {answer.status for answer in answers} == {500}
        assert count_during_rest(resting.arrivals, resting.arrivals[0]) == 0

    run_world(test, **NO_HOSTS)


def test_broken_stream_resumes_at_no_resting_head():
    async def test(world):
        await world.until_formed()
        breaking, resting = large_heads(world)
        resting.refuses, resting.headers = 1000, REST_HEADERS
        while not resting.arrivals:
            await world.stream(1)
        asked_at = resting.arrivals[0]
        await asyncio.sleep(1.0)
        breaking.breaks_after = 2
        answers = await request_repeatedly(1.0, lambda: world.stream(5))
        assert all(answer.is_cut for answer in answers)
        assert count_during_rest(resting.arrivals, asked_at) == 0

    run_world(test, nodes=1)


@pytest.mark.parametrize("status", [200, 500, 503])
def test_plain_upstream_that_says_it_leaves_gets_no_more_requests(status):
    async def test(world):
        leaving = ScriptedUpstream(LEAVING_HEADERS)
        leaving.refuses = status == 503

        async def answer(request):
            response = await leaving(request)
            if status == 500:
                response.set_status(500)
            return response

        await start_plain_upstreams(world, answer, echo_path)
        await request_repeatedly(8.0, lambda: world.call("/stock/1", method="GET"))
        first = leaving.arrivals[0]
        assert leaving.arrivals_between(first + MAX_LEAVING_S, float("inf")) == 0

    run_world(test, **NO_HOSTS)


def test_upstream_that_leaves_is_not_the_last_resort():
    async def test(world):
        leaving = ScriptedUpstream(LEAVING_HEADERS)
        await start_plain_upstreams(world, leaving)
        assert (await world.call("/order/1")).status == 200
        await asyncio.sleep(MAX_LEAVING_S)
        answer = await world.call("/order/1")
        assert answer.status == 503
        assert len(leaving.arrivals) == 1

    run_world(test, **NO_HOSTS)


def test_head_that_announces_leaving_in_a_stream_gets_no_more_requests():
    async def test(world):
        await world.until_formed()
        head, *_ = large_heads(world)
        head.headers = LEAVING_HEADERS
        await request_repeatedly(8.0, lambda: world.stream(2))
        assert [at for at in head.arrivals if at > head.arrivals[0] + MAX_LEAVING_S] == []

    run_world(test, nodes=1)


def test_notice_of_a_cut_answer_that_its_upstream_leaves_counts():
    async def test(world):
        arrivals = []

        async def break_off_and_leave(request):
            arrivals.append(world.clock.now())
            headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: "s", **LEAVING_HEADERS}
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(b"part")
            request.transport.close()
            return response

        await start_plain_upstreams(world, break_off_and_leave, echo_path)
        await request_repeatedly(6.0, lambda: world.call("/stock/1", method="GET"))
        assert [at for at in arrivals if at > arrivals[0] + MAX_LEAVING_S] == []

    run_world(test, **NO_HOSTS)


def test_upstream_that_leaves_stays_excluded_when_its_row_lapses_and_returns():
    """A delayed heartbeat may write the row of an upstream again."""

    async def test(world):
        leaving = ScriptedUpstream(LEAVING_HEADERS)
        await start_plain_upstreams(world, leaving, echo_path)
        while not leaving.arrivals:
            await world.call("/stock/1", method="GET")
        row = world.plain["desk-0"].upstream
        world.store.put(UPSTREAMS, "desk-0", None)
        await asyncio.sleep(MAX_LEAVING_S)
        world.store.put(UPSTREAMS, "desk-0", row)
        await request_repeatedly(2.0, lambda: world.call("/stock/1", method="GET"))
        assert len(leaving.arrivals) == 1

    run_world(test, **NO_HOSTS)


def test_host_whose_probe_answer_says_that_it_leaves_joins_no_group():
    """The coordinator probes hosts before they join; their row may never show that they leave."""

    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        (coordinator,) = world.nodes.values()
        leaving, *_ = standbys(world, "domain-0")
        leaving.headers = LEAVING_HEADERS
        await coordinator.operator.probe(leaving.upstream)
        events = record_events(coordinator)
        head = next(h for h in large_heads(world) if h.upstream.domain == "domain-0")
        await head.die(listed_for_s=0.5)
        await asyncio.sleep(10)
        joined = [line["members"].split(",") for line in event_fields(events, "group_joining")]
        assert joined
        assert all(leaving.id not in members for members in joined)

    run_world(test, nodes=1, domains=2, hosts_per_domain=8)


def test_order_that_is_refused_with_a_rest_is_not_repeated():
    async def test(world):
        await world.until_formed()
        (coordinator,) = world.nodes.values()
        head = large_heads(world)[0]
        group = Group(head.standing.group, head.standing.epoch, {0: head.upstream})
        head.rests_from_orders_s = REST_S
        first = len(head.ordered_at)
        await coordinator.operator.dissolve(group)
        assert len(head.ordered_at) == first + 1

    run_world(test, nodes=1)


def standbys(world, domain):
    """Return the hosts of a domain that are in no group, or in a group of one."""
    return [
        host
        for host in world.fabric.hosts.values()
        if host.upstream.domain == domain
        and (host.standing is None or len(host.standing.members) == 1)
    ]
