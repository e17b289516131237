"""Bad input gets a clear error with a code, and nothing is lost or changed."""

import pytest
from typer.testing import CliRunner

from mulleinreach.cli.main import app
from mulleinreach.standins.people import Caller, demo_intent
from tests.support import run_deployed

MESSAGES = [{"role": "user", "content": "x"}]

BAD_BODIES = [
    (b"no json", 400, "bad_request", "not JSON"),
    (b"[1]", 400, "bad_request", "list"),
    (b'{"a":' * 40 + b"1" + b"}" * 40, 400, "bad_request", "deeper than 32"),
    (b'{"messages": []}', 400, "bad_request", "'model'"),
    (b'{"model": "tint-model"}', 400, "bad_request", "'messages'"),
    (b'{"model": "tint-model", "messages": [1]}', 400, "bad_request", "messages[0]"),
    (b'{"model": "tint-model", "messages": "x", "stream": 1}', 400, "bad_request", "'stream'"),
    (b'{"model": "other", "messages": [{"role": "user"}]}', 404, "unknown_model", "'other'"),
    (b"x" * 5_000_000, 413, "body_too_large", "4000000"),
]


@pytest.mark.parametrize(("body", "status", "code", "said"), BAD_BODIES)
def test_bodies(body, status, code, said):
    async def scenario(d):
        path = "/v1/chat/completions"
        reply = await d.caller.request(d.nodes[0], "POST", path, data=body)
        assert (reply.status, reply.error["code"]) == (status, code)
        assert said in reply.error["message"]
        assert reply.error["ran"] == "not_run"

    run_deployed(scenario)


def test_keys_paths_and_headers():
    async def scenario(d):
        node = d.nodes[0]
        stranger = Caller(d.world, "no such key")
        replies = [
            await stranger.request(node, "GET", "/v1/models"),
            await d.caller.request(node, "GET", "/v2/models"),
            await d.caller.request(node, "GET", "/v1/completions"),
            await d.caller.complete(node, "x", headers={"idempotency-key": "k" * 300}),
            await d.caller.complete(node, "x", headers={"x-deadline-ms": "soon"}),
        ]
        await stranger.close()
        told = [(reply.status, reply.error["code"]) for reply in replies]
        assert told == [
            (401, "unauthenticated"),
            (404, "not_found"),
            (405, "not_found"),
            (400, "bad_request"),
            (400, "bad_request"),
        ]

    run_deployed(scenario)


BAD_INTENTS = [
    ({"services": [{"name": "a", "kind": "model", "replicas": 1}]}, 400, "names no model"),
    ({"organisations": [{"name": "a", "key_sha256": ["plain"]}]}, 400, "key_sha256"),
    ({"colour": 1}, 400, "colour: unknown key"),
    (demo_intent(7, 4), 422, "6 of 7 replicas fit; the other 1 need 4 hosts"),
    (demo_intent(1, 13), 422, "the fullest domain lacks 1"),
    ({"services": demo_intent()["services"] * 2}, 400, "stands twice"),
]


@pytest.mark.parametrize(("changes", "status", "said"), BAD_INTENTS)
def test_intents_that_are_wrong_or_cannot_be_met(changes, status, said):
    async def scenario(d):
        before = dict(d.world.table.rows)
        reply = await d.operator.plan(d.nodes[0], intent={"kind": "intent", **changes})
        assert reply.status == status, reply.body
        assert said in reply.error["message"]
        assert d.world.table.values("plans/") == {
            key: value for key, (_, value) in before.items() if key.startswith("plans/")
        }

    run_deployed(scenario)


def test_plans_that_do_not_exist_or_have_expired():
    async def scenario(d):
        missing = await d.operator.confirm(d.nodes[0], "no-such-plan")
        assert (missing.status, missing.error["code"]) == (404, "not_found")
        plan = await d.operator.plan(d.nodes[0], intent=demo_intent(3))
        d.world.clock.START += 901  # wall time only: nothing else has to pass
        late = await d.operator.confirm(d.nodes[0], plan.json["id"])
        assert (late.status, late.error["code"]) == (409, "plan_expired")

    run_deployed(scenario)


GOOD_NODE = """\
kind: node
deployment: test
node: {name: a-1, hall: a, region: r}
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
platform: {table: "127.0.0.1:4", objects: "127.0.0.1:5", host_list: "127.0.0.1:6"}
operators: [{name: amaka, role: operator, token_sha256: "%s"}]
peer_keys: [{id: k1, secret: "env:X"}]
""" % ("0" * 64)

BAD_SETTINGS = [
    (GOOD_NODE, 0, "correct settings"),
    (GOOD_NODE + "colour: red\n", 3, "colour: unknown key, value 'red'"),
    (GOOD_NODE + "kind: node\n", 3, "duplicate key 'kind' on line 8"),
    (GOOD_NODE.replace("127.0.0.1:1", "here"), 3, "listen.callers: wrong value 'here'"),
    (GOOD_NODE.replace("role: operator", "role: king"), 3, "'viewer' or 'operator'"),
    (GOOD_NODE.replace("region: r", "region: R"), 3, "node.region: wrong value 'R'"),
    (GOOD_NODE + "timing: {evidence_fresh_s: 0.5}\n", 3, "must exceed twice peer_ping_s"),
    (GOOD_NODE.replace("deployment: test\n", ""), 3, "deployment: is required"),
    ("kind: other\n", 3, "wrong value 'other'"),
    ("[", 3, "expected the node content"),
]


@pytest.mark.parametrize(("text", "code", "said"), BAD_SETTINGS)
def test_settings(tmp_path, text, code, said):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    result = CliRunner().invoke(app, ["settings", "check", str(path)])
    assert result.exit_code == code, result.output
    assert said in result.output
    assert str(path) in result.output


@pytest.mark.parametrize("deployment", ["tint-desk", "kozha-optika"])
@pytest.mark.parametrize("file", ["node.yaml", "intent.yaml"])
def test_the_example_settings_are_correct(deployment, file):
    result = CliRunner().invoke(app, ["settings", "check", f"examples/{deployment}/{file}"])
    assert result.exit_code == 0, result.output
