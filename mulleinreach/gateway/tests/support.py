"""Runs a test against a whole gateway deployment on the virtual clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from mulleinreach.standins.gateway.world import GatewayWorld
from mulleinreach.standins.virtual import run_virtual


def run_world(test: Callable[[GatewayWorld], Awaitable[None]], **options) -> None:
    """Start a world, run ``test`` in it and end it; no check of the hosts may be broken."""

    async def run() -> None:
        world = GatewayWorld(**options)
        await world.start()
        try:
            await test(world)
            assert not world.fabric.checks.broken, world.fabric.checks.broken
        finally:
            await world.close()

    run_virtual(run())
