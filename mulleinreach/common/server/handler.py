"""A server's HTTP protocol that bounds what one client makes the process hold.

aiohttp reads up to 32 requests ahead of the one in progress, and bounds a header field and the
number of fields, but not a head as a whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from mulleinreach.common.server.connections import ConnectionTable

# Bytes that are read from a connection at once.
READ_BYTES = 16_384
# Bytes of an answer that are queued before its writer has to wait.
WRITE_BUFFER_BYTES = 16_384
DEFAULT_HEAD_BYTES = 32_768


@dataclass
class ClientBounds:
    """The bounds on the clients of one server.

    Parameters
    ==========

    head_bytes : returns the largest head that is read; the handler may refuse smaller ones.
    """

    connections: ConnectionTable
    head_bytes: Callable[[], int] = lambda: DEFAULT_HEAD_BYTES


class BoundedRequestHandler(RequestHandler):
    """Reads a request only once the previous one is answered.

    Explanation
    ===========

    A connection is in one of three phases: in a head, in the body of a request, or waiting for the
    answer to a request that was read whole. What a client sends while it waits isn't parsed, and no
    more than ``READ_BYTES`` of it are read; reading goes on up to there, since only a connection
    that is read shows that its client has left.
    """

    def __init__(self, manager: web.Server, bounds: ClientBounds, **options):
        super().__init__(manager, **options)
        self._bounds = bounds
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=1,
        )
        self._connected: asyncio.Transport | None = None
        # The body of the latest request, and whether that request has no answer yet.
        self._body: StreamReader = EMPTY_PAYLOAD
        self._has_request = False
        self._head_size = 0
        # Bytes that were read while the client waits for an answer.
        self._read_ahead = b""
        self._is_refused = False

    # Phases of the connection.

    def _is_in_body(self) -> bool:
        return not self._body.is_eof()

    def _is_waiting(self) -> bool:
        """Whether the client waits for the answer to a request that was read whole."""
        return self._has_request and self._body.is_eof()

    # Events of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bound the transport's buffers."""
        super().connection_made(transport)
        self._connected = transport
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._bounds.connections.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release all that the connection holds."""
        self._bounds.connections.remove(self)
        self._connected = None
        self._read_ahead = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them for after the answer."""
        if self._is_refused:
            return
        if self._is_waiting():
            self._keep(data)
        elif self._is_in_body():
            self._parse_body(data)
        else:
            self._parse_head(data)

    def _keep(self, data: bytes) -> None:
        if not data:
            return
        self._read_ahead += data
        if len(self._read_ahead) >= READ_BYTES and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _parse_body(self, data: bytes) -> None:
        super().data_received(data)
        if self._body.is_eof() and not self._has_request:
            # The rest of a body whose request was answered before.
            self._parse_head(b"")

    def _parse_head(self, data: bytes) -> None:
        count_before = self._request_count
        self._head_size += len(data)
        super().data_received(data)
        if self._request_count > count_before:
            self._begin_request()
        elif self._head_size > self._bounds.head_bytes() + READ_BYTES:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"a head over {self._head_size} bytes"
            )

    def _begin_request(self) -> None:
        _, self._body = self._messages[-1]
        self._has_request = True
        self._head_size = 0
        self._bounds.connections.begin(self)

    def _resume_reading_if_drained(self) -> None:
        """Resume reading, unless the client waits."""
        if not self._is_waiting():
            super()._resume_reading_if_drained()

    # Requests.

    async def _handle_request(self, request, start_time, request_handler):
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._end_request()

    def _end_request(self) -> None:
        """Go on with what the client has sent meanwhile."""
        self._has_request = False
        self._bounds.connections.end(self)
        data, self._read_ahead = self._read_ahead, b""
        if self.transport is None or self._force_close or self._close:
            return
        self.data_received(data)
        if self._upgraded:
            self._decline_upgrade()
        if self._buffer_paused and not self._is_waiting():
            self._resume_reading_for_buffer()

    def _decline_upgrade(self) -> None:
        """Go on with HTTP after a request for another protocol."""
        self._parser.set_upgraded(False)
        self._upgraded = False
        data, self._message_tail = self._message_tail, b""
        self.data_received(data)

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        """Answer with an error, and read nothing more."""
        self._is_refused = True
        error = _ErrInfo(status, HttpProcessingError(code=status, message=reason), reason)
        self._messages.append((error, EMPTY_PAYLOAD))
        self._request_count += 1
        self._begin_request()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
