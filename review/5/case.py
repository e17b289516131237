"""For some seconds most new connections go to one node, while requests have long bodies."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from review.standins_2.balancer import Platform
from review.standins_2.client import HOST, Connection
from review.standins_2.nodes import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    LOCAL,
    NOT_RUN,
    ROOT,
    CannotRun,
    Node,
    Record,
    free_ports,
    make_node,
)
from review.standins_2.store import Store

HERE = Path(__file__).resolve().parent
ZONES = ["ikeja", "apapa", "lekki"]
SERVICE, KEY = "scan-desk", "n2ctnfzs989anu6wsjnb"
NODES, REPLICAS, MEMORY_MB = 6, 6, 300
# Within max_body_bytes (4,194,304); 16 a second are 512 Mbit/s, of 1,000 that a link has.
BODY = b"s" * 4_000_000
PER_S, WORK_S, DEADLINE_MS, TRIES = 16.0, 5.0, 8000, 3
CALM_S, CROWDED_S, ROUNDS = 12.0, 10.0, 2
CONTACT_S = 3.0
# The rule: less than three quarters as often as in the seconds before.
LEAST_RATIO = 0.75


def configuration() -> dict:
    """Return the operator's configuration: one route of a plain service."""
    return {
        "version": 7,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "routes": [
            {
                "name": "scan",
                "host": HOST,
                "path_prefix": "/scan/",
                "service": SERVICE,
                "kind": "unsafe",
                "priority": 1,
                "max_attempts": 1,
                "timeout_ms": 8000,
                "target_latency_ms": 6000,
            }
        ],
        "services": [{"name": SERVICE, "slots": 40, "max_conns": 400, "health_path": "/health"}],
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


@dataclass
class Request:
    """A client's request: when it was sent first, and what its attempts came to."""

    at: float
    attempts: list[str] = field(default_factory=list)
    is_served: bool = False


class Case:
    """The deployment, its clients and what is checked."""

    def __init__(self, folder: Path):
        self.record = Record(HERE / "record.txt")
        self.store = Store()
        self.folder = folder
        self.runs = folder / "runs.jsonl"
        self.nodes: list[Node] = []
        self.replicas: subprocess.Popen | None = None
        self.requests: list[Request] = []
        self.asked = 0

    async def start(self) -> None:
        """Start the store, the replicas and the nodes."""
        runner = web.AppRunner(self.store.app(), access_log=None, handler_cancellation=True)
        await runner.setup()
        store_port = free_ports(1)
        await web.TCPSite(runner, LOCAL, store_port).start()
        self.store.put("op", "config", configuration())
        first = free_ports(REPLICAS)
        places = [f"i-02d9e6b{n}:{first + n}" for n in range(REPLICAS)]
        self._start_replicas(places)
        for number, place in enumerate(places):
            name, _, port = place.partition(":")
            row = {
                "service": SERVICE,
                "address": f"{LOCAL}:{port}",
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "slots": 40,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": 1,
                "born": int(time.time() * 1000),
            }
            self.store.put("servers", name, row)
        for number in range(NODES):
            self.nodes.append(make_node(number, self.folder, store_port, ZONES))
            self.nodes[-1].start()
        for node in self.nodes:
            await node.until_ready()
        self.platform = Platform(self.nodes, MEMORY_MB, self.record)
        self.record.note(f"{NODES} nodes are ready; trouble: {HAS_TROUBLE}")

    def _start_replicas(self, places: list[str]) -> None:
        """Start the process of the replicas."""
        words = [sys.executable, "-m", "review.standins_2.long_replica"]
        words += [str(self.runs), str(WORK_S), *places]
        self.replicas = subprocess.Popen(words, cwd=ROOT)

    async def call(self) -> None:
        """Send one request, and again after a promise or if no node has read it."""
        request = Request(self.record.now())
        self.requests.append(request)
        ends_at = request.at + DEADLINE_MS / 1000
        node = self.platform.pick()
        for _ in range(TRIES):
            left_ms = int((ends_at - self.record.now()) * 1000)
            if left_ms < 100:
                return
            self.asked += 1
            request_id = f"s{self.asked:06d}"
            connection = Connection(node.front)
            began_at = self.record.now()
            answer = await connection.ask("/scan/2f", request_id, KEY, left_ms, BODY)
            connection.close()
            request.attempts.append(request_id)
            request.is_served = answer.status == 200 and answer.is_whole
            if not request.is_served:
                self.record.note(
                    f"{node.name} {request_id} sent at {began_at:.3f}: status {answer.status}, "
                    f"whole {answer.is_whole}, closed {answer.is_closed}"
                )
            is_refused = answer.is_closed and not answer.status and not connection.is_sent
            if not (is_refused or answer.status in (408, 421, 429, 503)):
                return
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))
            node = self.platform.pick_other(node)

    async def call_for(self, seconds: float) -> None:
        """Send requests at an even rate for some seconds."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        until = next_at + seconds
        while next_at < until:
            self.calls.add(asyncio.create_task(self.call()))
            next_at += 1 / PER_S
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    def served_share(self, since: float, until: float, ran: set[str]) -> tuple[float, int]:
        """Return how often requests were served at the first attempt that a machine had read.

        An attempt that failed and reached no replica isn't taken as read, to the system's favour.
        """
        served = counted = 0
        for request in self.requests:
            if not since <= request.at < until:
                continue
            read = [attempt for attempt in request.attempts if attempt in ran]
            if not read:
                continue
            counted += 1
            served += request.is_served and read[0] == request.attempts[-1]
        return (served / counted if counted else 1.0), counted

    async def play(self) -> int:
        """Play the case and return its exit status."""
        await self.start()
        watches = [asyncio.create_task(self.platform.probe(node)) for node in self.nodes]
        watches.append(asyncio.create_task(self.platform.watch_memory()))
        self.calls: set[asyncio.Task] = set()
        spans = []
        for _ in range(ROUNDS):
            calm_at = self.record.now()
            await self.call_for(CALM_S)
            crowded_at = self.record.now()
            self.platform.is_crowding = HAS_TROUBLE
            self.record.note(f"most new connections go to one node: {HAS_TROUBLE}")
            await self.call_for(CROWDED_S)
            self.platform.is_crowding = False
            self.record.note("new connections are spread again")
            spans.append((calm_at, crowded_at, self.record.now()))
        await asyncio.wait(self.calls, timeout=10)
        for watch in watches:
            watch.cancel()
        ran = {json.loads(line)["id"] for line in self.runs.read_text().splitlines()}
        is_broken = False
        for calm_at, crowded_at, ended_at in spans:
            before, requests_before = self.served_share(calm_at + 5, crowded_at, ran)
            share, requests = self.served_share(crowded_at + CONTACT_S, ended_at, ran)
            is_broken |= share < LEAST_RATIO * before
            self.record.note(
                f"RECOVER: served at the first attempt read: {before:.3f} of {requests_before} "
                f"before, {share:.3f} of {requests} while crowded (at least {LEAST_RATIO} x)"
            )
        unanswered = sum(
            not request.is_served and any(attempt in ran for attempt in request.attempts)
            for request in self.requests
        )
        self.record.note(f"unsafe requests that a replica ran, and not answered: {unanswered}")
        ends = dict(Counter(self.platform.ends))
        self.record.note(f"peak memory in MB {self.platform.peak_mb}")
        self.record.note(f"processes over their memory: {len(self.platform.ends)} {ends}")
        if not any(request.is_served for request in self.requests):
            raise CannotRun("no request was served")
        return BROKEN if is_broken else HELD

    def end(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.end()
        if self.replicas is not None:
            self.replicas.kill()
            self.replicas.wait()


async def main() -> int:
    """Run the case."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        try:
            async with asyncio.timeout(112):
                return await case.play()
        except (CannotRun, OSError, TimeoutError) as error:
            case.record.note(f"the case couldn't run: {error!r}")
            return NOT_RUN
        finally:
            case.end()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
