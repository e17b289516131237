"""Domains of hosts that are processes of their own: their starts, signals and arrivals."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

from mulleinreach.common.responses import BodyFraming
from mulleinreach.platform.tests.soak.notices import Arrival, Run
from mulleinreach.platform.tests.soak.processes import LOCAL

USUAL_BACKLOG = 128


class ReplicaProcess:
    """The hosts of one domain, in a process that can be stopped and continued.

    Parameters
    ==========

    crash_framing : how the ends of streams are marked if requests may crash the process.
    """

    def __init__(
        self,
        domain: str,
        hall: str,
        directory: Path,
        backlog: int,
        crash_framing: BodyFraming | None = None,
    ):
        self._backlog = backlog
        self._crash_framing = crash_framing
        self.domain = domain
        self.hall = hall
        self._arrivals = directory / f"{domain}.arrivals"
        self._log = directory / f"{domain}.log"
        self._process: subprocess.Popen | None = None

    def start(self, store_port: int) -> None:
        """Start the process; its log goes to a file."""
        options = {
            "domain": self.domain,
            "hall": self.hall,
            "store-url": f"http://{LOCAL}:{store_port}",
            "arrivals": str(self._arrivals),
            "backlog": str(self._backlog),
        }
        module = "mulleinreach.platform.tests.soak.replica_process"
        words = [f"--{name}={value}" for name, value in options.items()]
        if self._crash_framing is not None:
            words.append(f"--crash-framing={self._crash_framing.value}")
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *words], stdout=log, stderr=log
            )

    def stop(self) -> None:
        """Let the process stand still; the system goes on to accept connections and bytes."""
        self._process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let a process that stands still go on."""
        self._process.send_signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()

    def runs(self, upstream_id: str) -> bool:
        """Whether an upstream is one of the hosts."""
        return upstream_id.startswith(f"{self.domain}-host-")

    def arrivals(self) -> list[Arrival]:
        """Return the requests that the hosts have read."""
        return [
            Arrival(entry["upstream"], entry["id"], entry["at"], entry["remaining_s"])
            for entry in self._entries()
            if not entry["refused"]
        ]

    def runs_begun(self) -> list[Run]:
        """Return the runs of the requests that the hosts have read and not refused."""
        entries = self._entries()
        read = [Run(entry["id"], entry["upstream"]) for entry in entries if not entry["refused"]]
        refused = {Run(entry["id"], entry["upstream"]) for entry in entries if entry["refused"]}
        return [run for run in read if run not in refused]

    def _entries(self) -> list[dict]:
        lines = self._arrivals.read_text().splitlines() if self._arrivals.exists() else []
        return [json.loads(line) for line in lines]
