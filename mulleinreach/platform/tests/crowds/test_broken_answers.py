"""Replicas whose answers are broken, at a real gateway: no caller gets one as an answer."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from http import HTTPStatus

import pytest

from mulleinreach.platform.dialect import SIGNATURE
from mulleinreach.platform.tests.crowds.crowd import request
from mulleinreach.platform.tests.crowds.gateway import (
    CrowdedGateway,
    MachineLimits,
    PlainBuffer,
    crowded_gateway,
)
from mulleinreach.platform.tests.soak.broken_answers import BrokenAnswer
from mulleinreach.platform.tests.soak.document import CallerLimits
from mulleinreach.platform.tests.soak.plain import BROKEN_PARAMETER
from mulleinreach.standins.raw_connection import RawAnswer, RawConnection

pytestmark = pytest.mark.crowd

# A request that may run once only, and one that may be repeated.
PATHS = ["/order/1", "/stock/1"]
UPLOADS = [b"", bytes(50_000), bytes(900_000)]
REPEATS = 10
ORDINARY_REQUESTS = 10
CUT = (BrokenAnswer.RESET, BrokenAnswer.CLOSE)


async def call(gateway: CrowdedGateway, path: str, body: bytes) -> RawAnswer | None:
    """Send a request on a connection of its own; ``None`` if it ends without a whole answer."""
    connection = await RawConnection.open(gateway.callers_address)
    try:
        await connection.write(request(path, body))
        return await connection.read_answer()
    finally:
        connection.close()


def bodies_for(how: BrokenAnswer) -> list[bytes]:
    """Return what to send; an answer can be cut amid an upload only if that is long."""
    return UPLOADS[-1:] if how in CUT else UPLOADS


def is_own_failure(answer: RawAnswer | None) -> bool:
    """Whether a gateway has answered that it got no answer."""
    has_nothing_else = (
        answer is not None and not answer.body and SIGNATURE.lower() not in answer.fields
    )
    return has_nothing_else and answer.status == HTTPStatus.BAD_GATEWAY


# Guards against parts, spoilt heads and statuses that are none, each of which reached callers.
@pytest.mark.parametrize("buffer", PlainBuffer)
def test_no_caller_gets_a_broken_answer(buffer):
    async def test():
        async with crowded_gateway(MachineLimits(), CallerLimits(), buffer) as gateway:
            passed_on = Counter()
            for how, path in itertools.product(BrokenAnswer, PATHS):
                for body in bodies_for(how) * REPEATS:
                    answer = await call(gateway, f"{path}?{BROKEN_PARAMETER}={how}", body)
                    if not is_own_failure(answer):
                        passed_on[how.value, path, answer and answer.status] += 1
            assert passed_on == {}
            statuses = await gateway.call_in_turn("order", ORDINARY_REQUESTS)
            assert statuses == {HTTPStatus.OK: ORDINARY_REQUESTS}

    asyncio.run(test())
