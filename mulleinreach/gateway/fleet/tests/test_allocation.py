"""Tests for moving hosts to the models whose requests queue."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.common import EventLog, VirtualClock
from mulleinreach.gateway.fleet.allocation import (
    Workload,
    allocate,
    crowded_models,
    next_move,
)
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.fleet.planner import DomainView, FreeHost, ServingGroup
from mulleinreach.gateway.fleet.rebalancing import (
    FORMING_TIMEOUT_S,
    MIN_WANTED_S,
    MOVE_COOLDOWN_S,
    HostRebalancer,
)
from mulleinreach.gateway.fleet.retirements import END_MARGIN_S, RetirementReason
from mulleinreach.gateway.model import EngineModel, EngineProfile, Service
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, SMALL
from mulleinreach.standins.virtual import run_virtual

ENGINE = EngineProfile((EngineModel(LARGE, 12), EngineModel(SMALL, 6)), slots=24)
SERVICE = Service("models", engine=ENGINE)
FEW_LARGE_MANY_SMALL = {LARGE: 23.0, SMALL: 190.0}
MANY_MOVES = 20
TIMEOUT_S = 8.0
EVEN = {LARGE: 30.0, SMALL: 60.0}


def _hosts(count: int, model: str, staged: str) -> tuple[FreeHost, ...]:
    return tuple(FreeHost(f"{model}-{n}", model, (staged,)) for n in range(count))


def _group(model: str, name: str, size: int, staged: str) -> ServingGroup:
    return ServingGroup(model, (name, 1), _hosts(size, model, staged))


def _domain(name: str, hall: str, large: int = 1, small: int = 2, staged: str = SMALL):
    groups = [_group(LARGE, f"{name}-l{n}", 12, staged) for n in range(large)]
    groups += [_group(SMALL, f"{name}-s{n}", 6, LARGE) for n in range(small)]
    free = _hosts(27 - 12 * large - 6 * small, SMALL, LARGE)
    counts = {LARGE: large, SMALL: small}
    return DomainView(name, 27, counts, {}, free, {}, hall, tuple(groups))


def _domains(**options) -> list[DomainView]:
    return [_domain(f"d{n}", f"hall-{n % 3}", **options) for n in range(6)]


def _workload(
    demand: dict[str, float], views: list[DomainView], before: frozenset[str] = frozenset()
) -> Workload:
    workload = Workload(ENGINE.slots, demand)
    return replace(workload, crowded=crowded_models(views, workload, before))


def _moves(views: list[DomainView], demand: dict[str, float]) -> list[str]:
    """Return the domains of successive moves, until no move is worthwhile."""
    workload, moved = _workload(demand, views), []
    while (move := next_move(views, views, ENGINE, workload)) is not None:
        moved.append(move.domain)
        (view,) = [view for view in views if view.name == move.domain]
        counts = {"large": view.groups[LARGE], "small": view.groups[SMALL]}
        counts[move.from_model] -= len(move.ended)
        counts[move.to_model] = move.count
        views[views.index(view)] = _domain(view.name, view.hall, **counts)
        workload = _workload(demand, views, workload.crowded)
        assert len(moved) <= MANY_MOVES
    return moved


def test_domains_move_to_the_crowded_model_until_it_is_relieved():
    moved = _moves(_domains(), FEW_LARGE_MANY_SMALL)
    assert 2 <= len(moved) <= 3


def test_remaining_groups_cover_all_halls():
    views = _domains()
    _moves(views, FEW_LARGE_MANY_SMALL)
    assert {view.hall for view in views if view.groups[LARGE]} == {"hall-0", "hall-1", "hall-2"}


def test_no_domain_moves_while_no_model_is_crowded():
    assert _moves(_domains(), EVEN) == []
    assert _moves(_domains(), {LARGE: 1.0, SMALL: 100.0}) == []


@pytest.mark.parametrize(("asked", "other"), [(SMALL, LARGE), (LARGE, SMALL)])
def test_last_groups_of_a_model_stay(asked, other):
    views = _domains()
    assert _moves(views, {asked: 500.0, other: 0.0})
    assert sum(view.groups[other] for view in views) >= 2


def test_domain_whose_hosts_hold_the_other_model_moves_first():
    views = [_domain("unready", "hall-0", staged=LARGE), _domain("ready", "hall-1")] + _domains()[
        2:
    ]
    move = next_move(views, views[:2], ENGINE, _workload(FEW_LARGE_MANY_SMALL, views))
    assert (move.domain, move.is_ready) == ("ready", True)


def test_hosts_of_a_lost_group_go_to_the_crowded_model():
    views = [_domain("d0", "hall-0", large=0)] + _domains()[1:]
    crowded = allocate(views, ENGINE, _workload(FEW_LARGE_MANY_SMALL, views))
    assert crowded["d0"] == {LARGE: 0, SMALL: 4}
    even = allocate(views, ENGINE, _workload(EVEN, views))
    assert even["d0"] == {LARGE: 1, SMALL: 2}


def test_model_that_has_nearly_lost_all_groups_is_formed_first():
    views = [_domain(f"d{n}", "hall", large=0, small=0) for n in range(2)]
    targets = allocate(views, ENGINE, _workload({LARGE: 0.5, SMALL: 190.0}, views))
    assert sum(target[LARGE] for target in targets.values()) >= 1


def test_crowded_model_goes_before_one_that_has_more_groups_and_no_requests():
    views = [_domain("d0", "hall", large=0, small=1), _domain("d1", "hall", large=1, small=1)]
    targets = allocate(views, ENGINE, _workload({LARGE: 15.0, SMALL: 0.0}, views))
    assert targets["d0"][LARGE] == 1


def _rebalancer(
    clock: VirtualClock, may_begin: bool = True, tolerates_hall_loss: bool = False
) -> HostRebalancer:
    hosts = HostRegistry(UpstreamDirectory(), clock, lambda service: TIMEOUT_S)
    return HostRebalancer(tolerates_hall_loss, hosts, lambda: may_begin, clock, EventLog("test"))


def _domains_with_moves(
    rebalancer: HostRebalancer, views: list[DomainView], demand: dict[str, float]
) -> set[str]:
    """Return the domains whose targets differ from their current groups."""
    targets = rebalancer.targets(SERVICE, views, demand)
    return {view.name for view in views if targets[view.name] != view.groups}


def test_move_begins_only_after_it_has_been_wanted_for_a_while():
    async def test():
        rebalancer = _rebalancer(VirtualClock())
        assert _domains_with_moves(rebalancer, _domains(), FEW_LARGE_MANY_SMALL) == set()
        await asyncio.sleep(MIN_WANTED_S / 2)
        assert _domains_with_moves(rebalancer, _domains(), EVEN) == set()
        await asyncio.sleep(MIN_WANTED_S)
        assert _domains_with_moves(rebalancer, _domains(), FEW_LARGE_MANY_SMALL) == set()
        await asyncio.sleep(MIN_WANTED_S)
        assert _domains_with_moves(rebalancer, _domains(), FEW_LARGE_MANY_SMALL)

    run_virtual(test())


def test_no_move_begins_while_the_lease_can_not_be_renewed():
    async def test():
        rebalancer = _rebalancer(VirtualClock(), may_begin=False)
        for _ in range(20):
            assert _domains_with_moves(rebalancer, _domains(), FEW_LARGE_MANY_SMALL) == set()
            await asyncio.sleep(MIN_WANTED_S)

    run_virtual(test())


def test_groups_retiring_for_a_move_serve_again_when_the_lease_is_lost():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        coordinator = world.nodes[world.coordinator()]
        running = [asyncio.create_task(world.stream(150)) for _ in range(8)]
        await asyncio.sleep(0.3)
        head = coordinator.chooser.heads(MODEL_SERVICE, LARGE)[0]
        coordinator.hosts.retirements.begin(
            (head.group, head.epoch), head.upstream, RetirementReason.HOSTS_MOVE
        )
        await asyncio.sleep(0.3)
        assert world.open_groups(LARGE) == 1
        world.store.is_down = True
        await asyncio.sleep(3.0)
        assert world.open_groups(LARGE) == 2
        answers = await asyncio.gather(*running)
        assert all(len(answer.event_ids) == 150 for answer in answers)

    run_world(test)


@pytest.mark.parametrize("tolerates_hall_loss", [False, True])
def test_crowded_model_gets_more_groups_where_a_whole_hall_may_be_lost(tolerates_hall_loss):
    async def test():
        rebalancer = _rebalancer(VirtualClock(), tolerates_hall_loss=tolerates_hall_loss)
        views = [_domain(f"d{n}", f"hall-{n % 3}") for n in range(12)]
        demand = {LARGE: 120.0, SMALL: 400.0}
        rebalancer.targets(SERVICE, views, demand)
        await asyncio.sleep(MIN_WANTED_S)
        assert bool(_domains_with_moves(rebalancer, views, demand)) is tolerates_hall_loss

    run_virtual(test())


def test_moves_of_a_term_that_has_ended_are_forgotten():
    async def test():
        rebalancer = _rebalancer(VirtualClock())
        rebalancer.targets(SERVICE, _domains(), FEW_LARGE_MANY_SMALL)
        await asyncio.sleep(MIN_WANTED_S)
        assert _domains_with_moves(rebalancer, _domains(), FEW_LARGE_MANY_SMALL)
        rebalancer.end_term()
        assert _domains_with_moves(rebalancer, _domains(), FEW_LARGE_MANY_SMALL) == set()

    run_virtual(test())


def test_services_move_hosts_independently():
    async def test(world):
        await world.until_formed()
        placement = world.nodes[world.coordinator()].controller._placement
        first, second = placement._rebalancer("first"), placement._rebalancer("second")
        assert placement._rebalancer("first") is first
        views = _domains()
        for _ in range(2):
            second.targets(SERVICE, [], {LARGE: 1.0})
            targets = first.targets(SERVICE, views, FEW_LARGE_MANY_SMALL)
            await asyncio.sleep(MIN_WANTED_S)
        targets = first.targets(SERVICE, views, FEW_LARGE_MANY_SMALL)
        second.targets(SERVICE, [], {LARGE: 1.0})
        assert any(targets[view.name] != view.groups for view in views)
        assert first.targets(SERVICE, views, FEW_LARGE_MANY_SMALL) == targets

    run_world(test, nodes=1)


def test_moved_hosts_stay_for_the_cooldown():
    async def test():
        rebalancer = _rebalancer(VirtualClock())
        views = [_domain(f"d{n}", "hall", large=0, small=4) for n in range(3)]
        views += [_domain(f"e{n}", "hall") for n in range(5)]
        rebalancer.targets(SERVICE, views, FEW_LARGE_MANY_SMALL)
        await asyncio.sleep(MIN_WANTED_S)
        await asyncio.sleep(TIMEOUT_S + END_MARGIN_S + FORMING_TIMEOUT_S)
        many_large = {LARGE: 200.0, SMALL: 20.0}
        rebalancer._moved_at[SMALL] = asyncio.get_running_loop().time()
        rebalancer.targets(SERVICE, views, many_large)
        await asyncio.sleep(MIN_WANTED_S)
        assert _domains_with_moves(rebalancer, views, many_large) == set()
        await asyncio.sleep(MOVE_COOLDOWN_S)
        rebalancer.targets(SERVICE, views, many_large)
        await asyncio.sleep(MIN_WANTED_S)
        assert _domains_with_moves(rebalancer, views, many_large)

    run_virtual(test())


def test_moved_hosts_move_again_to_a_model_that_is_down_to_its_reserve():
    views = [_domain(f"d{n}", "hall", large=0, small=4) for n in range(4)]
    views += [_domain(f"e{n}", "hall", large=1, small=2) for n in range(2)]
    workload = _workload({LARGE: 40.0, SMALL: 100.0}, views)
    move = next_move(views, views, ENGINE, workload, cooling_down={SMALL})
    assert (move.from_model, move.to_model) == (SMALL, LARGE)
    views[0] = _domain("d0", "hall", large=1, small=2)
    workload = _workload({LARGE: 60.0, SMALL: 100.0}, views)
    assert next_move(views, views, ENGINE, workload, cooling_down={SMALL}) is None
    assert next_move(views, views, ENGINE, workload) is not None


def test_group_under_repair_is_not_counted_as_missing():
    async def test():
        rebalancer = _rebalancer(VirtualClock())
        whole = _domains()
        small = {LARGE: 40.0, SMALL: 10.0}
        lost = _domain("d0", "hall-0", large=0)
        lost = replace(lost, free=_hosts(12, LARGE, SMALL))
        views = [lost, *whole[1:]]
        rebalancer.targets(SERVICE, views, small)
        await asyncio.sleep(MIN_WANTED_S)
        assert _domains_with_moves(rebalancer, views, small) == {"d0"}

    run_virtual(test())


def test_crowded_model_gets_more_groups_and_no_stream_is_cut():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(5)
        large, small = world.open_groups(LARGE), world.open_groups(SMALL)
        running: set[asyncio.Task] = set()
        until = world.clock.now() + 12
        while world.clock.now() < until:
            running.add(asyncio.create_task(world.stream(25, model=SMALL)))
            running.add(asyncio.create_task(world.stream(25, model=LARGE)))
            await asyncio.sleep(0.025)
            if world.clock.now() > until - 4 and len(running) > 900:
                break
        grown = world.open_groups(SMALL)
        answers = await asyncio.gather(*running)
        assert grown > small
        assert 2 <= world.open_groups(LARGE) <= large
        assert all(len(answer.event_ids) == 25 for answer in answers if answer.status == 200)
        assert all(not answer.is_cut for answer in answers)

    run_world(test, domains=4)
