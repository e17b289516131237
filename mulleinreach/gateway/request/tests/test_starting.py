"""Requests that come while a node has just been started."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.tests.support import run_world


def test_first_request_of_a_new_node_is_served():
    async def test(world):
        await world.until_formed()
        await world.start_node("node-new")
        answer = await world.stream(3, node="node-new")
        assert answer.event_ids == ["1", "2", "3"]

    run_world(test)


def test_request_at_a_new_node_is_refused_soon_without_the_store():
    async def test(world):
        await world.until_formed()
        world.store.is_down = True
        await world.start_node("node-new")
        started_at = world.clock.now()
        answer = await world.stream(3, node="node-new")
        assert answer.status == 503
        assert "Retry-After" in answer.headers
        assert world.clock.now() - started_at < 0.5
        await asyncio.sleep(0.1)

    run_world(test)
