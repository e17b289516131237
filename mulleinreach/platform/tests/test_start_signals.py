"""Signals to a gateway process that is starting."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest

from mulleinreach.platform.tests.soak.processes import free_ports, make_gateway

# Only a hang takes so long.
PATIENCE_S = 60.0


@pytest.fixture
def starting_gateway(tmp_path):
    """Start a gateway, and return it and its process once callers can connect; it reads no store.

    Most of the start, the imports, is still to come then.
    """
    [store_port] = free_ports(1)
    gateway = make_gateway("g", "hall-a", ["hall-a"], SimpleNamespace(port=store_port), tmp_path)
    log = gateway.settings.with_suffix(".log").open("wb")
    environment = {**os.environ, "MULLEINREACH_NODE_FILE": str(gateway.settings)}
    command = [sys.executable, "-m", "mulleinreach.platform"]
    process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
    try:
        wait_until(process, lambda: accepts_connections(gateway.callers))
        yield gateway, process
    finally:
        process.kill()
        process.wait()
        log.close()


def accepts_connections(address) -> bool:
    with contextlib.suppress(OSError), socket.create_connection((address.host, address.port)):
        return True
    return False


def wait_until(process: subprocess.Popen, holds) -> None:
    """Wait until something holds, or the process has ended."""
    until = time.monotonic() + PATIENCE_S
    while not holds() and process.poll() is None:
        assert time.monotonic() < until, "it hangs"
        time.sleep(0.005)


# Guards against a node that SIGHUP ends while it starts, with what waits in its backlog.
def test_settings_signal_does_not_end_a_node_that_starts(starting_gateway):
    gateway, process = starting_gateway
    log = gateway.settings.with_suffix(".log")
    process.send_signal(signal.SIGHUP)
    wait_until(process, lambda: b"event=node_started" in log.read_bytes())
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE_S) == 0


# Guards against a planned stop that looks like a crash as the node had not started yet.
def test_stop_of_a_node_that_starts_is_orderly(starting_gateway):
    _, process = starting_gateway
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE_S) == 0


# Guards against a node of the product's own interface that SIGHUP ends.
def test_settings_signal_does_not_end_a_node_of_the_own_interface(tmp_path):
    command = [sys.executable, "-m", "mulleinreach", "node", "--settings", str(tmp_path / "absent")]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        seen = []
        wait_until(process, lambda: seen.append(ignores(process, signal.SIGHUP)) or seen[-1])
        assert any(seen)
    finally:
        process.kill()
        process.wait()


def ignores(process: subprocess.Popen, number: signal.Signals) -> bool:
    """Whether a process that has not ended ignores a signal."""
    with contextlib.suppress(OSError), open(f"/proc/{process.pid}/status") as status:
        masks = [line.split()[1] for line in status if line.startswith("SigIgn:")]
        return bool(masks) and bool(int(masks[0], 16) & 1 << number - 1)
    return False
