"""The connections to the store, which are given up together once one has fallen silent.

Explanation
===========

A connection may fall silent for good without a reset, and then others are likely to be
silent too: idle ones, on which each next call would run out of time, and those on which a
wait for changes is under way. So a call that runs out of time makes the next ones use new
connections. An answer on a new one shows that the store is there, and that waits which
began on the old ones are waits in vain.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable

import aiohttp


class StoreConnections:
    """Sessions of which the latest one is used for new calls.

    Parameters
    ==========

    make_session : makes a session without connections.
    """

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]):
        self._make_session = make_session
        self._current = make_session()
        self._calls: Counter[aiohttp.ClientSession] = Counter()
        self._waits: dict[asyncio.Timeout, aiohttp.ClientSession] = {}

    @contextlib.asynccontextmanager
    async def session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Give a session for one call; one that was given up is closed after its last call."""
        session = self._current
        self._calls[session] += 1
        try:
            yield session
        finally:
            self._calls[session] -= 1
            if not self._calls[session]:
                del self._calls[session]
                if session is not self._current:
                    await session.close()

    def add_wait(self, limit: asyncio.Timeout, session: aiohttp.ClientSession) -> None:
        """Take a wait for changes, whose time is over once its connection is given up."""
        self._waits[limit] = session

    def remove_wait(self, limit: asyncio.Timeout) -> None:
        """Forget a wait that has ended."""
        self._waits.pop(limit, None)

    def note_silence(self, session: aiohttp.ClientSession) -> None:
        """Note that a call in this session ran out of time."""
        if session is self._current:
            self._current = self._make_session()

    def note_answer(self) -> None:
        """Note that the store has answered, and end the waits on connections given up."""
        now = asyncio.get_running_loop().time()
        for limit, session in list(self._waits.items()):
            if session is not self._current:
                del self._waits[limit]
                if not limit.expired():
                    limit.reschedule(now)

    async def close(self) -> None:
        """End the connections of the latest session."""
        await self._current.close()
