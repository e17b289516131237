"""HTTP exchange with an upstream; each possible result has a class of its own.

Explanation
===========

Each request has a connection of its own, since a reused connection may be stale
or hold unread data of an earlier answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from mulleinreach.common.responses import BodyEnd, Response
from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.gateway.ports import Dialect
from mulleinreach.gateway.upstream import Notice, Upstream

MAX_ANSWER_BYTES = 64_000_000
# All answers that are being read together; a node has 256 MB and needs some of it twice.
MAX_BUFFERED_BYTES = 64_000_000
# How often a body of which nothing comes is looked at.
PAUSE_CHECK_INTERVAL_S = 0.5
_NO_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to an upstream; ``target`` is the raw path and query of the caller's request."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    request_id: str | None


@dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent."""

    reason: str


@dataclass(frozen=True)
class Refused:
    """The upstream refused the request: it has not run it and won't."""

    status: int


@dataclass(frozen=True)
class Broken:
    """No complete answer was received; the request may have run.

    Parameters
    ==========

    is_closed : whether the connection ended while the request was at the upstream.
    """

    reason: str
    is_closed: bool = False


@dataclass(frozen=True)
class Answered:
    """A complete answer."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    body_end: BodyEnd


@dataclass
class Streaming:
    """The head of a successful answer whose body is still to be read."""

    status: int
    headers: CIMultiDictProxy[str]
    response: Response

    async def chunks(self, may_leave: Callable[[float], bool]) -> AsyncIterator[bytes]:
        """Yield bytes as they arrive; raises :class:`AnswerCut` if the body is incomplete.

        Parameters
        ==========

        may_leave : called now and then while no data comes, with the seconds since the last data;
            :class:`AnswerSilent` is raised if it returns ``True``.
        """
        while data := await self._next_chunk(may_leave):
            yield data
        try:
            self.response.check_complete()
        except aiohttp.ClientPayloadError as error:
            raise AnswerCut(str(error)) from error

    async def _next_chunk(self, may_leave: Callable[[float], bool]) -> bytes:
        """Return the next bytes, empty at the end."""
        silent_s = 0.0
        while (data := await read_part(self.response)) is None:
            silent_s += PAUSE_CHECK_INTERVAL_S
            if may_leave(silent_s):
                raise AnswerSilent(f"nothing came for {silent_s:g} s")
        return data

    @property
    def body_end(self) -> BodyEnd:
        """How the body ended, once it is read."""
        return self.response.body_end

    def close(self) -> None:
        """Close the connection."""
        self.response.close()


async def read_part(response: Response) -> bytes | None:
    """Return the next bytes of a body, empty at its end, or ``None`` if none come for some time.

    Raises
    ======

    AnswerCut : if the body can't be read any further. aiohttp tells a malformed chunk only by the
        closed connection, and only to who reads again.
    """
    pause_timeout = asyncio.timeout(PAUSE_CHECK_INTERVAL_S)
    try:
        async with pause_timeout:
            return await response.content.readany()
    except TimeoutError:
        if not pause_timeout.expired():
            raise
        return None
    except (aiohttp.ClientError, OSError, ValueError, RuntimeError) as error:
        raise AnswerCut(f"{type(error).__name__}: {error}") from error


class AnswerCut(Exception):
    """The connection ended before the answer's body was complete."""


class AnswerSilent(AnswerCut):
    """No data was received for too long; the connection is still open."""


ExchangeResult = NotSent | Refused | Broken | Answered | Streaming


class UpstreamClient:
    """Sends requests to upstreams.

    Parameters
    ==========

    on_notice : called with the upstream's notice in the headers of each answer.
    memory : bounds the answers that are being read together; a bound of its own if left out.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        on_notice: Callable[[Upstream, Notice], None],
        memory: MemoryLedger | None = None,
    ):
        self._session = session
        self._dialect = dialect
        self._on_notice = on_notice
        self._memory = memory or MemoryLedger(MAX_BUFFERED_BYTES)

    async def send(
        self, upstream: Upstream, request: OutgoingRequest, wants_stream: bool
    ) -> ExchangeResult:
        """Send a request; with ``wants_stream``, the body of a successful answer is left unread."""
        try:
            response = await self._session.request(
                request.method,
                URL(upstream.address.url + request.target, encoded=True),
                data=request.body or None,
                headers=request.headers,
                allow_redirects=False,
                skip_auto_headers=_NO_AUTOMATIC_HEADERS,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(f"{type(error).__name__}: {error}")
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            is_closed = isinstance(error, aiohttp.ClientConnectionError | OSError)
            return Broken(f"{type(error).__name__}: {error}", is_closed)
        self._on_notice(upstream, self._dialect.read_notice(response.status, response.headers))
        return await self._read(response, request, wants_stream)

    async def _read(
        self, response: Response, request: OutgoingRequest, wants_stream: bool
    ) -> ExchangeResult:
        is_kept_open = False
        try:
            if not self._dialect.belongs_to(response.headers, request.request_id):
                return Broken("the answer is to another request")
            if self._dialect.was_refused(response.status, response.headers):
                return Refused(response.status)
            is_success = 200 <= response.status < 300
            if is_success and not self._dialect.is_signed(response.headers):
                return Broken("a success without signature")
            if is_success and wants_stream:
                is_kept_open = True
                return Streaming(response.status, response.headers, response)
            return await self._read_whole(response)
        finally:
            if not is_kept_open:
                response.close()

    async def _read_whole(self, response: Response) -> ExchangeResult:
        parts = []
        account = self._memory.open(response.close)
        try:
            while data := await self._next_part(response):
                parts.append(data)
                if account.held_bytes + len(data) > MAX_ANSWER_BYTES:
                    return Broken(f"an answer over {MAX_ANSWER_BYTES} bytes")
                if not account.try_charge(len(data)):
                    return self._over_memory()
            response.check_complete()
        except (AnswerCut, aiohttp.ClientPayloadError) as error:
            if account.is_evicted:
                return self._over_memory()
            return Broken(str(error), is_closed=True)
        finally:
            account.release()
        return Answered(response.status, response.headers, b"".join(parts), response.body_end)

    def _over_memory(self) -> Broken:
        return Broken(f"answers over {self._memory.limit_bytes} bytes together")

    async def _next_part(self, response: Response) -> bytes:
        """Return the next bytes of a body, empty at its end."""
        while (data := await read_part(response)) is None:
            pass
        return data
