"""Metrics of a node, and what nodes tell each other of their load."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.fleet.tests.test_fleet import member_of, request_streams_forever
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE


def test_metrics_are_served_for_prometheus():
    async def test(world):
        await world.until_formed()
        await world.stream(3)
        text = (await world.nodes["node-0"]._handle_metrics(None)).body.decode()
        for name in (
            'answers_total{kind="streaming",status="200"} 1.0',
            "store_calls_total{call=",
            "open_groups 4.0",
            "evidence_age_seconds 0",
            'events_total{event="lease_acquired"} 1.0',
            'groups{state="open"} 4.0',
            "requests_in_flight 0.0",
            'first_event_seconds_count{kind="streaming"} 1.0',
            'longest_pause_seconds_bucket{kind="streaming",le="0.1"} 1.0',
        ):
            assert f"mulleinreach_gateway_{name}" in text

    run_world(test, nodes=1)


def test_nodes_share_their_requests_in_flight():
    async def test(world):
        await world.until_formed()
        requests = [asyncio.create_task(world.stream(60, node="node-0")) for _ in range(6)]
        await asyncio.sleep(0.6)
        other = world.nodes["node-1"]
        heads = other.chooser.heads(MODEL_SERVICE, LARGE)
        assert sum(other.loads.running(h.upstream.id) for h in heads) == 6
        await asyncio.gather(*requests)

    run_world(test)


def test_coordinator_measures_repair_time():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        requests = asyncio.create_task(request_streams_forever(world, LARGE))
        await asyncio.sleep(1)
        dying = asyncio.create_task(member_of(world, LARGE, rank=1).die())
        await asyncio.sleep(4)
        requests.cancel()
        await dying
        text = (await world.nodes["node-0"]._handle_metrics(None)).body.decode()
        assert "mulleinreach_gateway_repair_seconds_count 1.0" in text
        assert 'mulleinreach_gateway_repair_seconds_bucket{le="1.0"} 1.0' in text

    run_world(test, nodes=1)
