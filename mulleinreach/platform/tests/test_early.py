"""Callers can connect before the rest of the program is imported."""

from __future__ import annotations

import socket
import subprocess
import sys

import pytest

from mulleinreach.platform.early import listen_for_callers
from mulleinreach.platform.tests.soak.processes import free_ports

SLOW_IMPORTS = ("aiohttp", "capnp", "prometheus_client", "absl")


def test_socket_accepts_connections_at_once(tmp_path):
    (port,) = free_ports(1)
    settings = tmp_path / "settings.conf"
    settings.write_text(f"ip=127.0.0.1\nlisten.front=127.0.0.1:{port}\n")
    listener = listen_for_callers(str(settings))
    with listener, socket.create_connection(("127.0.0.1", port), timeout=5):
        pass


@pytest.mark.parametrize(
    "text", ["", "ip=127.0.0.1\n", "listen.front=nowhere\n", "listen.front=127.0.0.1:999999\n"]
)
def test_invalid_settings_return_no_socket(tmp_path, text):
    settings = tmp_path / "settings.conf"
    settings.write_text(text)
    assert listen_for_callers(str(settings)) is None


def test_missing_settings_file_returns_no_socket(tmp_path):
    assert listen_for_callers(str(tmp_path / "absent")) is None


def test_slow_modules_are_not_imported_before_listening():
    program = (
        "import sys, mulleinreach.platform.__main__\n"
        "print(*{module.partition('.')[0] for module in sys.modules})"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert not set(SLOW_IMPORTS) & set(done.stdout.split())
