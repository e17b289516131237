"""Hosts that end as planned, while no spare host can take their places, cost no answer."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.fleet.tests.test_fleet import member_of
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import UPSTREAMS
from mulleinreach.standins.gateway.world import LARGE

# Two groups in each domain, and no spare host.
FULL_DOMAINS = {"domains": 3, "hosts_per_domain": 6, "nodes": 3}
# An answer that breaks off can't go on elsewhere.
NO_RETRIES = DeploymentBounds(retry_ratio=0.0, retry_slack=0.0)
CALL_EVERY_S = 0.1
# A stream sends an event every 0.04 s; its route allows 8 s.
EVENTS = (10, 50, 90, 130)
LONGEST_STREAM_S = 6.0
# Longer than the announcement's propagation and the longest stream.
SERVES_ON_S = 9.0
# By then all nodes know that a host leaves, and send its group nothing more.
ANNOUNCED_S = 3.0
# A process that leaves accepts no connection, and stays while its group works.
STAYS_S = 7.0


class Streams:
    """Streams of all lengths through all nodes, and which of them weren't whole."""

    def __init__(self, world):
        self._world = world
        self._calls: list[asyncio.Task] = []
        self._calling = asyncio.create_task(self._call_for_ever())

    async def _call_for_ever(self) -> None:
        number = 0
        while True:
            names = list(self._world.nodes)
            node = names[number % len(names)]
            events = EVENTS[number % len(EVENTS)]
            self._calls.append(asyncio.create_task(self._call(node, events)))
            number += 1
            await asyncio.sleep(CALL_EVERY_S)

    async def _call(self, node: str, events: int) -> str | None:
        answer = await self._world.stream(events, node=node)
        if answer.status == 200 and len(answer.event_ids) == events and not answer.is_cut:
            return None
        return f"{answer.status} with {len(answer.event_ids)} of {events} events"

    async def end(self) -> list[str]:
        """Send no more, and return what was wrong with any."""
        self._calling.cancel()
        return [wrong for wrong in await asyncio.gather(*self._calls) if wrong]


async def begin(world) -> Streams:
    """Wait for the groups, and begin to send streams."""
    await world.until_formed()
    await asyncio.sleep(3)
    streams = Streams(world)
    await asyncio.sleep(LONGEST_STREAM_S)
    return streams


async def leave(host) -> None:
    """End a host some time after it has announced that."""
    host.drain()
    await asyncio.sleep(SERVES_ON_S)
    await host.die()


# Guards against streams that are cut as a member goes of which no spare host took the place.
@pytest.mark.parametrize("rank", [0, 1, 3])
def test_announced_end_of_a_member_without_a_substitute_cuts_no_stream(rank):
    async def test(world):
        streams = await begin(world)
        await leave(member_of(world, LARGE, rank))
        assert await streams.end() == []

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against announced ends that are forgotten with the coordinator that saw them.
@pytest.mark.parametrize("after_s", [1.0, 4.0])
def test_announced_end_cuts_no_stream_beside_a_new_coordinator(after_s):
    async def test(world):
        streams = await begin(world)
        leaving = asyncio.create_task(leave(member_of(world, LARGE, 1)))
        await asyncio.sleep(after_s)
        old = world.coordinator()
        await world.nodes.pop(old).stop()
        await leaving
        assert await streams.end() == []

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against streams that are sent to groups which are known to end, one after the other.
def test_announced_ends_of_two_groups_in_turn_cut_no_stream():
    async def test(world):
        streams = await begin(world)
        first = member_of(world, LARGE, 1)
        group = first.standing.group
        leaving = asyncio.create_task(leave(first))
        await asyncio.sleep(1.0)
        heads = [
            host
            for host in world.fabric.hosts.values()
            if host.standing and host.standing.model == LARGE and host.standing.group != group
        ]
        await leave(heads[0])
        await leaving
        assert await streams.end() == []

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against an order that cuts what a head still answers, since a member that leaves as planned
# accepts no connection any more.
@pytest.mark.parametrize("is_announced", [True, False])
def test_member_that_stops_listening_while_its_group_works_cuts_no_stream(is_announced):
    async def test(world):
        streams = await begin(world)
        host = member_of(world, LARGE, 2)
        if is_announced:
            host.drain()
        else:
            host.is_cut = True
            world.store.put(UPSTREAMS, host.id, None)
        await asyncio.sleep(2.5)
        world.links.refuse(host.id)
        if is_announced:
            world.store.put(UPSTREAMS, host.id, None)
            host.is_cut = True
        await asyncio.sleep(STAYS_S)
        await host.die()
        assert await streams.end() == []

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against hosts that serve nobody until the member goes that their group can't do without.
def test_group_of_a_leaving_member_frees_its_other_hosts_once_it_is_idle():
    async def test(world):
        streams = await begin(world)
        leaving = member_of(world, LARGE, 1)
        standing = leaving.standing
        head = world.fabric.hosts[standing.members[0]]
        leaving.drain()
        await asyncio.sleep(SERVES_ON_S)
        # Once its head has left a group, its members may join another one.
        assert head.standing is None or head.standing.group != standing.group
        assert await streams.end() == []

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against nodes that send to groups which are known to end, since no coordinator tells them.
def test_nodes_that_hear_no_coordinator_avoid_groups_that_may_end():
    async def test(world):
        streams = await begin(world)
        host = member_of(world, LARGE, 1)
        head = host.standing.members[0]
        for name in list(world.nodes):
            for other in world.nodes:
                if name < other:
                    world.links.cut_both(name, other)
        host.drain()
        await asyncio.sleep(SERVES_ON_S)
        runs_before = dict(world.fabric.checks.runs)
        await asyncio.sleep(1.0)
        runs = [run for run in world.fabric.checks.runs if run not in runs_before]
        ran_at = {each for run in runs for each in world.fabric.checks.runs[run]}
        assert ran_at and head not in ran_at
        await streams.end()

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against a sound group that is dissolved under its answers, since a member missed a probe.
def test_member_that_is_taken_for_lost_while_its_group_works_cuts_no_stream():
    async def test(world):
        streams = await begin(world)
        host = member_of(world, LARGE, 2)
        standing = host.standing
        world.nodes[world.coordinator()].hosts.mark_lost(host.id, is_refused=True)
        await asyncio.sleep(3.0)
        assert host.standing is standing
        assert await streams.end() == []

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


# Guards against groups that a new coordinator retires for a member that only left the list.
@pytest.mark.parametrize("after_s", [0.5, 1.0, 1.5])
def test_member_that_only_left_the_list_retires_no_group_at_a_new_coordinator(after_s):
    async def test(world):
        streams = await begin(world)
        member_of(world, LARGE, 1).cut_from_list()
        await asyncio.sleep(after_s)
        stopping = asyncio.create_task(world.nodes.pop(world.coordinator()).stop())
        # Beyond the announcement's propagation, and within the new coordinator's grace period.
        await asyncio.sleep(2.4 - after_s)
        successor = world.nodes[world.coordinator()]
        assert successor.hosts.is_in_grace_period()
        assert successor.hosts.retirements.current() == []
        assert await streams.end() == []
        await stopping

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)


async def end_once_idle(world, host) -> None:
    """End a host that leaves, once the head of its group has answered all that it had."""
    head = world.fabric.hosts[host.standing.members[0]]
    await asyncio.sleep(ANNOUNCED_S)
    while head.running:
        await asyncio.sleep(0.01)
    world.links.refuse(host.id)
    host.crash()
    world.store.put(UPSTREAMS, host.id, None)


# Guards against requests to a group whose member has left as announced, since a new coordinator
# doesn't know that the group had retired.
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.3])
def test_member_that_has_left_as_announced_cuts_no_stream_beside_a_new_coordinator(after_s):
    async def test(world):
        streams = await begin(world)
        host = member_of(world, LARGE, 1)
        host.drain()
        await end_once_idle(world, host)
        await asyncio.sleep(after_s)
        stopping = asyncio.create_task(world.nodes.pop(world.coordinator()).stop())
        await asyncio.sleep(LONGEST_STREAM_S)
        assert await streams.end() == []
        await stopping

    run_world(test, **FULL_DOMAINS, bounds=NO_RETRIES)
