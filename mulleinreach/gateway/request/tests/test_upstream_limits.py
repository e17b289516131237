"""A rate limit that an upstream names in its answers bounds all nodes together.

Guards against nodes that ignore the limit, or that each use the whole of it.
``test_limits_told_apart.py`` has the cases in which no limit applies.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from mulleinreach.gateway.tests.limit_support import (
    SYSTEM_PROPAGATION_S,
    assert_limit_kept,
    limit_headers,
    request_all_nodes,
    requests_per_s,
)
from mulleinreach.gateway.tests.notice_support import (
    ScriptedUpstream,
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

EIGHT_NODES = {**NO_HOSTS, "nodes": 8}
IMMEDIATE_ANSWER_S = 0.05
# The coordinator answers a request for permits within two of its rounds.
COORDINATOR_ANSWER_S = 0.25
# Share of the limit that must be used over a long time.
MIN_USED_SHARE = 0.7


def call_stock(world):
    """Return a function that sends a safe request to the plain service through a node."""
    return lambda node: world.call("/stock/1", method="GET", node=node)


async def until_ready(world) -> None:
    """Wait until every node serves the plain service."""
    await world.until(lambda: all(n.is_ready() for n in world.nodes.values()))
    await world.until(lambda: all(len(n.directory) for n in world.nodes.values()))
    await asyncio.sleep(5)


@pytest.mark.parametrize("per_s", [0.5, 1.1, 2.1, 6.0])
def test_plain_upstream_gets_no_more_than_its_limit_from_all_nodes(per_s):
    async def test(world):
        limited = ScriptedUpstream(limit_headers(per_s))
        await start_plain_upstreams(world, limited, echo_path, echo_path)
        await until_ready(world)
        answers = await request_all_nodes(world, 20.0, 40, call_stock(world))
        assert {answer.status for answer in answers} == {200}
        assert_limit_kept(limited.arrivals, per_s, limited.arrivals[0] + SYSTEM_PROPAGATION_S)

    run_world(test, **EIGHT_NODES)


@pytest.mark.parametrize("per_s", [1.1, 2.1])
def test_head_gets_no_more_than_its_limit_from_all_nodes(per_s):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(5)
        limited, *_ = large_heads(world)
        limited.headers = limit_headers(per_s)
        named_at = world.clock.now()
        answers = await request_all_nodes(world, 15.0, 16, lambda n: world.stream(2, node=n))
        assert {answer.status for answer in answers} == {200}
        assert_limit_kept(limited.arrivals, per_s, named_at + SYSTEM_PROPAGATION_S)

    run_world(test, nodes=8)


def test_one_node_keeps_the_limit_of_its_only_upstream_and_refuses_at_once():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(1.0))
        await start_plain_upstreams(world, limited)
        await until_ready(world)
        refusal_times_s = []

        async def send_order(node):
            began_at = world.clock.now()
            answer = await world.call("/order/1", node=node)
            if answer.status != 200:
                refusal_times_s.append(world.clock.now() - began_at)
                assert answer.status == 503
                assert 0 < float(answer.headers["Retry-After"]) < 10
            return answer

        await request_all_nodes(world, 16.0, 10, send_order)
        assert_limit_kept(limited.arrivals, 1.0, limited.arrivals[0] + 0.5)
        # At most one request a second waits for the coordinator's answer about permits.
        assert max(refusal_times_s) < COORDINATOR_ANSWER_S
        assert sum(time_s > IMMEDIATE_ANSWER_S for time_s in refusal_times_s) <= 16

    run_world(test, **NO_HOSTS)


@pytest.mark.parametrize("per_s", [0.5, 1.1, 2.0, 6.0])
def test_limit_is_used_where_there_is_no_other_upstream(per_s):
    async def test(world):
        limited = ScriptedUpstream(limit_headers(per_s))
        await start_plain_upstreams(world, limited)
        await until_ready(world)
        first = world.clock.now()
        await request_all_nodes(world, 40.0, 20, call_stock(world))
        assert requests_per_s(limited.arrivals, first + 5, first + 40) >= MIN_USED_SHARE * per_s
        assert_limit_kept(limited.arrivals, per_s, first + SYSTEM_PROPAGATION_S)

    run_world(test, **EIGHT_NODES)


def test_few_callers_of_many_nodes_are_served_as_far_as_the_limit_goes():
    """Requests at each node are too rare for a permit to be left when the next one arrives."""

    async def test(world):
        limited = ScriptedUpstream(limit_headers(2.0))
        await start_plain_upstreams(world, limited)
        await until_ready(world)
        await request_all_nodes(world, 2.0, 2, call_stock(world))
        began_at = world.clock.now()
        answers = await request_all_nodes(world, 30.0, 1, call_stock(world))
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.9 * len(answers)
        assert_limit_kept(limited.arrivals, 2.0, began_at)

    run_world(test, **{**NO_HOSTS, "nodes": 20})


def test_second_sends_keep_the_limit():
    async def test(world):
        failing, limited = ScriptedUpstream(), ScriptedUpstream(limit_headers(1.1))
        await start_plain_upstreams(world, failing, limited)
        await until_ready(world)
        world.plain["desk-0"].script = fail
        await request_all_nodes(world, 15.0, 20, call_stock(world))
        assert_limit_kept(limited.arrivals, 1.1, limited.arrivals[0] + SYSTEM_PROPAGATION_S)

    run_world(test, **EIGHT_NODES)


def test_broken_streams_resume_within_the_limit():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(5)
        breaking, limited = large_heads(world)
        limited.headers = limit_headers(1.1)
        breaking.breaks_after = 2
        named_at = world.clock.now()
        await request_repeatedly(12.0, lambda: world.stream(5))
        assert_limit_kept(limited.arrivals, 1.1, named_at + SYSTEM_PROPAGATION_S)

    run_world(test, nodes=1)


def test_nodes_that_had_no_such_answer_keep_the_limit_too():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(1.1))
        await start_plain_upstreams(world, limited)
        await until_ready(world)
        answered_node = next(name for name in world.nodes if name != world.coordinator())
        await request_repeatedly(
            3.0, lambda: world.call("/stock/1", method="GET", node=answered_node)
        )
        began_at = world.clock.now()
        others = [name for name in world.nodes if name != answered_node]
        for _ in range(10):
            calls = [world.call("/stock/1", method="GET", node=name) for name in others]
            await asyncio.gather(*calls)
            await asyncio.sleep(0.1)
        assert sum(at >= began_at for at in limited.arrivals) <= 1.1 + 2

    run_world(test, **EIGHT_NODES)


def test_limit_holds_while_coordinators_are_replaced():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(2.1))
        await start_plain_upstreams(world, limited, echo_path)
        await until_ready(world)
        pending = asyncio.create_task(request_all_nodes(world, 30.0, 40, call_stock(world)))
        for _ in range(3):
            await asyncio.sleep(7)
            await world.kill_node(world.coordinator())
        await pending
        since = limited.arrivals[0] + SYSTEM_PROPAGATION_S
        assert_limit_kept(limited.arrivals, 2.1, since)
        assert requests_per_s(limited.arrivals, since, since + 25) > 0.5

    run_world(test, **EIGHT_NODES)


def test_limit_holds_while_no_node_reaches_the_others():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(2.1))
        await start_plain_upstreams(world, limited, echo_path)
        await until_ready(world)
        pending = asyncio.create_task(request_all_nodes(world, 20.0, 40, call_stock(world)))
        await asyncio.sleep(4)
        for one, other in itertools.combinations(world.nodes, 2):
            world.links.cut_both(one, other)
        await pending
        since = limited.arrivals[0] + SYSTEM_PROPAGATION_S
        assert_limit_kept(limited.arrivals, 2.1, since)
        assert requests_per_s(limited.arrivals, since + 6, since + 16) > 0

    run_world(test, **EIGHT_NODES)


def test_limit_ends_when_answers_stop_naming_it():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(1.1))
        await start_plain_upstreams(world, limited)
        await until_ready(world)
        await request_all_nodes(world, 8.0, 20, call_stock(world))
        limited.headers = {}
        await request_all_nodes(world, 3.0, 20, call_stock(world))
        answers = await request_all_nodes(world, 3.0, 20, call_stock(world))
        assert {answer.status for answer in answers} == {200}

    run_world(test, **EIGHT_NODES)


def test_upstream_with_a_zero_limit_is_retried_until_the_limit_ends():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(0.0))
        await start_plain_upstreams(world, limited)
        await until_ready(world)
        await request_all_nodes(world, 20.0, 20, call_stock(world))
        assert_limit_kept(limited.arrivals, 0.0, limited.arrivals[0] + SYSTEM_PROPAGATION_S)
        limited.headers = {}
        await request_all_nodes(world, 15.0, 20, call_stock(world))
        answers = await request_all_nodes(world, 3.0, 20, call_stock(world))
        assert {answer.status for answer in answers} == {200}

    run_world(test, **EIGHT_NODES)
