"""Bounds what a server may send beside the body of a response, and what counts as a response.

aiohttp bounds a line and the number of header fields, but neither the informational responses [1]_
that may come before the final one, nor the framing of chunks, each of which takes as long to parse
as hundreds of bytes of data. Its parsers take any three digits for a status.

References
==========

.. [1] RFC 9110, "HTTP Semantics", section 15.2, informational 1xx.
.. [2] RFC 9110, "HTTP Semantics", section 15, status codes.
.. [3] RFC 9112, "HTTP/1.1", section 9.6, tear-down.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mulleinreach.common.delivery import is_reset_after_end, unreceived_bytes
from mulleinreach.common.response_heads import HeadScanner
from mulleinreach.common.responses import BodyFraming, body_framing

MAX_HEAD_BYTES = 65_536
MAX_INFORMATIONAL_RESPONSES = 32
# Framing of chunks beyond the size of the body so far.
MAX_FRAMING_BYTES = 8192
# Of a malformed line in an error.
MAX_SHOWN_BYTES = 80
# Received bytes are parsed in pieces, so that little is parsed beyond a bound.
PIECE_BYTES = 4096
# The classes of status codes [2]_.
INFORMATIONAL_STATUSES = range(100, 200)
SUCCESSFUL_STATUSES = range(200, 300)
FINAL_STATUSES = range(200, 600)


def is_informational(status: int) -> bool:
    """Whether a response comes before the final one.

    101 doesn't: it ends the exchange, and is sent only to who has asked for an upgrade.
    """
    return status in INFORMATIONAL_STATUSES and status != HTTPStatus.SWITCHING_PROTOCOLS


class BoundedResponseHandler(ResponseHandler):
    """Client protocol that closes a connection which sends no answer, or little but framing."""

    # The first error that ended the connection; ``None`` if it is open or was closed. aiohttp
    # forgets its own record when it closes the connection.
    connection_error: BaseException | None = None
    # Whether the request may still be on its way when its head has arrived.
    has_long_request = False
    _has_final_head = False
    _is_chunked = False
    _is_request_written = False
    # Whether the response is a success whose body ends with the connection.
    _is_success_until_close = False
    _body: StreamReader = EMPTY_PAYLOAD
    # Keeps the task that closes a connection.
    _closing: asyncio.Future | None = None

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a request that is about to be sent."""
        self._head_bytes = 0
        self._head_scanner = HeadScanner()
        self._informational_count = 0
        self._has_final_head = self._is_chunked = False
        self._is_request_written = self._is_success_until_close = False
        self._body = EMPTY_PAYLOAD
        self._chunked_bytes = 0
        super().set_response_params(**params)

    def start_timeout(self) -> None:
        """Note that the request is written: aiohttp calls this once it is."""
        self._is_request_written = True
        super().start_timeout()

    def eof_received(self) -> bool:
        """Find out whether a success that ends with its connection is whole.

        A server that ends a connection with unread bytes of the request resets it later, so its
        response may be cut off [3]_. Returns whether the connection stays open for now.
        """
        super().eof_received()
        if not self._is_success_until_close:
            return False
        if not self._is_request_received():
            self._break_off_body("the response ended before its request had arrived")
            return False
        if self.has_long_request:
            self._closing = asyncio.ensure_future(self._close_unless_reset(self.transport))
        return self.has_long_request

    async def _close_unless_reset(self, transport: asyncio.Transport) -> None:
        if await is_reset_after_end(transport):
            self._break_off_body("the connection was reset after the end of the response")
        else:
            transport.close()

    def _break_off_body(self, reason: str) -> None:
        self.set_exception(aiohttp.ClientPayloadError(reason))
        self.transport.abort()

    def _is_request_received(self) -> bool:
        """Whether the server's system has received the whole request."""
        return self._is_request_written and unreceived_bytes(self.transport) == 0

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Note an error; the mere end of the connection is none."""
        is_error = not isinstance(exc, aiohttp.ServerDisconnectedError)
        if self.connection_error is None and is_error:
            self.connection_error = exc
        super().set_exception(exc, *cause)

    def feed_data(self, data, size: int = 0) -> None:
        """Queue the head of a response; informational responses are dropped."""
        message, body = data
        if self.exception() is not None:
            return
        if is_informational(message.code):
            self._informational_count += 1
            return
        if message.code not in FINAL_STATUSES:
            self._break_off_head(f"no answer has status {message.code}")
            return
        if not self._has_scanned_all_heads():
            self._break_off_head("a response head that wasn't checked")
            return
        self._has_final_head = True
        self._is_chunked = message.chunked
        framing = body_framing(body is not EMPTY_PAYLOAD, message.headers)
        is_success = message.code in SUCCESSFUL_STATUSES
        self._is_success_until_close = is_success and framing is BodyFraming.CLOSE
        self._body = body
        super().feed_data(data, size)

    def _has_scanned_all_heads(self) -> bool:
        """Whether scanner and parser have found the same heads up to the final one."""
        head_count = self._informational_count + 1
        return self._head_scanner.is_done and self._head_scanner.head_count == head_count

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        # Bytes that come before any request are held back by aiohttp.
        is_in_pieces = self._parser is not None and (self._is_chunked or not self._has_final_head)
        if not is_in_pieces or len(data) <= PIECE_BYTES:
            self._parse(data)
            return
        for begin in range(0, len(data), PIECE_BYTES):
            self._parse(data[begin : begin + PIECE_BYTES])

    def _parse(self, data: bytes) -> None:
        if self.exception() is not None or self._body.exception() is not None:
            return
        is_in_head = self._parser is not None and not self._has_final_head
        if is_in_head and (malformed := self._head_scanner.feed(data)) is not None:
            self._break_off_head(f"malformed line in the head: {malformed[:MAX_SHOWN_BYTES]!r}")
            return
        super().data_received(data)
        if is_in_head:
            self._check_head(len(data))
        elif self._is_chunked:
            self._check_framing(len(data))

    def _check_head(self, size: int) -> None:
        """Break off a response whose head doesn't end."""
        if self._has_final_head:
            # A part of the body may have come with the head; its framing isn't counted.
            self._chunked_bytes = self._body.total_bytes
            return
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._break_off_head(f"no response head in {MAX_HEAD_BYTES} bytes")
        elif self._informational_count > MAX_INFORMATIONAL_RESPONSES:
            self._break_off_head(f"{self._informational_count} informational responses")

    def _break_off_head(self, reason: str) -> None:
        if self.exception() is None:
            self.set_exception(HttpProcessingError(code=0, message=reason))
            self.transport.abort()

    def _check_framing(self, size: int) -> None:
        """Break off a body that consists of little but the framing of its chunks."""
        self._chunked_bytes += size
        # While reading is paused, the parser keeps received bytes to itself.
        if self._reading_paused or self._body.is_eof():
            return
        body_bytes = self._body.total_bytes
        if self._chunked_bytes - body_bytes > MAX_FRAMING_BYTES + body_bytes:
            self._body.set_exception(aiohttp.ClientPayloadError("a body with too much framing"))
            if self.transport is not None:
                self.transport.abort()
