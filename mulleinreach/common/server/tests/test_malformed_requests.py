"""Requests with a malformed line in their head run nowhere, whichever parser of aiohttp reads them.

Guards against fields of which the parser and an upstream make different things.
"""

from __future__ import annotations

import aiohttp.http_parser
import aiohttp.web_protocol
import pytest

from mulleinreach.common.server.tests.support import RawClient, run_server
from mulleinreach.common.tests.head_lines import MALFORMED_LINES, PLACES, SOUND_LINES


@pytest.fixture(params=["HttpRequestParser", "HttpRequestParserPy"], autouse=True)
def parser(request, monkeypatch):
    """Read requests with the parser that aiohttp has chosen, then with its Python one."""
    chosen = getattr(aiohttp.http_parser, request.param)
    monkeypatch.setattr(aiohttp.web_protocol, "HttpRequestParser", chosen)


def request(line: bytes, place: str) -> bytes:
    """Return a request with a further line in its head."""
    own = [b"X-A: a\r\n", b"Content-Length: 4\r\n"]
    own.insert(PLACES.index(place), line + b"\r\n")
    return b"POST /x HTTP/1.1\r\nHost: h\r\n" + b"".join(own) + b"\r\nokay"


@pytest.mark.parametrize("place", PLACES)
def test_request_with_a_malformed_line_is_refused(place):
    async def test(server):
        for line in MALFORMED_LINES:
            client = await RawClient.open()
            client.writer.write(request(line, place))
            assert (await client.read_answer())[0] == 400, line
            assert await client.is_closed()
        assert server.begun == []

    run_server(test)


@pytest.mark.parametrize("place", PLACES)
def test_sound_lines_are_read(place):
    async def test(server):
        for line in SOUND_LINES:
            client = await RawClient.open()
            client.writer.write(request(line, place))
            assert await client.read_answer() == (200, b"/x okay")
            client.writer.close()

    run_server(test)
