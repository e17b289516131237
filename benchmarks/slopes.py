"""Slopes of what a node spends on control, and of what each entry of state costs.

Each is measured at three or more sizes and fitted by a line; ``docs/slopes.json``
holds sizes, values, the fit and its spread, and ``docs/slopes.png`` shows them.
CPU is process time on this machine, in microseconds; bytes are those of the
encoded message or of ``tracemalloc``.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np

from benchmarks.fleet import make_hosts
from mulleinreach.admission import ShareLimits
from mulleinreach.common import Address, Clock, EventLog, Network, rendezvous_rank
from mulleinreach.groups.formation import place_replica
from mulleinreach.groups.model import GroupRecord, GroupState, HostRecord
from mulleinreach.groups.planner import FleetPlanner
from mulleinreach.groups.repair import LoadModel
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.groups.watch import ReplicaEvidence
from mulleinreach.intents import ConfigDocument, Intent
from mulleinreach.orders import EngineClient
from mulleinreach.requests.claims import ClaimStore, claim_key
from mulleinreach.requests.journal import RequestJournal
from mulleinreach.roster.messages import (
    Demand,
    Grant,
    HostReport,
    Ping,
    Pong,
    ReplicaReport,
    decode,
    encode,
)
from mulleinreach.routing import Candidate, Router
from mulleinreach.standins.engine import EngineStandIn, Fabric
from mulleinreach.standins.platform import WeightStoreStandIn
from mulleinreach.standins.table import TableStandIn
from mulleinreach.standins.world import AddressBook
from mulleinreach.stores import TableCache, TableClient

DATA = Path("docs/slopes.json")
PLOT = Path("docs/slopes.png")


@dataclass
class Slope:
    """What was measured at several sizes, and the line through it.

    Parameters
    ==========

    spread : the largest distance of a value from the line, as a part of the largest value.
    """

    name: str
    unit: str
    per: str
    sizes: list[float] = field(default_factory=list)
    values: list[float] = field(default_factory=list)

    def fit(self) -> dict:
        """Return everything, with slope, intercept and spread."""
        slope, intercept = np.polyfit(self.sizes, self.values, 1)
        line = slope * np.array(self.sizes) + intercept
        distance = np.abs(np.array(self.values) - line)
        spread = float(np.max(distance) / np.max(np.abs(self.values)))
        return {
            "name": self.name,
            "unit": self.unit,
            "per": self.per,
            "sizes": self.sizes,
            "values": [round(v, 3) for v in self.values],
            "slope": round(float(slope), 5),
            "intercept": round(float(intercept), 3),
            "spread": round(spread, 3),
        }


def cpu_us(action: Callable[[], object], least_s: float = 0.15) -> float:
    """Return the microseconds of process time that ``action`` takes; the best of three."""
    best = float("inf")
    for _ in range(3):
        count, began = 0, time.process_time()
        while time.process_time() - began < least_s / 3:
            action()
            count += 1
        best = min(best, 1e6 * (time.process_time() - began) / count)
    return best


def sweep(name: str, unit: str, per: str, sizes, measure) -> dict:
    """Measure at each size and fit."""
    slope = Slope(name, unit, per)
    for size in sizes:
        slope.sizes.append(size)
        slope.values.append(measure(size))
    fitted = slope.fit()
    print(
        f"{name:28s} {fitted['intercept']:10.2f} + {fitted['slope']:.4f} {unit} a {per}"
        f" (spread {100 * fitted['spread']:.0f}%)",
        flush=True,
    )
    return fitted


def make_pong(replicas: int, hosts: int = 0, organisations: int = 0) -> Pong:
    """Return a pong of a size."""
    reports = [ReplicaReport(1000 + n, True, 400 + n % 90, 9, 1, 16, 4) for n in range(replicas)]
    seen = [
        HostReport(f"lagos-h{n:04d}", 3, f"tint-model-{n // 4}", 1000, "ready", "t@1/load", 300, 9)
        for n in range(hosts)
    ]
    grants = [Grant(f"shop-{n}", 1.5, 3) for n in range(organisations)]
    return Pong(7, 390, True, reports, seen, grants)


def messages() -> list[dict]:
    """Return slopes of the exchange between nodes."""
    sizes = (0, 8, 32, 128)
    encoded = {n: encode(make_pong(n)) for n in sizes}
    ping = {
        n: encode(Ping(7, 390, [Demand(f"shop-{i}", 1.0, 1.0) for i in range(n)])) for n in sizes
    }
    hosts = {n: encode(make_pong(0, n)) for n in sizes}
    grants = {n: encode(make_pong(0, 0, n)) for n in sizes}
    return [
        sweep("pong bytes", "bytes", "replica", sizes, lambda n: len(encoded[n])),
        sweep("pong host bytes", "bytes", "host", sizes, lambda n: len(hosts[n])),
        sweep("pong grant bytes", "bytes", "organisation", sizes, lambda n: len(grants[n])),
        sweep("ping bytes", "bytes", "organisation", sizes, lambda n: len(ping[n])),
        sweep(
            "pong write cpu", "us", "replica", sizes, lambda n: cpu_us(lambda: encode(make_pong(n)))
        ),
        sweep(
            "pong read cpu", "us", "replica", sizes, lambda n: cpu_us(lambda: decode(encoded[n]))
        ),
    ]


def routing() -> list[dict]:
    """Return the slope of a choice by the number of replicas."""
    address = Address("10.0.0.1", 80)
    router = Router(random.Random(1))

    def choose(count: int) -> float:
        candidates = [Candidate(f"r{n}", 1, address, n % 7, 16) for n in range(count)]
        return cpu_us(lambda: router.choose(candidates, "conversation"))

    def rank(count: int) -> float:
        names = [f"node-{n}" for n in range(count)]
        return cpu_us(lambda: rendezvous_rank("tint-model-1", names))

    return [
        sweep("choice cpu", "us", "replica", (8, 48, 178, 710), choose),
        sweep("watcher choice cpu", "us", "node", (9, 64, 175, 350), rank),
    ]


def make_view(hosts: int) -> FleetView:
    """Return a fleet of ``hosts`` hosts whose replicas of four all serve."""
    per_domain = 80
    listed = make_hosts(max(1, hosts // per_domain), 10, 8)
    services = [
        {"name": "m", "kind": "model", "model": "m", "hosts_per_replica": 4, "replicas": hosts // 4}
    ]
    config = ConfigDocument(version=1, intent=Intent(kind="intent", services=services))
    views = {}
    for host in listed:
        report = HostReport(host.name, 1, "", 0, "idle", "", 0)
        views[host.name] = HostView(host, HostRecord(host.name), report, 0.1, False, False)
    view = FleetView(0.0, 0.0, config, views, [])
    names = [host.name for host in listed]
    for number in range(len(names) // 4):
        members = tuple(names[4 * number : 4 * number + 4])
        group = GroupRecord(
            f"m-{number + 1}",
            "m",
            number + 1,
            "d",
            members,
            "m",
            "1",
            (),
            GroupState.SERVING,
            "",
            0.0,
        )
        view.groups.append(group)
        for name in members:
            report = HostReport(name, 1, group.replica, group.epoch, "ready", "", 0)
            record = HostRecord(name, incarnation=1)
            views[name] = HostView(views[name].host, record, report, 0.1, False, False)
    return view


def control() -> list[dict]:
    """Return slopes of the control duty's round."""
    planner = FleetPlanner(LoadModel(90.0, 16), frozenset(), 60.0)

    def round_at_rest(hosts: int) -> float:
        view = make_view(hosts)
        return cpu_us(lambda: planner.decide(view, 0, lambda g: False, 1))

    def placement(hosts: int) -> float:
        view = make_view(hosts)
        service = view.config.intent.services[0]
        return cpu_us(lambda: place_replica(view, service))

    sizes = (80, 320, 960, 2880)
    return [
        sweep("control round cpu", "us", "host", sizes, round_at_rest),
        sweep("placement cpu", "us", "host", sizes, placement),
    ]


def traced_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that stay allocated for what ``make`` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return after - before


def memory() -> list[dict]:
    """Return bytes for each entry of a node's state."""

    def stories(count: int):
        class StillClock(Clock):
            def now(self) -> float:
                return 1.0

        journal = RequestJournal(StillClock(), count)
        for number in range(count):
            story = journal.open(f"ikeja-1.19a5d3f.{number}", "lagos-island", "tint-model")
            journal.note(story, f"attempt 1 to tint-model-{number % 48} (epoch 7): first choice")
            journal.note(story, "attempt 1 ended: done, complete")
        return journal

    def evidence(count: int):
        return {
            f"tint-model-{n}": ReplicaEvidence(n, float(n), 1, 2, 3, float(n)) for n in range(count)
        }

    def organisations(count: int):
        class StillClock(Clock):
            def now(self) -> float:
                return 1.0

        limits = ShareLimits("n1", StillClock(), 0.02)
        entries = [
            {"name": f"shop-{n}", "key_sha256": [f"{n:064x}"], "rate": 10.0, "concurrency": 10}
            for n in range(count)
        ]
        limits.follow(
            ConfigDocument(version=1, intent=Intent(kind="intent", organisations=entries))
        )
        return limits

    sizes = (500, 2000, 8000)
    return [
        sweep(
            "story memory", "bytes", "request", sizes, lambda n: traced_bytes(lambda: stories(n))
        ),
        sweep(
            "evidence memory",
            "bytes",
            "replica",
            sizes,
            lambda n: traced_bytes(lambda: evidence(n)),
        ),
        sweep(
            "limits memory",
            "bytes",
            "organisation",
            (50, 200, 800),
            lambda n: traced_bytes(lambda: organisations(n)),
        ),
        sweep(
            "host view memory",
            "bytes",
            "host",
            (80, 320, 960),
            lambda n: traced_bytes(lambda: make_view(n)),
        ),
        sweep(
            "configuration bytes",
            "bytes",
            "organisation",
            (10, 100, 400),
            lambda n: len(_document(n).model_dump_json()),
        ),
    ]


def _document(organisations: int) -> ConfigDocument:
    entries = [
        {"name": f"shop-{n}", "key_sha256": [f"{n:064x}"], "rate": 10.0, "concurrency": 10}
        for n in range(organisations)
    ]
    return ConfigDocument(version=1, intent=Intent(kind="intent", organisations=entries))


class CountingNetwork(Network):
    """Counts the bytes that its HTTP clients send and receive."""

    sent = received = 0

    def _connector(self, force_close):
        connector = super()._connector(force_close)
        original = connector._wrap_create_connection

        async def wrap(factory, *args, **kwargs):
            transport, protocol = await original(factory, *args, **kwargs)
            write, feed = transport.write, protocol.data_received

            def count_write(data):
                self.sent += len(data)
                return write(data)

            def count_feed(data):
                self.received += len(data)
                return feed(data)

            transport.write = count_write
            protocol.data_received = count_feed
            return transport, protocol

        connector._wrap_create_connection = wrap
        return connector


async def _http_costs() -> dict[str, tuple[list, list, list]]:
    """Measure CPU and bytes of status polls, table reads and claims; both sides in one process."""
    book, network = AddressBook(virtual=False), CountingNetwork("bench")
    engine = EngineStandIn("h1", Fabric(), WeightStoreStandIn(0, 1))
    table = TableStandIn()
    at_engine, at_table = Address.parse(book.new("engine")), Address.parse(book.new("table"))
    servers = [
        await network.serve_http(engine.app(), at_engine),
        await network.serve_http(table.app(), at_table),
    ]
    session = network.http_client()
    client, tables = EngineClient(session), TableClient(session, at_table)
    cache = TableCache(tables, Clock())
    costs: dict[str, tuple[list, list, list]] = {}

    async def cost(name: str, sizes, action):
        rows = ([], [], [])
        for size in sizes:
            await action(size)
            cpu, wire = time.process_time(), network.sent + network.received
            await action(size)
            rows[0].append(size)
            rows[1].append(1e6 * (time.process_time() - cpu))
            rows[2].append(network.sent + network.received - wire)
        costs[name] = rows

    async def polls(count):
        for _ in range(count):
            await client.status(at_engine, "h1")

    async def reads(count):
        for _ in range(count):
            await cache.refresh()

    async def claims(count):
        claims.round += 1
        store = ClaimStore("n1", tables, Clock(), EventLog("n1"), 0.01)
        store.start()
        keys = [claim_key("shop", "desk", f"{claims.round}-{count}-{n}") for n in range(count)]
        await asyncio.gather(*(store.claim(key, "r", "d") for key in keys))
        await store.abandon()

    claims.round = 0
    await cost("status poll", (50, 100, 200, 400), polls)
    await cost("table read", (50, 100, 200, 400), reads)
    await cost("claim", (10, 50, 150), claims)
    await session.close()
    for server in servers:
        await server.close()
    return costs


def http() -> list[dict]:
    """Return slopes of the exchanges over HTTP; CPU is of both sides together."""
    costs = asyncio.run(_http_costs())
    fitted = []
    for name, (sizes, cpu, wire) in costs.items():
        by_size = dict(zip(sizes, zip(cpu, wire, strict=True), strict=True))
        per = "claim" if name == "claim" else "exchange"
        fitted.append(sweep(f"{name} cpu", "us", per, sizes, lambda n, b=by_size: b[n][0]))
        fitted.append(sweep(f"{name} bytes", "bytes", per, sizes, lambda n, b=by_size: b[n][1]))
    return fitted


def plot(slopes: list[dict]) -> None:
    """Draw every slope, small."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 4
    rows = -(-len(slopes) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(16, 3 * rows))
    for axis, slope in zip(axes.flat, slopes, strict=False):
        sizes = np.array(slope["sizes"])
        axis.plot(sizes, slope["values"], "o")
        axis.plot(sizes, slope["slope"] * sizes + slope["intercept"], "-")
        axis.set_title(slope["name"], fontsize=9)
        axis.set_xlabel(slope["per"] + "s", fontsize=8)
        axis.set_ylabel(slope["unit"], fontsize=8)
    for axis in list(axes.flat)[len(slopes) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(PLOT, dpi=70)


def main() -> None:
    """Measure everything, write the data file and the plot."""
    slopes = messages() + routing() + control() + memory() + http()
    document = {"machine": sys.platform, "slopes": slopes}
    previous = json.loads(DATA.read_text()) if DATA.exists() else {}
    document["large_run"] = previous.get("large_run")
    DATA.write_text(json.dumps(document, indent=1) + "\n")
    plot(slopes)


if __name__ == "__main__":
    main()
