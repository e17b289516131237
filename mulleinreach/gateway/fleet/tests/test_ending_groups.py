"""A group that has to end finishes the answers that can't go on at another group."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.fleet.tests.test_fleet import member_of
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, make_configuration

CALLS = 24
# A stream sends an event every 0.04 s.
EVENTS_IN_SIX_SECONDS = 150
EVENTS_IN_ELEVEN_SECONDS = 270
USUAL_TIMEOUT_S = 8.0
LONG_TIMEOUT_S = 12.0
SLOW_PACE = 9.0


def allow_one_attempt(world, timeout_s: float = USUAL_TIMEOUT_S) -> None:
    """Write a configuration whose streams can't go on at another upstream."""
    configuration = make_configuration(version=2)
    routes = tuple(
        replace(route, is_resumable=False, max_attempts=1, timeout_s=timeout_s)
        for route in configuration.routes
    )
    world.store.put(CONFIGURATION, "newest", replace(configuration, routes=routes))


async def stream_beside(
    world, trouble, events: int, after_s: float, timeout_s=USUAL_TIMEOUT_S, through=None
) -> list[int]:
    """Return how many events each of the streams got that run while ``trouble`` begins.

    Parameters
    ==========

    trouble : called with the world ``after_s`` after the start of the streams.
    through : the nodes that callers use; all nodes if it is left out.
    """
    names = through or list(world.nodes)
    calls = [
        asyncio.create_task(
            world.stream(events, node=names[number % len(names)], deadline_s=timeout_s)
        )
        for number in range(CALLS)
    ]
    await asyncio.sleep(after_s)
    await trouble(world)
    return [len(answer.event_ids) for answer in await asyncio.gather(*calls)]


async def form(world, timeout_s: float = USUAL_TIMEOUT_S) -> None:
    """Wait for the groups, and for a configuration without further attempts."""
    await world.until_formed()
    allow_one_attempt(world, timeout_s)
    await asyncio.sleep(3)


def cut_nodes_from_each_other(world) -> None:
    names = list(world.nodes)
    for first in names:
        for second in names:
            if first < second:
                world.links.cut_both(first, second)


# Guards against a group that ends under its answers as soon as an old bound has passed.
@pytest.mark.parametrize("nodes", [2, 4])
@pytest.mark.parametrize("after_s", [0.3, 1.5])
def test_retiring_group_finishes_answers_as_long_as_their_route_allows(nodes, after_s):
    async def drain(world):
        member_of(world, LARGE, 1).drain()

    async def test(world):
        await form(world, LONG_TIMEOUT_S)
        events = EVENTS_IN_ELEVEN_SECONDS
        got = await stream_beside(world, drain, events, after_s, LONG_TIMEOUT_S)
        assert got == [events] * CALLS

    run_world(test, nodes=nodes)


# Guards against a group that counts as idle since the node with its requests can't report.
@pytest.mark.parametrize("nodes", [2, 4])
@pytest.mark.parametrize("after_s", [0.3, 1.5])
def test_retiring_group_finishes_answers_of_nodes_that_the_coordinator_misses(nodes, after_s):
    async def drain_and_cut(world):
        member_of(world, LARGE, 1).drain()
        await asyncio.sleep(0.3)
        cut_nodes_from_each_other(world)

    async def test(world):
        await form(world)
        through = [name for name in world.nodes if name != world.coordinator()]
        events = EVENTS_IN_SIX_SECONDS
        got = await stream_beside(world, drain_and_cut, events, after_s, through=through)
        assert got == [events] * CALLS

    run_world(test, nodes=nodes)


# Guards against answers that are cut since a sound host of their group is silent for a second.
@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("pause_s", [0.9, 1.4])
@pytest.mark.parametrize("after_s", [0.3, 1.5])
def test_silence_of_a_host_cuts_no_answer_beside_other_groups(rank, pause_s, after_s):
    async def pause(world):
        await member_of(world, LARGE, rank).pause(pause_s)

    async def test(world):
        await form(world)
        groups = {head.group for head in _heads(world)}
        events = 100
        assert await stream_beside(world, pause, events, after_s) == [events] * CALLS
        await asyncio.sleep(2)
        assert {head.group for head in _heads(world)} == groups

    run_world(test)


# Guards against answers that are cut since their group has become slow.
@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("nodes", [2, 4])
def test_slow_group_finishes_its_answers_before_it_is_replaced(rank, nodes):
    async def slow_down(world):
        member_of(world, LARGE, rank).pace = SLOW_PACE

    async def test(world):
        await form(world)
        head, group = member_of(world, LARGE, 0), member_of(world, LARGE, rank).standing.group
        events = 20
        assert await stream_beside(world, slow_down, events, 0.3) == [events] * CALLS
        await world.until(lambda: not head.standing or head.standing.group != group, timeout_s=3)

    run_world(test, nodes=nodes)


# Guards against answers that are cut since the entry of their sound head has gone.
@pytest.mark.parametrize("nodes", [2, 4])
@pytest.mark.parametrize("after_s", [0.3, 1.5])
def test_head_that_is_off_the_list_finishes_its_answers(nodes, after_s):
    async def cut_from_list(world):
        member_of(world, LARGE, 0).cut_from_list()

    async def test(world):
        await form(world)
        head = member_of(world, LARGE, 0)
        events = EVENTS_IN_SIX_SECONDS
        assert await stream_beside(world, cut_from_list, events, after_s) == [events] * CALLS
        await world.until(lambda: head.standing is None, timeout_s=3)

    run_world(test, nodes=nodes)


# Guards against a sound group that is lost since its head's entry had gone for some seconds.
def test_head_that_is_listed_again_goes_on_serving():
    async def leave_the_list_for_a_while(world):
        head = member_of(world, LARGE, 0)
        head.cut_from_list()
        await asyncio.sleep(3)
        head.is_cut = False
        head.list_again()

    async def test(world):
        await form(world)
        groups = {head.group for head in _heads(world)}
        events = EVENTS_IN_SIX_SECONDS
        got = await stream_beside(world, leave_the_list_for_a_while, events, 0.3)
        assert got == [events] * CALLS
        await asyncio.sleep(1)
        assert {head.group for head in _heads(world)} == groups

    run_world(test)


# Guards against slower repair of a group whose requests can all go on elsewhere.
def test_group_with_a_lost_member_does_not_wait_for_requests_that_can_leave():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        calls = [asyncio.create_task(world.stream(100)) for _ in range(CALLS)]
        await asyncio.sleep(0.3)
        failing = asyncio.create_task(member_of(world, LARGE, 1).die())
        until = world.clock.now() + 3
        while world.clock.now() < until:
            assert coordinator.hosts.retirements.current() == []
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*calls)
        assert [len(answer.event_ids) for answer in answers] == [100] * CALLS
        await failing

    run_world(test)


def _heads(world) -> list:
    """Return the heads of the groups of the larger model that a node would use."""
    return next(iter(world.nodes.values())).chooser.heads(MODEL_SERVICE, LARGE)
