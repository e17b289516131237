"""Connections that fall silent without a reset are given up, and new ones take their place."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.coordination.hub import REPORT_TIMEOUT_S
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import LARGE, SMALL, make_configuration

# A silent connection is given up, a new one is made, and its first report is answered.
REJOIN_S = REPORT_TIMEOUT_S + 0.5


def test_nodes_receive_totals_again():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        coordinator = world.coordinator()
        others = [node for name, node in world.nodes.items() if name != coordinator]
        world.links.silence(world.nodes)
        await world.until(lambda: not any(node.coordination.is_following for node in others))
        await asyncio.sleep(REJOIN_S)
        assert all(node.coordination.is_following for node in others)
        assert all(node.loads.has_recent_totals() for node in others)
        assert world.coordinator() == coordinator

    run_world(test, nodes=3)


def test_configuration_arrives_in_time():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        world.links.silence(world.nodes)
        world.store.put(CONFIGURATION, "newest", make_configuration(5))
        await asyncio.sleep(2.0)
        assert all(node.in_force.version == 5 for node in world.nodes.values())

    run_world(test, nodes=3)


def test_coordinator_drops_silent_connections():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        world.links.silence(world.nodes)
        await asyncio.sleep(2 * REJOIN_S)
        coordinator = world.nodes[world.coordinator()]
        assert len(coordinator.coordination.node_reports()) == 3

    run_world(test, nodes=3)


def test_streams_without_a_first_event_are_retried_elsewhere():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        for host in world.fabric.hosts.values():
            host.pace = 10.0
        requests = [asyncio.create_task(world.stream(2)) for _ in range(4)]
        await asyncio.sleep(0.1)
        world.links.silence(world.nodes)
        for host in world.fabric.hosts.values():
            host.pace = 1.0
        answers = await asyncio.gather(*requests)
        assert all(answer.event_ids == ["1", "2"] for answer in answers)

    run_world(test, nodes=1)


def test_streams_are_continued_elsewhere():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        requests = [asyncio.create_task(world.stream(60)) for _ in range(6)]
        await asyncio.sleep(0.5)
        world.links.silence(world.nodes)
        silent_at = world.clock.now()
        answers = await asyncio.gather(*requests)
        assert all(len(answer.event_ids) == 60 for answer in answers)
        # What was left of the stream, and the time until the silence was noticed.
        assert world.clock.now() - silent_at < 2.0 + 2.0

    run_world(test, nodes=2)


def test_stream_that_times_out_everywhere_stops_after_its_route_s_attempts():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        requests = asyncio.create_task(world.stream(100))
        for _ in range(6):
            await asyncio.sleep(1.0)
            world.links.silence(world.nodes)
        await requests
        assert [len(hosts) for hosts in world.fabric.checks.runs.values()] == [2]

    run_world(test, nodes=1)


def test_later_requests_are_served():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        world.links.silence(world.nodes)
        answers = await asyncio.gather(*(world.stream(5, model=m) for m in (LARGE, SMALL)))
        assert all(len(answer.event_ids) == 5 for answer in answers)

    run_world(test, nodes=2)
