"""Answers that come while their request is still being written, over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest

from mulleinreach.common import Network, delivery
from mulleinreach.common.calls import CallFailed, HttpClient
from mulleinreach.common.responses import Response
from mulleinreach.requests.answers import read_bounded
from mulleinreach.standins.early_upstream import EarlyEnd, early_upstream

PART = b"part"
OK = b"HTTP/1.1 200 OK\r\n"
# Neither a length nor chunks: the end of the connection is the end of the body.
UNTIL_CLOSE = OK + b"\r\n" + PART
# The first is taken by the kernel at once, the second isn't.
UPLOADS = [pytest.param(bytes(900_000), id="short"), pytest.param(bytes(32_000_000), id="long")]
HANG_S = 20
# For a server whose system has taken the whole upload when it answers.
TAKES_ALL = {"answers_after_s": 0.2, "receive_buffer_bytes": 4_000_000}
# So many that the reset comes first on any machine.
PATIENT_CHECKS = 1000
Read = Callable[[Response], Awaitable[bytes]]


async def read(response: Response) -> bytes:
    return await response.read()


async def read_with_limit(response: Response) -> bytes:
    return await read_bounded(response, 1000)


async def read_parts(response: Response) -> bytes:
    parts = [part async for part in response.content.iter_any()]
    response.check_complete()
    return b"".join(parts)


READERS = [read, read_with_limit, read_parts]


def upload(
    answer: bytes, end: EarlyEnd, body: bytes, read: Read, is_late: bool = False
) -> bytes | aiohttp.ClientError:
    """Send a request to an early upstream; returns what a reader makes of the answer.

    Parameters
    ==========

    is_late : whether the body is read only after the connection has ended.
    """

    async def run() -> bytes | aiohttp.ClientError:
        async with early_upstream(answer, end, len(body)) as address:
            async with Network().http_client() as session:
                async with asyncio.timeout(HANG_S):
                    async with session.post(address.url, data=body) as response:
                        while is_late and response.connection is not None:
                            await asyncio.sleep(0.01)
                        try:
                            return await read(response)
                        except aiohttp.ClientError as error:
                            return error

    return asyncio.run(run())


# Guards against a reset that is forgotten once the writer of the request has ended.
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("body", UPLOADS)
def test_reset_amid_an_upload_breaks_a_body_without_length(body, read, is_late):
    result = upload(UNTIL_CLOSE, EarlyEnd.RESET, body, read, is_late)
    assert isinstance(result, aiohttp.ClientPayloadError)


# Guards against an answer that is whole since its connection was closed before it was reset, and
# against a wait for a reset that doesn't come.
@pytest.mark.parametrize("end", [EarlyEnd.CLOSE, EarlyEnd.HOLD])
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("body", UPLOADS)
def test_close_amid_an_upload_breaks_a_body_without_length(body, read, is_late, end):
    result = upload(UNTIL_CLOSE, end, body, read, is_late)
    assert isinstance(result, aiohttp.ClientPayloadError)


# Guards against an upload that the server's system has taken whole, and resets unread.
@pytest.mark.parametrize("read", READERS)
def test_reset_after_a_close_breaks_a_body_without_length(read, monkeypatch):
    monkeypatch.setattr(delivery, "RESET_CHECKS", PATIENT_CHECKS)

    async def run() -> None:
        async with early_upstream(UNTIL_CLOSE, EarlyEnd.CLOSE, **TAKES_ALL) as address:
            async with Network().http_client() as session, asyncio.timeout(HANG_S):
                async with session.post(address.url, data=bytes(900_000)) as response:
                    with pytest.raises(aiohttp.ClientPayloadError):
                        await read(response)

    asyncio.run(run())


# Guards against an upload of which everything has arrived that was written so far.
@pytest.mark.parametrize("read", READERS)
def test_close_before_the_rest_of_an_upload_is_written_breaks_a_body_without_length(read):
    async def run() -> None:
        ended = asyncio.Event()

        async def parts() -> AsyncIterator[bytes]:
            yield PART
            await ended.wait()

        async with early_upstream(UNTIL_CLOSE, EarlyEnd.READ) as address:
            async with Network().http_client() as session, asyncio.timeout(HANG_S):
                async with session.post(address.url, data=parts()) as response:
                    with pytest.raises(aiohttp.ClientPayloadError):
                        await read(response)
                ended.set()

    asyncio.run(run())


@pytest.mark.parametrize("end", [EarlyEnd.RESET, EarlyEnd.CLOSE])
@pytest.mark.parametrize("body", UPLOADS)
def test_call_whose_answer_ends_amid_its_upload_has_failed(body, end):
    async def run():
        async with early_upstream(UNTIL_CLOSE, end) as address:
            client = HttpClient(Network().http_client)
            try:
                return await client.request("PUT", address.url, timeout_s=HANG_S, data=body)
            finally:
                await client.close()

    assert isinstance(asyncio.run(run()), CallFailed)


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("body", [b"", b"x", *UPLOADS])
def test_body_without_length_is_whole_if_the_request_was_read(body, read, is_late):
    assert upload(UNTIL_CLOSE, EarlyEnd.READ, body, read, is_late) == PART


@pytest.mark.parametrize("end", [EarlyEnd.RESET, EarlyEnd.CLOSE])
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(OK + b"Content-Length: 4\r\n\r\n" + PART, id="length"),
        pytest.param(OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", id="chunks"),
    ],
)
@pytest.mark.parametrize("body", UPLOADS)
def test_whole_body_of_an_early_answer_is_whole(body, answer, end):
    assert upload(answer, end, body, read) == PART


@pytest.mark.parametrize("status", [b"413", b"429", b"503"])
def test_early_refusal_is_an_answer_though_the_upload_was_not_received(status):
    refusal = b"HTTP/1.1 %s X\r\n\r\n" % status + PART
    assert upload(refusal, EarlyEnd.CLOSE, bytes(900_000), read) == PART
