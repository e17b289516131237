"""Tests for detecting the failure and the recovery of whole halls."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace

import aiohttp
import pytest

from mulleinreach.common import VirtualClock
from mulleinreach.gateway.coordination.hub import RecentNode
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.fleet.hall_monitor import assess_hall, failed_halls
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.node import GatewayNode
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import MemberState
from mulleinreach.standins.gateway.hosts import HostStandIn, make_upstream
from mulleinreach.standins.gateway.store import UPSTREAMS
from mulleinreach.standins.gateway.world import (
    LARGE,
    MODEL_SERVICE,
    PROFILE,
    SMALL,
    CallerAnswer,
    GatewayWorld,
)
from mulleinreach.standins.virtual import run_virtual

HALLS = {"halls": 3, "nodes": 6, "domains": 6}
MAX_DETECTION_S = 1.0
# Includes the time until the lease of the failed coordinator expires.
MAX_DETECTION_AFTER_TAKEOVER_S = 5.0
COLD_S = 6.0


class _Clients:
    """Clients of all nodes that request streams until stopped or their node fails."""

    def __init__(self, world: GatewayWorld):
        self._world = world
        self.answers: list[CallerAnswer] = []
        self._asking = [asyncio.create_task(self._ask(name)) for name in world.nodes]
        self._running: set[asyncio.Task] = set()

    async def _ask(self, node: str) -> None:
        while node in self._world.nodes:
            for model in (LARGE, SMALL):
                self._running.add(asyncio.create_task(self._stream(model, node)))
            await asyncio.sleep(0.05)

    async def _stream(self, model: str, node: str) -> None:
        # Clients of a failed node get no response.
        with contextlib.suppress(KeyError, aiohttp.ClientError):
            self.answers.append(await self._world.stream(20, model=model, node=node))

    def stop(self) -> None:
        for task in {*self._asking, *self._running}:
            task.cancel()


async def _start_traffic(world: GatewayWorld) -> _Clients:
    """Wait until all groups are formed, and send requests for a while."""
    await world.until_formed()
    await asyncio.sleep(4)
    clients = _Clients(world)
    await asyncio.sleep(2)
    return clients


def _hall_of_coordinator(world: GatewayWorld) -> str:
    return world.nodes[world.coordinator()].identity.hall


def _another_hall(world: GatewayWorld) -> str:
    return next(hall for hall in world.halls if hall != _hall_of_coordinator(world))


def _is_reported_lost(world: GatewayWorld, hall: str) -> bool:
    """Whether all running nodes treat all upstreams of a hall as lost."""
    lost = {upstream.id for upstream in world.upstreams_in(hall)}
    return all(lost <= node.eligibility.lost for node in world.nodes.values())


def _orders_into(world: GatewayWorld, hall: str) -> int:
    hosts = {host.id for host in world.hosts_in(hall)}
    return sum(host in hosts for orders in world.fabric.orders_by_token.values() for host in orders)


@pytest.mark.parametrize("loses_coordinator", [False, True])
def test_hall_that_fails_is_lost_as_a_whole_and_gets_no_orders(loses_coordinator):
    async def test(world):
        clients = await _start_traffic(world)
        hall = _hall_of_coordinator(world) if loses_coordinator else _another_hall(world)
        await world.add_plain("desk", _never, hall)
        await asyncio.sleep(1)
        await world.lose_hall(hall)
        detected_after_s = await world.until(lambda: _is_reported_lost(world, hall))
        orders = _orders_into(world, hall)
        await asyncio.sleep(5)
        assert _orders_into(world, hall) == orders
        assert _is_reported_lost(world, hall)
        clients.stop()
        assert detected_after_s < (
            MAX_DETECTION_AFTER_TAKEOVER_S if loses_coordinator else MAX_DETECTION_S
        )

    run_world(test, **HALLS)


async def _never(request) -> None:
    await asyncio.sleep(3600)


def test_slow_hall_with_a_silent_node_and_a_stalled_group_is_not_down():
    async def test(world):
        clients = await _start_traffic(world)
        hall = _another_hall(world)
        for host in world.hosts_in(hall):
            host.pace = 4.0
        await world.kill_node(next(n for n, node in world.nodes.items() if _is_in(node, hall)))
        _an_open_head(world, hall).is_dark = True
        assert await _down_halls_within(world, 3) == set()
        clients.stop()

    run_world(test, **HALLS)


def test_coordinator_whose_hall_is_cut_off_detects_no_failure():
    async def test(world):
        clients = await _start_traffic(world)
        own = _hall_of_coordinator(world)
        inside = [name for name, node in world.nodes.items() if _is_in(node, own)]
        outside = [name for name in world.nodes if name not in inside]
        hosts = [host.id for host in world.fabric.hosts.values() if host.upstream.hall != own]
        for name in inside:
            for other in outside:
                world.links.cut_both(name, other)
            for host in hosts:
                world.links.cut(name, host)
        assert await _down_halls_within(world, 2) == set()
        clients.stop()

    run_world(test, **HALLS)


def _is_in(node: GatewayNode, hall: str) -> bool:
    return node.identity.hall == hall


def _an_open_head(world: GatewayWorld, hall: str) -> HostStandIn:
    return next(
        host
        for host in world.hosts_in(hall)
        if host.standing is not None and host.standing.state is MemberState.OPEN
    )


async def _down_halls_within(world: GatewayWorld, seconds: float) -> set[str]:
    """Return the halls that any node marks as down within some seconds."""
    found: set[str] = set()
    until = world.clock.now() + seconds
    while world.clock.now() < until:
        for node in world.nodes.values():
            found |= node.hosts.down_halls
        await asyncio.sleep(0.02)
    return found


@pytest.mark.parametrize("is_replaced", [False, True])
def test_recovered_hall_serves_again_within_the_load_limit(is_replaced):
    async def test(world):
        clients = await _start_traffic(world)
        hall = _another_hall(world)
        lost = world.hosts_in(hall)
        await world.lose_hall(hall)
        await world.until(lambda: _is_reported_lost(world, hall))
        await asyncio.sleep(3)
        for host in lost:
            await _restart(world, host, is_replaced)
        most_loads = 0
        until = world.clock.now() + 9
        while world.clock.now() < until:
            most_loads = max(most_loads, sum(map(_is_loading, world.hosts_in(hall))))
            retiring = [node.hosts.retirements.current() for node in world.nodes.values()]
            assert not any(retiring)
            await asyncio.sleep(0.05)
        # One group of each model in each of the two domains.
        assert _open_groups_in(world, hall) >= 4
        assert most_loads <= PROFILE.max_concurrent_loads
        clients.stop()

    run_world(test, **HALLS)


def _open_groups_in(world: GatewayWorld, hall: str) -> int:
    chooser = next(iter(world.nodes.values())).chooser
    heads = [head for model in (LARGE, SMALL) for head in chooser.heads(MODEL_SERVICE, model)]
    return sum(head.upstream.hall == hall for head in heads)


def test_evacuated_hall_loads_no_weights_until_the_evacuation_ends():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        hall = _another_hall(world)
        domain = world.hosts_in(hall)[0].upstream.domain
        world.evacuate(hall)
        await asyncio.sleep(1)
        empty = await world.add_host("empty", domain, hall)
        orders = _orders_into(world, hall)
        await asyncio.sleep(4)
        assert _orders_into(world, hall) == orders
        world.take_back(hall)
        await world.until(lambda: empty.standing is not None, 3)

    run_world(test, **HALLS)


def test_lost_group_of_an_evacuated_hall_is_formed_again_without_loads():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(4)
        hall = _another_hall(world)
        head = _an_open_head(world, hall)
        model, domain = head.standing.model, head.upstream.domain
        world.evacuate(hall)
        await asyncio.sleep(1)
        await head.die(listed_for_s=0.1)
        await world.until(lambda: not _serves(world, domain, model), 5)
        loads = set(filter(_is_loading, world.hosts_in(hall)))
        await world.until(lambda: _serves(world, domain, model), 5)
        assert loads == set()

    run_world(test, **HALLS)


def _serves(world: GatewayWorld, domain: str, model: str) -> bool:
    """Whether a domain has an open group of a model with all members running."""
    return any(
        host.standing.model == model and world.fabric.is_whole(host.standing)
        for host in world.fabric.hosts.values()
        if host.upstream.domain == domain
        and host.standing is not None
        and host.standing.state is MemberState.OPEN
    )


async def _restart(world: GatewayWorld, host: HostStandIn, is_replaced: bool) -> None:
    """Restart a host after a power loss, with the same id or with a new one."""
    if is_replaced:
        world.store.put(UPSTREAMS, host.id, None)
        upstream = host.upstream
        host = await world.add_host(f"{host.id}-anew", upstream.domain, upstream.hall)
    host.is_dark, host.standing, host.last_model = False, None, None
    host.turn_cold(COLD_S)


def _is_loading(host: HostStandIn) -> bool:
    """Whether a host loads weights that are not staged on it."""
    standing = host.standing
    if host.is_dark or standing is None or standing.state is not MemberState.JOINING:
        return False
    return standing.model not in host.upstream.staged


def test_hosts_of_a_hall_that_is_down_are_lost_until_they_respond():
    async def test():
        directory, clock = UpstreamDirectory(), VirtualClock()
        hosts = HostRegistry(directory, clock, lambda service: 8.0)
        rows = [make_upstream(name, "s", 1, "d", name[0]) for name in ("a1", "a2", "b1")]
        directory.replace_all(1, rows, clock.now())
        hosts.refresh("s")
        hosts.mark_hall_down("a")
        assert [host.id for host in hosts.usable("s")] == ["b1"]
        assert hosts.lost() == ["a1", "a2"]
        hosts.mark_hall_up("a", recovered={"a2"})
        assert [host.id for host in hosts.usable("s")] == ["a2", "b1"]
        hosts.merge_report(rows[0], clock.now())
        assert hosts.lost() == []

    run_virtual(test())


# Health of a hall, one observation at a time.

STALLED = LoadReport("", 2, 0, 2.0, 2.0)
PROGRESSING = LoadReport("", 2, 0, 0.05, 2.0)
JUST_SENT = LoadReport("", 1, 0, 1000.0, 0.1)


def _detected_halls(
    loads: list[LoadReport], nodes_silent_s: list[float], third=PROGRESSING
) -> list[str]:
    """Return the failed halls, given the loads of the heads and the silence of nodes in ``a``."""
    heads = [
        Head(make_upstream(f"a{n}", MODEL_SERVICE, n, "d", "a"), f"g{n}", 1, LARGE)
        for n in range(4)
    ]
    loads_by_head = {f"a{n}": load for n, load in enumerate(loads)}
    nodes = [RecentNode(NodeReport(f"n{n}", [], hall="a"), s) for n, s in enumerate(nodes_silent_s)]
    halls = [assess_hall("a", heads, loads_by_head, set(), nodes)]
    for hall, load in (("b", PROGRESSING), ("c", third)):
        head = Head(make_upstream(hall, MODEL_SERVICE, 9, "d", hall), hall, 1, LARGE)
        halls.append(assess_hall(hall, [head], {hall: load}, set(), nodes))
    return [found.hall for found in failed_halls(halls, own_hall="b")]


@pytest.mark.parametrize(
    ("loads", "nodes_silent_s", "is_down"),
    [
        ([STALLED, STALLED], [0.7, 0.8], True),
        ([STALLED, STALLED, JUST_SENT], [0.7, 0.8], True),
        ([STALLED, STALLED, STALLED, PROGRESSING], [0.7, 0.8], False),
        ([STALLED, STALLED, STALLED, STALLED], [0.7, 0.2], False),
        ([STALLED], [0.7, 0.8], False),
        ([JUST_SENT, JUST_SENT], [0.7, 0.8], False),
        ([], [0.7, 0.8], False),
        ([STALLED, STALLED], [], True),
        ([STALLED], [], False),
        ([replace(STALLED, oldest_s=0.5)] * 4, [], False),
    ],
)
def test_hall_failure_is_detected_from_its_health(loads, nodes_silent_s, is_down):
    assert _detected_halls(loads, nodes_silent_s) == (["a"] if is_down else [])


def test_no_failure_is_detected_without_progress_in_a_third_hall():
    assert _detected_halls([STALLED, STALLED], [0.7]) == ["a"]
    assert _detected_halls([STALLED, STALLED], [0.7], third=STALLED) == []
