"""Gateway nodes as processes, by the command of the deploy file, and what a case needs."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOCAL = "127.0.0.1"
# Below those that the system hands out by itself.
FIRST_PORT, LAST_PORT = 18_000, 31_000
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def note(self, line: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {line}\n")


def free_ports(count: int) -> int:
    """Return the first of some ports in a row on which nobody listens."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        held = []
        try:
            for port in range(first, first + count):
                held.append(socket.socket())
                held[-1].bind((LOCAL, port))
        except OSError:
            continue
        else:
            return first
        finally:
            for each in held:
                each.close()


@dataclass
class Node:
    """One entry host's process."""

    name: str
    front: int
    readiness: int
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        env = {
            **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MULLEINREACH_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process."""
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def until_ready(self, limit_s: float = 25.0) -> None:
        """Wait until the node says that it is ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if not self.is_running():
                raise CannotRun(f"{self.name} has ended")
            try:
                reader, writer = await asyncio.open_connection(LOCAL, self.readiness)
                writer.write(b"GET /mulleinreach/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                async with asyncio.timeout(1):
                    line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready after {limit_s} s")


def make_node(
    number: int, folder: Path, store_port: int, zones: list[str], is_first: bool = True
) -> Node:
    """Write the settings of a node, after the example of DEPLOY.md."""
    first = free_ports(12)
    name, zone = f"front-{number}", zones[number % len(zones)]
    lines = [
        f"node_name={name}",
        "role=gateway",
        "machine_class=front",
        "serves=front",
        f"ip={LOCAL}",
        f"zone={zone}",
        "region=lagos",
        *[f"zones.{each}=lagos" for each in zones],
        f"listen.front={LOCAL}:{first}",
        f"listen.readiness={LOCAL}:{first + 1}",
        f"internal_ports={first + 2},{first + 11}",
        f"bootstrap={'true' if is_first else 'false'}",
        "limits.cpu_fraction=0.537",
        "limits.cores=2",
        "limits.memory_mb=300",
        "limits.max_fds=4100",
        "limits.link_mbps=1000.0",
        "heartbeat_ms=1200",
        "fault_tolerance.machines=2",
        "fault_tolerance.zones=0",
        "fault_tolerance.regions=0",
        "bounds.contact_ms=3000",
        "bounds.drain_ms=2000",
        "bounds.grace_s=8",
        "bounds.loss_slack_ms=200",
        "bounds.config_ms=2000",
        "bounds.strict_revoke=true",
        "bounds.revoke_ms=5000",
        "bounds.retry_budget_ratio=0.2",
        "bounds.budget_window_s=10",
        "bounds.retry_slack=136",
        "bounds.stall_ms=5000",
        "bounds.require_fence=false",
        "bounds.ceiling_window_s=5",
        "bounds.ceiling_overage=1.1",
        f"platform.address={LOCAL}:{store_port}",
        "platform.form=table",
        "platform.writes_per_s=400",
        "platform.reads_per_s=2000",
    ]
    settings = folder / f"{name}.conf"
    settings.write_text("\n".join(lines) + "\n")
    return Node(name, first, first + 1, settings, folder / f"{name}.log")
