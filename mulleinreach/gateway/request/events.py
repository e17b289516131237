"""Splits a byte stream into server-sent events.

References
==========

.. [1] WHATWG, "HTML Living Standard", section 9.2, server-sent events.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576
# The longest end of an event, which may come in two pieces.
_MAX_END_BYTES = 4
_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True)
class Event:
    """The raw bytes of one event, and its id if it has one."""

    data: bytes
    id: str | None


class EventTooLong(ValueError):
    """A stream has sent ``MAX_EVENT_BYTES`` without the end of an event."""


class EventSplitter:
    """Buffers bytes and returns complete events.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    [Event(data=b'id: 1\\ndata: a\\n\\n', id='1')]
    >>> splitter.rest
    b'id: 2'
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete; the remainder stays in ``rest``.

        Raises :class:`EventTooLong` if the remainder is too long.
        """
        searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        self._buffer += data
        events = []
        start = 0
        for end in _END_OF_EVENT.finditer(self._buffer, searched):
            raw = bytes(self._buffer[start : end.end()])
            id_line = _ID_LINE.search(raw)
            events.append(Event(raw, id_line.group(1).decode("latin-1") if id_line else None))
            start = end.end()
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event over {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def rest(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buffer)
