"""When we say that a request was not run, it was in fact not run."""

import asyncio

import aiohttp
import pytest

from mulleinreach.standins.people import demo_intent
from tests.support import run_deployed

ECHO = "/services/shop-desk/batch"
ORDERS = "/services/shop-desk/orders"


def all_ran(d):
    orders = [order for desk in d.world.plain.values() for order in desk.orders]
    return orders + [run for engine in d.world.engines.values() for run in engine.ran]


def set_engines(d, **faults):
    for engine in d.world.engines.values():
        for name, value in faults.items():
            setattr(engine.faults, name, value)


async def plain_order(d):
    return await d.caller.request(d.nodes[0], "POST", ORDERS, data=b"2 tins")


async def model(d):
    return await d.caller.complete(d.nodes[0], "x")


async def model_stream(d):
    return await d.caller.complete(d.nodes[0], "x", stream=True)


def refuse_connections(d):
    for name in [*d.world.plain, *d.world.engines]:
        d.world.links.refuse(name)


def cut_connections(d):
    for name in [*d.world.plain, *d.world.engines]:
        d.world.links.cut(d.nodes[0].name, name)


def break_after_sending(d):
    for desk in d.world.plain.values():
        desk.break_at = "head"
    set_engines(d, cut_at=0, fail=True)


def break_in_body(d):
    for desk in d.world.plain.values():
        desk.break_at = "body"
    set_engines(d, cut_at=2)


def refuse_requests(d):
    set_engines(d, refuse=True)


def answer_garbage(d):
    set_engines(d, garbage=True)


def swap_ids(d):
    set_engines(d, swap_request_id=True)


def stay_silent(d):
    for desk in d.world.plain.values():
        desk.delay_s = 10**6
    set_engines(d, stall_at=0)
    for engine in d.world.engines.values():
        engine.core.slow_factor = 10**6


BREAKS = [
    (refuse_connections, {"not_run"}),
    (cut_connections, {"not_run"}),
    (break_after_sending, {"unknown"}),
    (break_in_body, {"unknown", "ran"}),
    (refuse_requests, {"not_run", "ran"}),
    (answer_garbage, {"unknown", "ran"}),
    (swap_ids, {"unknown", "ran"}),
    (stay_silent, {"unknown"}),
]


def told(reply):
    if isinstance(reply, Exception):
        return "unknown"
    if reply.status == 200 and reply.is_complete and "event: error" not in reply.body:
        return "ran"
    return reply.error["ran"] if reply.is_complete else "unknown"


@pytest.mark.parametrize("ask", [plain_order, model, model_stream])
@pytest.mark.parametrize(("bring_about", "allowed"), BREAKS)
def test_at_each_point_where_a_connection_can_break(bring_about, allowed, ask):
    async def scenario(d):
        bring_about(d)
        reply = await ask(d)
        said = told(reply)
        assert said in allowed, reply
        if said == "not_run":
            assert all_ran(d) == []
        if said == "ran":
            assert all_ran(d)

    run_deployed(scenario)


def test_while_the_request_is_being_sent():
    """A caller's body breaks off: the upstream may have seen some of it."""

    async def scenario(d):
        async def half_a_body():
            yield b"x" * 300_000
            await asyncio.sleep(1)
            raise ConnectionResetError("the caller's network")

        with pytest.raises((aiohttp.ClientError, ConnectionResetError)):
            await d.caller.request(d.nodes[0], "POST", ORDERS, data=half_a_body())
        await asyncio.sleep(1)
        assert all_ran(d) == [], "half a body is not an order"

    run_deployed(scenario)


def test_what_a_caller_was_told_is_in_the_explanation():
    async def scenario(d):
        refuse_requests(d)
        reply = await model(d)
        assert reply.error["ran"] == "not_run"
        request_id = next(iter(d.nodes[0].journal._traces))
        told = await d.operator.request(d.nodes[0], "GET", f"/explain/request/{request_id}")
        assert reply.error["code"] in told.json["lines"][-1]
        assert "not_run" in told.json["lines"][-1]

    run_deployed(scenario)


def test_a_refusal_is_tried_elsewhere_and_then_told_as_not_run():
    async def scenario(d):
        group = d.group(0)
        d.world.engines[group.head].faults.refuse = True
        replies = [await d.caller.complete(d.nodes[0], f"p{i}", max_tokens=1) for i in range(12)]
        assert {reply.status for reply in replies} == {200}
        assert d.world.engines[group.head].ran == []

    run_deployed(scenario)


def test_limits_and_bad_requests_run_nothing():
    async def scenario(d):
        bad = [
            await d.caller.request(d.nodes[0], "POST", "/v1/completions", data=b"no json"),
            await d.caller.complete(d.nodes[0], "x", max_tokens="many"),
            await d.caller.request(d.nodes[0], "POST", "/v1/completions", json={"model": "other"}),
            await d.caller.request(d.nodes[0], "GET", "/services/other/x"),
        ]
        assert [reply.error["ran"] for reply in bad] == ["not_run"] * 4
        assert all_ran(d) == []

    run_deployed(scenario, intent=demo_intent(4))
