"""Answers without a length that end with a closed or reset connection, over real sockets."""

import asyncio
import socket

import pytest
from multidict import CIMultiDict

from mulleinreach.common import Address, Network
from mulleinreach.gateway.request.exchange import (
    AnswerCut,
    Answered,
    Broken,
    NotSent,
    OutgoingRequest,
    Streaming,
    UpstreamClient,
)
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.standins.gateway.dialect import PlainDialect
from mulleinreach.standins.resets import reset

HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: r\r\n\r\n"


def ignore_notice(upstream, notice):
    """Ignore the notices of an upstream."""


async def exchange(ends_with_reset: bool, wants_stream: bool, reads_late: bool = False):
    """Send a request to a server that answers without a length.

    Parameters
    ==========

    reads_late : whether the end has arrived before anybody reads the stream.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"part")
        await writer.drain()
        await asyncio.sleep(0.05)
        if ends_with_reset:
            reset(writer.transport)
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    upstream = Upstream("u", "s", Address("127.0.0.1", port), "hall")
    session = Network("test").http_client(keeps_connections=False)
    request = OutgoingRequest("GET", "/a", CIMultiDict(), b"", "r")
    try:
        client = UpstreamClient(session, PlainDialect(), ignore_notice)
        result = await client.send(upstream, request, wants_stream)
        if isinstance(result, Streaming):
            async with asyncio.timeout(30):
                while reads_late and result.response.connection is not None:
                    await asyncio.sleep(0.01)
            return b"".join([data async for data in result.chunks(lambda silent_s: False)])
        return result
    finally:
        await session.close()
        server.close()


def test_closed_answer_without_length_is_complete():
    result = asyncio.run(exchange(ends_with_reset=False, wants_stream=False))
    assert isinstance(result, Answered)
    assert result.body == b"part"


def test_reset_answer_without_length_is_broken():
    result = asyncio.run(exchange(ends_with_reset=True, wants_stream=False))
    assert isinstance(result, Broken)


@pytest.mark.parametrize("reads_late", [False, True])
def test_closed_stream_without_length_is_complete(reads_late):
    assert asyncio.run(exchange(False, wants_stream=True, reads_late=reads_late)) == b"part"


@pytest.mark.parametrize("reads_late", [False, True])
def test_reset_stream_without_length_is_cut(reads_late):
    with pytest.raises(AnswerCut):
        asyncio.run(exchange(True, wants_stream=True, reads_late=reads_late))


def test_refused_connection_means_not_sent():
    async def run():
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        upstream = Upstream("u", "s", Address("127.0.0.1", port), "hall")
        session = Network("test").http_client(keeps_connections=False)
        request = OutgoingRequest("GET", "/a", CIMultiDict(), b"", "r")
        try:
            client = UpstreamClient(session, PlainDialect(), ignore_notice)
            return await client.send(upstream, request, False)
        finally:
            await session.close()

    assert isinstance(asyncio.run(run()), NotSent)
