"""Lets the first requests of a node wait until it knows enough to serve them."""

from __future__ import annotations

import asyncio

MAX_WAIT_S = 0.4


class StartGate:
    """Holds requests back for a moment while the node has just been started.

    Explanation
    ===========

    A node listens before it has read the configuration and the list of upstreams,
    which takes some hundredths of a second. A request that comes in between would be
    refused, and most callers try only once more; it can be served if it waits.

    Parameters
    ==========

    events : all are set once the node knows enough.
    max_wait_s : the longest time that a request is held back.
    """

    def __init__(self, events: list[asyncio.Event], max_wait_s: float = MAX_WAIT_S):
        self._events = events
        self._max_wait_s = max_wait_s

    async def wait(self) -> None:
        """Wait until the node knows enough, or the patience is over."""
        if all(event.is_set() for event in self._events):
            return
        try:
            async with asyncio.timeout(self._max_wait_s):
                for event in self._events:
                    await event.wait()
        except TimeoutError:
            return
