"""A deployment on the virtual clock, for tests that drive it from the outside."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from mulleinreach.node import Node
from mulleinreach.standins.people import Caller, Operator, demo_intent
from mulleinreach.standins.virtual import run_virtual
from mulleinreach.standins.world import World, WorldSpec


class Deployment:
    """A world, with a caller and an operator at hand."""

    def __init__(self, world: World):
        self.world = world
        self.caller = Caller(world)
        self.operator = Operator(world)

    @property
    def nodes(self) -> list[Node]:
        """The nodes that run, in the order of their names' first start."""
        return list(self.world.nodes.values())

    @property
    def now(self) -> float:
        """Virtual seconds."""
        return self.world.clock.now()

    async def apply(self, **wanted):
        """Plan and confirm at the first node; returns the confirmation."""
        return await self.operator.apply(self.nodes[0], **wanted)

    async def until_serving(self, replicas: int, timeout_s: float = 60.0) -> float:
        """Wait until every node may use exactly this many replicas."""

        def all_serve() -> bool:
            names = self.world.nodes
            return all(self.world.usable("tint-model", name) == replicas for name in names)

        return await self.world.until(all_serve, timeout_s)

    def group(self, index: int = 0, node: int = 0):
        """Return a group of ``tint-model`` as a node knows it."""
        return self.nodes[node].replicas.groups("tint-model")[index]

    def holder(self) -> Node | None:
        """Return the node that holds the lease on the groups, if one does."""
        return next((n for n in self.nodes if n.lease.is_held()), None)

    async def close(self) -> None:
        """End everything."""
        await self.caller.close()
        await self.operator.close()
        await self.world.stop()


@contextlib.asynccontextmanager
async def deployed(
    spec: WorldSpec | None = None, intent: dict | None = None, replicas: int = 4
) -> AsyncIterator[Deployment]:
    """Run a deployment whose intent is in force and whose replicas serve."""
    world = World(spec or WorldSpec(), virtual=True)
    await world.start()
    deployment = Deployment(world)
    try:
        await world.until(lambda: all(n.directory.was_read for n in deployment.nodes))
        reply = await deployment.apply(intent=intent or demo_intent(replicas))
        assert reply.status == 200, reply.body
        assert reply.json["accepted"], reply.body
        await deployment.until_serving(replicas)
        # Voters are chosen once the first configuration is accepted.
        await world.until(lambda: all(n.force.document.voters for n in deployment.nodes))
        yield deployment
    finally:
        await deployment.close()


def run_deployed(
    scenario: Callable[[Deployment], Awaitable[None]],
    spec: WorldSpec | None = None,
    **options,
) -> None:
    """Run ``scenario`` against a deployment, on a virtual clock."""

    async def main() -> None:
        async with deployed(spec, **options) as deployment:
            await scenario(deployment)

    run_virtual(main())


async def gather_all(*awaitables) -> list:
    """Await all; the results in order, exceptions among them."""
    return list(await asyncio.gather(*awaitables, return_exceptions=True))
