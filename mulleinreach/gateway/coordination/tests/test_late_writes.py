"""Writes of the lease that the store carries out seconds later make no second coordinator."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.coordination.lease import LEASE_DURATION_S
from mulleinreach.gateway.coordination.tests.test_restored_lease import watch_holders
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE

# What a renewal may take once answers come again, beside a lease that has to lapse.
REELECTION_S = 2.0


@pytest.mark.parametrize("late_s", [0.3, 1.0, 3.0])
@pytest.mark.parametrize("is_killed", [False, True])
def test_at_most_one_coordinator_while_writes_are_applied_late(late_s, is_killed):
    async def test(world):
        await world.until_formed()
        watch = asyncio.create_task(watch_holders(world))
        world.store.late_s = late_s
        await asyncio.sleep(1)
        if is_killed:
            await world.kill_node(world.coordinator() or "node-0")
        await asyncio.sleep(6)
        world.store.late_s = 0.0
        await world.until(
            lambda: world.coordinator() is not None, late_s + LEASE_DURATION_S + REELECTION_S
        )
        await asyncio.sleep(4)
        assert not watch.done(), watch.exception()
        watch.cancel()
        assert world.coordinator() is not None
        assert all(world.open_groups(LARGE, name) == 2 for name in world.nodes)

    run_world(test, nodes=4)
