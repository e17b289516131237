"""The whole path as separate processes on loopback: kills and freezes of real processes.

Nothing here depends on speed: each wait has a bound that only a hang exceeds.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
import yaml

from mulleinreach.standins.world import CALLER_KEYS, OPERATOR_TOKENS, PEER_SECRET_ENV

PATIENCE_S = 90
# For so long the settings of the stand-ins let evidence count.
EVIDENCE_S = 2.0
COMPLETION = {"model": "tint-model", "prompt": "ochre", "stream": True, "max_tokens": 5}
ENVIRONMENT = {
    **os.environ,
    PEER_SECRET_ENV: "a secret of this test",
    "MULLEINREACH_TOKEN": OPERATOR_TOKENS["amaka"],
}


def run(*arguments, check=True):
    command = [sys.executable, "-m", "mulleinreach", *arguments]
    done = subprocess.run(
        command, env=ENVIRONMENT, capture_output=True, text=True, timeout=PATIENCE_S
    )
    if check:
        assert done.returncode == 0, done.stdout + done.stderr
    return done


def until(condition):
    began = time.monotonic()
    while not condition():
        assert time.monotonic() - began < PATIENCE_S, "it hangs"
        time.sleep(0.1)


class Processes:
    """Stand-ins and nodes, each a process of its own."""

    def __init__(self, directory):
        self.directory = directory
        self.running = {}
        self.start("standins", "standins", "--directory", str(directory))
        until((directory / "ready").exists)
        self.settings = {}
        for path in sorted(directory.glob("*-*.yaml")):
            self.settings[path.stem] = yaml.safe_load(path.read_text())
            self.start_node(path.stem)

    def start(self, name, *arguments):
        command = [sys.executable, "-m", "mulleinreach", *arguments]
        log = (self.directory / f"{name}.log").open("ab")
        self.running[name] = subprocess.Popen(command, env=ENVIRONMENT, stdout=log, stderr=log)

    def start_node(self, name):
        self.start(name, "node", "--settings", str(self.directory / f"{name}.yaml"))

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def operators(self, name):
        return self.settings[name]["listen"]["operators"]

    def curl(self, name, method, path, body=None, headers=None):
        """Send one request as a caller; returns the status and the body."""
        import http.client

        host, _, port = self.settings[name]["listen"]["callers"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)
        sent = {"authorization": f"Bearer {CALLER_KEYS['shop-lagos']}", **(headers or {})}
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        return response.status, response.read().decode()

    def ask(self, name, body):
        """Ask for a completion as callers do: again, when told that it has not run and when to.

        A node whose processes stand still for longer than its evidence counts (2 s) says so. What
        a request gets at once doesn't depend on the machine where the clock is virtual:
        ``test_sessions.py`` and the promises' tests.
        """
        began = time.monotonic()
        while True:
            status, text = self.curl(name, "POST", "/v1/completions", body)
            if status != 503 or time.monotonic() - began > PATIENCE_S:
                return status, text
            error = json.loads(text)["error"]
            assert error["ran"] == "not_run", text
            time.sleep(error["retry_after_s"])

    def answers(self, name, path="/readyz"):
        try:
            return self.curl(name, "GET", path)[0] == 200
        except OSError:
            return False

    def serving(self, name):
        done = run("get", "services", "--server", self.operators(name), "--output", "json")
        return {row["service"]: row["serving"] for row in json.loads(done.stdout)}

    def config(self, name):
        done = run("get", "config", "--server", self.operators(name), "--output", "json")
        return json.loads(done.stdout)

    def close(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


@pytest.fixture
def processes(tmp_path):
    made = Processes(tmp_path)
    yield made
    made.close()


def test_the_demo_needs_nothing_that_only_tests_install():
    """It once did: a fresh machine had no library of the virtual loop."""
    listed = Path("requirements.txt").read_text().lower().replace("-", "_")
    program = (
        "import sys, mulleinreach.cli.main\n"
        "import mulleinreach.standins.demo, mulleinreach.standins.serve\n"
        "print(*{m.partition('.')[0] for m, v in sys.modules.items()"
        " if 'site-packages' in str(getattr(v, '__file__', ''))})"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    for package in ("async_solipsism", "pytest", "hypothesis", "matplotlib", "xdist"):
        assert package not in done.stdout.split()
        assert f"\n{package}==" not in listed


def deploy(processes):
    """Confirm the intent, and wait until each node serves by it."""
    first = next(iter(processes.settings))
    at = ("--server", processes.operators(first))
    # A node can plan once it has heard of all hosts.
    intent = str(processes.directory / "intent.yaml")
    until(lambda: run("plan", "-f", intent, *at, check=False).returncode == 0)
    plan = json.loads(run("plan", "-f", intent, *at, "--output", "json").stdout)
    until(lambda: run("confirm", plan["id"], *at, check=False).returncode == 0)
    for name in processes.settings:
        until(
            lambda name=name: processes.answers(name) and processes.serving(name)["tint-model"] == 4
        )
    for name in processes.settings:
        # Voters are chosen after the first configuration, and that has to be accepted.
        until(lambda name=name: (c := processes.config(name))["voters"] and c["accepted"])


def test_node_beside_processes_that_stand_still_says_so_and_serves_again_at_once(processes):
    """Evidence of the configuration and of whole replicas counts for two seconds.

    A crowded machine that holds the other processes up for so long looks the same.
    """
    first, *others = processes.settings
    deploy(processes)
    body = json.dumps(COMPLETION)
    assert processes.ask(first, body)[0] == 200
    for name in ("standins", *others):
        processes.signal(name, signal.SIGSTOP)
    time.sleep(EVIDENCE_S + 1)
    status, text = processes.curl(first, "POST", "/v1/completions", body)
    error = json.loads(text)["error"]
    assert status == 503, text
    assert (error["code"], error["ran"]) == ("stale_configuration", "not_run")
    assert error["retry_after_s"] > 0
    for name in ("standins", *others):
        processes.signal(name, signal.SIGCONT)
    assert processes.ask(first, body)[0] == 200


def test_a_request_is_served_and_a_killed_and_a_frozen_node_are_lived_with(processes):
    first, second, third = processes.settings
    deploy(processes)
    body = json.dumps(COMPLETION)
    status, text = processes.ask(first, body)
    assert status == 200, text
    assert text.rstrip().endswith("data: [DONE]")

    order = {"idempotency-key": "order-1"}
    path = "/services/shop-desk/orders"
    assert processes.curl(first, "POST", path, b"2 tins", order)[0] == 200

    processes.signal(first, signal.SIGKILL)
    status, text = processes.curl(second, "POST", path, b"2 tins", order)
    assert json.loads(text).get("number") == 1 or json.loads(text)["error"]["ran"] == "unknown"

    processes.signal(third, signal.SIGSTOP)
    time.sleep(3)
    drained = run("drain", "a02", "--server", processes.operators(second), "--output", "json")
    plan_id = json.loads(drained.stdout)["id"]
    confirm = run("confirm", plan_id, "--server", processes.operators(second), check=False)
    assert confirm.returncode in (0, 9), confirm.stdout + confirm.stderr
    processes.signal(third, signal.SIGCONT)
    processes.start_node(first)
    for name in processes.settings:
        until(lambda name=name: processes.answers(name))
        assert processes.config(name)["drained_hosts"] == ["a02"]

    processes.signal(second, signal.SIGTERM)
    assert processes.running[second].wait(PATIENCE_S) == 0
