"""Invalid rows of other writers are rejected and don't affect valid ones."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinreach.common.checked import CheckError
from mulleinreach.gateway.upstream import Membership, MemberState
from mulleinreach.platform.rows import parse_report, parse_upstream
from mulleinreach.platform.tests.port_kinds import HOST, PlatformPorts, run_ports
from mulleinreach.platform.tests.standin import row_of

MEMBER = replace(HOST, membership=Membership("g1", 7, 0, MemberState.OPEN), models=("wide",))
SOUND = row_of(MEMBER)
REQUIRED_FIELDS = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "seq",
]
INVALID_FIELDS = [
    ("service", 7),
    ("service", ""),
    ("service", "a\nb"),
    ("address", "nowhere"),
    ("address", "10.0.0.1:99999"),
    ("address", "10.0.0.1\r\nX: y:80"),
    ("address", ["10.0.0.1", 80]),
    ("zone", None),
    ("version", 3),
    ("slots", "13"),
    ("slots", 13.5),
    ("slots", True),
    ("slots", 0),
    ("state", "resting"),
    ("state", None),
    ("cold_remaining_ms", "0"),
    ("cold_remaining_ms", float("nan")),
    ("cold_remaining_ms", -1),
    ("seq", "4"),
    ("seq", -1),
    ("born", "1790000000000"),
    ("born", 1790000000000.5),
    ("born", True),
    ("models", "wide"),
    ("models", [{"version": 1}]),
    ("models", [7]),
    ("staged", [7]),
    ("domain", 4),
    ("group", "g1"),
    ("group", {"name": "g1", "epoch": "7", "rank": 0, "state": "open"}),
    ("group", {"name": "g1", "epoch": 7, "rank": -1, "state": "open"}),
    ("group", {"name": "g1", "epoch": 2**64, "rank": 0, "state": "open"}),
    ("group", {"name": "g1", "epoch": 7, "rank": 0, "state": "resting"}),
    ("group", {"name": "g1", "epoch": 7, "rank": 0}),
]


def test_valid_row_is_parsed():
    assert parse_upstream("u-1", SOUND) == replace(MEMBER, id="u-1")


@pytest.mark.parametrize("field", REQUIRED_FIELDS)
def test_row_without_a_required_field_is_rejected(field):
    with pytest.raises(CheckError, match=field):
        parse_upstream("u-1", {k: v for k, v in SOUND.items() if k != field})


@pytest.mark.parametrize(("field", "value"), INVALID_FIELDS)
def test_row_with_an_invalid_field_is_rejected(field, value):
    with pytest.raises(CheckError, match=field):
        parse_upstream("u-1", {**SOUND, field: value})


@pytest.mark.parametrize("key", ["", "a b", "u\n1", "u@17"])
def test_row_with_an_invalid_key_is_rejected(key):
    with pytest.raises(CheckError):
        parse_upstream(key, SOUND)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@given(field=st.sampled_from(sorted(SOUND)), value=json_values)
def test_no_value_of_a_field_raises_anything_else(field, value):
    try:
        upstream = parse_upstream("u-1", {**SOUND, field: value})
    except CheckError:
        return
    assert upstream.slots >= 1
    str(upstream).encode()


@given(raw=json_values)
def test_no_row_and_no_report_raises_anything_else(raw):
    for parse in (lambda: parse_upstream("u-1", raw), lambda: parse_report(HOST, raw)):
        try:
            parse()
        except CheckError:
            continue


INVALID_ROWS = [
    {"service": "s", "address": "nowhere"},
    ["a", "list"],
    b"no base64 \xc3\xa4",
    b"W1tb",
    "text",
    {**SOUND, "state": "resting"},
]


@pytest.mark.parametrize("value", INVALID_ROWS, ids=str)
def test_invalid_row_removes_its_upstream_and_no_other(value):
    async def test(ports):
        for number in range(3):
            ports.put_upstream(replace(HOST, id=f"u-{number}"))
        before = await ports.upstreams.read()
        ports.memory.put("servers", "u-1", value)
        changed = await ports.upstreams.wait(before.revision, 1.0)
        assert (changed.upstreams, changed.removed) == ([], ["u-1"])
        assert [row.name for row in changed.unusable] == ["u-1"]
        whole = await ports.upstreams.read()
        assert [u.id for u in whole.upstreams] == ["u-0", "u-2"]
        assert [row.name for row in whole.unusable] == ["u-1"]
        # A valid row that replaces it is used immediately.
        ports.put_upstream(replace(HOST, id="u-1"))
        back = await ports.upstreams.wait(whole.revision, 1.0)
        assert [u.id for u in back.upstreams] == ["u-1"]
        assert back.unusable == []

    run_ports(PlatformPorts, test)


def test_too_deeply_nested_row_is_unusable():
    import base64

    deep = base64.b64encode(b"[" * 40_000)

    async def test(ports):
        ports.put_upstream(replace(HOST, id="u-0"))
        ports.memory.put("servers", "u-1", deep)
        whole = await ports.upstreams.read()
        assert [u.id for u in whole.upstreams] == ["u-0"]
        assert [row.name for row in whole.unusable] == ["u-1"]

    run_ports(PlatformPorts, test)


def test_reports_with_invalid_fields_are_rejected():
    report = {**SOUND, "pace": 1.5, "in_flight": False}
    assert parse_report(HOST, report).pace == 1.5
    for invalid in ({"pace": "1"}, {"pace": 0}, {"models": 3}, {"group": {"name": "g"}}):
        with pytest.raises(CheckError):
            parse_report(HOST, {**report, **invalid})


# Guards against a head that counts as idle while requests wait in its queue.
@pytest.mark.parametrize(
    ("told", "running"), [({}, 0), ({"active": 2}, 2), ({"queued": 3, "active": 2}, 5)]
)
def test_report_counts_queued_and_active_requests(told, running):
    assert parse_report(HOST, {**SOUND, "pace": 1.0, **told}).running == running


def test_start_time_is_part_of_an_upstreams_id():
    first = parse_upstream("u-1", {**SOUND, "born": 1_790_000_000_000})
    restarted = parse_upstream("u-1", {**SOUND, "born": 1_790_000_000_001})
    assert first.id != restarted.id
    assert json.dumps(first.id)
    with pytest.raises(CheckError, match="has restarted"):
        parse_report(first, {**SOUND, "pace": 1.0, "born": 1_790_000_000_001})
    assert parse_report(first, {**SOUND, "pace": 1.0, "born": 1_790_000_000_000}).id == first.id
    assert parse_report(first, {**SOUND, "pace": 1.0}).id == first.id
