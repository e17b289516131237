"""Runs a test against a whole gateway deployment on the virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from mulleinreach.gateway.ports import Unavailable
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


def block_store_access(node) -> None:
    """Have the store refuse all calls of one node."""
    for port in (node.ports.lease, node.ports.configurations, node.ports.upstreams):
        for name in ("read", "write", "wait"):
            if hasattr(port, name):
                setattr(port, name, return_unavailable)


def restore_store_access(node) -> None:
    """Have the store answer a node that it has turned away."""
    for port in (node.ports.lease, node.ports.configurations, node.ports.upstreams):
        for name in ("read", "write", "wait"):
            vars(port).pop(name, None)


async def return_unavailable(*args) -> Unavailable:
    """Answer a call as the store does for a node that it turns away."""
    return Unavailable("turned away")


async def request_streams_forever(world: GatewayWorld, model: str) -> None:
    """Ask for streams for ever, as the callers do whose silence shows a loss."""
    running = set()
    while True:
        running.add(asyncio.create_task(world.stream(20, model=model)))
        running = {task for task in running if not task.done()}
        await asyncio.sleep(0.2)
