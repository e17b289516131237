"""Tests for groups with a draining member."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.fleet.retirements import RetirementReason
from mulleinreach.gateway.fleet.tests.test_fleet import member_of
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE

# A stream sends an event every 0.04 s.
EVENTS_IN_TWO_SECONDS = 50


@pytest.mark.parametrize("rank", [0, 2])
def test_streams_of_a_group_with_a_draining_member_finish_there(rank):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        streams = [asyncio.create_task(world.stream(EVENTS_IN_TWO_SECONDS)) for _ in range(12)]
        await asyncio.sleep(0.5)
        leaving = member_of(world, LARGE, rank)
        leaving.drain()
        answers = await asyncio.gather(*streams)
        assert all(len(answer.event_ids) == EVENTS_IN_TWO_SECONDS for answer in answers)
        assert all(len(hosts) == 1 for hosts in world.fabric.checks.runs.values())

    run_world(test)


def test_group_with_a_draining_member_is_formed_again_without_it():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        streams = asyncio.create_task(world.stream(EVENTS_IN_TWO_SECONDS))
        await asyncio.sleep(0.3)
        leaving = member_of(world, LARGE, rank=1)
        head = leaving.standing.members[0]
        leaving.drain()
        await asyncio.sleep(0.4)
        for node in world.nodes.values():
            heads = node.chooser.heads(MODEL_SERVICE, LARGE)
            assert head not in [known.upstream.id for known in heads]
        await asyncio.sleep(3)
        assert world.open_groups(LARGE) == 2
        for host in world.fabric.hosts.values():
            if host is not leaving and host.standing is not None:
                assert leaving.id not in host.standing.members
        await streams

    run_world(test)


def test_endless_stream_does_not_hold_a_draining_member():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        endless = [asyncio.create_task(world.stream(10_000, deadline_s=60)) for _ in range(8)]
        await asyncio.sleep(0.5)
        leaving = member_of(world, LARGE, rank=1)
        leaving.drain()
        await asyncio.sleep(5)
        standing = leaving.standing
        assert standing is None or world.fabric.hosts[standing.members[0]].standing is not standing
        assert world.open_groups(LARGE) == 2
        for task in endless:
            task.cancel()
        await asyncio.gather(*endless, return_exceptions=True)

    run_world(test)


def test_head_of_a_retiring_group_that_is_gone_is_not_excluded_forever():
    async def test(world):
        await world.until_formed()
        hosts = world.nodes[world.coordinator()].hosts
        head, reason = hosts.get("host-0-0"), RetirementReason.MEMBER_DRAINS
        hosts.retirements.begin(("a group that is gone", 1), head, reason)
        await asyncio.sleep(1)
        assert [retirement.head for retirement in hosts.retirements.current()] == ["host-0-0"]
        await asyncio.sleep(8)
        assert hosts.retirements.current() == []

    run_world(test)
