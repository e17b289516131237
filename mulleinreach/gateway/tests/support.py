"""Runs tests against a simulated gateway deployment on a virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from mulleinreach.gateway.ports import Unavailable
from mulleinreach.standins.gateway.world import GatewayWorld
from mulleinreach.standins.virtual import run_virtual


def run_world(test: Callable[[GatewayWorld], Awaitable[None]], **options) -> None:
    """Run ``test`` in a simulated deployment, and assert that no check of its hosts failed."""

    async def run() -> None:
        world = GatewayWorld(**options)
        await world.start()
        try:
            await test(world)
            assert not world.fabric.checks.broken, world.fabric.checks.broken
        finally:
            await world.close()

    run_virtual(run())


def block_store_access(node) -> None:
    """Make all store calls of one node fail."""
    for port in (node.ports.lease, node.ports.configurations, node.ports.upstreams):
        for name in ("read", "write", "wait"):
            if hasattr(port, name):
                setattr(port, name, return_unavailable)


def restore_store_access(node) -> None:
    """Let a node call the store again after :func:`block_store_access`."""
    for port in (node.ports.lease, node.ports.configurations, node.ports.upstreams):
        for name in ("read", "write", "wait"):
            vars(port).pop(name, None)


async def return_unavailable(*args) -> Unavailable:
    """Return the result of a failed store call."""
    return Unavailable("turned away")


async def request_streams_forever(world: GatewayWorld, model: str) -> None:
    """Keep requesting streams, since a lost group shows only by its stalled streams."""
    running = set()
    while True:
        running.add(asyncio.create_task(world.stream(20, model=model)))
        running = {task for task in running if not task.done()}
        await asyncio.sleep(0.2)
