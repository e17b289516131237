"""CPU and memory of the data path, as ratios to a bare relay in the same run.

Each relay runs as a process of its own; its CPU time is read from the kernel,
less what the same process uses at rest.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from mulleinreach.standins.world import PEER_SECRET_ENV

EVENTS = 24_000
WHOLE_REQUESTS = 3_000
EVENTS_A_SECOND = 6_000
STREAMS = (1, 64, 512)
GROWTH_REQUESTS = 20_000
ENVIRONMENT = {**os.environ, PEER_SECRET_ENV: "a secret of this benchmark"}


def cpu_s(pid: int) -> float:
    """Return the CPU seconds, user and system, that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process in KB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def start(*arguments: str) -> subprocess.Popen:
    """Start a part of the benchmark."""
    command = [sys.executable, "-m", *arguments]
    return subprocess.Popen(command, env=ENVIRONMENT, stderr=subprocess.DEVNULL)


def call(url: str, epoch: int, streams: int, requests: int, tokens: int) -> dict:
    """Run callers to their end."""
    numbers = [str(n) for n in (epoch, streams, requests, tokens)]
    command = [sys.executable, "-m", "benchmarks.relay_parts", "callers", url, *numbers]
    done = subprocess.run(command, env=ENVIRONMENT, capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


@dataclass
class Target:
    """A way to the engine: directly, by the bare relay, or by a node."""

    name: str
    url: str
    pid: int | None
    rest_rate: float = 0.0

    def measure(self, epoch: int, streams: int, requests: int, tokens: int) -> tuple[float, dict]:
        """Return the relay's CPU seconds less its rest, and what the callers saw."""
        began, before = time.monotonic(), cpu_s(self.pid) if self.pid else 0.0
        seen = call(self.url, epoch, streams, requests, tokens)
        if self.pid is None:
            return 0.0, seen
        used = cpu_s(self.pid) - before
        return used - self.rest_rate * (time.monotonic() - began), seen


class Bench:
    """Stand-ins, a bare relay and a node, for one gap between tokens."""

    def __init__(self, gap_s: float):
        self.directory = Path(tempfile.mkdtemp())
        self.processes = [
            start("benchmarks.relay_parts", "upstreams", str(self.directory), str(gap_s))
        ]
        self._wait("ready")
        node = start(
            "mulleinreach", "node", "--settings", f"{self.directory}/node.yaml", "--verbosity=-1"
        )
        self.processes.append(node)
        self._wait("deployed")
        deployed = json.loads((self.directory / "deployed").read_text())
        self.epoch = deployed["epoch"]
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        bare = start("benchmarks.relay_parts", "bare", deployed["engine"], str(port))
        self.processes.append(bare)
        time.sleep(2)
        self.direct = Target("direct", deployed["engine"], None)
        self.bare = Target("bare relay", f"http://127.0.0.1:{port}", bare.pid)
        self.node = Target("node", deployed["callers"], node.pid, _rest_rate(node.pid))

    def _wait(self, name: str) -> None:
        give_up_at = time.monotonic() + 60
        while not (self.directory / name).exists():
            if time.monotonic() > give_up_at:
                raise TimeoutError(name)
            time.sleep(0.1)
        time.sleep(0.2)

    def close(self) -> None:
        """End the processes that were started."""
        for process in self.processes:
            process.kill()
            process.wait()


def _rest_rate(pid: int) -> float:
    """Return the CPU seconds a second that a process uses at rest."""
    before = cpu_s(pid)
    time.sleep(4)
    return (cpu_s(pid) - before) / 4


def measure_streams() -> list[str]:
    """Return lines on CPU for each relayed event."""
    lines = []
    for streams in STREAMS:
        bench = Bench(streams / EVENTS_A_SECOND)
        try:
            requests = max(streams, 8)
            tokens = EVENTS // requests
            rows = {}
            for target in (bench.direct, bench.bare, bench.node):
                memory = rss_kb(target.pid) if target.pid else 0
                used, seen = target.measure(bench.epoch, streams, requests, tokens)
                grown = (rss_kb(target.pid) - memory) / streams if target.pid else 0
                rows[target.name] = (1e6 * used / seen["events"], grown, seen)
            node, bare = rows["node"], rows["bare relay"]
            direct_us = 1e6 * rows["direct"][2]["client_cpu_s"] / rows["direct"][2]["events"]
            lines.append(
                f"{streams:4d} streams: node {node[0]:.1f} us an event, bare relay {bare[0]:.1f},"
                f" ratio {node[0] / bare[0]:.2f}; a caller direct {direct_us:.1f};"
                f" memory an open stream: node {node[1]:.1f} KB, bare {bare[1]:.1f} KB;"
                f" failed {node[2]['failed']}"
            )
            print(lines[-1], flush=True)
        finally:
            bench.close()
    return lines


def measure_whole() -> list[str]:
    """Return lines on CPU for each whole request, and its growth."""
    lines = []
    bench = Bench(0.0)
    try:
        for streams in STREAMS:
            bare, _ = bench.bare.measure(bench.epoch, streams, WHOLE_REQUESTS, 0)
            node, seen = bench.node.measure(bench.epoch, streams, WHOLE_REQUESTS, 0)
            lines.append(
                f"{streams:4d} callers: node {1e6 * node / WHOLE_REQUESTS:.0f} us a whole request,"
                f" bare relay {1e6 * bare / WHOLE_REQUESTS:.0f}, ratio {node / bare:.2f};"
                f" failed {seen['failed']}"
            )
            print(lines[-1], flush=True)
        quarter = GROWTH_REQUESTS // 4
        used, memory = [], []
        for _ in range(4):
            used.append(bench.node.measure(bench.epoch, 16, quarter, 0)[0])
            memory.append(rss_kb(bench.node.pid))
        lines.append(
            f"over {GROWTH_REQUESTS} requests: CPU of the last quarter is {used[3] / used[0]:.2f}"
            f" times the first; resident memory after each quarter {memory} KB"
        )
        print(lines[-1], flush=True)
    finally:
        bench.close()
    return lines


def main() -> None:
    """Print all lines."""
    measure_streams()
    measure_whole()


if __name__ == "__main__":
    main()
