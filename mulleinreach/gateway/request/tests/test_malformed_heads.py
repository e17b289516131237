"""An answer with a malformed line in its head reaches nobody, at a whole node and elsewhere."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from mulleinreach.gateway.ports import NoAnswer, Unavailable
from mulleinreach.gateway.request.exchange import Broken
from mulleinreach.gateway.request.tests.fixed_answers import (
    FIELDS,
    order,
    read_report,
    read_row,
    send,
)
from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    echo_path,
    start_plain_upstreams,
)
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import REQUEST_ID, SIGNATURE

ODD_NAMES = [
    b"Connection : close",
    b"Proxy-Connection : close",
    b"Upgrade : h2c",
    b"X-Odd : a",
    b"X Odd: a",
    b"X-O\x01dd: a",
    b"X-O\x7fdd: a",
    b" X-Odd: a",
    b"\tX-Odd: a",
]
ODD_VALUES = [b"X-Odd: a\x01b", b"X-Odd: a\x0bb", b"X-Odd: a\x7fb", b"X-Odd: \x1b[1m"]
MALFORMED = [pytest.param(line, id=repr(line)) for line in ODD_NAMES + ODD_VALUES]


def answer_with(line: bytes, fields: bytes = FIELDS) -> bytes:
    """Return a response with a further line at the end of its head."""
    return b"HTTP/1.1 200 OK\r\n" + fields + line + b"\r\nContent-Length: 2\r\n\r\n{}"


def upstream_with(line: bytes):
    """Return a handler of an upstream whose answers hold the line."""

    async def handle(request: web.BaseRequest) -> web.Response:
        await request.read()
        own = f"{REQUEST_ID}: {request.headers[REQUEST_ID]}\r\n{SIGNATURE}: s\r\n"
        request.transport.write(answer_with(line, own.encode()))
        await asyncio.sleep(3600)
        return web.Response()

    return handle


# Guards against callers that get the line, or fields that the upstream never sent, and against a
# closed connection in place of an answer, since the line can't be passed on.
@pytest.mark.parametrize("line", MALFORMED)
def test_caller_gets_no_success(line):
    async def test(world):
        await start_plain_upstreams(world, upstream_with(line))
        answer = await world.call("/order/1", b"tins", deadline_s=2.0)
        assert (answer.status, answer.body) == (502, b"")

    run_world(test, **NO_HOSTS)


@pytest.mark.parametrize("line", MALFORMED)
def test_request_that_may_be_repeated_is_served_by_another_upstream(line):
    async def test(world):
        await start_plain_upstreams(world, upstream_with(line), echo_path)
        for _ in range(4):
            answer = await world.call("/stock/1", b"tins", deadline_s=2.0)
            assert (answer.status, answer.body) == (200, b"/stock/1")

    run_world(test, **NO_HOSTS)


@pytest.mark.parametrize("wants_stream", [False, True])
@pytest.mark.parametrize("line", MALFORMED)
def test_exchange_is_broken(line, wants_stream):
    result = send(answer_with(line), wants_stream)
    assert isinstance(result, Broken)
    assert "malformed line" in result.reason


# Guards against an order that is taken for accepted by an answer that can't be read.
@pytest.mark.parametrize("line", MALFORMED)
def test_order_has_no_answer(line):
    result = order(answer_with(line))
    assert isinstance(result, NoAnswer)
    assert "malformed line" in result.reason


@pytest.mark.parametrize("line", MALFORMED)
def test_report_is_unavailable(line):
    result = read_report(answer_with(line))
    assert isinstance(result, Unavailable)
    assert "malformed line" in result.reason


@pytest.mark.parametrize("line", MALFORMED)
def test_row_is_unavailable(line):
    result = read_row(answer_with(line))
    assert isinstance(result, Unavailable)
    assert "malformed line" in result.reason
