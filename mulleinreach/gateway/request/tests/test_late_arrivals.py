"""Retries that arrive late, at the end of an upstream's silence, stay within the budget."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.request.tests.retry_bound import RetryRecord
from mulleinreach.gateway.request.tests.retry_harness import RetryHarness
from mulleinreach.gateway.tests.plain_upstreams import echo_path, fail, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import REQUEST_ID

NODES = 8
REQUESTS_PER_S = 60.0
BOUNDS = DeploymentBounds(retry_slack=20.0)
UPSTREAMS = 3
# Enough for all nodes to have found the coordinator, and for a window of requests.
SETTLED_AFTER_S = 14.0


class SilentUpstreams:
    """Upstreams that fail first tries at times, and then read retries only after a silence."""

    def __init__(self, world):
        self._world = world
        self.record = RetryRecord()
        self.is_failing = False
        self.silent_until = 0.0
        self._arrived: set[str] = set()

    async def handle(self, request):
        """Answer a request; a silent upstream reads it also if its caller leaves meanwhile."""
        request_id = request.headers[REQUEST_ID]
        is_retry = request_id in self._arrived
        self._arrived.add(request_id)
        now = self._world.clock.now()
        if is_retry:
            self.record.retries_at.append(max(now, self.silent_until))
            await asyncio.sleep(max(0.0, self.silent_until - now))
        if self.is_failing and not is_retry:
            return await fail(request)
        return await echo_path(request)

    async def call_for(self, seconds: float) -> None:
        """Send requests to all nodes in turn."""
        async with asyncio.TaskGroup() as calls:
            for number in range(round(seconds * REQUESTS_PER_S)):
                self.record.requests_at.append(self._world.clock.now())
                calls.create_task(self._call(f"node-{number % NODES}"))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _call(self, name: str) -> None:
        with contextlib.suppress(aiohttp.ClientError):
            await self._world.call("/stock/1", node=name, method="GET")


# Guards against retries that are forgotten a window after they were decided, though they arrive
# later, so that more than the bound arrive within a window.
@pytest.mark.parametrize("silent_s", [1.0, 1.3, 3.0])
def test_retries_that_arrive_at_the_end_of_a_silence_count_from_their_arrival(silent_s):
    async def test(world):
        upstreams = SilentUpstreams(world)
        await start_plain_upstreams(world, *[upstreams.handle] * UPSTREAMS)
        await upstreams.call_for(SETTLED_AFTER_S)
        began_at = world.clock.now()
        upstreams.silent_until = began_at + silent_s
        upstreams.is_failing = True
        await upstreams.call_for(silent_s)
        upstreams.is_failing = False
        await upstreams.call_for(BOUNDS.retry_window_s - silent_s)
        upstreams.is_failing = True
        await upstreams.call_for(silent_s + 1)
        upstreams.record.retries_at.sort()
        assert upstreams.record.max_excess(BOUNDS) <= 0

    run_world(test, nodes=NODES, domains=0, bounds=BOUNDS)


# Guards against the same on budgets and shares alone, with nodes that end in between: what a
# process that was killed has sent may arrive later, too.
@pytest.mark.parametrize("silent_s", [1.0, 1.3, 3.0])
@pytest.mark.parametrize("nodes", [8, 32])
@pytest.mark.parametrize("killed", [None, 0.33, 1.0])
def test_retries_into_a_silence_beside_killed_nodes(silent_s, nodes, killed):
    harness = RetryHarness(nodes, 120.0, 1, DeploymentBounds(retry_slack=100.0), failing=0.0)
    harness.run(20)
    harness.begin_silence(silent_s)
    harness.failing = 1.0
    harness.run(silent_s)
    if killed is not None:
        harness.restart(harness.pick(killed))
    harness.failing = 0.0
    harness.run(harness.bounds.retry_window_s - silent_s)
    harness.failing = 1.0
    harness.run(silent_s + 2)
    assert harness.excess() <= 0
