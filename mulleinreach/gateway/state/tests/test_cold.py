"""Requests of all nodes together must not exceed the rate that a cold upstream can handle."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinreach.common import Address, Clock, EventLog
from mulleinreach.gateway.coordination.node_numbers import NodeNumbers
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.model import Configuration
from mulleinreach.gateway.request.urgency import MIN_WAITS
from mulleinreach.gateway.state.cold import NUMBER_VALID_S, RATE_WINDOW_S, ColdRateLimit, quota
from mulleinreach.gateway.state.upstreams import ListChange, UpstreamDirectory
from mulleinreach.gateway.tests.plain_upstreams import echo_path, fail
from mulleinreach.gateway.tests.support import block_store_access, run_world
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.standins.gateway.store import CONFIGURATION, NEWEST, UPSTREAMS
from mulleinreach.standins.gateway.world import (
    LARGE,
    MODEL_SERVICE,
    make_configuration,
)

BOUNDS = DeploymentBounds(cold_ratio=1.5, cold_slack=5.0)
COLD_S, COLD_PER_S = 12.0, 4.0
BOUND = COLD_PER_S * BOUNDS.cold_ratio + BOUNDS.cold_slack
WORLD = {"nodes": 6, "halls": 3, "domains": 3, "hosts_per_domain": 6, "bounds": BOUNDS}
# Enough for a changed row to reach all nodes.
ROW_PROPAGATION_S = 0.6
STEP_S = 0.05


class SettableClock(Clock):
    """A clock whose time a test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


def cold_configuration() -> Configuration:
    """Return a configuration whose upstreams can be cold."""
    configuration = make_configuration(2)
    services = {
        name: replace(service, cold_s=COLD_S, cold_per_s=COLD_PER_S)
        for name, service in configuration.services.items()
    }
    return replace(configuration, services=services)


def max_per_second(times: Iterable[float]) -> int:
    """Return the largest number of times within any window of one second."""
    ordered = sorted(times)
    return max(
        (sum(t <= other < t + RATE_WINDOW_S for other in ordered) for t in ordered), default=0
    )


class Arrivals:
    """The requests that each host has started to process."""

    def __init__(self, world):
        self._checks = world.fabric.checks

    def at(self, host_id: str, since: float) -> list[float]:
        """Return when requests arrived at a host, starting at a given time."""
        return [
            at
            for request_id, hosts in self._checks.runs.items()
            for host, at in zip(hosts, self._checks.started_at[request_id], strict=True)
            if host == host_id and at >= since
        ]

    def check(self, hosts: Iterable[str], since: float) -> None:
        """Assert that no host exceeded the bound in any second since a given time."""
        for host in hosts:
            assert max_per_second(self.at(host, since)) <= BOUND, host


async def send_to_all_nodes(world, seconds: float, statuses: list[int], model: str = LARGE) -> None:
    """Request short streams from each node, far more than cold heads can handle."""
    requests = []
    until = world.clock.now() + seconds
    while world.clock.now() < until:
        for node in list(world.nodes):
            requests.append(asyncio.create_task(world.stream(2, model=model, node=node)))
        await asyncio.sleep(0.1)
    for answer in await asyncio.gather(*requests, return_exceptions=True):
        if not isinstance(answer, Exception):
            statuses.append(answer.status)


async def start_cold_world(world) -> None:
    """Wait until all groups are formed and all nodes have numbers."""
    world.store.put(CONFIGURATION, NEWEST, cold_configuration())
    await world.until_formed()
    await asyncio.sleep(6)


def heads_in(world, hall: str | None = None) -> list[str]:
    """Return the ids of the heads of a model, in one hall or in all."""
    heads = next(iter(world.nodes.values())).chooser.heads(MODEL_SERVICE, LARGE)
    return [h.upstream.id for h in heads if hall in (None, h.upstream.hall)]


@settings(max_examples=300, deadline=None)
@given(
    rate=st.floats(0, 200),
    sizes=st.tuples(st.integers(1, 120), st.integers(1, 120)),
    upstream_id=st.text(max_size=8),
)
def test_quotas_of_any_two_sets_of_numbers_keep_within_the_rate(rate, sizes, upstream_id):
    given_out = [sum(quota(upstream_id, rate / 2, n, size) for n in range(size)) for size in sizes]
    assert sum(given_out) <= rate


class NumberedNodes:
    """Nodes that connect and disconnect while coordinators change, and send as much as allowed.

    A disconnected node keeps its last number, which a new coordinator doesn't know.
    """

    def __init__(self, size: int, seed: int):
        self._rng = random.Random(seed)
        self._clock = SettableClock()
        self._numbers = NodeNumbers(self._clock.now())
        self._limits = [ColdRateLimit(BOUNDS, self._clock, EventLog("node")) for _ in range(size)]
        self._connected: set[int] = set()
        self.sends: list[float] = []

    def run(self, seconds: float) -> None:
        """Simulate a number of seconds."""
        for _ in range(int(seconds / STEP_S)):
            self._clock.time += STEP_S
            self._change()
            self._numbers.update(sorted(self._connected), self._clock.now())
            for node in self._connected:
                number = self._numbers.number_of(node)
                self._limits[node].set_number(number, self._numbers.count, self._clock.now())
            for limit in self._limits:
                self._send_all(limit)

    def _change(self) -> None:
        chance = self._rng.random()
        if chance < 0.3:
            self._connected ^= {self._rng.randrange(len(self._limits))}
        elif chance < 0.32:
            self._connected = set()
        elif chance < 0.36:
            self._numbers = NodeNumbers(self._clock.now())

    def _send_all(self, limit: ColdRateLimit) -> None:
        while self._rng.random() < 0.7 and limit.allows("u", COLD_PER_S):
            limit.note_sent("u")
            self.sends.append(self._clock.now())


@pytest.mark.parametrize("size", [8, 12, 40])
def test_nodes_that_come_and_go_keep_within_the_bound_in_any_second(size):
    most = 0
    for seed in range(60):
        nodes = NumberedNodes(size, seed)
        nodes.run(30)
        most = max(most, max_per_second(nodes.sends))
    assert 0 < most <= BOUND


# Guards against requests that are forgotten a second after they were sent, though a cold upstream
# that stood still reads them all at once.
@pytest.mark.parametrize("silent_s", [1.0, 1.3, 3.0])
@pytest.mark.parametrize("gives_up", [False, True])
def test_cold_upstream_that_stands_still_gets_no_more_than_the_bound_at_once(silent_s, gives_up):
    clock = SettableClock()
    limits = [ColdRateLimit(BOUNDS, clock, EventLog("node")) for _ in range(6)]
    unread, arrivals = [], []
    goes_on_at = clock.time + silent_s
    while clock.time < goes_on_at + 3:
        for number, limit in enumerate(limits):
            limit.set_number(number, len(limits), clock.now())
            if limit.allows("u", COLD_PER_S):
                charge = limit.note_sent("u")
                unread.append(charge)
                if gives_up:
                    charge.note_abandoned()
        if clock.time >= goes_on_at:
            arrivals += [clock.time] * len(unread)
            for charge in unread:
                charge.note_arrived()
            unread.clear()
        clock.time += STEP_S
    assert 0 < max_per_second(arrivals) <= BOUND


def test_node_without_a_number_sends_nothing_and_numbers_lapse():
    clock = SettableClock()
    limit = ColdRateLimit(BOUNDS, clock, EventLog("node"))
    assert not limit.allows("u", COLD_PER_S)
    limit.set_number(3, 3, clock.now())
    assert not limit.allows("u", COLD_PER_S)
    limit.set_number(0, 3, clock.now())
    assert limit.allows("u", COLD_PER_S)
    clock.time += NUMBER_VALID_S + 0.1
    assert not limit.allows("u", COLD_PER_S)


def test_numbers_are_kept_and_free_ones_are_used_again():
    numbers = NodeNumbers(0.0)
    numbers.update(["a", "b", "c"], 3.0)
    assert numbers.count == 0
    numbers.update(["a", "b", "c"], 4.0)
    numbers.update(["b", "c", "d"], 5.0)
    assert numbers.number_of("d") == numbers.count
    numbers.update(["b", "c", "d"], 8.0)
    assert [numbers.number_of(name) for name in "bcd"] == [2, 3, 1]


def test_cold_time_counts_from_the_latest_change_of_a_row():
    host = Upstream("u", "s", Address("10.0.0.1", 80), "hall", cold_s=5.0)
    directory = UpstreamDirectory()
    directory.replace_all(1, [host], observed_at=10.0)
    assert directory.apply_report(replace(host, pace=2.0), as_of=13.0)
    directory.replace_all(2, [replace(host, pace=2.0)], observed_at=14.0)
    assert directory.cold_ids(14.9) == {"u"}
    assert not directory.cold_ids(15.1)
    directory.apply(ListChange(3, [replace(host, cold_s=8.0)], []), observed_at=16.0)
    assert directory.cold_ids(23.9) == {"u"}
    directory.apply(ListChange(4, [replace(host, cold_s=0.0)], []), observed_at=17.0)
    assert not directory.cold_ids(17.0)


def test_cold_hall_keeps_within_the_bound_and_the_others_take_the_rest():
    async def test(world):
        await start_cold_world(world)
        cold, warm = heads_in(world, "hall-b"), heads_in(world, "hall-a")
        for host in world.fabric.hosts.values():
            if host.upstream.hall == "hall-b":
                host.turn_cold(COLD_S)
        await asyncio.sleep(ROW_PROPAGATION_S)
        started_at, statuses = world.clock.now(), []
        await send_to_all_nodes(world, 5, statuses)
        arrivals = Arrivals(world)
        arrivals.check(cold, started_at)
        assert set(statuses) == {200}
        # Cold heads are used within the bound.
        assert all(len(arrivals.at(u, started_at)) > 0 for u in cold)
        assert all(max_per_second(arrivals.at(u, started_at)) > BOUND for u in warm)
        metrics = [node.metrics.registry for node in world.nodes.values()]
        withheld = [m.get_sample_value("mulleinreach_gateway_cold_withheld_total") for m in metrics]
        # A node with a quota of 0 for the head withholds every request.
        assert max(withheld) > 0

    run_world(test, **WORLD)


@pytest.mark.parametrize("fault", ["killed", "cut"])
def test_bound_holds_while_the_coordinator_is_replaced(fault):
    async def test(world):
        await start_cold_world(world)
        for host in world.fabric.hosts.values():
            host.turn_cold(COLD_S)
        await asyncio.sleep(ROW_PROPAGATION_S)
        started_at, cold, statuses = world.clock.now(), heads_in(world), []
        sending = asyncio.create_task(send_to_all_nodes(world, 9, statuses))
        await asyncio.sleep(2)
        first = world.coordinator()
        if fault == "killed":
            await world.kill_node(first)
        else:
            others = [name for name in world.nodes if name != first]
            for away in (first, *others[:2]):
                block_store_access(world.nodes[away])
                for other in others[2:]:
                    world.links.cut_both(away, other)
        await sending
        assert world.coordinator() not in (None, first)
        Arrivals(world).check(cold, started_at)
        assert {200, 503} == set(statuses)

    run_world(test, **WORLD)


def test_numbers_lapse_at_a_coordinator_that_another_one_may_have_replaced():
    async def test(world):
        await start_cold_world(world)
        first = world.coordinator()
        block_store_access(world.nodes[first])
        for other in world.nodes:
            if other != first:
                world.links.cut_both(first, other)
        await asyncio.sleep(10)
        allowing = [n for n, node in world.nodes.items() if node.cold_limit.allows("u", COLD_PER_S)]
        assert first not in allowing
        assert allowing

    run_world(test, **WORLD)


def test_numbers_stay_valid_while_no_node_can_reach_the_store():
    async def test(world):
        await start_cold_world(world)
        world.store.is_down = True
        await asyncio.sleep(10)
        limits = [node.cold_limit for node in world.nodes.values()]
        assert sum(limit.allows("u", COLD_PER_S) for limit in limits) == int(BOUND / 2)

    run_world(test, **WORLD)


def test_hall_taken_back_counts_as_cold_without_a_cold_row():
    async def test(world):
        await start_cold_world(world)
        hosts = [h for h in world.fabric.hosts.values() if h.upstream.hall == "hall-b"]
        world.evacuate("hall-b")
        await asyncio.sleep(BOUNDS.evacuation_s + 1)
        for host in hosts:
            host.turn_cold(COLD_S, is_told=False)
        started_at, statuses = world.clock.now(), []
        sending = asyncio.create_task(send_to_all_nodes(world, 6, statuses))
        await asyncio.sleep(0.5)
        world.take_back("hall-b")
        await sending
        arrivals = Arrivals(world)
        assert any(arrivals.at(host.id, started_at) for host in hosts)
        arrivals.check([host.id for host in hosts], started_at)
        assert set(statuses) == {200}

    run_world(test, **WORLD)


def test_late_request_without_an_eligible_head_is_refused_at_once():
    async def test(world):
        await start_cold_world(world)
        for _ in range(4):
            await asyncio.gather(*(world.stream(1, deadline_s=8.0) for _ in range(MIN_WAITS)))
        for host in world.fabric.hosts.values():
            host.turn_cold(COLD_S)
        await asyncio.sleep(ROW_PROPAGATION_S + RATE_WINDOW_S)
        refused = 0
        for _ in range(12):
            asked_at = world.clock.now()
            answer = await world.stream(1, deadline_s=6.0)
            # No request waits until its node may send to a cold head again.
            assert world.clock.now() - asked_at < 0.1
            if answer.status == 503:
                refused += 1
                assert float(answer.headers["Retry-After"]) > 0
        assert refused > 0

    run_world(test, **WORLD)


def test_bound_holds_for_retries_and_for_plain_services():
    async def test(world):
        world.store.put(CONFIGURATION, NEWEST, cold_configuration())
        arrivals: dict[str, list[float]] = {"desk-1": [], "desk-2": []}

        def failing(times: list[float]):
            async def note_and_fail(request):
                times.append(world.clock.now())
                return await fail(request)

            return note_and_fail

        for name in arrivals:
            plain = await world.add_plain(name, failing(arrivals[name]))
            world.store.put(UPSTREAMS, name, replace(plain.upstream, cold_s=COLD_S))
        await asyncio.sleep(5)
        requests = []
        for _ in range(30):
            for node in world.nodes:
                requests.append(
                    asyncio.create_task(world.call("/stock/1", node=node, method="GET"))
                )
            await asyncio.sleep(0.1)
        await asyncio.gather(*requests)
        for times in arrivals.values():
            assert 0 < max_per_second(times) <= BOUND

    run_world(test, nodes=6, domains=0, bounds=BOUNDS)


def test_service_without_a_bound_uses_cold_upstreams_as_before():
    async def test(world):
        plain = await world.add_plain("desk", echo_path)
        world.store.put(UPSTREAMS, "desk", replace(plain.upstream, cold_s=COLD_S))
        await asyncio.sleep(2)
        answers = await asyncio.gather(*(world.call("/order/1") for _ in range(30)))
        assert {answer.status for answer in answers} == {200}

    run_world(test, domains=0)
