"""Through a tunnel, too, an answer without length is whole only if its request had arrived."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from mulleinreach.common import delivery
from mulleinreach.gateway.connectivity.tests.test_tunnels import HEAD, Tunnelled
from mulleinreach.standins.early_upstream import EarlyEnd, early_upstream

PART = b"part"
UNTIL_CLOSE = HEAD + b"\r\n" + PART
# What the systems between node and upstream take at once, and what they don't.
UPLOADS = [pytest.param(bytes(900_000), id="short"), pytest.param(bytes(32_000_000), id="long")]
HANG_S = 20
# For an upstream whose system has taken the whole upload when it answers.
TAKES_ALL = {"answers_after_s": 0.2, "receive_buffer_bytes": 4_000_000}
# So many that the reset comes first on any machine.
PATIENT_CHECKS = 1000


def upload(answer: bytes, end: EarlyEnd, body: bytes, **options) -> bytes | aiohttp.ClientError:
    """Send a request to an early upstream through a tunnel; returns the body of the answer."""

    async def run() -> bytes | aiohttp.ClientError:
        async with early_upstream(answer, end, len(body), **options) as address:
            world = Tunnelled(upstream=address)
            await world.server.listen(world.server_address)
            try:
                async with asyncio.timeout(HANG_S), world.network.http_client() as session:
                    async with session.post(address.url, data=body) as response:
                        return await response.read()
            except aiohttp.ClientError as error:
                return error
            finally:
                await world.server.close()

    return asyncio.run(run())


# Guards against an end that the tunnel passes on though the request is still on its way.
@pytest.mark.parametrize("end", [EarlyEnd.RESET, EarlyEnd.CLOSE, EarlyEnd.HOLD])
@pytest.mark.parametrize("body", UPLOADS)
def test_end_amid_an_upload_breaks_a_body_without_length(body, end):
    assert isinstance(upload(UNTIL_CLOSE, end, body), aiohttp.ClientError)


# Guards against bytes that the other node has handed to its system, which still keeps them.
def test_close_before_what_was_passed_on_has_arrived_breaks_a_body_without_length():
    result = upload(UNTIL_CLOSE, EarlyEnd.HOLD, bytes(900_000), answers_after_s=0.2)
    assert isinstance(result, aiohttp.ClientError)


# Guards against an upload that the upstream's system has taken whole, and resets unread.
def test_reset_after_a_close_breaks_a_body_without_length(monkeypatch):
    monkeypatch.setattr(delivery, "RESET_CHECKS", PATIENT_CHECKS)
    result = upload(UNTIL_CLOSE, EarlyEnd.CLOSE, bytes(900_000), **TAKES_ALL)
    assert isinstance(result, aiohttp.ClientError)


@pytest.mark.parametrize("body", [b"", b"x", *UPLOADS])
def test_body_without_length_is_whole_if_the_request_was_read(body):
    assert upload(UNTIL_CLOSE, EarlyEnd.READ, body) == PART


@pytest.mark.parametrize("body", UPLOADS)
def test_early_answer_with_a_length_is_whole(body):
    answer = HEAD + b"Content-Length: 4\r\n\r\n" + PART
    assert upload(answer, EarlyEnd.CLOSE, body) == PART
