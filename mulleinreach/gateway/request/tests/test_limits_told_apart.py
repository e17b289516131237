"""Cases in which an upstream's limit must not be set, ended or applied."""

from __future__ import annotations

import asyncio
import math

from aiohttp import web

from mulleinreach.gateway.state.limits import (
    ENDED_LIMIT_KEPT_S,
    UNLISTED_LIMIT_KEPT_S,
    LimitTracker,
    NamedLimit,
)
from mulleinreach.gateway.state.tests.test_crashes import ManualClock, NullLog
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.tests.limit_support import (
    SYSTEM_PROPAGATION_S,
    assert_limit_kept,
    limit_headers,
    request_all_nodes,
)
from mulleinreach.gateway.tests.notice_support import (
    ScriptedUpstream,
    large_heads,
    request_repeatedly,
)
from mulleinreach.gateway.tests.plain_upstreams import NO_HOSTS, echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import incarnation_id
from mulleinreach.standins.gateway.dialect import REFUSED, REQUEST_ID
from mulleinreach.standins.gateway.hosts import make_upstream

ORIGINAL = make_upstream(incarnation_id("desk-0", 1), "desk", 1, None)
RESTARTED = incarnation_id("desk-0", 2)


def make_tracker(*upstreams) -> tuple[LimitTracker, ManualClock]:
    """Return a limit tracker that has some upstreams listed, and its clock."""
    clock, directory = ManualClock(), UpstreamDirectory()
    directory.replace_all(1, list(upstreams), clock.now())
    return LimitTracker(directory, clock, NullLog()), clock


def test_upstream_restarted_later_has_no_limit():
    tracker, _ = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, 1.5)
    assert tracker.is_limited(ORIGINAL.id)
    assert not tracker.is_limited(RESTARTED)


def test_first_answer_without_a_limit_is_not_reported():
    tracker, _ = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, math.inf)
    assert not tracker.has_any
    assert tracker.unpublished(includes_published=True) == ()


def test_earlier_report_that_comes_late_is_ignored():
    tracker, clock = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, 1.5)
    clock.at += 1
    tracker.record_answer(ORIGINAL.id, math.inf)
    tracker.merge_reported([NamedLimit(ORIGINAL.id, 1.5, 0.5)])
    tracker.merge_published([NamedLimit(ORIGINAL.id, 1.5, 0.2)], clock.now() - 0.5)
    assert not tracker.is_limited(ORIGINAL.id)


def test_later_report_of_another_node_changes_or_ends_the_limit():
    tracker, clock = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, 1.5)
    clock.at += 1
    tracker.merge_reported([NamedLimit(ORIGINAL.id, 4.0, 0.5)])
    assert tracker.limit_per_s(ORIGINAL.id) == 4.0
    tracker.merge_reported([NamedLimit(ORIGINAL.id, math.inf, 0.1)])
    assert not tracker.is_limited(ORIGINAL.id)


def test_ended_limit_is_published_for_a_while_and_then_forgotten():
    tracker, clock = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, 1.5)
    clock.at += 1
    tracker.record_answer(ORIGINAL.id, math.inf)
    assert [limit.per_s for limit in tracker.known_limits()] == [math.inf]
    clock.at += ENDED_LIMIT_KEPT_S
    assert tracker.known_limits() == ()


def test_only_limits_of_unlisted_upstreams_are_forgotten():
    tracker, clock = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, 1.5)
    tracker.record_answer("another", 2.0)
    clock.at += UNLISTED_LIMIT_KEPT_S
    assert tracker.limits() == {ORIGINAL.id: 1.5}


def test_only_unpublished_limits_are_reported_to_the_coordinator():
    tracker, clock = make_tracker(ORIGINAL)
    tracker.record_answer(ORIGINAL.id, 1.5)
    assert [limit.per_s for limit in tracker.unpublished(includes_published=False)] == [1.5]
    tracker.merge_published([NamedLimit(ORIGINAL.id, 1.5)], clock.now())
    assert tracker.unpublished(includes_published=False) == ()
    assert len(tracker.unpublished(includes_published=True)) == 1
    clock.at += 1
    tracker.record_answer(ORIGINAL.id, 2.5)
    assert [limit.per_s for limit in tracker.unpublished(includes_published=False)] == [2.5]


def test_refusal_without_a_limit_ends_no_limit():
    """A full upstream may refuse a request without naming a limit."""

    async def test(world):
        limited = ScriptedUpstream(limit_headers(1.1))
        refused = 0

        async def answer(request):
            nonlocal refused
            if len(limited.arrivals) % 2:
                refused += 1
                limited.arrivals.append(world.clock.now())
                headers = {REFUSED: "1", REQUEST_ID: request.headers[REQUEST_ID]}
                return web.Response(status=503, headers=headers)
            return await limited(request)

        await start_plain_upstreams(world, answer, echo_path)
        await asyncio.sleep(5)
        await request_all_nodes(
            world, 15.0, 30, lambda n: world.call("/stock/1", method="GET", node=n)
        )
        assert refused > 2
        assert_limit_kept(limited.arrivals, 1.1, limited.arrivals[0] + SYSTEM_PROPAGATION_S)

    run_world(test, **{**NO_HOSTS, "nodes": 4})


def test_orders_and_probes_end_no_limit_and_are_not_bounded_by_one():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(5)
        (node,) = world.nodes.values()
        limited, *_ = large_heads(world)
        limited.headers = limit_headers(1.1)
        while not node.limits.is_limited(limited.id):
            await world.stream(1)
        limited.headers = {}
        for _ in range(5):
            await node.operator.probe(limited.upstream)
        assert node.limits.is_limited(limited.id)

    run_world(test, nodes=1)


def test_limit_of_one_upstream_bounds_no_other():
    async def test(world):
        limited, free = ScriptedUpstream(limit_headers(0.5)), ScriptedUpstream()
        await start_plain_upstreams(world, limited, free)
        await asyncio.sleep(5)
        answers = await request_repeatedly(5.0, lambda: world.call("/stock/1", method="GET"))
        assert {answer.status for answer in answers} == {200}
        assert len(free.arrivals) >= 40

    run_world(test, **NO_HOSTS)


def test_high_limit_refuses_no_request():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(200.0))
        await start_plain_upstreams(world, limited)
        await asyncio.sleep(5)
        await request_repeatedly(2.0, lambda: world.call("/order/1"))
        answers = await request_repeatedly(5.0, lambda: world.call("/order/1"))
        assert {answer.status for answer in answers} == {200}

    run_world(test, **NO_HOSTS)
