"""A server's HTTP protocol that bounds what one client makes the process hold.

aiohttp reads up to 32 requests ahead of the one in progress, and bounds a header field and the
number of fields, but not a head as a whole.
"""

from __future__ import annotations

import asyncio
import select
from http import HTTPStatus

from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import ERROR, RequestHandler, RequestPayloadError, _ErrInfo

from mulleinreach.common.server.bounds import ClientBounds, RequestEvicted
from mulleinreach.common.server.memory import HoldState

# Bytes that are read from a connection at once.
READ_BYTES = 16_384
# Bytes of an answer that are queued before its writer has to wait.
WRITE_BUFFER_BYTES = 16_384
# A head in memory, as a multiple of its bytes and for each of its fields: names and values are held
# as bytes and as text.
HEAD_COST_RATIO = 2
FIELD_COST_BYTES = 320
# A request in progress beside its head and body: its task, its connection to an upstream, and what
# was read of its answer.
REQUEST_COST_BYTES = 16_384
# An answer, and its copy in the connection to a client that doesn't take it.
ANSWER_COST_RATIO = 2
EMPTY_LINE = b"\r\n\r\n"
MAX_REASON_LENGTH = 200


def announce_end(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Let a connection end with a response, unless its client has sent more already.

    What was read behind a request is owed an answer, too; the last of those announces the end.
    """
    protocol = request.protocol
    if not (isinstance(protocol, BoundedRequestHandler) and protocol.has_read_ahead):
        response.force_close()


def end_reason(request: web.BaseRequest) -> str | None:
    """Return why this process has ended a request's connection, ``None`` if it hasn't."""
    protocol = request.protocol
    return protocol.end_reason if isinstance(protocol, BoundedRequestHandler) else None


class BoundedRequestHandler(RequestHandler):
    """Reads a request only once the previous one is answered.

    Explanation
    ===========

    A connection is in one of three phases: in a head, in the body of a request, or waiting for the
    answer to a request that was read whole. What a client sends while it waits isn't parsed, and no
    more than ``READ_BYTES`` of it are read; reading goes on up to there, since only a connection
    that is read shows that its client has left.

    All that a connection holds is charged to its account in ``bounds.memory``.
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
        self.memory = bounds.memory.open(self._on_evicted)
        self.head_begun_at: float | None = None
        self._connected: asyncio.Transport | None = None
        # The body of the latest request, and whether that request has no answer yet.
        self._body: StreamReader = EMPTY_PAYLOAD
        self._has_request = False
        self._is_chunked = False
        # The parser keeps what it was given behind the end of a chunked body.
        self._has_been_chunked = False
        self._body_length: int | None = None
        # The last bytes of an incomplete head, which may be a part of the empty line at its end.
        self._head_end = b""
        self._body_received = 0
        self._framing_counted = 0
        self._head_size = 0
        # Bytes that were read while the client waits for an answer.
        self._read_ahead = b""
        self._is_refused = False
        self._is_throttled = False
        # Why this process has ended the connection, if it has.
        self.end_reason: str | None = None

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
        self.memory.release()
        self._connected = None
        dropped = len(self._messages) + bool(self._read_ahead)
        if dropped:
            self._bounds.on_dropped(dropped)
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
        is_full = not self.memory.try_charge(len(data)) or len(self._read_ahead) >= READ_BYTES
        if is_full and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _parse_body(self, data: bytes) -> None:
        rest = b""
        if self._body_length is not None:
            missing = self._body_length - self._body_received
            data, rest = data[:missing], data[missing:]
        self._body_received += len(data)
        count_before = self._request_count
        super().data_received(data)
        if self._request_count > count_before and self._has_request and self._is_in_body():
            # aiohttp tells the error as the next request, but not to who reads the body.
            self._break_body(RequestPayloadError("a malformed body"))
        if self._is_chunked:
            self._pace_framing()
        # The body may not have ended yet, though all of it was received: its reader is slow.
        self._keep(rest)
        if self._body.is_eof() and not self._has_request:
            self._end_unread_body()

    def _end_unread_body(self) -> None:
        """Go on behind the body of a request that was answered before its body had ended."""
        data, self._read_ahead = self._read_ahead, b""
        self._parse_head(data)
        self._close_if_drained()

    def _pace_framing(self) -> None:
        """Pause reading if the client has sent much framing of chunks."""
        total = self._body_received - self._body.total_bytes
        added = max(0, total - self._framing_counted)
        self._framing_counted += added
        delay_s = self._bounds.framing.delay_s(added)
        if delay_s > 0 and not self._is_throttled:
            self._is_throttled = True
            self._pause_reading_for_buffer()
            self._loop.call_later(delay_s, self._end_throttle)

    def _parse_head(self, data: bytes) -> None:
        if data and self.head_begun_at is None:
            self.head_begun_at = self._bounds.connections.now()
        while True:
            head, data = self._cut_head(data)
            count_before = self._request_count
            self._head_size += len(head)
            super().data_received(head)
            if self._request_count > count_before:
                self._begin_request()
                self.data_received(data)
                return
            if not data:
                break
        if self._head_size > self._bounds.head_bytes() + READ_BYTES:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"a head over {self._head_size} bytes"
            )

    def _cut_head(self, data: bytes) -> tuple[bytes, bytes]:
        """Cut received bytes after an empty line, which ends a head.

        The parser would keep what follows a whole request to itself.
        """
        joined = self._head_end + data
        end = joined.find(EMPTY_LINE)
        cut = len(data) if end < 0 else end + len(EMPTY_LINE) - len(self._head_end)
        self._head_end = b"" if end >= 0 else joined[1 - len(EMPTY_LINE) :]
        return data[:cut], data[cut:]

    def _begin_request(self) -> None:
        message, self._body = self._messages[-1]
        self._has_request = True
        self._head_size = 0
        self._head_end = b""
        self._body_length = None
        self.head_begun_at = None
        self._bounds.connections.begin(self)
        if isinstance(message, _ErrInfo):
            return
        self._is_chunked = message.chunked
        self._has_been_chunked |= message.chunked
        self._body_length = _body_length(message)
        self._body_received = self._framing_counted = 0
        self.memory.try_charge(REQUEST_COST_BYTES + _head_cost(message.raw_headers))

    def _end_throttle(self) -> None:
        self._is_throttled = False
        if self.transport is not None:
            self._resume_reading_if_drained()

    def _resume_reading_if_drained(self) -> None:
        """Resume reading, unless the client waits or sends too much framing."""
        if not self._is_throttled and not self._is_waiting():
            super()._resume_reading_if_drained()

    # Requests.

    async def _handle_request(self, request, start_time, request_handler):
        if not self.memory.held_bytes and not self._is_error(request):
            request_handler = self._bounds.refuse
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._end_request()

    def _is_error(self, request: web.BaseRequest) -> bool:
        """Whether a request stands for one that can't be parsed."""
        return request._message is ERROR

    def _end_request(self) -> None:
        """Go on with what the client has sent meanwhile."""
        self._has_request = False
        self.memory.reset()
        self._bounds.connections.end(self)
        data, self._read_ahead = self._read_ahead, b""
        if self.transport is None or self._force_close or self._close:
            return
        self.data_received(data)
        if self._upgraded:
            self._decline_upgrade()
        self._close_if_drained()
        if self._buffer_paused and not self._is_throttled and not self._is_waiting():
            self._resume_reading_for_buffer()

    def _close_if_drained(self) -> None:
        """Close an unused connection if the server is about to stop."""
        if self._bounds.connections.is_draining and self.is_unused:
            self.close()

    def _decline_upgrade(self) -> None:
        """Go on with HTTP after a request for another protocol."""
        self._parser.set_upgraded(False)
        self._upgraded = False
        data, self._message_tail = self._message_tail, b""
        self.data_received(data)

    async def finish_response(self, request, resp, start_time):
        """Send a response, whose body is held until the client has taken it."""
        body = getattr(resp, "body", None)
        if isinstance(body, bytes | bytearray):
            self.memory.hold_answer(ANSWER_COST_RATIO * len(body))
        return await super().finish_response(request, resp, start_time)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to a request that can't be parsed, or whose handler failed.

        Raises :class:`ConnectionError`, which aiohttp drops, if the client has left.
        """
        if isinstance(exc, ConnectionError):
            raise exc
        if not self._is_error(request):
            return super().handle_error(request, status, exc, message)
        self._bounds.on_malformed(status, (message or "")[:MAX_REASON_LENGTH])
        if request.writer.output_size > 0:
            raise ConnectionError("a part of the answer is sent already")
        response = web.Response(status=status)
        response.force_close()
        return response

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        """Answer with an error, and read nothing more."""
        self._is_refused = True
        error = _ErrInfo(status, HttpProcessingError(code=status, message=reason), reason)
        self._messages.append((error, EMPTY_PAYLOAD))
        self._request_count += 1
        self._begin_request()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_evicted(self) -> None:
        """Give up the request that is being read, or the answer that isn't taken."""
        if self.memory.state is not HoldState.PENDING:
            self.abort("memory is needed for other requests")
        elif self._is_in_body():
            self._break_body(RequestEvicted("memory is needed for other requests"))

    def _break_body(self, error: Exception) -> None:
        """Let who reads the body fail; the connection is closed after the answer."""
        self._body.set_exception(error)
        self._lingering_time = 0.0

    @property
    def has_read_ahead(self) -> bool:
        """Whether bytes may have been read behind the request in progress."""
        return bool(self._read_ahead) or self._has_been_chunked

    # What the table of connections does.

    @property
    def is_unused(self) -> bool:
        """Whether no part of a request was read that has no answer yet."""
        return not self._has_request and self.head_begun_at is None and self._body.is_eof()

    @property
    def has_unread(self) -> bool:
        """Whether something has come that isn't read yet, as far as the system tells."""
        connection = self._connected and self._connected.get_extra_info("socket")
        descriptor = connection.fileno() if connection else -1
        # Connections in memory have no descriptor that the system knows.
        if not isinstance(descriptor, int) or descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that the client hasn't taken."""
        return 0 if self._connected is None else self._connected.get_write_buffer_size()

    def abort(self, reason: str) -> None:
        """Drop what isn't sent, and close."""
        self.end_reason = reason
        if self._connected is not None:
            self._connected.abort()
        self.force_close()

    def refuse_slow_head(self) -> None:
        """Refuse the head that doesn't end."""
        self._refuse(HTTPStatus.REQUEST_TIMEOUT, "a head that doesn't end")

    def note_stalled(self, is_stalled: bool) -> None:
        """Record whether the client takes nothing of its answer."""
        self.memory.is_stalled = is_stalled


def _body_length(message: RawRequestMessage) -> int | None:
    """Return the length that a request's head gives for its body, if it gives one."""
    length = message.headers.get("Content-Length")
    return None if message.chunked or length is None else int(length)


def _head_cost(raw_headers: tuple[tuple[bytes, bytes], ...]) -> int:
    """Return the memory that a parsed head takes, in bytes."""
    size = sum(len(name) + len(value) for name, value in raw_headers)
    return HEAD_COST_RATIO * size + FIELD_COST_BYTES * len(raw_headers)
