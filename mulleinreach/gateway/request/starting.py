"""Delays the first requests of a node until it has what it needs to serve them."""

from __future__ import annotations

import asyncio

MAX_WAIT_S = 0.4


class StartGate:
    """Delays requests for a short time after the start of the node.

    Explanation
    ===========

    A node listens before it has read the configuration and the list of upstreams. A
    request that arrives before that waits instead of being refused.

    Parameters
    ==========

    events : set once the configuration and the list of upstreams were read.
    max_wait_s : longest delay of a request.
    """

    def __init__(self, events: list[asyncio.Event], max_wait_s: float = MAX_WAIT_S):
        self._events = events
        self._max_wait_s = max_wait_s

    async def wait(self) -> None:
        """Wait until all events are set, for ``max_wait_s`` at most."""
        if all(event.is_set() for event in self._events):
            return
        try:
            async with asyncio.timeout(self._max_wait_s):
                for event in self._events:
                    await event.wait()
        except TimeoutError:
            return
