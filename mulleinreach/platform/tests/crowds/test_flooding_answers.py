"""Callers whose answers consist of little but framing, at a real gateway.

The crowd and what it asks for are fixed; no time is checked.
"""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.platform.tests.crowds.crowd import request
from mulleinreach.platform.tests.crowds.gateway import (
    CrowdedGateway,
    MachineLimits,
    crowded_gateway,
)
from mulleinreach.platform.tests.soak.document import CallerLimits
from mulleinreach.platform.tests.soak.plain import FLOOD_PARAMETER
from mulleinreach.standins.raw_connection import RawConnection

pytestmark = pytest.mark.crowd

FLOODED_CALLERS = 40
ORDINARY_REQUESTS = 60


async def ask_for_floods(gateway: CrowdedGateway) -> None:
    """Ask for such answers again and again, each time once the last answer has ended."""
    while True:
        connection = await RawConnection.open(gateway.callers_address)
        await connection.write(request(f"/order/1?{FLOOD_PARAMETER}=1"))
        await connection.read_answer()
        connection.close()


# Guards against an event loop that parses the framing of answers while ordinary requests wait.
def test_ordinary_requests_are_served_beside_answers_in_chunks_of_one_byte():
    async def test():
        async with crowded_gateway(MachineLimits(), CallerLimits()) as gateway:
            crowd = [asyncio.create_task(ask_for_floods(gateway)) for _ in range(FLOODED_CALLERS)]
            statuses = await gateway.call_in_turn("order", ORDINARY_REQUESTS)
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            assert statuses == {200: ORDINARY_REQUESTS}
            assert gateway.broken_limits() == []

    asyncio.run(test())
