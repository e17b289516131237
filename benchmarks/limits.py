"""How far organisations can go over their rate while nodes share it.

The real :class:`DistributedLimiter` of nine nodes exchange demands and loans every
half second, with delays and cuts. Callers ask for three times the rate, in
patterns that move the demand about. The excess is what all nodes together admit
in a window, over the rate times the window.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from mulleinreach.admission import DistributedLimiter
from mulleinreach.admission.shares import BURST_S
from mulleinreach.common import MulleinreachError
from mulleinreach.intents import ConfigDocument, Intent

NODES = [f"n{number}" for number in range(9)]
RATE = 90.0
STEP_S = 0.01
EXCHANGE_S = 0.5
SECONDS = 60.0
WINDOWS_S = (1.0, 5.0, 10.0)
PATTERNS = ["even", "one node", "moving", "cut off"]


class StepClock:
    """A clock that the run moves."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


def make_document(rate: float = RATE, concurrency: int = 10_000) -> ConfigDocument:
    """Return a configuration of one organisation."""
    organisation = {
        "name": "shop",
        "key_sha256": ["0" * 64],
        "rate": rate,
        "concurrency": concurrency,
    }
    return ConfigDocument(version=1, intent=Intent(kind="intent", organisations=[organisation]))


@dataclass
class Exchange:
    """Nodes that admit requests and lend each other shares."""

    seed: int = 1
    clock: StepClock = field(default_factory=StepClock)
    cut: set[frozenset[str]] = field(default_factory=set)
    admitted: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.nodes = {name: DistributedLimiter(name, self.clock, 0.02) for name in NODES}
        for limits in self.nodes.values():
            limits.set_nodes(NODES)
            limits.follow(make_document())
        self._mail: list[tuple[float, int, object]] = []
        self._count = 0

    def later(self, delay_s: float, action) -> None:
        """Do something after a delay."""
        self._count += 1
        self._mail.append((self.clock.time + delay_s, self._count, action))

    def ask(self, name: str) -> None:
        """Let a caller ask ``name`` for one request, which ends at once."""
        try:
            self.nodes[name].admit("shop")
        except MulleinreachError:
            return
        self.nodes[name].finish("shop")
        self.admitted.append(self.clock.time)

    def exchange(self, asker: str, lender: str) -> None:
        """One ping and its answer, each with a delay of its own."""
        if frozenset((asker, lender)) in self.cut:
            return
        asked_at = self.clock.time
        demands = self.nodes[asker].demands()

        def lend():
            grants = self.nodes[lender].lend(asker, demands)
            take = self.nodes[asker].apply_grants
            self.later(self.rng.uniform(0, 0.3), lambda: take(lender, grants, asked_at))

        self.later(self.rng.uniform(0, 0.3), lend)

    def step(self) -> None:
        """Pass one step of time."""
        self.clock.time += STEP_S
        due = sorted(m for m in self._mail if m[0] <= self.clock.time)
        self._mail = [m for m in self._mail if m[0] > self.clock.time]
        for _, _, action in due:
            action()
        if round(self.clock.time / STEP_S) % round(EXCHANGE_S / STEP_S) == 0:
            for asker in NODES:
                for lender in NODES:
                    if asker != lender:
                        self.exchange(asker, lender)

    def targets(self, pattern: str) -> list[str]:
        """Return the nodes that callers go to now."""
        if pattern == "one node":
            return [NODES[0]]
        if pattern == "moving":
            return [NODES[int(self.clock.time / 3) % len(NODES)]]
        return NODES

    def run(self, pattern: str, seconds: float = SECONDS, load: float = 3.0) -> None:
        """Let callers ask for ``load`` times the rate for a time."""
        credit = 0.0
        while self.clock.time < seconds:
            self.step()
            if pattern == "cut off" and round(self.clock.time / STEP_S) % 400 == 0:
                chosen = self.rng.sample(NODES, 4)
                others = [n for n in NODES if n not in chosen]
                self.cut = {frozenset((a, b)) for a in chosen for b in others}
            credit += load * RATE * STEP_S
            while credit >= 1:
                credit -= 1
                self.ask(self.rng.choice(self.targets(pattern)))

    def most_in(self, window_s: float) -> int:
        """Return the most requests that were admitted in any window."""
        most = start = 0
        for end, at in enumerate(self.admitted):
            while at - self.admitted[start] >= window_s:
                start += 1
            most = max(most, end - start + 1)
        return most


def bound(window_s: float) -> float:
    """Return the most that may be admitted in a window, as docs/design/09 states it."""
    return RATE * (window_s + BURST_S) + len(NODES)


def main() -> None:
    """Print the greatest excess for each pattern and window."""
    print("pattern    admitted/rate  " + "  ".join(f"most in {w:g} s (bound)" for w in WINDOWS_S))
    for pattern in PATTERNS:
        exchange = Exchange()
        exchange.run(pattern)
        share = len(exchange.admitted) / (RATE * SECONDS)
        most = [f"{exchange.most_in(w):9d} ({bound(w):.0f})" for w in WINDOWS_S]
        print(f"{pattern:10s} {share:13.2f}  " + "  ".join(most))


if __name__ == "__main__":
    main()
