"""No request may be sent to an evacuated hall after the bound, whatever fails meanwhile."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common import EventLog, VirtualClock
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.ports import EvacuationRow
from mulleinreach.gateway.request.urgency import MIN_WAITS
from mulleinreach.gateway.state.evacuations import NEVER, RAMP_DOWN_FRACTION, Evacuations
from mulleinreach.gateway.tests.plain_upstreams import echo_path, fail, refuse
from mulleinreach.gateway.tests.support import block_store_access, restore_store_access, run_world
from mulleinreach.gateway.tests.traffic import run_traffic
from mulleinreach.standins.gateway.world import SMALL
from mulleinreach.standins.virtual import run_virtual

BOUND_S = DeploymentBounds.evacuation_s
HALL = "hall-a"
# Without faults the coordinator reads the order at once and publishes it in its next report.
PROPAGATION_S = 0.3
# Enough for a node to read the store again after an outage.
STORE_RECOVERY_S = 2.0
MAX_STORE_WAIT_S = 2.5


async def assert_served(world) -> None:
    """Assert that each node serves both plain requests and streams."""
    for name in world.nodes:
        assert (await world.call("/order/1", node=name)).status == 200
        assert len((await world.stream(3, node=name)).event_ids) == 3


# Faults during an evacuation.


async def no_fault(world) -> None:
    """Cause no fault."""


async def kill_coordinator(world) -> None:
    """Kill the coordinator before it can read the order."""
    await world.kill_node(world.coordinator())


async def silence_coordinator(world) -> None:
    """Drop all traffic on connections with the coordinator, and block new connections."""
    coordinator = world.coordinator()
    world.links.silence(world.nodes)
    for name in world.nodes:
        if name != coordinator:
            world.links.cut_both(name, coordinator)


async def reject_coordinator(world) -> None:
    """Let the store reject the coordinator."""
    block_store_access(world.nodes[world.coordinator()])


async def reject_all_nodes_but_one(world) -> None:
    """Let the store reject all nodes except one that isn't the coordinator."""
    coordinator = world.coordinator()
    serving = next(name for name in world.nodes if name != coordinator)
    for name, node in world.nodes.items():
        if name != serving:
            block_store_access(node)


async def lose_history(world) -> None:
    """Let the store's history be lost, so that no wait can be resumed for a while."""
    world.store.history_from = world.store.version + 1000


async def restart_node(world) -> None:
    """Kill a node and start another one in the evacuated hall."""
    await asyncio.sleep(0.5)
    await world.kill_node(next(n for n in world.nodes if n != world.coordinator()))
    await world.start_node("node-new", hall=HALL)


FAULTS = [
    no_fault,
    kill_coordinator,
    silence_coordinator,
    reject_coordinator,
    reject_all_nodes_but_one,
    lose_history,
    restart_node,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_hall_gets_nothing_after_the_bound(fault):
    async def test(world, traffic):
        assert traffic.plain_request_times(HALL) and traffic.model_request_times(HALL)
        asked_at = world.clock.now()
        world.evacuate(HALL)
        await fault(world)
        await asyncio.sleep(BOUND_S + 4)
        assert traffic.request_times_after(HALL, asked_at + BOUND_S) == []
        await assert_served(world)

    run_traffic(test)


RAMP_DOWN_FAULTS = [kill_coordinator, silence_coordinator, reject_all_nodes_but_one]


@pytest.mark.parametrize("fault", RAMP_DOWN_FAULTS)
def test_fault_during_the_ramp_down_sends_nothing_back(fault):
    async def test(world, traffic):
        asked_at = world.clock.now()
        world.evacuate(HALL)
        await asyncio.sleep(BOUND_S / 4)
        await fault(world)
        await asyncio.sleep(BOUND_S)
        assert (
            traffic.request_times_after(
                HALL, asked_at + RAMP_DOWN_FRACTION * BOUND_S + PROPAGATION_S
            )
            == []
        )

    run_traffic(test)


def test_order_written_during_a_store_outage_applies_after_it():
    async def test(world, traffic):
        for node in world.nodes.values():
            block_store_access(node)
        await asyncio.sleep(MAX_STORE_WAIT_S)
        world.evacuate(HALL)
        await asyncio.sleep(1)
        back_at = world.clock.now()
        for node in world.nodes.values():
            restore_store_access(node)
        await asyncio.sleep(BOUND_S)
        assert traffic.request_times_after(HALL, back_at - 1)
        assert traffic.request_times_after(HALL, back_at + STORE_RECOVERY_S) == []
        await assert_served(world)

    run_traffic(test)


def test_order_is_noticed_despite_a_wait_that_has_fallen_silent():
    async def test(world):
        await asyncio.sleep(3)
        for node in world.nodes.values():
            node.ports.configurations.wait = _hang
        await asyncio.sleep(MAX_STORE_WAIT_S)
        world.evacuate(HALL)
        # The next renewal of the lease finds the changed row.
        await asyncio.sleep(1.0 + PROPAGATION_S)
        for node in world.nodes.values():
            assert node.in_force.evacuations.halls == {HALL}

    run_world(test, halls=3, nodes=3, domains=0)


async def _hang(revision, wait_s):
    await asyncio.sleep(3600)


def test_share_falls_to_zero_over_half_of_the_bound():
    async def test(world, traffic):
        asked_at = world.clock.now()
        evacuations = [node.in_force.evacuations for node in world.nodes.values()]
        world.evacuate(HALL)
        shares = []
        for _ in range(30):
            await asyncio.sleep(0.1)
            shares.append([known.share(HALL) for known in evacuations])
        for known in zip(*shares, strict=True):
            assert list(known) == sorted(known, reverse=True)
            assert 0 < min(share for share in known[:10]) < 0.9
        assert traffic.request_times_after(HALL, asked_at + 0.5)
        assert traffic.request_times_after(HALL, asked_at + RAMP_DOWN_FRACTION * BOUND_S) == []

    run_traffic(test)


@pytest.mark.parametrize("is_alone", [False, True])
def test_node_that_starts_sends_nothing_to_an_evacuated_hall(is_alone):
    async def test(world):
        seen = await _serve_halls(world)
        world.evacuate(HALL)
        await asyncio.sleep(PROPAGATION_S)
        if is_alone:
            for name in list(world.nodes):
                await world.kill_node(name)
        await world.start_node("node-new", hall=HALL)
        for _ in range(20):
            assert (await world.call("/order/1", node="node-new")).status == 200
        assert seen[HALL] == []

    run_world(test, halls=3, nodes=2, domains=0)


async def _serve_halls(world, **handlers) -> dict[str, list[str]]:
    """Start a plain upstream in each hall; returns the requests that each one receives."""
    plain = {}
    for hall in world.halls:
        handler = handlers.get(hall.replace("-", "_"), echo_path)
        plain[hall] = await world.add_plain(f"desk-{hall}", handler, hall)
    await asyncio.sleep(3)
    return {hall: upstream.seen for hall, upstream in plain.items()}


def test_hall_that_is_taken_back_is_served_at_once_though_history_is_lost():
    async def test(world, traffic):
        world.evacuate(HALL)
        await asyncio.sleep(BOUND_S)
        await lose_history(world)
        await asyncio.sleep(MAX_STORE_WAIT_S)
        back_at = world.clock.now()
        world.take_back(HALL)
        await asyncio.sleep(1)
        assert traffic.request_times_after(HALL, back_at)
        assert not any(node.in_force.evacuations.halls for node in world.nodes.values())

    run_traffic(test)


def test_two_halls_are_evacuated_at_once():
    async def test(world, traffic):
        asked_at = world.clock.now()
        world.evacuate("hall-a")
        world.evacuate("hall-b")
        await asyncio.sleep(BOUND_S)
        for hall in ("hall-a", "hall-b"):
            assert (
                traffic.request_times_after(
                    hall, asked_at + RAMP_DOWN_FRACTION * BOUND_S + PROPAGATION_S
                )
                == []
            )
        await assert_served(world)

    run_traffic(test)


@pytest.mark.parametrize("deadline_s", [8.0, 6.0])
def test_request_that_no_hall_may_serve_is_refused_at_once(deadline_s):
    async def test(world):
        await _serve_halls(world)
        await world.until_formed()
        await asyncio.gather(*(world.stream(1, deadline_s=8.0) for _ in range(MIN_WAITS)))
        for hall in world.halls:
            world.evacuate(hall)
        await asyncio.sleep(BOUND_S)
        for path in ("/order/1", "/stream/draft"):
            asked_at = world.clock.now()
            answer = await world.call(path, b"3", deadline_s=deadline_s)
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0
            assert world.clock.now() - asked_at < 0.1

    run_world(test, halls=3, nodes=1, domains=3)


def test_hall_that_the_settings_do_not_name_is_evacuated_too():
    async def test(world):
        seen = await _serve_halls(world)
        added = await world.add_plain("desk-z", echo_path, "hall-z")
        world.evacuate("hall-z")
        await asyncio.sleep(BOUND_S)
        for name in world.nodes:
            for _ in range(10):
                assert (await world.call("/order/1", node=name)).status == 200
        assert added.seen == []
        assert any(seen.values())

    run_world(test, halls=3, nodes=3, domains=0)


def test_hall_that_no_renewal_names_is_evacuated_at_once():
    clock = VirtualClock()

    async def test():
        evacuations = Evacuations(BOUND_S, ("hall-a",), clock, EventLog("node"))
        rows = [EvacuationRow("hall-a", 3), EvacuationRow("hall-z", 4)]
        evacuations.apply_rows(rows, True, 4, proven_at=clock.now())
        assert (evacuations.share("hall-a"), evacuations.share("hall-z")) == (1.0, 0.0)

    run_virtual(test())


def test_retries_avoid_the_evacuated_hall():
    async def test(world):
        seen = await _serve_halls(world, hall_b=fail, hall_c=refuse)
        world.evacuate(HALL)
        await asyncio.sleep(BOUND_S)
        before = len(seen[HALL])
        for name in world.nodes:
            for _ in range(10):
                await world.call("/stock/1", node=name)
        assert len(seen[HALL]) == before
        assert seen["hall-b"] and seen["hall-c"]

    run_world(test, halls=3, nodes=3, domains=0)


def test_streams_are_resumed_elsewhere():
    async def test(world, traffic):
        asked_at = world.clock.now()
        world.evacuate(HALL)
        await asyncio.sleep(BOUND_S)
        for host in world.fabric.hosts.values():
            if host.upstream.hall == "hall-b":
                host.breaks_after = 3
        answers = await asyncio.gather(*(world.stream(12, model=SMALL) for _ in range(12)))
        resumed = [runs for runs in world.fabric.checks.runs.values() if len(runs) > 1]
        assert resumed
        assert all(len(answer.event_ids) == 12 for answer in answers)
        assert traffic.request_times_after(HALL, asked_at + BOUND_S) == []

    run_traffic(test, nodes=1)


# Published orders.


def test_older_report_is_discarded_and_is_no_evidence():
    async def test(world):
        await asyncio.sleep(3)
        node = world.nodes["node-0"]
        world.evacuate(HALL)
        await asyncio.sleep(PROPAGATION_S)
        in_force, evacuations = node.in_force, node.in_force.evacuations
        dated, later = in_force.evidence_at, world.clock.now() + 100
        older = evacuations.revision - 1
        in_force.merge_coordinator_evidence(in_force.version, later, b"", frozenset(), older)
        assert evacuations.halls == {HALL}
        assert in_force.evidence_at == dated
        in_force.merge_coordinator_evidence(in_force.version, later, b"", frozenset({HALL}), older)
        assert in_force.evidence_at == later

    run_world(test, halls=3, nodes=1, domains=0)


def test_newer_report_counts_from_the_latest_evidence():
    clock = VirtualClock()

    async def test():
        evacuations = Evacuations(BOUND_S, ("hall-a",), clock, EventLog("node"))
        await asyncio.sleep(10)
        assert evacuations.apply_published(frozenset({"hall-a"}), 7, clock.now() - 2)
        await asyncio.sleep(RAMP_DOWN_FRACTION * BOUND_S - 2 - 0.1)
        assert 0 < evacuations.share("hall-a") < 1
        await asyncio.sleep(0.1)
        assert evacuations.share("hall-a") == 0

    run_virtual(test())


def test_node_without_evidence_sends_nothing():
    evacuations = Evacuations(BOUND_S, ("hall-a",), VirtualClock(), EventLog("node"))

    async def test():
        evacuations.apply_published(frozenset({"hall-a"}), 7, NEVER)
        assert evacuations.share("hall-a") == 0

    run_virtual(test())
