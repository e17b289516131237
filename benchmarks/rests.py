"""How callers come back when all upstreams of a service had asked for rest at once.

Three upstreams with a bound on what they queue turn everything away for a second and ask for
three seconds of rest. Callers come back when they were told to. Compared by the share of the rest
over which the times that they are told are spread. ``python -m benchmarks.rests``; virtual clock.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from dataclasses import dataclass

from aiohttp import web

from mulleinreach.gateway.request import relay
from mulleinreach.standins.gateway.dialect import REFUSED, REQUEST_ID, RETRY_AFTER, SIGNATURE
from mulleinreach.standins.gateway.world import GatewayWorld
from mulleinreach.standins.virtual import run_virtual

SPREADS = (0.0, 0.3, 1.0, 2.0)
SEEDS = range(1, 4)
SLOTS, QUEUE, WORK_S = 6, 24, 0.05
REST_S, REFUSING_S = 3.0, 1.0
# Of what the upstreams can do.
LOADS = (0.2, 0.5, 0.8)
WARM_S, SECONDS = 2.0, 6.0
PATIENCE_S = 8.0


class BoundedDesk:
    """An upstream that works on some requests at once, queues some and turns others away."""

    def __init__(self) -> None:
        self._places = asyncio.Semaphore(SLOTS)
        self._present = 0
        self.refuses_all = False
        self.refused = 0

    async def __call__(self, request: web.BaseRequest) -> web.Response:
        """Answer a request."""
        headers = {REQUEST_ID: request.headers[REQUEST_ID]}
        if self.refuses_all or self._present >= SLOTS + QUEUE:
            self.refused += 1
            headers |= {REFUSED: "1", RETRY_AFTER: f"{REST_S:g}"}
            return web.Response(status=503, headers=headers)
        self._present += 1
        try:
            async with self._places:
                await asyncio.sleep(WORK_S)
        finally:
            self._present -= 1
        return web.Response(headers={**headers, SIGNATURE: "s"})


@dataclass
class Outcome:
    """What became of the requests of one run."""

    waits_s: list[float]
    failed: int = 0
    refused_by_upstreams: int = 0


async def ask(world: GatewayWorld, rng: random.Random, outcome: Outcome) -> None:
    """Ask until the answer is there, coming back when told to, as long as patience lasts."""
    began = world.clock.now()
    while True:
        node = rng.choice(list(world.nodes))
        answer = await world.call("/order/1", node=node, deadline_s=2.0)
        if answer.status == 200:
            outcome.waits_s.append(world.clock.now() - began)
            return
        pause_s = float(answer.headers.get(RETRY_AFTER, "0.3"))
        if world.clock.now() - began + pause_s > PATIENCE_S:
            outcome.failed += 1
            return
        await asyncio.sleep(pause_s)


async def run(seed: int, load: float) -> Outcome:
    """Offer a load for some seconds, with the upstreams' refusals in the middle."""
    world, rng, outcome = GatewayWorld(nodes=3, domains=0), random.Random(seed), Outcome([])
    await world.start()
    desks = [BoundedDesk() for _ in range(3)]
    for number, desk in enumerate(desks):
        await world.add_plain(f"desk-{number}", desk)
    await world.until(lambda: all(len(n.directory) == 3 for n in world.nodes.values()))
    await asyncio.sleep(1)
    rate = load * len(desks) * SLOTS / WORK_S
    tasks, began = [], world.clock.now()
    while (elapsed_s := world.clock.now() - began) < SECONDS:
        for desk in desks:
            desk.refuses_all = WARM_S <= elapsed_s < WARM_S + REFUSING_S
        tasks.append(asyncio.create_task(ask(world, rng, outcome)))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)
    outcome.refused_by_upstreams = sum(desk.refused for desk in desks)
    await world.close()
    return outcome


def main() -> None:
    """Print a table."""
    print("| load | spread | failed | turned away by upstreams | mean wait s | 99th of 100 s |")
    print("|---|---|---|---|---|---|")
    for load in LOADS:
        for spread in SPREADS:
            relay.RETRY_SPREAD_RATIO = spread
            outcomes = [run_virtual(run(seed, load)) for seed in SEEDS]
            waits = [wait for outcome in outcomes for wait in outcome.waits_s]
            failed = statistics.mean(outcome.failed for outcome in outcomes)
            refused = statistics.mean(outcome.refused_by_upstreams for outcome in outcomes)
            slowest = statistics.quantiles(waits, n=100)[98]
            print(
                f"| {load} | {spread} | {failed:.0f} | {refused:.0f}"
                f" | {statistics.mean(waits):.2f} | {slowest:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
