"""A fleet of hosts under a script of failures, for measuring planners.

Only what a planner decides from and decides about is here: hosts that come and
go, loads under the weight store's limit, and the two measures of the brief. The
planners are the real one and two baselines, behind one method.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from mulleinreach.groups.model import GroupRecord, GroupState, HostRecord, HostUse
from mulleinreach.groups.planner import Change
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import ConfigDocument, Intent
from mulleinreach.roster.messages import HostReport
from mulleinreach.stores import Host, HostKind

HOST_LOAD_S = 90.0
LOAD_STREAMS = 16
ROLE_CHANGE_S = 2.0
LOST_AFTER_S = 3.0
BUSY_TICK_S = 4.0
IDLE_TICK_S = 60.0
BUSY_FOR_S = 40.0
DAY_S = 86_400.0


@dataclass
class Engine:
    """The engine of one host; ``weights`` is what it has loaded, and for which rank."""

    host: Host
    alive: bool = True
    down_at: float = 0.0
    incarnation: int = 1
    replica: str = ""
    epoch: int = 0
    state: str = "idle"
    last_order: str = ""
    weights: tuple = ()
    ready_at: float = 0.0
    record: HostRecord | None = None


@dataclass(frozen=True)
class Failure:
    """Hosts that go at a time, and when they come back; a pause keeps their state."""

    at: float
    hosts: tuple[str, ...]
    back_at: float
    is_pause: bool


@dataclass
class Measures:
    """Replica-seconds down, and host-seconds alive but in no serving replica."""

    downtime: float = 0.0
    stranded: float = 0.0

    def cost(self, downtime_weight: float, stranded_weight: float) -> float:
        """Return the weighted sum."""
        return downtime_weight * self.downtime + stranded_weight * self.stranded


def make_hosts(domains: int, racks: int, hosts: int) -> list[Host]:
    """Return ``domains`` of ``racks`` of ``hosts`` hosts; each domain stands in one hall."""
    made = []
    for d in range(domains):
        for r in range(racks):
            for h in range(hosts):
                name = f"d{d}r{r:02d}h{h:02d}"
                hall = f"hall{d % 3}"
                made.append(
                    Host(
                        name,
                        "10.0.0.1:80",
                        HostKind.ENGINE,
                        hall,
                        domain=f"d{d}",
                        rack=f"d{d}r{r:02d}",
                    )
                )
    return made


def make_failures(hosts: list[Host], seed: int, days: float) -> list[Failure]:
    """Return a day's script, times ``days``: single hosts, pauses, racks and a hall."""
    rng = random.Random(seed)
    names = [host.name for host in hosts]
    failures = []

    def add(count: float, pick, away, is_pause=False):
        for _ in range(round(count * days)):
            at = rng.uniform(0, days * DAY_S)
            failures.append(Failure(at, tuple(pick()), at + away(), is_pause))

    racks = sorted({host.rack for host in hosts})
    domains = sorted({host.domain for host in hosts})

    def one():
        return [rng.choice(names)]

    def rack():
        chosen = rng.choice(racks)
        return [host.name for host in hosts if host.rack == chosen]

    def hall():
        chosen = rng.choice(domains)
        return [host.name for host in hosts if host.domain == chosen]

    add(30, one, lambda: rng.lognormvariate(8.2, 0.7))
    add(40, one, lambda: rng.uniform(60, 150))
    add(60, one, lambda: rng.uniform(4, 40), is_pause=True)
    add(3, rack, lambda: rng.uniform(900, 2700))
    add(1, hall, lambda: rng.uniform(600, 1800))
    return sorted(failures, key=lambda f: f.at)


@dataclass
class Fleet:
    """The hosts, their groups, and the passing of time."""

    intent: Intent
    hosts: list[Host]
    planner: object
    failures: list[Failure]
    now: float = 0.0
    epoch: int = 0
    engines: dict[str, Engine] = field(default_factory=dict)
    groups: dict[str, GroupRecord] = field(default_factory=dict)
    queue: list[str] = field(default_factory=list)
    loading: set[str] = field(default_factory=set)
    measures: Measures = field(default_factory=Measures)
    decisions: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for host in self.hosts:
            self.engines[host.name] = Engine(host, record=HostRecord(host.name))
        self.config = ConfigDocument(version=1, intent=self.intent)
        self._moves: list[tuple[float, int, str, bool, bool]] = []
        for number, failure in enumerate(self.failures):
            for name in failure.hosts:
                self._moves.append((failure.at, number, name, False, failure.is_pause))
                self._moves.append((failure.back_at, number, name, True, failure.is_pause))
        self._moves.sort()
        self._away: dict[str, set[int]] = {name: set() for name in self.engines}
        self._busy_until = BUSY_FOR_S

    def run(self, until: float, settle_s: float = 2000.0) -> Measures:
        """Form everything first, then measure from the settled fleet to ``until``."""
        moves, self._moves = self._moves, []
        self._pass_until(settle_s)
        self.measures = Measures()
        self._moves = [(at + settle_s, *rest) for at, *rest in moves]
        self._pass_until(settle_s + until)
        return self.measures

    def _pass_until(self, end: float) -> None:
        while self.now < end:
            self._move_hosts()
            self._finish_loads()
            self._decide()
            self._advance(end)

    def _advance(self, end: float) -> None:
        tick = BUSY_TICK_S if self.now < self._busy_until else IDLE_TICK_S
        until = min(end, self.now + tick)
        if self._moves:
            until = min(until, max(self.now + 0.1, self._moves[0][0]))
        passed = until - self.now
        self._measure(passed)
        self.now = until

    def _measure(self, passed: float) -> None:
        serving = [g for g in self.groups.values() if self._is_whole(g)]
        for service in self.intent.services:
            held = sum(g.service == service.name for g in serving)
            self.measures.downtime += passed * max(0, service.replicas - held)
        used = sum(len(group.hosts) for group in serving)
        alive = sum(engine.alive for engine in self.engines.values())
        self.measures.stranded += passed * (alive - used)

    def _is_whole(self, group: GroupRecord) -> bool:
        for name in group.hosts:
            engine = self.engines[name]
            fits = (engine.replica, engine.epoch) == (group.replica, group.epoch)
            if not engine.alive or not fits or engine.state != "ready":
                return False
        return True

    def _move_hosts(self) -> None:
        while self._moves and self._moves[0][0] <= self.now:
            _, number, name, is_back, is_pause = self._moves.pop(0)
            engine = self.engines[name]
            self._busy_until = self.now + BUSY_FOR_S
            if not is_back:
                self._away[name].add(number)
                if engine.alive:
                    engine.alive, engine.down_at = False, self.now
                if not is_pause:
                    self._end_process(engine)
                continue
            self._away[name].discard(number)
            engine.alive = not self._away[name]

    def _end_process(self, engine: Engine) -> None:
        engine.incarnation += 1
        engine.replica, engine.state, engine.weights = "", "idle", ()
        engine.epoch, engine.last_order = 0, ""
        self.loading.discard(engine.host.name)
        if engine.host.name in self.queue:
            self.queue.remove(engine.host.name)

    def _finish_loads(self) -> None:
        for name in sorted(self.loading):
            engine = self.engines[name]
            if engine.alive and engine.ready_at <= self.now:
                engine.state = "ready"
                self.loading.discard(name)
                self._busy_until = self.now + BUSY_FOR_S
        while self.queue and len(self.loading) < LOAD_STREAMS:
            name = self.queue.pop(0)
            self.loading.add(name)
            self.engines[name].ready_at = self.now + HOST_LOAD_S

    def view(self) -> FleetView:
        """Return what a planner sees now."""
        hosts = {}
        for name, engine in self.engines.items():
            absent = 0.0 if engine.alive else self.now - engine.down_at
            report = HostReport(
                name,
                engine.incarnation if engine.alive else engine.record.incarnation,
                engine.replica,
                engine.epoch,
                engine.state,
                engine.last_order,
                0,
            )
            hosts[name] = HostView(
                engine.host, engine.record, report, absent, absent > LOST_AFTER_S, False
            )
        return FleetView(self.now, self.now, self.config, hosts, list(self.groups.values()))

    def _decide(self) -> None:
        self._settle()
        decision = self.planner.decide(self.view(), self.epoch, lambda group: True, 1)
        for change in decision.changes:
            self._apply(change)

    def _settle(self) -> None:
        """Free the hosts that have stopped, or come back as a new process."""
        for engine in self.engines.values():
            record = engine.record
            if record.use is HostUse.STOPPING and engine.alive:
                engine.replica, engine.state = "", "idle"
                engine.epoch = record.epoch
                engine.record = HostRecord(record.name, epoch=record.epoch)

    def _apply(self, change: Change) -> None:
        kind = change.why.partition(":")[0] if change.action == "repair" else change.action
        self.decisions[kind] = self.decisions.get(kind, 0) + 1
        self._busy_until = max(self._busy_until, self.now + BUSY_FOR_S)
        for group in change.removed:
            self.groups.pop(group.replica, None)
        if change.group is not None:
            self.groups[change.group.replica] = change.group
            if change.group.state is GroupState.DRAINING:
                return
        for record in change.hosts:
            self.epoch = max(self.epoch, record.epoch)
            engine = self.engines[record.name]
            engine.record = record
            if record.use is HostUse.MEMBER:
                self._start_load(engine, change.group)

    def _start_load(self, engine: Engine, group: GroupRecord) -> None:
        """Load weights, unless the engine holds those of the same rank."""
        name = engine.host.name
        rank = group.hosts.index(name)
        weights = (group.model, group.model_version, len(group.hosts), rank)
        engine.replica, engine.epoch = group.replica, group.epoch
        engine.last_order = engine.record.order_id
        engine.state = "loading"
        held = engine.weights == weights
        if name in self.queue:
            self.queue.remove(name)
        self.loading.discard(name)
        engine.weights = weights
        if held:
            engine.ready_at = self.now + ROLE_CHANGE_S
            self.loading.add(name)
        else:
            self.queue.append(name)
