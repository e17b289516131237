"""Answers that are none, as a replica in trouble sends them on a real connection."""

from __future__ import annotations

import enum

from aiohttp import web

from mulleinreach.standins.resets import reset


class BrokenAnswer(enum.StrEnum):
    """How an answer is broken.

    ``RESET`` and ``CLOSE``: a success without length ends in a part of its body while the request
    is unread, with a reset, or with a close that a reset follows. ``NO_STATUS``: its three digits
    are no status. The others have a malformed line in the head of a whole success.
    """

    RESET = "reset"
    CLOSE = "close"
    NO_STATUS = "no_status"
    BLANK_BEFORE_COLON = "blank_before_colon"
    BLANK_IN_NAME = "blank_in_name"
    CONTROL_IN_NAME = "control_in_name"
    CONTROL_IN_VALUE = "control_in_value"
    FOLDED = "folded"


_LINES = {
    BrokenAnswer.BLANK_BEFORE_COLON: "Connection : close\r\n",
    BrokenAnswer.BLANK_IN_NAME: "X Odd: a\r\n",
    BrokenAnswer.CONTROL_IN_NAME: "X-O\x01dd: a\r\n",
    BrokenAnswer.CONTROL_IN_VALUE: "X-Odd: a\x01b\r\n",
    BrokenAnswer.FOLDED: " X-Odd: a\r\n",
}
_PART = "part"


def send_broken(how: BrokenAnswer, request: web.BaseRequest, fields: str) -> web.Response:
    """Send a broken answer, and end the connection.

    Parameters
    ==========

    fields : the lines that make a sound answer the one to this request.
    """
    transport = request.transport
    transport.pause_reading()
    status = "000" if how is BrokenAnswer.NO_STATUS else "200"
    is_cut = how in (BrokenAnswer.RESET, BrokenAnswer.CLOSE)
    length = "" if is_cut else f"Content-Length: {len(_PART)}\r\n"
    head = f"HTTP/1.1 {status} X\r\n{fields}{_LINES.get(how, '')}{length}\r\n"
    transport.write((head + _PART).encode())
    if how is BrokenAnswer.CLOSE:
        transport.write_eof()
    if is_cut:
        reset(transport)
    else:
        transport.close()
    # aiohttp can't send it on the connection that has ended.
    return web.Response()
