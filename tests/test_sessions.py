"""Golden files of whole sessions; the steps of ``features/sessions.feature``."""

import asyncio
import logging as standard_logging

import async_solipsism
import pytest
from absl import logging
from pytest_bdd import given, parsers, scenarios, then, when

from mulleinreach.cli.show import (
    describe_audit,
    describe_confirmation,
    describe_plan,
    format_table,
)
from mulleinreach.standins.faults import Fault
from mulleinreach.standins.people import Caller, Operator, demo_intent
from mulleinreach.standins.world import CALLER_KEYS, World, WorldSpec
from tests.support import Deployment

scenarios("features/sessions.feature")

HIDDEN_HEADERS = {"date", "server", "content-length", "content-type"}


class Transcript(standard_logging.Handler):
    """Takes in the commands, answers, and log lines of a session, in order."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop
        self.lines: list[str] = []

    def say(self, text):
        self.lines.append(f"{self._loop.time():8.3f}  {text}")

    def emit(self, record):
        self.say("log   " + record.getMessage())

    def answer(self, lines):
        self.lines += [f"              {line}" for line in lines]


class Session:
    """A deployment on a virtual loop that the steps drive one after the other."""

    def __init__(self):
        self.loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(self.loop)
        self.transcript = Transcript(self.loop)
        self.plans: dict[str, list[str]] = {}
        self.lost = self.drained = self.request_id = ""

    def start(self, nodes, domains, hosts):
        spec = WorldSpec(nodes=nodes, domains=domains, hosts_per_domain=hosts)
        self.world = World(spec, virtual=True)
        self.run(self.world.start())
        self.deployment = self.run(self._make_deployment())
        self.run(asyncio.sleep(3))
        self.record_logs()

    async def _make_deployment(self):
        return Deployment(self.world)

    def record_logs(self):
        logging.set_verbosity(logging.INFO)
        logging.get_absl_logger().addHandler(self.transcript)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def close(self):
        logging.get_absl_logger().removeHandler(self.transcript)
        self.run(self.deployment.close())
        left = asyncio.all_tasks(self.loop)
        for task in left:
            task.cancel()
        self.run(asyncio.gather(*left, return_exceptions=True))
        self.loop.close()
        asyncio.set_event_loop(None)

    def operate(self, name, node, command, method, path, body=None):
        """Run an operator's command and take down the answer as the command line shows it."""
        self.transcript.say(f"{name}@{node}$ mulleinreach {command}")

        async def ask():
            operator = Operator(self.world, name)
            try:
                return await operator.request(self.world.nodes[node], method, path, body)
            finally:
                await operator.close()

        reply = self.run(ask())
        self.transcript.say(f"answer {reply.status}")
        self.transcript.answer(_describe(path, reply))
        return reply

    def call(self, name, key, node, method, path, **options):
        """Send a caller's request and take down the answer."""
        self.transcript.say(
            f"{name} -> {node} {method} {path} {options.get('json') or ''}".rstrip()
        )

        async def ask():
            caller = Caller(self.world, key)
            try:
                return await caller.request(self.world.nodes[node], method, path, **options)
            finally:
                await caller.close()

        reply = self.run(ask())
        self.request_id = reply.headers.get("x-request-id", self.request_id)
        headers = {k: v for k, v in sorted(reply.headers.items()) if k not in HIDDEN_HEADERS}
        self.transcript.say(f"answer {reply.status} {headers}")
        self.transcript.answer([line for line in reply.body.split("\n") if line])
        return reply


def _describe(path, reply):
    answer = reply.json
    if reply.status >= 400:
        return [f"{answer['error']['code']}: {answer['error']['message']}"]
    if path.endswith("/confirm"):
        return describe_confirmation(answer)
    if path == "/plans":
        return describe_plan(answer)
    if path == "/audit":
        return describe_audit(answer["entries"])
    return answer["lines"] if "lines" in answer else format_table(answer)


@pytest.fixture
def session():
    made = Session()
    yield made
    made.close()


@given(parsers.parse("{nodes:d} nodes before {domains:d} fabric domains of {hosts:d} hosts"))
def _(session, nodes, domains, hosts):
    session.start(nodes, domains, hosts)


@given(parsers.parse("{name} has {replicas:d} replicas of {hosts:d} hosts in force"))
def _(session, name, replicas, hosts):
    d = session.deployment
    reply = session.run(d.apply(intent=demo_intent(replicas, hosts)))
    assert reply.json["accepted"], reply.body
    session.run(d.until_serving(replicas))
    session.run(asyncio.sleep(8))


@when(parsers.parse("{name} plans {replicas:d} replicas of {hosts:d} hosts at {node}"))
def _(session, name, replicas, hosts, node):
    body = {"intent": demo_intent(replicas, hosts)}
    command = f"plan -f intent-{replicas}x{hosts}.yaml"
    reply = session.operate(name, node, command, "POST", "/plans", body)
    if reply.status == 201:
        session.plans.setdefault(name, []).append(reply.json["id"])


def _confirm(session, name, plan_id, node):
    path = f"/plans/{plan_id}/confirm"
    session.operate(name, node, f"confirm {plan_id}", "POST", path)


@when(parsers.parse("{name} confirms that plan at {node}"))
def _(session, name, node):
    _confirm(session, name, session.plans[name][-1], node)


@when(parsers.parse("{name} confirms her earlier plan at {node}"))
def _(session, name, node):
    _confirm(session, name, session.plans[name][0], node)


@when(parsers.parse("{replicas:d} replicas serve"))
def _(session, replicas):
    session.run(session.deployment.until_serving(replicas))
    # A moment more, so that nothing of the repair is cut off from the record.
    session.run(asyncio.sleep(2))


@when(parsers.parse("{seconds:d} seconds pass"))
def _(session, seconds):
    session.run(asyncio.sleep(seconds))


@when(parsers.parse("{name} gets {what} at {node}"))
def _(session, name, what, node):
    session.operate(name, node, f"get {what}", "GET", f"/get/{what}")


def _explain(session, name, kind, subject, node):
    path = f"/explain/{kind}/{subject}"
    session.operate(name, node, f"explain {kind} {subject}", "GET", path)


@when(parsers.parse("{name} explains replica {replica} at {node}"))
def _(session, name, replica, node):
    _explain(session, name, "replica", replica, node)


@when(parsers.parse("{name} explains the lost host at {node}"))
def _(session, name, node):
    _explain(session, name, "host", session.lost, node)


@when(parsers.parse("{name} explains the drained host at {node}"))
def _(session, name, node):
    _explain(session, name, "host", session.drained, node)


@when(parsers.parse("{name} explains the latest request at {node}"))
def _(session, name, node):
    _explain(session, name, "request", session.request_id, node)


@when(parsers.parse("{name} reads the audit trail at {node}"))
def _(session, name, node):
    session.operate(name, node, "audit", "GET", "/audit")


@when(parsers.parse('{name} asks {node} for a {how} answer to "{text}"'))
def _(session, name, node, how, text):
    key = CALLER_KEYS.get(name, name.removeprefix('someone with the key "').rstrip('"'))
    message = {"role": "user", "content": text}
    body = {"model": "tint-model", "messages": [message], "max_tokens": 4}
    body["stream"] = how == "streamed"
    session.call(name, key, node, "POST", "/v1/chat/completions", json=body)


@when(parsers.parse('{name} orders "{text}" with the key "{key}" at {node}'))
def _(session, name, text, key, node):
    headers = {"idempotency-key": key}
    path = "/services/shop-desk/orders"
    session.call(name, CALLER_KEYS[name], node, "POST", path, data=text.encode(), headers=headers)


def _host(session, number, replica):
    groups = session.deployment.nodes[0].replicas.all_groups()
    return next(g for g in groups if g.replica == replica).hosts[number - 1]


@when(parsers.parse("host {number:d} of {replica} dies"))
def _(session, number, replica):
    session.lost = _host(session, number, replica)
    session.transcript.say(f"host {session.lost} dies")
    session.world.kill_host(session.lost)


@when("the lost host comes back")
def _(session):
    session.transcript.say(f"host {session.lost} comes back")
    session.world.restart_host(session.lost)


@when(parsers.parse("{name} plans to drain host {number:d} of {replica} at {node}"))
def _(session, name, number, replica, node):
    session.drained = _host(session, number, replica)
    body = {"drain": [session.drained]}
    reply = session.operate(name, node, f"drain {session.drained}", "POST", "/plans", body)
    session.plans.setdefault(name, []).append(reply.json["id"])


@when(parsers.parse("the table goes down"))
def _(session):
    session.transcript.say("the table goes down")
    session.world.table.fault = Fault.HANG


@when(parsers.parse("the table comes back"))
def _(session):
    session.transcript.say("the table comes back")
    session.world.table.fault = Fault.NONE


@then(parsers.parse("the session is as recorded in {golden}"))
def _(session, golden, file_regression):
    text = "\n".join(session.transcript.lines) + "\n"
    file_regression.check(text, basename=golden, extension=".txt", encoding="utf-8")
