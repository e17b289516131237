"""Tests that stale state of groups does not cause endless requests or orders."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from mulleinreach.gateway.fleet.formation import JoinOutcome
from mulleinreach.gateway.ports import Accepted
from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import Membership, MemberState
from mulleinreach.standins.gateway.store import UPSTREAMS
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE


def test_head_that_rejects_two_requests_as_misdirected_is_excluded_until_it_reopens():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        node = world.nodes["node-0"]
        head = node.chooser.heads(MODEL_SERVICE, LARGE)[0]
        for refusals in (1, 2):
            node.chooser._last_chosen[head.upstream.id] = head
            node.chooser.note_misdirected(head.upstream.id)
            ids = [known.upstream.id for known in node.chooser.heads(MODEL_SERVICE, LARGE)]
            assert (head.upstream.id in ids) == (refusals < 2)
        opened_anew = replace(head, epoch=head.epoch + 1)
        node.chooser.set_coordinator_heads([opened_anew], frozenset())
        assert opened_anew in node.chooser.heads(MODEL_SERVICE, LARGE)

    run_world(test)


def test_ineffective_end_orders_are_repeated_with_increasing_delay():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        head = coordinator.chooser.heads(MODEL_SERVICE, LARGE)[0].upstream
        host = world.fabric.hosts[head.id]
        orders = []

        async def leave(host, group, epoch, token):
            orders.append(world.clock.now())
            return Accepted()

        world.fabric.leave = leave
        # Polls the list at the high rate used while groups are formed, so that the stale row
        # is received before the host is used elsewhere.
        coordinator.operator._quick_waits = 1
        stale = host.describe()
        host.report = lambda: stale
        coordinator.hosts.mark_ended(Group(*head.group_key, {}), None)
        for _ in range(400):
            await asyncio.sleep(0.05)
            world.store.put(UPSTREAMS, head.id, stale)
        assert len(orders) <= 6

    run_world(test, domains=1)


def test_leave_of_a_group_that_a_host_is_not_in_frees_it_from_no_other():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        head = coordinator.chooser.heads(MODEL_SERVICE, LARGE)[0].upstream
        members = world.fabric.hosts[head.id].standing.members
        earlier = Group("earlier", 1)
        for rank, host in enumerate(members):
            stale = Membership("earlier", 1, rank, MemberState.READY)
            row = replace(world.fabric.hosts[host].describe(), membership=stale, models=())
            world.store.put(UPSTREAMS, host, row)
            earlier.members[rank] = row
        await asyncio.sleep(0.1)
        await coordinator.operator.dissolve(earlier)
        _, outcome = await coordinator.operator.join_all(
            LARGE, [coordinator.hosts.get(head.id)], timeout_s=1.0
        )
        assert outcome is JoinOutcome.WITHHELD
        await asyncio.sleep(2)
        for host in members:
            world.fabric.hosts[host].list_again()
        await world.until(lambda: world.open_groups(LARGE) == 1)

    run_world(test, domains=1)
