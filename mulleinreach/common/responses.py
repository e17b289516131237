"""HTTP client responses that tell how their body was delimited and how it ended."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp

from mulleinreach.common.delivery import FIRST_FLIGHT_BYTES
from mulleinreach.common.http_fields import read_count

# Twice the largest object of the platform's store.
MAX_BODY_BYTES = 16_777_216
_STATUSES_WITHOUT_BODY = (204, 304)


class BodyFraming(enum.Enum):
    """What delimits the body of a response [1]_.

    ``LENGTH``: its announced length, or the response has no body.
    ``CHUNKED``: its last chunk.
    ``CLOSE``: the end of the connection.

    References
    ==========

    .. [1] RFC 9112, "HTTP/1.1", section 6.3, message body length.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def body_framing(has_body: bool, headers: Mapping[str, str]) -> BodyFraming:
    """Return what delimits the body of a response with these headers.

    Examples
    ========

    >>> body_framing(True, {}), body_framing(False, {})
    (<BodyFraming.CLOSE: 'close'>, <BodyFraming.LENGTH: 'length'>)
    """
    if not has_body:
        return BodyFraming.LENGTH
    if "Transfer-Encoding" in headers:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if "Content-Length" in headers else BodyFraming.CLOSE


def is_long_request(headers: Mapping[str, str]) -> bool:
    """Whether a request may still be on its way when its head has arrived.

    Examples
    ========

    >>> is_long_request({"Content-Length": "800"}), is_long_request({"Content-Length": "800000"})
    (False, True)
    """
    length = read_count(headers.get("Content-Length")) or 0
    return "Transfer-Encoding" in headers or length > FIRST_FLIGHT_BYTES


@dataclass(frozen=True)
class BodyEnd:
    """How the body of a response ended.

    Parameters
    ==========

    is_reset : whether the connection has ended with a reset or another error; a reset after the
        whole body doesn't matter to a body of another framing than ``CLOSE``.
    """

    framing: BodyFraming
    is_reset: bool


class Response(aiohttp.ClientResponse):
    """A response that still knows its connection's error after it released the connection.

    Explanation
    ===========

    A body without length or chunks ends with its connection. aiohttp reads it to the same end
    whether the connection was closed or reset, and releases the connection at that moment, which
    may be before anybody reads the body.
    """

    async def start(self, connection) -> Response:
        """Read the head of the response."""
        self._connection_protocol = connection.protocol
        self._connection_protocol.has_long_request = is_long_request(self.request_info.headers)
        await super().start(connection)
        return self

    @property
    def framing(self) -> BodyFraming:
        """What delimits the body."""
        has_body = self.method != "HEAD" and self.status not in _STATUSES_WITHOUT_BODY
        return body_framing(has_body, self.headers)

    @property
    def connection_error(self) -> BaseException | None:
        """The error that ended the connection; ``None`` if it is open or was closed."""
        return self._connection_protocol.connection_error

    def check_complete(self) -> None:
        """Raise ``aiohttp.ClientPayloadError`` if the connection's end cut the body off.

        To be called by whoever reads ``content``, after its end; :meth:`read` does so itself.
        """
        error = self.connection_error
        if error is not None and self.framing is BodyFraming.CLOSE:
            raise aiohttp.ClientPayloadError(f"reset: {error}")

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body; raises ``aiohttp.ClientPayloadError`` if it was cut off.

        A body of more than ``max_bytes`` is an error, too, and ends the connection.
        """
        if self._body is None:
            parts = [part async for part in self._parts(max_bytes)]
            self.check_complete()
            self._body = b"".join(parts)
        return self._body

    async def _parts(self, max_bytes: int) -> AsyncIterator[bytes]:
        size = 0
        async for part in self.content.iter_any():
            size += len(part)
            if size > max_bytes:
                self.close()
                raise aiohttp.ClientPayloadError(f"a body over {max_bytes} bytes")
            yield part

    @property
    def body_end(self) -> BodyEnd:
        """How the body ended, once it is read."""
        return BodyEnd(self.framing, self.connection_error is not None)
