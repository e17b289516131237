"""Helpers for tests of upstreams that signal a state in the headers of their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.standins.gateway.dialect import LEAVING, REFUSED, REQUEST_ID, RETRY_AFTER
from mulleinreach.standins.gateway.hosts import HostStandIn
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, GatewayWorld

REST_S = 3.0
# How long requests that were already in flight may arrive after a request for rest.
IN_FLIGHT_GRACE_S = 0.5
LEAVING_HEADERS = {LEAVING: "1"}
REST_HEADERS = {RETRY_AFTER: f"{REST_S:g}"}


class ScriptedUpstream:
    """A handler of a plain upstream that records arrivals and can refuse requests.

    Parameters
    ==========

    headers : added to each of its answers.
    """

    def __init__(self, headers: dict[str, str] | None = None):
        self.headers = headers or {}
        self.refuses = False
        self.arrivals: list[float] = []

    async def __call__(self, request: web.BaseRequest) -> web.StreamResponse:
        """Record and answer a request."""
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.refuses:
            headers = {REFUSED: "1", REQUEST_ID: request.headers[REQUEST_ID], **self.headers}
            return web.Response(status=503, headers=headers)
        answer = await echo_path(request)
        answer.headers.update(self.headers)
        return answer

    def arrivals_between(self, first: float, last: float) -> int:
        """Return the number of requests that arrived between two times."""
        return sum(first <= at <= last for at in self.arrivals)


def large_heads(world: GatewayWorld, node: str = "node-0") -> list[HostStandIn]:
    """Return the hosts that a node uses as heads of the large model."""
    heads = world.nodes[node].chooser.heads(MODEL_SERVICE, LARGE)
    return [world.fabric.hosts[head.upstream.id] for head in heads]


def count_during_rest(arrivals: list[float], asked_at: float, rest_s: float = REST_S) -> int:
    """Return the number of arrivals during a rest, except for requests already in flight."""
    return sum(asked_at + IN_FLIGHT_GRACE_S < at < asked_at + rest_s for at in arrivals)


async def request_repeatedly(seconds: float, send: Callable[[], object]) -> list[object]:
    """Send ten requests per second without waiting for answers, and return all answers."""
    pending = []
    for _ in range(round(seconds * 10)):
        pending.append(asyncio.ensure_future(send()))
        await asyncio.sleep(0.1)
    return list(await asyncio.gather(*pending))
