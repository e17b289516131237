"""Idle timeouts of callers' connections, and their closing at a planned stop."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.model import RequestLimits
from mulleinreach.gateway.request.intake import MIN_TIMES
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import make_configuration

REQUEST = b"GET /nowhere HTTP/1.1\r\nHost: tint.example\r\n\r\n"


def _put_idle_timeout(world, version: int, idle_timeout_s: float) -> None:
    limits = RequestLimits(idle_timeout_s=idle_timeout_s)
    configuration = replace(make_configuration(version), limits=limits)
    world.store.put(CONFIGURATION, "newest", configuration)


async def _is_closed(reader: asyncio.StreamReader, within_s: float) -> bool:
    try:
        async with asyncio.timeout(within_s):
            return await reader.read(4096) == b""
    except TimeoutError:
        return False


@pytest.mark.parametrize("sends_first", [True, False])
def test_idle_timeout_follows_the_configuration_on_open_connections(sends_first):
    async def test(world):
        node = world.nodes["node-0"]
        reader, writer = await node.network.connect(node.identity.callers_address)
        _put_idle_timeout(world, 2, 40)
        if sends_first:
            writer.write(REQUEST)
            assert await reader.read(4096)
        assert not await _is_closed(reader, 39)
        _put_idle_timeout(world, 3, 2)
        assert await _is_closed(reader, 3)
        writer.close()

    run_world(test, nodes=1, domains=0)


def test_connection_in_use_is_not_closed_as_idle():
    async def test(world):
        _put_idle_timeout(world, 2, 2)
        await asyncio.sleep(1)
        node = world.nodes["node-0"]
        reader, writer = await node.network.connect(node.identity.callers_address)
        for _ in range(5):
            await asyncio.sleep(1.5)
            writer.write(REQUEST)
            assert b"HTTP/1.1" in await reader.read(4096)
        writer.close()

    run_world(test, nodes=1, domains=0)


def test_planned_stop_closes_idle_connections_while_others_still_answer():
    async def test(world):
        await world.until_formed()
        node = world.nodes["node-0"]
        # A stopping node takes what it knows to be quick enough.
        await asyncio.gather(*(world.stream(80, node="node-0") for _ in range(MIN_TIMES)))
        reader, writer = await node.network.connect(node.identity.callers_address)
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(2.0)
        long_stream = asyncio.create_task(world.stream(80, node="node-0"))
        await asyncio.sleep(1.1)
        assert await _is_closed(reader, 0.2)
        assert not stopping.done()
        answer = await long_stream
        assert len(answer.event_ids) == 80
        await stopping
        writer.close()

    run_world(test, nodes=1)
