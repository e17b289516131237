"""Each model that is asked for has a group."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE, SMALL, GatewayWorld

# Hosts of a domain bear one group of the large model, or two of the small one.
SMALL_DOMAINS = {"domains": 6, "hosts_per_domain": 4, "nodes": 3}
# Covers forming groups, observing the demand, and a move with a load.
FORMED_S = 25.0


async def send_requests(world: GatewayWorld) -> None:
    """Ask for streams of both models until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            for model in (LARGE, SMALL):
                group.create_task(world.stream(20, model=model))
            await asyncio.sleep(0.1)


# Guards against domains that all choose the same model, each by itself.
def test_domains_that_bear_one_group_hold_all_models():
    async def test(world):
        sending = asyncio.create_task(send_requests(world))
        try:
            for model in (LARGE, SMALL):
                await world.until(lambda model=model: world.open_groups(model) > 0, FORMED_S)
        finally:
            sending.cancel()

    run_world(test, **SMALL_DOMAINS)
