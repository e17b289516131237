"""Checks whether an upstream's process has ended or only one connection was lost."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Network
from mulleinreach.gateway.upstream import Upstream

# Short, since the retry of the request waits for the probe.
PROBE_TIMEOUT_S = 0.1


class EndedProbe:
    """Opens a TCP connection, which the host of an ended process refuses."""

    def __init__(self, network: Network):
        self._network = network

    async def has_ended(self, upstream: Upstream) -> bool:
        """Whether an upstream refuses connections; a timeout or another error counts as no."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await self._network.connect(upstream.address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False
