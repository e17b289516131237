"""Time to the first token of routing policies, on the virtual clock with fixed seeds.

Nine nodes route over 16 replicas. Each node knows loads from reports that are
half a second to a second old, corrected by its own work, and cache events that
are late and lose one in five. One replica is three times slower than the rest;
another is lost half-way and noticed after two seconds.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import sys
from dataclasses import dataclass, field

import numpy as np

from mulleinreach.common import Address, rendezvous_rank
from mulleinreach.groups.polling import ReplicaStatus
from mulleinreach.routing import Candidate, Router
from mulleinreach.routing.replicas import ReplicaLoad
from mulleinreach.standins.engine_core import (
    BLOCK_CHARS,
    CHARS_PER_TOKEN,
    EngineCore,
    EngineSpeed,
    prefix_blocks,
)
from mulleinreach.standins.virtual import run_virtual

NODES, REPLICAS, SLOTS = 9, 16, 16
SPEED = EngineSpeed(
    slots=SLOTS,
    prefill_s_per_token=0.00005,
    token_gap_s=0.01,
    batch_slowdown=0.5,
    cache_blocks=3000,
)
TOKENS = 100
SYSTEM_CHARS, TURN_CHARS = 4000, 800
# A replica's slots over the time of an answer that finds nothing cached.
CAPACITY = REPLICAS * SLOTS / (TOKENS * 0.01 * 1.5 + 0.1)
SECONDS = 30.0
REPORT_S = 0.5
CACHE_GAP = 0.2
LATE_S = 1.0
NOTICE_S = 2.0
ADDRESS = Address("10.0.0.1", 80)


@dataclass
class Ask:
    """One request: its prompt, and the text that its conversation's turns share."""

    prompt: str
    conversation: str
    system: str


class Prompts:
    """Makes prompts: turns of conversations, or texts that share nothing."""

    def __init__(self, rng: random.Random, shared: bool):
        self._rng = rng
        self._shared = shared
        self._systems = [self._text(SYSTEM_CHARS) for _ in range(10)]
        self._open: list[Ask] = []
        self._count = 0

    def _text(self, chars: int) -> str:
        return f"{self._rng.getrandbits(64):016x}" * (chars // 16)

    def next(self) -> Ask:
        """Return the next request."""
        self._count += 1
        if not self._shared:
            text = self._text(SYSTEM_CHARS + TURN_CHARS)
            return Ask(text, f"c{self._count}", text)
        if self._open and self._rng.random() < 0.75:
            last = self._open.pop(self._rng.randrange(len(self._open)))
            ask = Ask(last.prompt + self._text(TURN_CHARS), last.conversation, last.system)
        else:
            # A few large organisations: the first system prompts are far more common.
            system = self._systems[min(9, int(self._rng.expovariate(0.5)))]
            ask = Ask(system + self._text(TURN_CHARS), f"c{self._count}", system)
        if len(ask.prompt) < SYSTEM_CHARS + 10 * TURN_CHARS:
            self._open.append(ask)
        return ask


@dataclass
class NodeView:
    """What one node knows of the replicas."""

    loads: dict[str, ReplicaLoad] = field(default_factory=dict)
    evidence: dict[str, ReplicaStatus] = field(default_factory=dict)
    cached: dict[str, dict[int, None]] = field(default_factory=dict)


class Fleet:
    """The engines, and the nodes' views of them."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.engines = {f"r{number}": EngineCore(SPEED) for number in range(REPLICAS)}
        self.lost: set[str] = set()
        self.noticed: set[str] = set()
        self.views = [NodeView() for _ in range(NODES)]
        for view in self.views:
            for name in self.engines:
                view.loads[name] = ReplicaLoad()
                view.evidence[name] = ReplicaStatus(1, slots=SLOTS)
                view.cached[name] = {}

    async def report(self) -> None:
        """Give each node reports that are one interval old, for ever."""
        now = asyncio.get_running_loop().time
        while True:
            asked_at = now()
            snapshot = {
                n: (e.running, e.waiting, e.cache_log[-400:]) for n, e in self.engines.items()
            }
            await asyncio.sleep(REPORT_S)
            for view in self.views:
                for name, (running, waiting, blocks) in snapshot.items():
                    evidence = view.evidence[name]
                    evidence.running, evidence.waiting = running, waiting
                    evidence.reported_at = asked_at
                    for block in blocks:
                        if self.rng.random() > CACHE_GAP:
                            view.cached[name][block] = None
                    while len(view.cached[name]) > SPEED.cache_blocks:
                        del view.cached[name][next(iter(view.cached[name]))]

    def candidates(self, view: NodeView) -> list[Candidate]:
        """Return the replicas as a node sees them."""
        return [
            Candidate(name, 1, ADDRESS, view.loads[name].estimate(view.evidence[name]), SLOTS)
            for name in self.engines
            if name not in self.noticed
        ]


class Policy:
    """Chooses a replica; each policy is one method."""

    def __init__(self, fleet: Fleet, rng: random.Random):
        self._fleet = fleet
        self._rng = rng

    def random(self, view, candidates, ask):
        return self._rng.choice(candidates)

    def least_load(self, view, candidates, ask):
        lowest = min(c.load for c in candidates)
        return self._rng.choice([c for c in candidates if c.load == lowest])

    def conversation(self, view, candidates, ask):
        """Affinity by conversation, least load above 85% of the slots (the paper, 3.1)."""
        by_name = {c.replica: c for c in candidates}
        first = by_name[rendezvous_rank(ask.conversation, by_name)[0]]
        if first.load < 0.85 * SLOTS:
            return first
        return self.least_load(view, candidates, ask)

    def combined(self, view, candidates, ask):
        """Cached share less 1.5 times the load (the paper, 4), by cache events."""
        blocks = prefix_blocks(ask.prompt)

        def score(candidate):
            known = view.cached[candidate.replica]
            cached = 0
            while cached < len(blocks) and blocks[cached] in known:
                cached += 1
            return cached / max(1, len(blocks)) - 1.5 * candidate.load / SLOTS

        return max(candidates, key=lambda c: (score(c), self._rng.random()))

    def two_choices(self, view, candidates, ask):
        """The less loaded of two at random: reports that lag make no herd."""
        two = self._rng.sample(candidates, 2)
        return min(two, key=lambda c: c.load)

    def conversation_two(self, view, candidates, ask):
        """As ``conversation``, but spilling to the less loaded of two."""
        by_name = {c.replica: c for c in candidates}
        first = by_name[rendezvous_rank(ask.conversation, by_name)[0]]
        if first.load < 0.85 * SLOTS:
            return first
        return self.two_choices(view, candidates, ask)

    def bounded_least(self, view, candidates, ask):
        """The first version of ours: spill to the least loaded, from a bound above it."""
        by_name = {c.replica: c for c in candidates}
        least = self.least_load(view, candidates, ask)
        first = by_name[rendezvous_rank(ask.conversation, by_name)[0]]
        return first if first.load <= least.load + 0.25 * SLOTS else least

    def _walk(self, key, excess, floor, candidates):
        """Go down the key's ranking to the first that is not over the bound."""
        by_name = {c.replica: c for c in candidates}
        mean = sum(c.load for c in candidates) / len(candidates)
        bound = max(floor * SLOTS, (1 + excess) * mean)
        ranked = [by_name[name] for name in rendezvous_rank(key, by_name)]
        return next(c for c in ranked if c.load <= bound)

    def walk_25_0(self, view, candidates, ask):
        return self._walk(ask.conversation, 0.25, 0.0, candidates)

    def walk_25_50(self, view, candidates, ask):
        return self._walk(ask.conversation, 0.25, 0.5, candidates)

    def walk_25_85(self, view, candidates, ask):
        return self._walk(ask.conversation, 0.25, 0.85, candidates)

    def walk_10_50(self, view, candidates, ask):
        return self._walk(ask.conversation, 0.10, 0.5, candidates)

    def walk_50_50(self, view, candidates, ask):
        return self._walk(ask.conversation, 0.50, 0.5, candidates)

    def ours(self, view, candidates, ask):
        """What the product does."""
        choice = Router(self._rng).choose(candidates, ask.conversation)
        return choice.candidate if choice else self.two_choices(view, candidates, ask)

    def walk_system(self, view, candidates, ask):
        return self._walk(ask.system, 0.25, 0.5, candidates)


POLICIES = [
    "random",
    "least_load",
    "two_choices",
    "conversation",
    "conversation_two",
    "combined",
    "bounded_least",
    "walk_25_0",
    "walk_25_50",
    "walk_25_85",
    "walk_10_50",
    "walk_50_50",
    "walk_system",
    "ours",
]


@dataclass
class Result:
    """Times to first token in seconds; ``inf`` for requests that failed."""

    first: list[float] = field(default_factory=list)
    cached: float = 0.0
    prompt: float = 0.0


class Run:
    """One policy at one load."""

    def __init__(self, policy: str, load: float, shared: bool, seed: int):
        self.rng = random.Random(seed)
        self.fleet = Fleet(random.Random(seed + 1))
        self.choose = getattr(Policy(self.fleet, random.Random(seed + 2)), policy)
        self.prompts = Prompts(random.Random(seed + 3), shared)
        self.rate = load * CAPACITY
        self.result = Result()

    async def main(self) -> Result:
        """Send requests for ``SECONDS`` and wait for their answers."""
        loop = asyncio.get_running_loop()
        reporting = asyncio.create_task(self.fleet.report())
        self.fleet.engines["r3"].slow_factor = 3.0
        loop.call_later(SECONDS / 2, self.fleet.lost.add, "r7")
        loop.call_later(SECONDS / 2 + NOTICE_S, self.fleet.noticed.add, "r7")
        tasks = []
        while loop.time() < SECONDS:
            tasks.append(asyncio.create_task(self.request(self.prompts.next())))
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*tasks)
        reporting.cancel()
        return self.result

    async def request(self, ask: Ask) -> None:
        """Send one request, again if its replica is lost before the first token."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        view = self.rng.choice(self.fleet.views)
        while True:
            choice = self.choose(view, self.fleet.candidates(view), ask)
            load = view.loads[choice.replica]
            load.sent += 1
            try:
                if await self.attempt(
                    self.fleet.engines[choice.replica], choice.replica, ask, began
                ):
                    return
            finally:
                load.finished += 1

    async def attempt(self, engine: EngineCore, name: str, ask: Ask, began: float) -> bool:
        loop = asyncio.get_running_loop()
        if name in self.fleet.lost:
            await asyncio.sleep(NOTICE_S)
            return False
        await engine.acquire(1)
        try:
            before = len(engine.cache_log)
            await engine.prefill(ask.prompt)
            await engine.next_token()
            if name in self.fleet.lost:
                return False
            blocks = len(ask.prompt) // BLOCK_CHARS
            fresh = len(engine.cache_log) - before
            self.result.cached += max(0, blocks - fresh) * BLOCK_CHARS / CHARS_PER_TOKEN
            self.result.prompt += len(ask.prompt) / CHARS_PER_TOKEN
            self.result.first.append(loop.time() - began)
            for _ in range(9):
                await engine.next_token(TOKENS // 10)
            return True
        finally:
            engine.release()


def describe(policy: str, result: Result) -> str:
    """Return a line of figures."""
    p50, p95, p99 = np.percentile(result.first, [50, 95, 99])
    late = sum(t > LATE_S for t in result.first) / len(result.first)
    return (
        f"{policy:17s} {len(result.first):6d} {1000 * p50:7.0f} {1000 * p95:7.0f}"
        f" {1000 * p99:7.0f}  {100 * late:5.1f}  {100 * result.cached / result.prompt:5.1f}"
    )


def measure(job: tuple[str, float, bool, int]) -> Result:
    """Run one policy at one load with one seed."""
    return run_virtual(Run(*job).main())


def main() -> None:
    """Print a table for each workload and load."""
    seeds = [int(a) for a in sys.argv[1:]] or [1, 2]
    cases = [(shared, load) for shared in (True, False) for load in (0.6, 0.85, 1.1)]
    jobs = [(p, load, shared, s) for shared, load in cases for p in POLICIES for s in seeds]
    with multiprocessing.Pool() as pool:
        results = iter(pool.map(measure, jobs, chunksize=1))
    for shared, load in cases:
        kind = "share prefixes" if shared else "share nothing"
        print(f"\nprompts that {kind}, {100 * load:.0f}% of capacity")
        print("policy            answers  p50 ms  p95 ms  p99 ms  late%  cached%")
        for policy in POLICIES:
            total = Result()
            for _ in seeds:
                result = next(results)
                total.first += result.first
                total.cached += result.cached
                total.prompt += result.prompt
            print(describe(policy, total))


if __name__ == "__main__":
    main()
