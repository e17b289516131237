"""Finds out whether an upstream's process has ended, or has only lost one answer."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Network
from mulleinreach.gateway.upstream import Upstream

# An ended process refuses a connection within a round trip, some milliseconds between halls. The
# request that waits for this is sent elsewhere afterwards.
PROBE_TIMEOUT_S = 0.1


class EndedProbe:
    """Asks for a connection, which an ended process refuses."""

    def __init__(self, network: Network):
        self._network = network

    async def has_ended(self, upstream: Upstream) -> bool:
        """Whether an upstream refuses connections; silence shows nothing."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await self._network.connect(upstream.address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False
