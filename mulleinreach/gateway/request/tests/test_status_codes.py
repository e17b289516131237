"""Only what has the status of a final response is an answer, over real sockets."""

from __future__ import annotations

import asyncio

import pytest
from multidict import CIMultiDict

from mulleinreach.common import Address, Network
from mulleinreach.gateway.ports import NoAnswer, Unavailable
from mulleinreach.gateway.request.exchange import (
    Answered,
    Broken,
    ExchangeResult,
    OutgoingRequest,
    UpstreamClient,
)
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.platform.orders import PlatformOrders
from mulleinreach.platform.store import PlatformStore
from mulleinreach.standins.gateway.dialect import PlainDialect

FIELDS = b"X-Signature: s\r\nX-Request-Id: r\r\n"
BODY = b"Content-Length: 2\r\n\r\nok"
BODILESS = ("204", "304")
# Outside of the classes of RFC 9110, section 15; 101 answers only who asks for an upgrade.
NO_STATUSES = ["000", "001", "099", "101", "600", "700", "999"]
FINAL_STATUSES = [200, 204, 205, 299, 304, 404, 499, 500, 503, 599]
# Only a hang takes it.
HANG_S = 20


class StatusServer:
    """Answers each request with the same bytes, and leaves the connection open."""

    def __init__(self, answer: bytes):
        self._answer = answer
        self._done = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Answer one request."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._answer)
        await writer.drain()
        await self._done.wait()
        writer.close()

    def end(self) -> None:
        """Close the connections."""
        self._done.set()


def answer_with(status: str) -> bytes:
    """Return a whole response with a status."""
    body = b"\r\n" if status in BODILESS else BODY
    return b"HTTP/1.1 %s X\r\n" % status.encode() + FIELDS + body


def ask(answer: bytes, call):
    """Run a call with the address of a server that answers so; it must end by itself."""

    async def run():
        handler = StatusServer(answer)
        server = await asyncio.start_server(handler.serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        try:
            async with asyncio.timeout(HANG_S):
                return await call(address)
        finally:
            handler.end()
            server.close()

    return asyncio.run(run())


def send(answer: bytes, wants_stream: bool = False) -> ExchangeResult:
    """Send a request to a server that answers so."""

    async def call(address: Address):
        session = Network().http_client(1.0)
        try:
            client = UpstreamClient(session, PlainDialect(), lambda upstream, notice: None)
            request = OutgoingRequest("GET", "/", CIMultiDict(), b"", "r")
            return await client.send(Upstream("u", "s", address, "h"), request, wants_stream)
        finally:
            await session.close()

    return ask(answer, call)


# Guards against callers that get a status which is none, and against waiting for another answer.
@pytest.mark.parametrize("wants_stream", [False, True])
@pytest.mark.parametrize("status", NO_STATUSES)
def test_response_without_a_final_status_is_a_broken_answer(status, wants_stream):
    result = send(answer_with(status), wants_stream)
    assert isinstance(result, Broken)
    assert f"status {int(status)}" in result.reason


def test_whole_response_behind_one_without_a_final_status_is_no_answer():
    assert isinstance(send(answer_with("000") + answer_with("200")), Broken)


@pytest.mark.parametrize("status", ["100", "102", "103", "199"])
def test_informational_response_is_followed_by_the_answer(status):
    result = send(b"HTTP/1.1 %s X\r\n\r\n" % status.encode() + answer_with("200"))
    assert isinstance(result, Answered)
    assert (result.status, result.body) == (200, b"ok")


@pytest.mark.parametrize("status", FINAL_STATUSES)
def test_response_with_a_final_status_is_the_answer(status):
    result = send(answer_with(str(status)))
    assert isinstance(result, Answered)
    assert result.status == status


# Guards against an order that is taken for rejected though its host may have carried it out.
@pytest.mark.parametrize("status", NO_STATUSES)
def test_order_without_a_final_status_has_no_answer(status):
    async def call(address: Address):
        network = Network("test")
        orders = PlatformOrders(network.http_client, sends_token=True)
        return await orders.leave(Upstream("u", "s", address, "h"), "g", 1, 1)

    result = ask(answer_with(status), call)
    assert isinstance(result, NoAnswer)
    assert f"status {int(status)}" in result.reason


@pytest.mark.parametrize("status", NO_STATUSES)
def test_report_without_a_final_status_is_unavailable(status):
    async def call(address: Address):
        orders = PlatformOrders(Network("test").http_client, sends_token=True)
        return await orders._read_report(orders._fresh_session, Upstream("u", "s", address, "h"))

    result = ask(answer_with(status), call)
    assert isinstance(result, Unavailable)
    assert f"status {int(status)}" in result.reason


@pytest.mark.parametrize("status", NO_STATUSES)
def test_store_without_a_final_status_is_unavailable(status):
    async def call(address: Address):
        store = PlatformStore(Network("test").http_client, address)
        try:
            return await store.read_row("servers", "k")
        finally:
            await store.close()

    result = ask(answer_with(status), call)
    assert isinstance(result, Unavailable)
    assert f"status {int(status)}" in result.reason
