"""HTTP calls to one service, each within its time, on connections that are given up together.

Explanation
===========

A connection may fall silent for good without a reset, and then others are likely to be
silent too: idle ones, on which each next call would run out of time, and those on which a
wait for changes is under way. So a call that runs out of time makes the next ones use new
connections. An answer on a new one shows that the service is there, and that waits which
began on the old ones are waits in vain.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field

import aiohttp

NEVER = float("-inf")


@dataclass(frozen=True)
class HttpResponse:
    """A whole answer."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class CallFailed:
    """The call came to no answer."""

    reason: str


@dataclass(frozen=True)
class CallTimedOut(CallFailed):
    """No answer came in time, or the connection was known to be silent before that."""


class HttpClient:
    """Calls in sessions of which the latest one is used for new calls.

    Parameters
    ==========

    make_session : makes a session without connections.
    """

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]):
        self._make_session = make_session
        self._current_session = make_session()
        self._active_calls: Counter[aiohttp.ClientSession] = Counter()
        self._long_polls: dict[asyncio.Timeout, aiohttp.ClientSession] = {}
        # When the latest answer came, on the loop's clock.
        self.answered_at = NEVER

    async def request(
        self, method: str, url: str, timeout_s: float, is_long_poll: bool = False, **options
    ) -> HttpResponse | CallFailed:
        """Make one call, within its time.

        Parameters
        ==========

        is_long_poll : whether its time is over as soon as its connection is known to be silent.
        options : go to the session as they are.
        """
        limit = asyncio.timeout(timeout_s)
        async with self._session() as session:
            try:
                async with limit:
                    if is_long_poll:
                        self._long_polls[limit] = session
                    async with session.request(method, url, **options) as response:
                        body = await response.read()
                        answer = HttpResponse(response.status, body, response.headers)
            except TimeoutError:
                self._replace_session(session)
                return CallTimedOut(f"no answer in {timeout_s:g} s")
            except (aiohttp.ClientError, OSError) as error:
                return CallFailed(f"{type(error).__name__}: {error}")
            finally:
                self._long_polls.pop(limit, None)
        self._record_answer()
        return answer

    @contextlib.asynccontextmanager
    async def _session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Give a session for one call; one that was given up is closed after its last call."""
        session = self._current_session
        self._active_calls[session] += 1
        try:
            yield session
        finally:
            self._active_calls[session] -= 1
            if not self._active_calls[session]:
                del self._active_calls[session]
                if session is not self._current_session:
                    await session.close()

    def _replace_session(self, session: aiohttp.ClientSession) -> None:
        """Use new connections after a call in a session ran out of time."""
        if session is self._current_session:
            self._current_session = self._make_session()

    def _record_answer(self) -> None:
        """Note that the service answers, and end the waits on connections given up."""
        self.answered_at = asyncio.get_running_loop().time()
        stale_polls = [
            limit
            for limit, session in self._long_polls.items()
            if session is not self._current_session
        ]
        self._expire_timeouts(stale_polls)

    def cancel_long_polls(self) -> None:
        """End the waits that are under way, since what they wait for can't come any more."""
        self._expire_timeouts(list(self._long_polls))

    def _expire_timeouts(self, limits: list[asyncio.Timeout]) -> None:
        now = asyncio.get_running_loop().time()
        for limit in limits:
            del self._long_polls[limit]
            if not limit.expired():
                limit.reschedule(now)

    async def close(self) -> None:
        """End the connections of the latest session."""
        await self._current_session.close()
