"""Upstreams that say something of themselves in their answers, and when requests reach them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from mulleinreach.gateway.tests.desk import echo_path
from mulleinreach.standins.gateway.dialect import LEAVING, REFUSED, REQUEST_ID, RETRY_AFTER
from mulleinreach.standins.gateway.hosts import HostStandIn
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, GatewayWorld

REST_S = 3.0
# What was on its way when an upstream asked for rest may still come for so long.
IN_FLIGHT_GRACE_S = 0.5
LEAVING_HEADERS = {LEAVING: "1"}
REST_HEADERS = {RETRY_AFTER: f"{REST_S:g}"}


class ScriptedUpstream:
    """The script of a plain upstream, which can be made to refuse, and keeps count.

    Parameters
    ==========

    headers : go with each of its answers.
    """

    def __init__(self, headers: dict[str, str] | None = None):
        self.headers = headers or {}
        self.refuses = False
        self.arrivals: list[float] = []

    async def __call__(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.refuses:
            headers = {REFUSED: "1", REQUEST_ID: request.headers[REQUEST_ID], **self.headers}
            return web.Response(status=503, headers=headers)
        answer = await echo_path(request)
        answer.headers.update(self.headers)
        return answer

    def arrivals_between(self, first: float, last: float) -> int:
        """Return how many requests came within a time."""
        return sum(first <= at <= last for at in self.arrivals)


def large_heads(world: GatewayWorld, node: str = "node-0") -> list[HostStandIn]:
    """Return the heads of the large model that a node would use."""
    heads = world.nodes[node].chooser.heads(MODEL_SERVICE, LARGE)
    return [world.fabric.hosts[head.upstream.id] for head in heads]


def count_during_rest(arrivals: list[float], asked_at: float, rest_s: float = REST_S) -> int:
    """Return how many requests came within a rest, those left out that were on their way."""
    return sum(asked_at + IN_FLIGHT_GRACE_S < at < asked_at + rest_s for at in arrivals)


async def request_repeatedly(seconds: float, ask: Callable[[], object]) -> list[object]:
    """Ask ten times a second, whether or not the earlier ones were answered."""
    asking = []
    for _ in range(round(seconds * 10)):
        asking.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(0.1)
    return list(await asyncio.gather(*asking))
