"""Crowds at a real gateway: it lives, keeps its machine's limits, and serves others afterwards.

The crowds and the bounds are fixed; nothing here depends on how fast a machine is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest

from mulleinreach.platform.tests.crowds.crowd import (
    Crowd,
    chunks_of_one_byte,
    head,
    large_fields,
    request,
    stream,
)
from mulleinreach.platform.tests.crowds.gateway import (
    CrowdedGateway,
    MachineLimits,
    crowded_gateway,
    starting_gateway,
)
from mulleinreach.platform.tests.soak.document import CallerLimits

pytestmark = pytest.mark.crowd

USUAL_LIMITS = MachineLimits()
FEW_DESCRIPTORS = MachineLimits(descriptors=256)
LARGE_BODY = b"b" * 900_000
HUGE_BODY = b"b" * 4_000_000
WEBSOCKET = [("Connection", "Upgrade"), ("Upgrade", "websocket")]
EXPECTATION = [("Expect", "100-continue"), ("Content-Length", "900000")]
OPENINGS = {
    "upgrade": request("/order/1", b"", WEBSOCKET),
    "connect": head("CONNECT", "soak.example:80"),
    "expect": head("POST", "/order/1", EXPECTATION),
    "http-1.0": request("/order/1", LARGE_BODY).replace(b"HTTP/1.1", b"HTTP/1.0"),
}


def check_crowd(
    payloads: Iterable[Iterable[bytes]],
    limits: MachineLimits = USUAL_LIMITS,
    caller_limits: CallerLimits = CallerLimits(),
    leaves_in_answer: bool = False,
) -> None:
    """Let a crowd send its payloads, and check the gateway while the crowd stays or has left."""

    async def run() -> None:
        async with crowded_gateway(limits, caller_limits) as gateway:
            crowd = Crowd(gateway.callers_address)
            await crowd.send(payloads)
            if leaves_in_answer:
                await crowd.until_answered()
                crowd.leave()
            await check_gateway(gateway)
            crowd.leave()

    asyncio.run(run())


async def check_gateway(gateway: CrowdedGateway) -> None:
    """Check that a gateway lives within its limits and serves ordinary callers."""
    assert gateway.is_running()
    assert await gateway.serve_ordinary_request("order")
    assert await gateway.serve_ordinary_request("stream")
    assert gateway.is_running()
    assert gateway.broken_limits() == []
    assert "Traceback" not in gateway.log()


# Guards against large heads that are read ahead of a request in progress.
def test_large_heads_sent_ahead_on_few_connections_stay_within_memory():
    ahead = [request("/stock/1", b"", large_fields(100, 60_000)) for _ in range(12)]
    check_crowd([[stream(), *ahead] for _ in range(2)])


# Guards against many small heads that are read ahead of requests in progress.
def test_small_heads_sent_ahead_on_many_connections_stay_within_memory():
    ahead = b"".join(request("/stock/1", b"", large_fields(100, 100)) for _ in range(40))
    check_crowd([[stream(), ahead] for _ in range(100)])


# Guards against the sum of bodies that are read at the same time.
def test_large_orders_sent_ahead_on_many_connections_stay_within_memory():
    orders = [request("/order/1", LARGE_BODY) for _ in range(3)]
    check_crowd([orders for _ in range(100)])


# Guards against the sum of bodies whose ends never come.
def test_bodies_held_before_their_end_stay_within_memory():
    check_crowd([[request("/order/1", LARGE_BODY)[:-1]] for _ in range(200)])


# Guards against the sum of bodies of the largest size that a request may have.
def test_bodies_of_the_largest_size_held_before_their_end_stay_within_memory():
    check_crowd([[request("/order/1", HUGE_BODY)[:-1]] for _ in range(40)])


# Guards against callers' connections that take the descriptors of all others.
def test_connections_that_send_nothing_leave_descriptors_for_others():
    check_crowd([[] for _ in range(400)], FEW_DESCRIPTORS)


# Guards against half heads that take the descriptors of all others.
def test_heads_held_before_their_end_leave_descriptors_for_others():
    half = head("POST", "/order/1")[:-2]
    check_crowd([[half] for _ in range(400)], FEW_DESCRIPTORS)


# Guards against unread streams that take the descriptors of all others.
def test_unread_streams_leave_descriptors_for_others():
    check_crowd([[stream()] for _ in range(400)], FEW_DESCRIPTORS)


# Guards against answers that stay in memory since nobody reads them.
def test_large_answers_that_are_not_read_stay_within_memory():
    check_crowd([[request("/order/1", LARGE_BODY)] for _ in range(150)])


# Guards against bodies in very small chunks, which take long to parse.
def test_bodies_in_chunks_of_one_byte_stay_within_memory():
    check_crowd([chunks_of_one_byte(200_000) for _ in range(40)])


# Guards against a traceback in the log for each request with too many header fields.
def test_heads_with_too_many_fields_are_logged_in_a_line_each():
    heads = [[request("/order/1", b"", large_fields(500, 10))] for _ in range(200)]
    check_crowd(heads)


# Guards against a traceback in the log for each caller that leaves in the middle of its answer.
def test_callers_that_leave_in_mid_stream_are_logged_in_a_line_each():
    check_crowd([[stream()] for _ in range(300)], leaves_in_answer=True)


# Guards against requests without a known route or key that are read ahead of their answers.
def test_unknown_requests_sent_ahead_stay_within_memory():
    unknown = b"".join(request("/nowhere", b"", large_fields(100, 100)) for _ in range(400))
    check_crowd([[unknown] for _ in range(100)])


# Guards against bytes that are kept for another protocol, which a client only asks for.
@pytest.mark.parametrize("opening", ["upgrade", "connect", "expect", "http-1.0"])
def test_bytes_after_a_request_for_another_protocol_stay_within_memory(opening):
    check_crowd([[OPENINGS[opening], LARGE_BODY, LARGE_BODY] for _ in range(150)])


# Guards against connections to another port than the callers' that take all descriptors.
def test_connections_for_readiness_that_send_nothing_leave_descriptors_for_others():
    async def run() -> None:
        async with crowded_gateway(FEW_DESCRIPTORS, CallerLimits()) as gateway:
            crowd = Crowd(gateway.readiness_address)
            await crowd.send([[] for _ in range(400)])
            await check_gateway(gateway)
            crowd.leave()

    asyncio.run(run())


# Guards against a crowd that comes before the gateway has read its configuration.
def test_crowd_at_the_start_of_a_gateway_keeps_nobody_else_out():
    async def run() -> None:
        async with starting_gateway(USUAL_LIMITS, CallerLimits()) as gateway:
            crowd = Crowd(gateway.callers_address)
            ahead = b"".join(request("/stock/1", b"", large_fields(100, 100)) for _ in range(40))
            orders = [request("/order/1", LARGE_BODY)[:-1]] * 100
            while crowd.is_refused:
                await asyncio.sleep(0.1)
                await crowd.send([[ahead] for _ in range(100)] + [[order] for order in orders])
            await check_gateway(gateway)
            crowd.leave()

    asyncio.run(run())


# Guards against requests that go on at a gateway after their callers have left.
def test_callers_that_send_and_leave_again_and_again_keep_nobody_else_out():
    async def run() -> None:
        async with crowded_gateway(USUAL_LIMITS, CallerLimits()) as gateway:
            crowd = Crowd(gateway.callers_address)
            for _ in range(20):
                await crowd.send([[stream()] for _ in range(30)])
                await crowd.send([[request("/order/1", LARGE_BODY)] for _ in range(10)])
                crowd.leave()
            await check_gateway(gateway)

    asyncio.run(run())


# Guards against a crowd that keeps a stopping gateway from ending.
def test_gateway_with_a_crowd_ends_when_it_is_stopped():
    async def run() -> None:
        async with crowded_gateway(USUAL_LIMITS, CallerLimits()) as gateway:
            crowd = Crowd(gateway.callers_address)
            held = request("/order/1", LARGE_BODY)[:-1]
            ahead = request("/stock/1", b"", large_fields(100, 100))
            await crowd.send([[stream(), ahead] for _ in range(50)] + [[held]] * 20)
            assert await gateway.stop() == 0
            assert "Traceback" not in gateway.log()
            crowd.leave()

    asyncio.run(run())
