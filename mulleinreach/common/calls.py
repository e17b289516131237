"""HTTP client for one service that replaces all connections after a timeout.

Explanation
===========

A connection can stop responding without a reset, and the other connections to the service are
then likely to be dead too: idle ones as well as those with a long poll in progress. After a
timeout, new calls therefore use a new session. A response on the new session shows that the
service is reachable, so the long polls on older sessions are ended.
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
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class CallFailed:
    """The call failed without a complete response."""

    reason: str


@dataclass(frozen=True)
class CallTimedOut(CallFailed):
    """The call timed out, or its connection was found to be dead before the timeout."""


class HttpClient:
    """Sends requests to one service; new calls use the latest session.

    Parameters
    ==========

    make_session : returns a new session without open connections.
    """

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]):
        self._make_session = make_session
        self._current_session = make_session()
        self._active_calls: Counter[aiohttp.ClientSession] = Counter()
        self._long_polls: dict[asyncio.Timeout, aiohttp.ClientSession] = {}
        # Time of the latest response, on the loop's clock.
        self.answered_at = NEVER

    async def request(
        self, method: str, url: str, timeout_s: float, is_long_poll: bool = False, **options
    ) -> HttpResponse | CallFailed:
        """Send one request and return its response, or the failure.

        Parameters
        ==========

        timeout_s : timeout of the whole call, in seconds.
        is_long_poll : whether the call ends early once its connection is known to be dead.
        options : passed to the session unchanged.
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
            except (aiohttp.ClientError, OSError, ValueError, RuntimeError) as error:
                # aiohttp reports some malformed answers by the latter two.
                return CallFailed(f"{type(error).__name__}: {error}")
            finally:
                self._long_polls.pop(limit, None)
        self._record_answer()
        return answer

    @contextlib.asynccontextmanager
    async def _session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Yield the session for one call; close a replaced session after its last call."""
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
        """Use a new session for later calls, after a call in ``session`` timed out."""
        if session is self._current_session:
            self._current_session = self._make_session()

    def _record_answer(self) -> None:
        """Record the time of a response, and end the long polls on replaced sessions."""
        self.answered_at = asyncio.get_running_loop().time()
        stale_polls = [
            limit
            for limit, session in self._long_polls.items()
            if session is not self._current_session
        ]
        self._expire_timeouts(stale_polls)

    def cancel_long_polls(self) -> None:
        """End all long polls in progress."""
        self._expire_timeouts(list(self._long_polls))

    def _expire_timeouts(self, limits: list[asyncio.Timeout]) -> None:
        now = asyncio.get_running_loop().time()
        for limit in limits:
            del self._long_polls[limit]
            if not limit.expired():
                limit.reschedule(now)

    async def close(self) -> None:
        """Close the connections of the latest session."""
        await self._current_session.close()
