"""One node gets most new connections of all callers, then another one after it has left.

Guards against shares of a node, in limits, budgets or permits, that refuse requests while all
requests come to one node.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest
from aiohttp import web

from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import LIMIT, REQUEST_ID, SIGNATURE

FOUR_NODES = {"nodes": 4, "domains": 3, "halls": 3}
PIECES = 8
# The users' rule: served at the first attempt at least so often as in the seconds before.
LEAST_RELATIVE_SHARE = 3 / 4
# Covers a coordinator's permits for a demand that has moved to another node.
CONTACT_S = 3.0
SPREAD_EVERY_S = 0.05
# Callers open more connections meanwhile.
CROWDED_EVERY_S = 0.03


async def answer_with_limit(request: web.BaseRequest) -> web.Response:
    """Answer, and name a limit that the requests of all nodes keep within."""
    await request.read()
    headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: "s", LIMIT: "20"}
    return web.Response(text=request.raw_path, headers=headers)


class FirstAttempts:
    """Sends requests to some nodes in turn, and counts those that are served."""

    def __init__(self, world):
        self._world = world
        self._numbers = itertools.count()

    async def _is_served(self, node: str) -> bool:
        number = next(self._numbers)
        if number % 2:
            answer = await self._world.call(f"/stock/{number}", method="GET", node=node)
            return answer.status == 200
        answer = await self._world.stream(PIECES, node=node)
        return len(answer.event_ids) == PIECES and not answer.is_cut

    async def served_share(self, nodes: list[str], every_s: float, seconds: float) -> float:
        """Return the share of requests that are served of those sent within some seconds."""
        names = itertools.cycle(nodes)
        pending = []
        for _ in range(int(seconds / every_s)):
            pending.append(asyncio.create_task(self._is_served(next(names))))
            await asyncio.sleep(every_s)
        served = await asyncio.gather(*pending)
        return sum(served) / len(served)


@pytest.mark.parametrize("handler", [echo_path, answer_with_limit])
def test_crowd_at_one_node_after_the_other_is_served(handler):
    async def test(world):
        for number in range(3):
            await world.add_plain(f"desk-{number}", handler, world.halls[number])
        await world.until_formed()
        await asyncio.sleep(2)
        attempts = FirstAttempts(world)
        before = await attempts.served_share(list(world.nodes), SPREAD_EVERY_S, 3.0)
        assert before > 0.95
        for _ in range(2):
            crowded = next(iter(world.nodes))
            await attempts.served_share([crowded], CROWDED_EVERY_S, CONTACT_S)
            share = await attempts.served_share([crowded], CROWDED_EVERY_S, 3.0)
            assert share >= LEAST_RELATIVE_SHARE * before
            await world.kill_node(crowded)
            await world.until(lambda: world.coordinator() is not None)

    run_world(test, **FOUR_NODES)
