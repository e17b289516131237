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


def send_all(address, requests: list[bytes]) -> list[socket.socket]:
    """Send each request on a connection of its own."""
    connections = [socket.create_connection((address.host, address.port)) for _ in requests]
    for connection, request in zip(connections, requests, strict=True):
        connection.settimeout(PATIENCE_S)
        connection.sendall(request)
    return connections


def read_to_end(connection: socket.socket) -> bytes:
    """Return what comes until the connection's end; a reset is an error."""
    data = b""
    with connection:
        while chunk := connection.recv(65_536):
            data += chunk
    return data


HEAD = b"POST /stream/1 HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 100000\r\n\r\n"


# Guards against requests that are reset with a node that is stopped before it has read them.
@pytest.mark.parametrize("request_bytes", [HEAD + b"x" * 100_000, HEAD + b"x", HEAD[:30]])
def test_requests_that_wait_at_a_starting_node_are_refused_when_it_stops(
    starting_gateway, request_bytes
):
    gateway, process = starting_gateway
    process.send_signal(signal.SIGSTOP)
    connections = send_all(gateway.callers, [request_bytes] * 20)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGCONT)
    answers = [read_to_end(connection) for connection in connections]
    assert [answer.split(b"\r\n")[0][:12] for answer in answers] == [b"HTTP/1.1 503"] * 20
    assert process.wait(PATIENCE_S) == 0


# Guards against resets of connections on which nothing was sent yet.
def test_unused_connections_to_a_starting_node_are_closed_when_it_stops(starting_gateway):
    gateway, process = starting_gateway
    process.send_signal(signal.SIGSTOP)
    connections = send_all(gateway.callers, [b""] * 20)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGCONT)
    assert [read_to_end(connection) for connection in connections] == [b""] * 20
    assert process.wait(PATIENCE_S) == 0
