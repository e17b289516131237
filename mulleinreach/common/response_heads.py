"""Checks the lines in the heads of responses.

aiohttp's parsers are lenient, and not in the same way: one acts on names that a blank parts from
their colon, both join a line that begins with a blank to the field before it. Either way a reader
sees other fields than the server has sent [1]_.

References
==========

.. [1] RFC 9112, "HTTP/1.1", sections 2.2, 5.1 and 5.2.
"""

from __future__ import annotations

import re

# RFC 9110, sections 5.1 and 5.5: a name is a token, and a value holds no control bytes but tabs.
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
_INFORMATIONAL_STATUS_LINE = re.compile(rb"HTTP/\d\.\d +1\d\d\b")


class HeadScanner:
    """Looks at received bytes, from the first head of a response to the end of its final one.

    Examples
    ========

    >>> scanner = HeadScanner()
    >>> scanner.feed(b"HTTP/1.1 200 OK\\r\\nConnection "), scanner.is_done
    (None, False)
    >>> scanner.feed(b": close\\r\\n\\r\\n")
    b'Connection : close'
    """

    def __init__(self) -> None:
        self._line = bytearray()
        self._is_in_fields = False
        self._is_informational = False
        # The number of heads whose end was received, and whether the last of them is the final one.
        self.head_count = 0
        self.is_done = False

    def feed(self, data: bytes) -> bytes | None:
        """Return the first malformed line that ends in ``data``, ``None`` if there is none."""
        begin = 0
        while not self.is_done and (end := data.find(b"\n", begin)) >= 0:
            line = bytes(self._line + data[begin:end]).removesuffix(b"\r")
            self._line.clear()
            begin = end + 1
            if not self._read_line(line):
                return line
        if not self.is_done:
            self._line += data[begin:]
        return None

    def _read_line(self, line: bytes) -> bool:
        """Take a line; returns whether it is sound. The parser judges status lines."""
        if self._is_in_fields and line:
            return _FIELD_LINE.fullmatch(line) is not None
        if self._is_in_fields:
            self._is_in_fields = False
            self.head_count += 1
            self.is_done = not self._is_informational
        elif line:
            self._is_in_fields = True
            self._is_informational = _INFORMATIONAL_STATUS_LINE.match(line) is not None
        return True
