"""Splits a byte stream into server-sent events.

References
==========

.. [1] WHATWG, "HTML Living Standard", section 9.2, server-sent events.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True)
class Event:
    """The raw bytes of one event, and its id if it has one."""

    data: bytes
    id: str | None


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
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete; the remainder stays in ``rest``."""
        self.rest += data
        events = []
        start = 0
        for end in _END_OF_EVENT.finditer(self.rest):
            raw = self.rest[start : end.end()]
            id_line = _ID_LINE.search(raw)
            events.append(Event(raw, id_line.group(1).decode("latin-1") if id_line else None))
            start = end.end()
        self.rest = self.rest[start:]
        return events
