"""The work for a request is aborted once its caller has left, in whatever state it is."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.request.urgency import MIN_WAITS
from mulleinreach.gateway.tests.limit_support import limit_headers
from mulleinreach.gateway.tests.notice_support import ScriptedUpstream
from mulleinreach.gateway.tests.plain_upstreams import NO_HOSTS, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import API_KEY, CALLER_HOST, LARGE, MODEL_SERVICE

# Below the required bound of 0.5 s after the caller has left.
MAX_ABORT_S = 0.4


async def assert_aborted_after_leaving(world, pending: asyncio.Task, after_s: float) -> None:
    """Cancel a caller's request after a delay; check that all work for it stops."""
    await asyncio.sleep(after_s)
    assert not pending.done()
    pending.cancel()
    await asyncio.sleep(MAX_ABORT_S)
    runs = {request: list(hosts) for request, hosts in world.fabric.checks.runs.items()}
    for node in world.nodes.values():
        assert node.relay.in_flight == 0
        assert all(node.loads.running(upstream) == 0 for upstream in world.fabric.hosts)
    await asyncio.sleep(2)
    assert {request: list(hosts) for request, hosts in world.fabric.checks.runs.items()} == runs


def _slow_hosts(world) -> None:
    for host in world.fabric.hosts.values():
        host.pace = 40.0


def test_caller_leaves_before_the_first_event():
    async def test(world):
        await world.until_formed()
        _slow_hosts(world)
        await assert_aborted_after_leaving(world, asyncio.create_task(world.stream(5)), 0.5)

    run_world(test, nodes=1)


def test_caller_leaves_in_the_middle_of_a_stream():
    async def test(world):
        await world.until_formed()
        await assert_aborted_after_leaving(world, asyncio.create_task(world.stream(100)), 0.7)

    run_world(test, nodes=1)


def test_caller_leaves_after_its_stream_was_moved():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        heads = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, LARGE)
        for head in heads:
            world.fabric.hosts[head.upstream.id].breaks_after = 3
        pending = asyncio.create_task(world.stream(100))
        await world.until(lambda: any(len(h) > 1 for h in world.fabric.checks.runs.values()))
        await assert_aborted_after_leaving(world, pending, 0.02)

    run_world(test, nodes=1)


def test_caller_leaves_while_its_late_request_waits():
    async def test(world):
        await world.until_formed()
        for _ in range(MIN_WAITS):
            await world.stream(1, deadline_s=8.0)
        _slow_hosts(world)
        others = [asyncio.create_task(world.stream(5)) for _ in range(60)]
        await asyncio.sleep(0.5)
        seen = set(world.fabric.checks.runs)
        pending = asyncio.create_task(world.stream(5, deadline_s=5.0))
        await asyncio.sleep(0.3)
        for other in others:
            other.cancel()
        pending.cancel()
        await asyncio.sleep(2)
        assert set(world.fabric.checks.runs) == seen
        assert world.nodes["node-0"].relay.in_flight == 0

    run_world(test, nodes=1)


def test_caller_leaves_while_its_request_waits_for_a_permit():
    async def test(world):
        limited = ScriptedUpstream(limit_headers(0.5))
        await start_plain_upstreams(world, limited)
        await asyncio.sleep(5)
        await world.call("/stock/1", method="GET")
        count = len(limited.arrivals)
        pending = asyncio.create_task(world.call("/stock/1", method="GET"))
        await world.until(lambda: world.nodes["node-0"].permits.wanted())
        await assert_aborted_after_leaving(world, pending, 0.01)
        assert len(limited.arrivals) == count

    run_world(test, **NO_HOSTS)


def test_caller_leaves_while_its_node_starts():
    async def test(world):
        world.store.is_down = True
        await world.start_node("node-new")
        pending = asyncio.create_task(world.stream(5, node="node-new"))
        await assert_aborted_after_leaving(world, pending, 0.2)

    run_world(test, nodes=0)


def test_caller_leaves_while_its_body_is_read():
    async def test(world):
        await world.until_formed()
        address = world.nodes["node-0"].identity.callers_address
        _, writer = await world.nodes["node-0"].network.connect(address)
        head = (
            f"POST /stream/draft HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
            f"Authorization: {API_KEY}\r\nContent-Length: 100\r\n\r\n"
        )
        writer.write(head.encode() + b"part")
        await world.until(lambda: world.nodes["node-0"].relay.in_flight == 1)
        writer.close()
        await asyncio.sleep(MAX_ABORT_S)
        assert world.nodes["node-0"].relay.in_flight == 0
        assert world.fabric.checks.runs == {}

    run_world(test, nodes=1)


@pytest.mark.parametrize("path", ["/stock/paint", "/order/paint"])
def test_caller_leaves_while_a_plain_service_works(path):
    async def test(world):
        ended: list[float] = []

        async def work(request):
            try:
                await asyncio.sleep(3600)
            finally:
                ended.append(world.clock.now())

        await start_plain_upstreams(world, work)
        await assert_aborted_after_leaving(world, asyncio.create_task(world.call(path)), 0.3)
        assert len(ended) == 1

    run_world(test, **NO_HOSTS)
