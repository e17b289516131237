"""Goodput, priorities and fair shares under overload, with whole nodes on the virtual clock.

Goodput is answers that were complete within their deadline, a second.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from mulleinreach.standins.engine_core import EngineSpeed
from mulleinreach.standins.people import Caller, demo_intent
from mulleinreach.standins.virtual import run_virtual
from mulleinreach.standins.world import CALLER_KEYS, World, WorldSpec, sha256

SLOTS, REPLICAS, TOKENS = 4, 4, 10
GAP_S = 0.03
CAPACITY = SLOTS * REPLICAS / (TOKENS * GAP_S * 1.5)
DEADLINE_MS = 1500
WARM_S, SECONDS = 4.0, 16.0
SPEED = EngineSpeed(slots=SLOTS, prefill_s_per_token=0.0, token_gap_s=GAP_S)
LAGOS, IBADAN = CALLER_KEYS


@dataclass
class Outcome:
    """Answers in time, and all requests, by organisation; attempts at engines."""

    sent: Counter = field(default_factory=Counter)
    good: Counter = field(default_factory=Counter)
    attempts: int = 0

    @property
    def goodput(self) -> float:
        """Answers in time a second."""
        return sum(self.good.values()) / SECONDS


async def run(loads: dict[str, float], organisations: dict[str, dict], fail: bool) -> Outcome:
    """Offer each organisation's load, in parts of the capacity, for ``SECONDS``."""
    intent = demo_intent(REPLICAS, 4)
    intent["organisations"] = [
        {"name": n, "key_sha256": [sha256(CALLER_KEYS[n])], "rate": 1e4, "concurrency": 10_000}
        | organisations.get(n, {})
        for n in CALLER_KEYS
    ]
    world = World(WorldSpec(domains=2, hosts_per_domain=8, speed=SPEED), virtual=True)
    await world.start()
    from tests.support import Deployment

    deployment = Deployment(world)
    await world.until(lambda: all(n.directory.was_read for n in deployment.nodes))
    await deployment.apply(intent=intent)
    await deployment.until_serving(REPLICAS)
    for engine in world.engines.values():
        engine.faults.fail = fail
    outcome, rng = Outcome(), random.Random(5)
    before = sum(node.models.metrics.attempts for node in deployment.nodes)
    callers = {name: Caller(world, CALLER_KEYS[name]) for name in loads}
    tasks = [
        asyncio.create_task(_offer(world, callers[name], name, load, outcome, rng))
        for name, load in loads.items()
    ]
    await asyncio.gather(*tasks)
    outcome.attempts = sum(n.models.metrics.attempts for n in deployment.nodes) - before
    for caller in callers.values():
        await caller.close()
    await deployment.close()
    return outcome


async def _offer(world, caller, name, load, outcome, rng) -> None:
    loop = asyncio.get_running_loop()
    began, tasks = loop.time(), []
    while loop.time() < began + WARM_S + SECONDS:
        node = rng.choice(list(world.nodes.values()))
        counts = loop.time() >= began + WARM_S
        tasks.append(asyncio.create_task(_one(caller, node, name, outcome, counts, rng)))
        await asyncio.sleep(rng.expovariate(load * CAPACITY))
    await asyncio.gather(*tasks)


async def _one(caller, node, name, outcome, counts: bool, rng) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    headers = {"x-deadline-ms": str(DEADLINE_MS)}
    prompt = f"{rng.getrandbits(60)}"
    reply = await caller.complete(node, prompt, max_tokens=TOKENS, headers=headers)
    if counts:
        outcome.sent[name] += 1
        outcome.good[name] += reply.status == 200 and loop.time() - began < DEADLINE_MS / 1000


def offer(loads, organisations=None, fail=False) -> Outcome:
    """Run one case on the virtual clock."""
    return run_virtual(run(loads, organisations or {}, fail))


def main() -> None:
    """Print the cases."""
    at = {load: offer({LAGOS: load}).goodput for load in (1.0, 1.5, 3.0)}
    for load, goodput in at.items():
        print(
            f"offered {100 * load:.0f}%: {goodput:.1f} answers in time a second,"
            f" {goodput / at[1.0]:.2f} of that at 100%"
        )
    outcome = offer({LAGOS: 1.5, IBADAN: 1.5}, {LAGOS: {"weight": 3.0}, IBADAN: {"weight": 1.0}})
    share = outcome.good[LAGOS] / sum(outcome.good.values())
    print(f"weights 3 to 1, both at 150%: shares {100 * share:.1f} and {100 - 100 * share:.1f}")
    outcome = offer({LAGOS: 0.5, IBADAN: 2.5}, {LAGOS: {"priority": 0}})
    told = {n: f"{outcome.good[n]} of {outcome.sent[n]}" for n in (LAGOS, IBADAN)}
    print(f"priority 0 at 50% beside priority 1 at 250%: {told}")
    outcome = offer({LAGOS: 1.0}, fail=True)
    print(
        f"all engines fail: {outcome.attempts} attempts for {outcome.sent[LAGOS]} requests"
        f" counted after {WARM_S:g} s"
    )


if __name__ == "__main__":
    main()
