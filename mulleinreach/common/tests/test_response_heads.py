"""Responses with malformed lines in their head are none, whichever parser of aiohttp reads them."""

from __future__ import annotations

import asyncio
import re

import aiohttp.client_proto
import aiohttp.http_parser
import pytest
from aiohttp.http_exceptions import HttpProcessingError

from mulleinreach.common import response_heads
from mulleinreach.common.response_bounds import BoundedResponseHandler
from mulleinreach.common.tests.head_lines import MALFORMED_LINES, PLACES, SOUND_LINES
from mulleinreach.common.tests.test_response_bounds import make_handler

SIGNATURE = b"X-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
HINT = b"HTTP/1.1 103 Early Hints\r\n"
BODIES = {
    "length": b"Content-Length: 4\r\n\r\nokay",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\nokay\r\n0\r\n\r\n",
    "close": b"\r\nokay",
}


@pytest.fixture(params=["HttpResponseParser", "HttpResponseParserPy"], autouse=True)
def parser(request, monkeypatch):
    """Read responses with the parser that aiohttp has chosen, then with its Python one."""
    chosen = getattr(aiohttp.http_parser, request.param)
    monkeypatch.setattr(aiohttp.client_proto, "HttpResponseParser", chosen)


def response(line: bytes, place: str, body: bytes = BODIES["length"], end: bytes = b"\r\n"):
    """Return a response with a further line in its head."""
    own = [b"X-A: a" + end, SIGNATURE]
    own.insert(PLACES.index(place), line + end)
    return OK + b"".join(own) + body


async def receive(pieces) -> tuple[BoundedResponseHandler, bytes | None]:
    """Receive pieces and the end of the connection; returns the body if there is a response."""
    handler, transport = await make_handler()
    for piece in pieces:
        if not transport.is_aborted:
            handler.data_received(piece)
    handler.connection_lost(None)
    try:
        _, body = await handler.read()
        return handler, await body.read()
    except (aiohttp.ClientError, HttpProcessingError):
        return handler, None


def bodies_of(responses) -> list[bytes | None]:
    """Return the body of each response, ``None`` for what is none."""

    async def run():
        return [(await receive([each]))[1] for each in responses]

    return asyncio.run(run())


# Guards against names that are passed on with a blank, and against framing that only one of the
# parser and its user has seen.
@pytest.mark.parametrize("framing", BODIES)
@pytest.mark.parametrize("place", PLACES)
def test_response_with_a_malformed_line_is_none(place, framing):
    responses = [response(line, place, BODIES[framing]) for line in MALFORMED_LINES]
    read = zip(MALFORMED_LINES, bodies_of(responses), strict=True)
    assert [line for line, body in read if body is not None] == []


@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
@pytest.mark.parametrize("place", PLACES)
def test_sound_lines_are_read(place, end):
    responses = [response(line, place, end=end) for line in SOUND_LINES]
    assert bodies_of(responses) == [b"okay"] * len(SOUND_LINES)


# Guards against a line that is taken for sound since it came in two parts.
@pytest.mark.parametrize("line", [b"Connection : close", b" X-Odd: a", b"\tX-Odd: a"])
def test_malformed_line_is_found_however_it_is_cut(line):
    data = response(line, "between")
    cuts = range(1, len(data))

    async def run():
        whole = [(await receive([data[:cut], data[cut:]]))[1] for cut in cuts]
        return [*whole, (await receive(bytes([byte]) for byte in data))[1]]

    assert set(asyncio.run(run())) == {None}


@pytest.mark.parametrize("line", SOUND_LINES)
def test_sound_response_is_read_however_it_is_cut(line):
    data = HINT + SIGNATURE + b"\r\n" + response(line, "between")
    cuts = range(1, len(data))

    async def run():
        whole = [(await receive([data[:cut], data[cut:]]))[1] for cut in cuts]
        return [*whole, (await receive(bytes([byte]) for byte in data))[1]]

    assert set(asyncio.run(run())) == {b"okay"}


# Guards against heads that nobody looks at, as their status says nothing of the final one.
@pytest.mark.parametrize("line", [b"Connection : close", b" X-Odd: a", b"X Odd: a"])
@pytest.mark.parametrize("sound_hints", [0, 1, 3])
def test_malformed_line_in_an_informational_head_is_found(sound_hints, line):
    hints = (HINT + SIGNATURE + b"\r\n") * sound_hints
    odd = HINT + SIGNATURE + line + b"\r\n\r\n"
    assert bodies_of([hints + odd + OK + BODIES["length"]]) == [None]
    assert bodies_of([hints + response(line, "last")]) == [None]


# Guards against later heads that are read unchecked.
def test_response_is_none_if_scanner_and_parser_disagree_on_its_end(monkeypatch):
    never = re.compile(rb"(?!)")
    monkeypatch.setattr(response_heads, "_INFORMATIONAL_STATUS_LINE", never)
    hint = HINT + SIGNATURE + b"\r\n"
    assert bodies_of([hint + response(b"Connection : close", "last")]) == [None]
    assert bodies_of([hint + response(b"X-Odd: a", "last")]) == [None]


def test_lines_of_a_body_are_not_looked_at():
    body = b"a b\r\n c: d\r\n\r\n\x01 : \r\n"
    heads = [OK + b"Content-Length: %d\r\n\r\n" % len(body), OK + b"\r\n"]
    assert bodies_of(head + body for head in heads) == [body, body]


def test_reason_names_the_malformed_line():
    async def run():
        handler, _ = await receive([response(b"Connection : close", "last")])
        return handler

    assert "Connection : close" in str(asyncio.run(run()).connection_error)
