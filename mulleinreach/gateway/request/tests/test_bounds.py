"""Bounds over all nodes or a whole deployment: retries, deadlines and loads of weights."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from aiohttp import web

from mulleinreach.common import VirtualClock
from mulleinreach.gateway.coordination.share_accounts import TARGET_TOTAL
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.fleet.weight_loads import RATE_WINDOW_S, WeightLoadLimiter
from mulleinreach.gateway.request.budget import WindowedRetryBudget
from mulleinreach.gateway.state.leased_share import LeasedShare, ShareLease
from mulleinreach.gateway.tests.notice_support import large_heads, request_repeatedly
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import DEADLINE_MS, REQUEST_ID, SIGNATURE
from mulleinreach.standins.gateway.world import PROFILE, make_configuration
from mulleinreach.standins.virtual import run_virtual

NODES = 9
RATE_TOLERANCE = 1.1
RATE_SLACK = 3
NO_HOSTS = {"nodes": 1, "domains": 0}


def max_count_in_window(times: list[float], window_s: float) -> int:
    return max((sum(t <= other < t + window_s for other in times) for t in times), default=0)


def test_second_sends_of_all_nodes_stay_within_the_retry_budget():
    async def test():
        bounds, clock, rng = DeploymentBounds(), VirtualClock(), random.Random(3)
        shares = [LeasedShare(clock, bounds) for _ in range(NODES)]
        budgets = [WindowedRetryBudget(bounds, clock, share) for share in shares]
        requests_at, second_sends_at = [], []
        for _ in range(6000):
            # Nodes get uneven shares, and each request asks for a second send.
            budget = budgets[min(int(rng.expovariate(0.5)), NODES - 1)]
            for share in shares:
                share.receive(ShareLease(TARGET_TOTAL / NODES), clock.now())
            budget.count_request("service")
            requests_at.append(clock.now())
            decision = budget.try_spend("service", str(len(requests_at)))
            if decision.is_granted:
                second_sends_at.append(clock.now())
                decision.charge.note_arrived()
            await asyncio.sleep(0.01)
        in_window = len(requests_at) * bounds.retry_window_s / clock.now()
        max_count = max_count_in_window(second_sends_at, bounds.retry_window_s)
        assert 0 < max_count <= bounds.retry_ratio * in_window + bounds.retry_slack

    run_virtual(test())


def test_safe_request_reaches_no_more_upstreams_than_its_route_allows():
    async def test(world):
        for number in range(5):
            await world.add_plain(f"desk-{number}", _fail)
        await asyncio.sleep(0.5)
        await world.call("/stock/1", method="GET")
        route = next(r for r in make_configuration().routes if r.name == "stock")
        assert sum(len(plain.seen) for plain in world.plain.values()) == route.max_attempts

    run_world(test, **NO_HOSTS)


def test_stream_that_breaks_everywhere_reaches_a_bounded_number_of_hosts():
    async def test(world):
        await world.until_formed()
        for host in world.fabric.hosts.values():
            host.breaks_after = 1
        await world.stream(30)
        route = next(r for r in make_configuration().routes if r.name == "stream")
        (runs,) = world.fabric.checks.runs.values()
        assert 1 < len(runs) <= route.max_attempts

    run_world(test, domains=6)


def test_second_send_announces_only_the_remaining_deadline():
    async def test(world):
        announced_ms: list[int] = []

        async def fail_slowly(request):
            announced_ms.append(int(request.headers[DEADLINE_MS]))
            await asyncio.sleep(0.6)
            return await _fail(request)

        for number in range(2):
            await world.add_plain(f"desk-{number}", fail_slowly)
        await asyncio.sleep(0.5)
        await world.call("/stock/1", method="GET", deadline_s=1.5)
        assert announced_ms[0] <= 1500
        assert announced_ms[1] <= 1500 - 600

    run_world(test, **NO_HOSTS)


async def _fail(request: web.BaseRequest) -> web.Response:
    headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: "desk"}
    return web.Response(status=500, headers=headers)


def test_weight_loads_stay_below_the_rate_limit():
    async def test():
        clock = VirtualClock()
        limiter = WeightLoadLimiter(clock)
        loads_started_at = []
        for _ in range(4000):
            if limiter.may_begin(PROFILE):
                limiter.begin()
                loads_started_at.append(clock.now())
                asyncio.get_running_loop().call_later(0.3, limiter.end)
            await asyncio.sleep(0.01)
        max_count = max_count_in_window(loads_started_at, RATE_WINDOW_S)
        assert 0 < max_count <= PROFILE.loads_per_s * RATE_WINDOW_S * RATE_TOLERANCE

    run_virtual(test())


# Guards against a new coordinator that forgets which loads the previous ones have begun.
def test_weight_loads_of_successive_coordinators_stay_below_the_rate_limit():
    async def test():
        clock = VirtualClock()
        profile = replace(PROFILE, loads_per_s=14.0, max_concurrent_loads=21)
        loads_started_at = []
        for _ in range(12):
            limiter = WeightLoadLimiter(clock)
            limiter.begin_term(is_first=False)
            for _ in range(30):
                if limiter.may_begin(profile):
                    limiter.begin()
                    loads_started_at.append(clock.now())
                await asyncio.sleep(0.03)
        limiter = WeightLoadLimiter(clock)
        limiter.begin_term(is_first=False)
        await asyncio.sleep(RATE_WINDOW_S)
        assert limiter.may_begin(profile)
        max_count = max_count_in_window(loads_started_at, RATE_WINDOW_S)
        assert 0 < max_count <= profile.loads_per_s * RATE_WINDOW_S * RATE_TOLERANCE + RATE_SLACK

    run_virtual(test())


def test_concurrent_weight_loads_are_bounded():
    async def test():
        limiter = WeightLoadLimiter(VirtualClock())
        running = 0
        while limiter.may_begin(PROFILE):
            limiter.begin()
            running += 1
        assert running <= PROFILE.max_concurrent_loads

    run_virtual(test())


def test_failing_stream_with_a_lost_replica_keeps_to_the_attempts_of_its_route():
    """A run at a lost replica may be replaced; a run that failed counts as an attempt."""

    async def test(world):
        await world.until_formed()
        heads = large_heads(world)
        for failing in heads[:2]:
            failing.fails = 10_000
        breaking = heads[2]
        breaking.breaks_after = 2
        await request_repeatedly(12.0, lambda: world.stream(6))
        route = next(r for r in make_configuration().routes if r.name == "stream")
        runs = world.fabric.checks.runs.values()
        assert any(breaking.id in ran_at and len(ran_at) > 1 for ran_at in runs)
        runs_elsewhere = [[host for host in ran_at if host != breaking.id] for ran_at in runs]
        assert max(map(len, runs_elsewhere)) <= route.max_attempts

    run_world(test, nodes=1, domains=4)
