"""The project's own program, started as the deploy file says, with a small site's settings."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

LOCAL = "127.0.0.1"
ZONES = ("ikeja", "apapa", "lekki")
REPOSITORY = Path(__file__).resolve().parents[2]
# Below the ports that systems hand out by themselves.
FIRST_PORT, LAST_PORT = 20_000, 32_000
PORTS_PER_NODE = 12
BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_ms": "2000",
    "rollback_slack_ms": "250",
    "outer_ms": "5000",
    "strict_revoke": "true",
    "revoke_ms": "5000",
    "retry_budget_ratio": "0.2",
    "budget_window_s": "10",
    "retry_slack": "136",
    "recover_s": "12",
    "pass_ms": "120",
    "retry_after_s": "0",
    "stall_ms": "5000",
    "require_fence": "false",
    "ceiling_window_s": "5",
    "ceiling_overage": "1.1",
}


def free_ports(count: int) -> list[int]:
    """Return ports that follow on each other and that nobody listens on."""
    while True:
        start = random.randrange(FIRST_PORT, LAST_PORT - count)
        ports = list(range(start, start + count))
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    stack.enter_context(socket.socket()).bind((LOCAL, port))
            except OSError:
                continue
            return ports


class Gateway:
    """One machine's process; its log goes to the folder of its settings."""

    def __init__(self, name: str, zone: str, store_port: int, folder: Path):
        self.name = name
        self.zone = zone
        self._folder = folder
        ports = free_ports(PORTS_PER_NODE)
        self.port, self.readiness_port = ports[0], ports[1]
        self._settings = folder / f"{name}.conf"
        fields = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": "front",
            "ip": LOCAL,
            "zone": zone,
            "region": "lagos",
            **{f"zones.{each}": "lagos" for each in ZONES},
            "listen.front": f"{LOCAL}:{self.port}",
            "listen.readiness": f"{LOCAL}:{self.readiness_port}",
            "internal_ports": f"{ports[2]},{ports[-1]}",
            "seeds": "",
            "bootstrap": "true",
            "limits.cpu_fraction": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "fault_tolerance.machines": "2",
            "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0",
            **{f"bounds.{each}": value for each, value in BOUNDS.items()},
            "platform.address": f"{LOCAL}:{store_port}",
            "platform.form": "table",
        }
        self._fields = fields
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text("".join(f"{k}={v}\n" for k, v in self._fields.items()))
        self._fields["bootstrap"] = "false"
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env={**os.environ, "MULLEINREACH_NODE_FILE": str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, unless it has ended."""
        if self.is_running():
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process and wait for that."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()

    def log_lines(self, *events: str) -> list[str]:
        """Return the lines of the process's log that hold one of these texts."""
        path = self._folder / f"{self.name}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [line for line in lines if any(event in line for event in events)]
