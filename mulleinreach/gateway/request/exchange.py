"""One exchange with an upstream; each way in which it can end is a value.

Explanation
===========

Each request has a connection of its own. A kept connection may hold a surplus
answer or may be gone without a word, and a new one costs a millisecond.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from mulleinreach.gateway.ports import Dialect
from mulleinreach.gateway.upstream import Notice, Upstream

MAX_ANSWER_BYTES = 64_000_000
CHUNK_BYTES = 65_536
_NO_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True)
class OutgoingRequest:
    """What is sent to an upstream: ``target`` is the path and query as they came."""

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
    """The upstream says that it didn't and won't run the request."""

    status: int


@dataclass(frozen=True)
class Broken:
    """No whole answer came; the request may have run.

    Parameters
    ==========

    is_closed : whether the connection ended while the request was at the upstream.
    """

    reason: str
    is_closed: bool = False


@dataclass(frozen=True)
class Answered:
    """A whole answer."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


@dataclass
class Streaming:
    """The head of a successful answer whose body is still to be read."""

    status: int
    headers: CIMultiDictProxy[str]
    response: aiohttp.ClientResponse

    async def chunks(self, pause_limit_s: float) -> AsyncIterator[bytes]:
        """Yield bytes as they come; raises :class:`AnswerCut` unless the end was sound.

        Parameters
        ==========

        pause_limit_s : the longest time between bytes; :class:`AnswerSilent` after it.
        """
        protocol = self.response.connection.protocol if self.response.connection else None
        while data := await self._next_chunk(pause_limit_s):
            yield data
        _check_not_reset(self.response, protocol)

    async def _next_chunk(self, pause_limit_s: float) -> bytes:
        """Return what came next, nothing at the end."""
        pause = asyncio.timeout(pause_limit_s)
        try:
            async with pause:
                return await self.response.content.readany()
        except TimeoutError as error:
            if not pause.expired():
                raise
            raise AnswerSilent(f"nothing came for {pause_limit_s:g} s") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AnswerCut(f"{type(error).__name__}: {error}") from error

    def close(self) -> None:
        """End the exchange; the upstream sees its connection closed."""
        self.response.close()


class AnswerCut(Exception):
    """An answer's body ended before it was whole."""


class AnswerSilent(AnswerCut):
    """Nothing of an answer's body came for too long; it may still be on its way."""


ExchangeResult = NotSent | Refused | Broken | Answered | Streaming


def _check_not_reset(response: aiohttp.ClientResponse, protocol) -> None:
    """Raise :class:`AnswerCut` if a body without length ended with a reset.

    Such a body ends with its connection; aiohttp ends it in the same way whether
    the connection was closed or reset, but keeps the error at the protocol.
    """
    headers = response.headers
    has_length = "Content-Length" in headers or "Transfer-Encoding" in headers
    if has_length or protocol is None:
        return
    error = protocol.exception()
    if error is not None and not isinstance(error, aiohttp.ServerDisconnectedError):
        raise AnswerCut(f"reset: {error}")


class UpstreamClient:
    """Sends requests to upstreams.

    Parameters
    ==========

    on_notice : called with what each answer says of the upstream, as soon as its head has come.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        on_notice: Callable[[Upstream, Notice], None],
    ):
        self._session = session
        self._dialect = dialect
        self._on_notice = on_notice

    async def send(
        self, upstream: Upstream, request: OutgoingRequest, wants_stream: bool
    ) -> ExchangeResult:
        """Send a request; a successful answer to be streamed is given back unread."""
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
        self, response: aiohttp.ClientResponse, request: OutgoingRequest, wants_stream: bool
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

    async def _read_whole(self, response: aiohttp.ClientResponse) -> ExchangeResult:
        protocol = response.connection.protocol if response.connection else None
        parts = []
        size = 0
        try:
            async for data in response.content.iter_chunked(CHUNK_BYTES):
                parts.append(data)
                size += len(data)
                if size > MAX_ANSWER_BYTES:
                    return Broken(f"an answer over {MAX_ANSWER_BYTES} bytes")
            _check_not_reset(response, protocol)
        except (aiohttp.ClientError, OSError, ValueError, AnswerCut) as error:
            return Broken(f"{type(error).__name__}: {error}", is_closed=True)
        return Answered(response.status, response.headers, b"".join(parts))
