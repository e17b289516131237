"""Answers without length that end amid their upload, as an exchange reads them."""

from __future__ import annotations

import asyncio

import pytest
from multidict import CIMultiDict

from mulleinreach.common import Network
from mulleinreach.gateway.request.exchange import (
    AnswerCut,
    Answered,
    Broken,
    ExchangeResult,
    OutgoingRequest,
    Streaming,
    UpstreamClient,
)
from mulleinreach.gateway.request.tests.fixed_answers import FIELDS, HANG_S
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.standins.early_upstream import EarlyEnd, early_upstream
from mulleinreach.standins.gateway.dialect import PlainDialect

EVENT = b"id: 1\ndata: x\n\n"
ANSWER = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n" + EVENT
UPLOADS = [pytest.param(bytes(900_000), id="short"), pytest.param(bytes(32_000_000), id="long")]
EARLY_ENDS = [EarlyEnd.RESET, EarlyEnd.CLOSE]


def send(end: EarlyEnd, body: bytes, wants_stream: bool, is_late: bool = False):
    """Send an upload; returns the result, or the bytes of a stream.

    Parameters
    ==========

    is_late : whether a stream is read only after its connection has ended.
    """

    async def run() -> ExchangeResult | bytes:
        async with early_upstream(ANSWER, end, len(body)) as address:
            async with Network().http_client(keeps_connections=False) as session:
                client = UpstreamClient(session, PlainDialect(), lambda upstream, notice: None)
                request = OutgoingRequest("POST", "/a", CIMultiDict(), body, "r")
                async with asyncio.timeout(HANG_S):
                    result = await client.send(
                        Upstream("u", "s", address, "hall"), request, wants_stream
                    )
                    return await read(result) if isinstance(result, Streaming) else result

    async def read(result: Streaming) -> bytes:
        while is_late and result.response.connection is not None:
            await asyncio.sleep(0.01)
        return b"".join([data async for data in result.chunks(lambda silent_s: False)])

    return asyncio.run(run())


# Guards against a caller that gets the part as a whole success.
@pytest.mark.parametrize("end", EARLY_ENDS)
@pytest.mark.parametrize("body", UPLOADS)
def test_plain_answer_is_broken(body, end):
    result = send(end, body, wants_stream=False)
    assert isinstance(result, Broken)
    assert result.is_closed


# Guards against a stream that looks whole to a node which still writes to a slow caller.
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("end", EARLY_ENDS)
@pytest.mark.parametrize("body", UPLOADS)
def test_stream_is_cut(body, end, is_late):
    with pytest.raises(AnswerCut):
        send(end, body, wants_stream=True, is_late=is_late)


@pytest.mark.parametrize("body", UPLOADS)
def test_answer_to_a_request_that_was_read_is_whole(body):
    result = send(EarlyEnd.READ, body, wants_stream=False)
    assert isinstance(result, Answered)
    assert result.body == EVENT
    assert send(EarlyEnd.READ, body, wants_stream=True, is_late=True) == EVENT
