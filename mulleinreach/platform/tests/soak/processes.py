"""The gateways' processes: their settings, their starts and their ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

from mulleinreach.common import Address
from mulleinreach.platform.tests.soak.document import COLD_OVERAGE, COLD_SLACK
from mulleinreach.platform.tests.soak.proxy import Link

# For reports of other nodes, metrics and tunnels.
PORTS_PER_NODE = 3
LOCAL = "127.0.0.1"
# Below the ports that systems hand out by themselves (32768 and up, as Linux is set).
FIRST_PORT, LAST_PORT = 20_000, 32_000
# How soon after an operator's request nothing more may be sent to a hall, in seconds:
# shorter than deployments agree on, so that a short soak sees requests after it.
EVACUATION_S = 3.0
# Between SIGTERM and SIGKILL.
GRACE_S = 8.0
ENDED_CHECK_S = 0.05
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 136, 10
# Ports of gateways that may not have started yet, or are down: those of the last hundred.
_given_ports: deque[int] = deque(maxlen=500)


@dataclass
class GatewayProcess:
    """One gateway, and the link through which it reaches the store."""

    name: str
    hall: str
    store_link: Link
    settings: Path
    callers: Address
    readiness: Address
    runs_from: Path | None = None
    process: subprocess.Popen | None = None
    started_at: list[float] = field(default_factory=list)
    terminated_at: list[float] = field(default_factory=list)
    killed_at: list[float] = field(default_factory=list)
    # Of ``terminated_at``, when the process had read nothing yet.
    terminated_unstarted_at: list[float] = field(default_factory=list)
    _log_size: int = 0

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def _log_file(self) -> Path:
        return self.settings.with_suffix(".log")

    def has_started(self) -> bool:
        """Whether the process has read anything; it listens before that."""
        with open(self._log_file, "rb") as log:
            log.seek(self._log_size)
            return b"event=node_started" in log.read()

    def is_stopping(self) -> bool:
        """Whether the process was asked to stop and has not ended."""
        return self.is_running() and any(at >= self.started_at[-1] for at in self.terminated_at)

    def start(self) -> None:
        """Start the process; its log goes to a file beside the settings."""
        self.started_at.append(asyncio.get_running_loop().time())
        log = open(self._log_file, "ab")  # noqa: SIM115
        with log:
            self._log_size = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "mulleinreach.platform"],
                env={**os.environ, "MULLEINREACH_NODE_FILE": str(self.settings)},
                cwd=self.runs_from,
                stdout=log,
                stderr=log,
            )

    async def end_stop(self) -> bool:
        """Wait for the end of a planned stop; returns whether it came within the grace.

        A process that outlasts its grace is killed, which excuses nothing.
        """
        until = asyncio.get_running_loop().time() + GRACE_S
        while self.is_running() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(ENDED_CHECK_S)
        if not self.is_running():
            return True
        self.process.kill()
        await asyncio.to_thread(self.process.wait)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, unless it has ended."""
        if not self.is_running():
            return
        now = asyncio.get_running_loop().time()
        if number == signal.SIGTERM:
            self.terminated_at.append(now)
            if not self.has_started():
                self.terminated_unstarted_at.append(now)
        if number == signal.SIGKILL:
            self.killed_at.append(now)
        self.process.send_signal(number)


def make_gateway(
    name: str,
    hall: str,
    halls: list[str],
    store_link: Link,
    directory: Path,
    runs_from: Path | None = None,
) -> GatewayProcess:
    """Write a gateway's settings; the process isn't started."""
    ports = free_ports(2 + PORTS_PER_NODE)
    settings = directory / f"{name}.conf"
    regions = "".join(f"zones.{each}=r\n" for each in halls)
    settings.write_text(
        f"node_name={name}\nip={LOCAL}\nzone={hall}\nregion=r\nrole=gateway\n"
        f"listen.front={LOCAL}:{ports[0]}\nlisten.readiness={LOCAL}:{ports[1]}\n"
        f"internal_ports={ports[2]},{ports[-1]}\n"
        f"platform.address={LOCAL}:{store_link.port}\n"
        "limits.cores=1\nlimits.cpu_fraction=1\nlimits.link_mbps=100\n"
        f"bounds.grace_s={GRACE_S:g}\nbounds.revoke_ms=5000\nbounds.strict_revoke=true\n"
        "bootstrap=false\nbounds.drain_ms=2000\nbounds.config_ms=2000\n"
        "bounds.stall_ms=5000\nbounds.require_fence=true\n"
        f"bounds.retry_budget_ratio={RETRY_RATIO}\nbounds.budget_window_s={RETRY_WINDOW_S}\n"
        f"bounds.retry_slack={RETRY_SLACK}\n"
        f"bounds.evac_ms={EVACUATION_S * 1000:.0f}\nbounds.cold_overage={COLD_OVERAGE}\n"
        f"bounds.cold_slack={COLD_SLACK}\nfault_tolerance.zones=1\n{regions}"
    )
    callers, readiness = Address(LOCAL, ports[0]), Address(LOCAL, ports[1])
    return GatewayProcess(name, hall, store_link, settings, callers, readiness, runs_from)


def free_ports(count: int) -> list[int]:
    """Return ports that follow on each other and that nobody listens on.

    None of them is handed out by the system, or else a link or a connection that is opened
    while a gateway is down might take the gateway's. Nor is one given to two gateways.
    """
    while True:
        start = random.randrange(FIRST_PORT, LAST_PORT - count)
        ports = range(start, start + count)
        if not set(ports).isdisjoint(_given_ports):
            continue
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    stack.enter_context(socket.socket()).bind((LOCAL, port))
            except OSError:
                continue
            _given_ports.extend(ports)
            return list(ports)
