"""Guards against nodes that act on expired state after their machine was suspended."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.state.suspension import MIN_LOGGED_SUSPENSION_S, SuspensionMonitor
from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import make_configuration

SUSPENDED_S = 6.0
PLAIN = {"domains": 0, "hosts_per_domain": 0, "nodes": 3}


def find_follower(world) -> str:
    """Return the name of a node that isn't the coordinator."""
    return next(name for name in world.nodes if name != world.coordinator())


def test_resumed_coordinator_holds_no_lease_and_sends_no_orders():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        name = world.coordinator()
        holder = world.nodes[name]
        token = holder.lease.token
        world.suspend(name, SUSPENDED_S)
        assert not holder.lease.is_held()
        order_count = len(world.fabric.orders_by_token[token])
        # A group loses a member now; the order for its repair needs the lease.
        host = next(h for h in world.fabric.hosts.values() if h.standing is not None)
        world.crashes.begin(host.id, back_after_s=0.05, keeps_name=True)
        while not holder.lease.is_held() and holder.lease.token == token:
            assert len(world.fabric.orders_by_token[token]) == order_count
            await asyncio.sleep(0.01)
        await world.until(lambda: world.coordinator() is not None)
        await world.until_formed()

    run_world(test, nodes=3, domains=1)


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.004, 0.3])
def test_lease_expiry_counts_from_the_start_of_the_renewal(delay_s):
    async def test(world):
        await world.until_formed()
        holder = world.nodes[world.coordinator()]
        renewal = holder.lease.record.renewal
        await world.until(lambda: holder.lease.record.renewal > renewal)
        await asyncio.sleep(0.7 - 0.002 + delay_s)
        world.suspend(world.coordinator(), SUSPENDED_S)
        assert not holder.lease.is_held()
        await asyncio.sleep(0.01)
        held = [n for n, node in world.nodes.items() if node.lease.is_held()]
        assert len(held) <= 1

    run_world(test, nodes=3, domains=1)


def test_key_revoked_during_suspension_is_rejected_after_resume():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        name = find_follower(world)
        assert (await world.call("/order/1", node=name)).status == 200
        world.store.put(CONFIGURATION, "newest", make_configuration(2, frozenset({"other"})))
        world.suspend(name, SUSPENDED_S)
        for _ in range(50):
            answer = await world.call("/order/1", node=name)
            assert answer.status in (401, 503)
            await asyncio.sleep(0.01)
        await asyncio.sleep(2)
        assert (await world.call("/order/1", node=name)).status == 401

    run_world(test, **PLAIN)


def test_resumed_node_serves_again_after_a_coordinator_report():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        name = find_follower(world)
        world.suspend(name, SUSPENDED_S)
        assert (await world.call("/order/1", node=name)).status == 503
        await asyncio.sleep(1)
        assert (await world.call("/order/1", node=name)).status == 200

    run_world(test, **PLAIN)


def test_request_that_expires_during_suspension_is_not_sent():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await asyncio.sleep(2)
        name = find_follower(world)
        node = world.nodes[name]
        gate = asyncio.Event()
        node.relay._start_gate = gate
        request = asyncio.create_task(world.call("/order/1", node=name, deadline_s=2.0))
        await asyncio.sleep(0.1)
        world.suspend(name, SUSPENDED_S)
        gate.set()
        answer = await request
        assert answer.status == 503
        assert all(not plain.seen for plain in world.plain.values())

    run_world(test, **PLAIN)


def test_resume_is_logged_once_with_its_effects():
    async def test(world):
        events = record_events(world.nodes["node-0"])
        suspended_s = [3.0]
        watch = SuspensionMonitor(
            lambda: suspended_s[0], lambda: {"in_flight": 2}, world.nodes["node-0"].log
        )
        watch.check()
        suspended_s[0] += MIN_LOGGED_SUSPENSION_S / 2
        watch.check()
        suspended_s[0] += 5
        watch.check()
        watch.check()
        [fields] = event_fields(events, "node_woke")
        assert fields == {"suspended_s": pytest.approx(5), "in_flight": 2}

    run_world(test, **PLAIN)
