"""A gateway process whose addresses are in use when it starts."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest

from mulleinreach.platform.settings import read_settings
from mulleinreach.platform.tests.soak.processes import free_ports, make_gateway
from mulleinreach.platform.tests.test_start_signals import (
    PATIENCE_S,
    accepts_connections,
    read_to_end,
    send_all,
    wait_until,
)

REQUEST = b"POST /stream/1 HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 0\r\n\r\n"
START_FAILED = 3


@pytest.fixture
def gateway(tmp_path):
    [store_port] = free_ports(1)
    return make_gateway("g", "hall-a", ["hall-a"], SimpleNamespace(port=store_port), tmp_path)


def hold(address) -> socket.socket:
    return socket.create_server((address.host, address.port))


def start(gateway) -> subprocess.Popen:
    with gateway.settings.with_suffix(".log").open("wb") as log:
        environment = {**os.environ, "MULLEINREACH_NODE_FILE": str(gateway.settings)}
        command = [sys.executable, "-m", "mulleinreach.platform"]
        return subprocess.Popen(command, env=environment, stdout=log, stderr=log)


def address_of(gateway, field: str):
    """Return an address by its field of a node's identity."""
    return getattr(read_settings(str(gateway.settings)).identity, field)


# Guards against a node that ends, and resets what waits for it, since a port is free only soon.
@pytest.mark.parametrize("field", ["peers_address", "tunnel_address", "readiness_address"])
def test_node_starts_once_its_addresses_are_free(gateway, field):
    log = gateway.settings.with_suffix(".log")
    holder = hold(address_of(gateway, field))
    process = start(gateway)
    try:
        wait_until(process, lambda: accepts_connections(gateway.callers))
        connections = send_all(gateway.callers, [REQUEST] * 3)
        time.sleep(1.0)
        holder.close()
        wait_until(process, lambda: b"event=node_started" in log.read_bytes())
        assert process.poll() is None
        process.terminate()
        assert [read_to_end(each)[:12] for each in connections] == [b"HTTP/1.1 503"] * 3
        assert process.wait(PATIENCE_S) == 0
    finally:
        holder.close()
        process.kill()
        process.wait()


# Guards against a bare traceback, and against resets of what waits for the node.
@pytest.mark.parametrize(
    "field", ["peers_address", "tunnel_address", "metrics_address", "callers_address"]
)
def test_node_whose_address_stays_in_use_names_it_and_refuses_what_waits(gateway, field):
    address = address_of(gateway, field)
    with hold(address):
        process = start(gateway)
        try:
            connections = []
            if field != "callers_address":
                wait_until(process, lambda: accepts_connections(gateway.callers))
                connections = send_all(gateway.callers, [REQUEST] * 3)
            assert process.wait(PATIENCE_S) == START_FAILED
            text = gateway.settings.with_suffix(".log").read_text()
            assert "event=start_failed" in text and "code=address_unavailable" in text
            assert f"can't listen on {address}: " in text
            assert "Traceback" not in text
            answers = [read_to_end(connection)[:12] for connection in connections]
            assert set(answers) <= {b"HTTP/1.1 503"}
        finally:
            process.kill()
            process.wait()
