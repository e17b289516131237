"""Continuous requests through all nodes to upstreams in three halls."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.gateway.tests.support import run_world

THREE_HALLS = {"halls": 3, "nodes": 3, "domains": 3}


class Traffic:
    """Sends plain and streaming requests through all nodes, and records their times by hall."""

    def __init__(self, world):
        self._world = world
        self._plain_request_times: dict[str, list[float]] = {hall: [] for hall in world.halls}
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start upstreams in each hall, then send requests until :meth:`stop`."""
        for hall in self._world.halls:
            await self._world.add_plain(f"desk-{hall}", self._make_handler(hall), hall)
        await self._world.until_formed()
        await asyncio.sleep(2)
        self._track(asyncio.create_task(self._send_forever()))

    def _make_handler(self, hall: str):
        async def answer(request):
            self._plain_request_times[hall].append(self._world.clock.now())
            return await echo_path(request)

        return answer

    async def _send_forever(self) -> None:
        while True:
            for name in list(self._world.nodes):
                self._track(asyncio.create_task(self._call("/order/1", name)))
                self._track(asyncio.create_task(self._call("/stream/draft", name, b"3")))
            await asyncio.sleep(0.05)

    def _track(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, path: str, node: str, body: bytes = b"") -> None:
        # The test may abort the node during the request.
        with contextlib.suppress(aiohttp.ClientError, KeyError):
            await self._world.call(path, body, node=node)

    def plain_request_times(self, hall: str) -> list[float]:
        """Return when upstreams of the plain service in a hall received requests."""
        return self._plain_request_times[hall]

    def model_request_times(self, hall: str) -> list[float]:
        """Return when hosts of the model service in a hall began to run requests."""
        checks, hosts = self._world.fabric.checks, self._world.fabric.hosts
        return [
            at
            for request, ran_at in checks.runs.items()
            for host, at in zip(ran_at, checks.started_at[request], strict=True)
            if hosts[host].upstream.hall == hall
        ]

    def request_times_after(self, hall: str, moment: float) -> list[float]:
        """Return the times of plain and streaming requests in a hall after a moment."""
        starts = self.plain_request_times(hall) + self.model_request_times(hall)
        return [at for at in starts if at > moment]

    async def stop(self) -> None:
        """Stop sending requests."""
        for task in list(self._tasks):
            task.cancel()


def run_traffic(test, **options) -> None:
    """Run a test during continuous traffic through three halls."""

    async def run(world):
        traffic = Traffic(world)
        await traffic.start()
        await asyncio.sleep(1)
        await test(world, traffic)
        await traffic.stop()

    run_world(run, **{**THREE_HALLS, **options})
