"""Putting the events of an answer stream in order, across attempts.

Explanation
===========

An engine streams server-sent events. The ``id`` field of each is
``REQUEST/ATTEMPT:POSITION``, positions count from 0, and the event after the
last token has the data ``[DONE_MARKER]``. A stream is resumed with the standard's
``Last-Event-ID``. Only the event at the next position is ever delivered: an
event of another request or attempt is dropped, a later one waits, an earlier
one is a duplicate. So a caller sees no gap, no doubling and no one else's text.

References
==========

.. [1] WHATWG HTML Living Standard, section 9.2, "Server-sent events".
"""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass

EVENT_SEPARATOR = b"\n\n"
DONE_MARKER = b"[DONE]"
MAX_BUFFERED_EVENTS = 256
MAX_EVENT_BYTES = 262_144


class StreamFault(enum.StrEnum):
    """Why an attempt's stream can't be used any further."""

    GARBAGE = "garbage"
    OTHER_REQUEST = "other_request"
    GAP = "gap"


class StreamError(Exception):
    """The attempt's stream is of no more use; delivered positions stay good."""

    def __init__(self, fault: StreamFault, detail: str):
        super().__init__(f"{fault}: {detail}")
        self.fault = fault


@dataclass
class StreamCounts:
    """What was dropped, over all attempts of a request."""

    duplicates: int = 0
    foreign: int = 0
    reordered: int = 0


class OrderedStream:
    """The answer of one request, whatever attempts it is put together from.

    Examples
    ========

    >>> stream = OrderedStream("r1")
    >>> stream.begin_attempt(1)
    >>> stream.feed(b'id: r1/1:1\\ndata: b\\n\\n')
    b''
    >>> stream.feed(b'id: r1/1:0\\ndata: a\\n\\n')
    b'id: r1/1:0\\ndata: a\\n\\nid: r1/1:1\\ndata: b\\n\\n'
    >>> stream.next_position
    2
    """

    def __init__(self, request_id: str, max_kept_bytes: int = 1_000_000):
        self._request_id = request_id
        self._max_kept_bytes = max_kept_bytes
        self._delivered_events: list[bytes] = []
        self._delivered_bytes = 0
        self._prefix = b""
        self._partial_event = b""
        self._buffered: dict[int, bytes] = {}
        self.next_position = 0
        self.is_done = False
        self.counts = StreamCounts()

    def begin_attempt(self, attempt: int) -> None:
        """Accept events of ``attempt`` only, from the next position on."""
        self._prefix = f"id: {self._request_id}/{attempt}:".encode()
        self._partial_event = b""
        self._buffered.clear()

    def feed(self, data: bytes) -> bytes:
        """Take what arrived; returns what is to be delivered, which may be nothing."""
        is_aligned = (
            not self._partial_event and not self._buffered and data.endswith(EVENT_SEPARATOR)
        )
        if is_aligned and data.count(EVENT_SEPARATOR) == 1:
            # The common case: one whole event, the next one.
            event = data[:-2]
            if event.startswith(b"%b%d\ndata: " % (self._prefix, self.next_position)):
                self._deliver(event)
                return data
        return self._parse_events(data)

    def _parse_events(self, data: bytes) -> bytes:
        *events, self._partial_event = (self._partial_event + data).split(EVENT_SEPARATOR)
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise StreamError(StreamFault.GARBAGE, f"an event of over {MAX_EVENT_BYTES} bytes")
        delivered = []
        for event in events:
            self._buffer_event(event)
            while not self.is_done and self.next_position in self._buffered:
                ready = self._buffered.pop(self.next_position)
                self._deliver(ready)
                delivered.append(ready + EVENT_SEPARATOR)
        if self.is_done:
            self._buffered.clear()
        return b"".join(delivered)

    def _buffer_event(self, event: bytes) -> None:
        if not event.startswith(self._prefix):
            self._reject_event(event)
            return
        number, newline, rest = event[len(self._prefix) :].partition(b"\n")
        if not newline or not number.isdigit() or not rest.startswith(b"data: "):
            raise StreamError(StreamFault.GARBAGE, f"event {event[:80]!r}")
        position = int(number)
        if position < self.next_position or position in self._buffered:
            self.counts.duplicates += 1
            return
        if position > self.next_position:
            self.counts.reordered += 1
            if len(self._buffered) >= MAX_BUFFERED_EVENTS:
                raise StreamError(StreamFault.GAP, f"position {self.next_position} never came")
        self._buffered[position] = event

    def _reject_event(self, event: bytes) -> None:
        """Drop an event of another request or attempt; refuse what is no event."""
        if event.startswith(b":") or not event.strip():
            return
        self.counts.foreign += 1
        if not event.startswith(b"id: "):
            raise StreamError(StreamFault.GARBAGE, f"event {event[:80]!r}")
        if not event.startswith(f"id: {self._request_id}/".encode()):
            raise StreamError(StreamFault.OTHER_REQUEST, f"event {event[:80]!r}")

    def _deliver(self, event: bytes) -> None:
        self.next_position += 1
        if event.endswith(DONE_MARKER) and event.endswith(b"\ndata: " + DONE_MARKER):
            self.is_done = True
            return
        self._delivered_bytes += len(event)
        if self._delivered_bytes <= self._max_kept_bytes:
            self._delivered_events.append(event)

    def delivered_text(self) -> str | None:
        """Return the text that was delivered, or ``None`` if it was too long to keep."""
        if self._delivered_bytes > self._max_kept_bytes:
            return None
        try:
            return "".join(_event_text(event) for event in self._delivered_events)
        except (ValueError, KeyError, IndexError, TypeError):
            return None


def _event_text(event: bytes) -> str:
    _, _, data = event.partition(b"\ndata: ")
    choice = json.loads(data)["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""
