"""Hosts' own reports are delayed and must not overwrite newer state."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from mulleinreach.gateway.tests.support import request_streams_forever, run_world
from mulleinreach.gateway.upstream import UpstreamState
from mulleinreach.standins.gateway.hosts import REPORT_LAG_S
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE


def _open_head(world):
    """Return the host that is the head of an open group."""
    head = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, LARGE)[0]
    return world.fabric.hosts[head.upstream.id]


def test_report_from_before_a_host_left_its_group_is_discarded():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        host = _open_head(world)
        known = coordinator.hosts.get(host.id)
        as_of = world.clock.now()
        await asyncio.sleep(0.01)
        host.leave(*known.group_key)
        await asyncio.sleep(REPORT_LAG_S)
        assert not coordinator.directory.apply_report(known, as_of)
        assert coordinator.directory.get(host.id).group_key != known.group_key

    run_world(test)


def test_report_leaves_the_drain_state_unchanged():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        directory = world.nodes[world.coordinator()].directory
        host = _open_head(world)
        report = directory.get(host.id)
        host.drain()
        await asyncio.sleep(0.2)
        assert directory.apply_report(replace(report, pace=2.0), world.clock.now())
        assert directory.get(host.id).state is UpstreamState.DRAINING

    run_world(test)


def test_group_is_formed_again_without_a_retry_after_a_member_fails():
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        coordinator = world.nodes[world.coordinator()]
        not_joined = []
        log_event = coordinator.log.event

        def event(name, **fields):
            if name == "group_not_joined":
                not_joined.append(fields)
            log_event(name, **fields)

        coordinator.log.event = event
        host = _open_head(world)
        lost = world.fabric.hosts[host.standing.members[2]]
        traffic = asyncio.create_task(request_streams_forever(world, LARGE))
        await asyncio.sleep(1)
        host_failure = asyncio.create_task(lost.die())
        await asyncio.sleep(3)
        await world.until(lambda: world.open_groups(LARGE) == 2)
        traffic.cancel()
        await host_failure
        assert not_joined == []

    run_world(test)
