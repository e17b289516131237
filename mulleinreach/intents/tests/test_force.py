"""Random check of the built rule for configurations in force.

The objects under test are the real :class:`ConfigInForce` of five nodes; table,
links, crashes and pauses are played in ticks of a tenth of a second. From the
moment at which any node calls a version accepted, no node may be ready to serve
by a lower one. Each part of the rule is also left out, to show that the check
finds what that part is for.
"""

import random
from dataclasses import dataclass, field

import pytest

from mulleinreach.common import EventLog
from mulleinreach.intents import CONFIG_KEY, ConfigDocument, ConfigInForce
from mulleinreach.stores import Row

NODES = [f"n{number}" for number in range(5)]
TICK_S = 0.1
FRESH_S = 1.0
TICKS = 400
MAX_DELAY = 6
NEVER = float("-inf")


class FakeClock:
    """A clock that the test moves."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class FakeCache:
    """What ``ConfigInForce`` uses of the cache of the table."""

    def __init__(self):
        self.read_at = NEVER
        self.listeners = []
        self._row = Row(CONFIG_KEY, 0, None)

    @property
    def was_read(self):
        return self.read_at != NEVER

    def get(self, key):
        return self._row

    def take(self, document, asked_at):
        self._row = Row(CONFIG_KEY, document.version, document.model_dump(mode="json"))
        self.read_at = max(self.read_at, asked_at)
        for listener in self.listeners:
            listener()


class Process:
    """One life of a node; a crash makes a new one."""

    def __init__(self, name, clock):
        self.cache = FakeCache()
        self.force = ConfigInForce(
            name, self.cache, clock, EventLog(name), FRESH_S, 0.02, lambda node: False
        )


@dataclass
class Play:
    """One random run; ``broken`` leaves out a part of the rule."""

    rng: random.Random
    broken: str = ""
    clock: FakeClock = field(default_factory=FakeClock)
    mail: list = field(default_factory=list)
    up: dict = field(default_factory=dict)
    paused: dict = field(default_factory=dict)
    accepted: int = 0
    served: int = 0
    table: ConfigDocument = field(default_factory=ConfigDocument.empty)

    def __post_init__(self):
        self.table = self.table.next("first")
        self.nodes = {name: self.new_process(name) for name in NODES}

    def new_process(self, name):
        process = Process(name, self.clock)
        if self.broken == "no-wait":
            process.force._wait_s = 0.0
        if self.broken == "no-majority":
            process.force.missing_voters = list
        if self.broken == "amnesia":
            process.force.vouches = lambda: True
        return process

    def run(self):
        for tick in range(TICKS):
            self.clock.time = tick * TICK_S
            if tick % 15 == 0:
                self.change_weather()
            self.crash_or_pause()
            self.confirm()
            for name in NODES:
                if self.clock.time >= self.paused.get(name, 0):
                    self.ask(name)
            self.deliver(tick)
            self.check()

    def change_weather(self):
        bad = self.rng.choice([0.0, 0.1, 0.5, 0.8])
        table_down = self.rng.random() < 0.3
        for name in NODES:
            self.up[name, "table"] = not table_down and self.rng.random() > bad
            for other in NODES:
                self.up[name, other] = self.rng.random() > bad

    def crash_or_pause(self):
        if self.rng.random() < 0.06:
            name = self.rng.choice(NODES)
            self.nodes[name] = self.new_process(name)
        if self.rng.random() < 0.03:
            name = self.rng.choice(NODES)
            self.paused[name] = self.clock.time + self.rng.uniform(0, 3)

    def confirm(self):
        """An operator confirms, or voters change, at a node that may write."""
        if self.rng.random() > 0.1:
            return
        name = self.rng.choice(NODES)
        force = self.nodes[name].force
        if force.version != self.table.version or not self.up[name, "table"]:
            return
        if force.acceptance().accepted:
            voters = sorted(self.rng.sample(NODES, self.rng.choice([3, 5])))
            self.table = self.table.next("change", voters=voters)

    def ask(self, name):
        now, process = self.clock.time, self.nodes[name]
        if self.rng.random() < 0.5 and self.up[name, "table"]:
            self.send(name, process, "table", now)
        peer = self.rng.choice([n for n in NODES if n != name])
        if self.up[name, peer] and self.up[peer, name]:
            self.send(name, process, peer, now)

    def send(self, name, process, target, asked_at):
        there, back = self.rng.randint(0, MAX_DELAY), self.rng.randint(0, MAX_DELAY)
        due = round(self.clock.time / TICK_S) + there
        self.mail.append((due, "ask", process, target, asked_at, back))

    def deliver(self, tick):
        due = [m for m in self.mail if m[0] <= tick]
        self.mail = [m for m in self.mail if m[0] > tick]
        for _, kind, process, target, asked_at, rest in due:
            if kind == "ask":
                self.answer(tick, process, target, asked_at, rest)
            else:
                self.take(process, target, asked_at, rest)

    def answer(self, tick, process, target, asked_at, back):
        if target == "table":
            content = self.table
        else:
            force = self.nodes[target].force
            content = (force.document, force.vouches())
        self.mail.append((tick + back, "answer", process, target, asked_at, content))

    def take(self, process, target, asked_at, content):
        if process not in self.nodes.values():
            return
        at = self.clock.time if self.broken == "receipt" else asked_at
        if target == "table":
            process.cache.take(content, at)
            return
        document, vouches = content
        if self.broken != "no-catch-up":
            process.force.learn(document)
            process.force.hear(target, document.version, vouches, at)
        else:
            process.force.hear(target, process.force.version, vouches, at)

    def check(self):
        for process in self.nodes.values():
            if process.force.version and process.force.acceptance().accepted:
                self.accepted = max(self.accepted, process.force.version)
        for name, process in self.nodes.items():
            if self.clock.time >= self.paused.get(name, 0) and process.force.is_fresh():
                self.served += 1
                assert process.force.version >= self.accepted, f"{name} is behind"


def test_no_node_serves_below_an_accepted_version():
    versions = served = 0
    for seed in range(300):
        play = Play(random.Random(seed))
        play.run()
        versions += play.accepted
        served += play.served
    assert versions > 600
    assert served > 300 * TICKS * len(NODES) * 0.2


@pytest.mark.parametrize("broken", ["no-wait", "no-majority", "receipt", "no-catch-up", "amnesia"])
def test_each_part_of_the_rule_is_needed(broken):
    for seed in range(3000):
        try:
            Play(random.Random(seed), broken).run()
        except AssertionError:
            return
    pytest.fail(f"no run of 3000 shows what the rule without {broken!r} breaks")
