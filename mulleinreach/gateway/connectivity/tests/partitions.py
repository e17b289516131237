"""Partitions nodes from upstreams, and counts what callers' first tries get."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import GatewayWorld
from mulleinreach.standins.links import Partition

# The service's rule counts from this time after the beginning of a partition.
CONTACT_S = 3.0
OBJECTIVE_S = 0.5
TRY_INTERVAL_S = 0.25


def upstream_names(world: GatewayWorld) -> list[str]:
    """Return the names of all upstreams of a world on its links."""
    return [*world.fabric.hosts, *world.plain]


def partition_nodes(
    world: GatewayWorld,
    nodes: Iterable[str],
    kind: Partition,
    upstreams: Collection[str] | None = None,
) -> None:
    """Partition nodes from upstreams, from all by default."""
    for node in nodes:
        world.links.partition(node, upstream_names(world) if upstreams is None else upstreams, kind)


@dataclass
class Tries:
    """First tries at some nodes: how they were answered, and after how many seconds."""

    statuses: list[int] = field(default_factory=list)
    times_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """The share of tries that were served."""
        return self.statuses.count(200) / len(self.statuses)

    @property
    def in_time_share(self) -> float:
        """The share of tries that were served within the routes' objective."""
        pairs = zip(self.statuses, self.times_s, strict=True)
        in_time = [s for s, seconds in pairs if s == 200 and seconds <= OBJECTIVE_S]
        return len(in_time) / len(self.statuses)


async def try_for(world: GatewayWorld, nodes: Iterable[str], seconds: float) -> dict[str, Tries]:
    """Send requests of each kind to some nodes for a while; returns the tries at each node."""
    tries = {node: Tries() for node in nodes}
    running = []

    async def send(node: str, path: str, body: bytes) -> None:
        began_at = world.clock.now()
        answer = await world.call(path, body, node=node)
        tries[node].statuses.append(answer.status if not answer.is_cut else 0)
        tries[node].times_s.append(world.clock.now() - began_at)

    for _ in range(round(seconds / TRY_INTERVAL_S)):
        for node in tries:
            for path, body in (("/stream/draft", b"3"), ("/order/1", b""), ("/stock/1", b"")):
                running.append(asyncio.create_task(send(node, path, body)))
        await asyncio.sleep(TRY_INTERVAL_S)
    await asyncio.gather(*running)
    return tries


def join_tries(tries: dict[str, Tries], nodes: Iterable[str]) -> Tries:
    """Return the tries at several nodes as one."""
    chosen = [tries[node] for node in nodes]
    return Tries(
        [status for one in chosen for status in one.statuses],
        [seconds for one in chosen for seconds in one.times_s],
    )


def run_formed(test, nodes: int = 4, **options) -> None:
    """Run a test in a world with formed groups and two plain upstreams a hall."""

    async def run(world: GatewayWorld) -> None:
        for hall in world.halls:
            for number in range(2):
                await world.add_plain(f"desk-{hall}-{number}", echo_path, hall)
        await world.until_formed()
        await asyncio.sleep(2)
        await test(world)

    run_world(run, nodes=nodes, **options)
