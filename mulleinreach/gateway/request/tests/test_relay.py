"""Requests are forwarded to an upstream, and retried only where that is safe."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    answer_unsigned,
    answer_without_status,
    answer_wrong_request,
    echo_path,
    fail,
    hang,
    refuse,
    reset_connection,
    start_plain_upstreams,
    truncate_response,
)
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import UPSTREAMS

# Of all routes of the stand-in deployment.
OBJECTIVE_S = 0.5


def test_path_and_query_are_forwarded_unchanged():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        answer = await world.call("/stock/a%2Fb//c?x=%20&y", method="GET")
        assert (answer.status, answer.body) == (200, b"/stock/a%2Fb//c?x=%20&y")

    run_world(test, **NO_HOSTS)


@pytest.mark.parametrize(
    "script",
    [
        fail,
        reset_connection,
        answer_wrong_request,
        answer_unsigned,
        answer_without_status,
        truncate_response,
    ],
)
def test_safe_request_is_retried_at_another_upstream(script):
    async def test(world):
        await start_plain_upstreams(world, script, echo_path)
        for _ in range(6):
            answer = await world.call("/stock/1", method="GET")
            assert answer.status == 200
        assert all(len(p.seen) == len(set(p.seen)) for p in world.plain.values())

    run_world(test, **NO_HOSTS)


@pytest.mark.parametrize(
    "script",
    [
        reset_connection,
        answer_wrong_request,
        answer_unsigned,
        answer_without_status,
        truncate_response,
    ],
)
def test_unsafe_request_is_never_sent_again_after_it_may_have_run(script):
    async def test(world):
        await start_plain_upstreams(world, script, script)
        answer = await world.call("/order/1", b"2 tins")
        assert answer.status == 502
        assert sum(len(plain.seen) for plain in world.plain.values()) == 1

    run_world(test, **NO_HOSTS)


def test_refused_request_gets_503_with_retry_after():
    async def test(world):
        await start_plain_upstreams(world, refuse)
        answer = await world.call("/order/1", b"2 tins")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0

    run_world(test, **NO_HOSTS)


def test_request_to_a_silent_upstream_gets_504_at_the_deadline():
    async def test(world):
        await start_plain_upstreams(world, hang)
        started_at = world.clock.now()
        answer = await world.call("/order/1", b"2 tins", deadline_s=1.0)
        assert answer.status == 504
        assert 0.9 < world.clock.now() - started_at < 1.2

    run_world(test, **NO_HOSTS)


def test_request_without_upstreams_is_refused_at_once():
    async def test(world):
        await world.until(lambda: world.nodes["node-0"].is_ready())
        started_at = world.clock.now()
        assert (await world.call("/order/1", b"2 tins")).status == 503
        assert world.clock.now() - started_at < 0.1

    run_world(test, **NO_HOSTS)


def test_draining_upstream_gets_no_new_requests():
    async def test(world):
        await start_plain_upstreams(world, echo_path, echo_path)
        leaving = world.plain["desk-0"]
        world.store.put(UPSTREAMS, "desk-0", replace(leaving.upstream, state="draining"))
        await asyncio.sleep(1.0)
        before = len(leaving.seen)
        for _ in range(5):
            assert (await world.call("/stock/1", method="GET")).status == 200
        assert len(leaving.seen) == before

    run_world(test, **NO_HOSTS)


def test_too_large_requests_are_rejected():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        assert (await world.call("/order/1", b"x" * 5_000_000)).status == 413
        assert (await world.call("/order/1", key="x" * 20_000)).status in (401, 431)
        assert (await world.call("/public/1", key="x" * 20_000)).status == 431

    run_world(test, **NO_HOSTS)


# Guards against a safe request that asks another upstream later than its route's objective allows.
def test_safe_request_leaves_an_upstream_that_hangs_at_its_limit():
    async def test(world):
        await start_plain_upstreams(world, hang, echo_path)
        limit_s = 3 * OBJECTIVE_S
        for _ in range(6):
            began_at = world.clock.now()
            answer = await world.call("/stock/1", method="GET")
            assert answer.status == 200
            elapsed_s = world.clock.now() - began_at
            assert elapsed_s < 0.2 or limit_s - 0.05 < elapsed_s < limit_s + 0.05
            await asyncio.sleep(2)

    run_world(test, **NO_HOSTS)
