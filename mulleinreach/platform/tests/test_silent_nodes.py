"""Nodes keep the lease and observe changes although connections to the store stall."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.upstream import UpstreamState
from mulleinreach.platform.tests.platform_world import (
    BOUNDS,
    PlatformWorld,
    all_have_version,
    run_platform_world,
)

ALL_CONNECTIONS, EVEN_CONNECTIONS, ODD_CONNECTIONS = (
    slice(None),
    slice(0, None, 2),
    slice(1, None, 2),
)


@pytest.mark.parametrize("connections", [ALL_CONNECTIONS, EVEN_CONNECTIONS, ODD_CONNECTIONS])
@pytest.mark.parametrize("after_s", [0.0, 0.3, 0.6])
def test_coordinator_keeps_lease_and_nodes_observe_changes_in_time(connections, after_s):
    """The delay varies which calls are in flight when the connections stall."""

    async def test(world):
        coordinator = world.coordinator()
        leaving = next(iter(world.fabric.hosts.values()))
        await asyncio.sleep(after_s)
        world.links.silence(world.nodes, connections)
        world.configure(2)
        leaving.drain()
        configured_s = await world.until(lambda: all_have_version(world, 2))
        drained_s = configured_s + await world.until(lambda: _all_know_leaving(world, leaving.id))
        assert configured_s <= BOUNDS.config_propagation_s
        assert drained_s <= BOUNDS.leaving_propagation_s
        assert world.coordinator() == coordinator

    run_platform_world(test)


def _all_know_leaving(world: PlatformWorld, upstream_id: str) -> bool:
    known = [node.directory.get(upstream_id) for node in world.nodes.values()]
    return all(upstream.state is UpstreamState.DRAINING for upstream in known)
