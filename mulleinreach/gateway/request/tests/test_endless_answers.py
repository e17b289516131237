"""Bytes without end from an upstream are left at a bound, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest
from multidict import CIMultiDict

from mulleinreach.common import Address, Network
from mulleinreach.common.response_bounds import MAX_HEAD_BYTES
from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.gateway.request.events import MAX_EVENT_BYTES, EventSplitter, EventTooLong
from mulleinreach.gateway.request.exchange import (
    MAX_ANSWER_BYTES,
    MAX_BUFFERED_BYTES,
    AnswerCut,
    Answered,
    Broken,
    OutgoingRequest,
    Streaming,
    UpstreamClient,
)
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.platform.orders import MAX_REPORT_BYTES, PlatformOrders
from mulleinreach.standins.gateway.dialect import PlainDialect

HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: r\r\n"
# What the system's buffers of a connection may hold beside what the node has read.
SOCKET_BUFFERS_BYTES = 16_000_000
PIECE = b"x" * 16_384
# Only a hang takes it.
HANG_S = 60
HEADS = {
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "field": (b"HTTP/1.1 200 OK\r\nX: ", PIECE),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 100),
    "informational fields": (b"HTTP/1.1 100 Continue\r\n", b"X: y\r\n" * 100),
    "no HTTP": (b"", PIECE),
    "lines": (b"", b"\r\n" * 1000),
}
BODIES = {
    "close": (HEAD + b"\r\n", PIECE),
    "length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", PIECE),
    "chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n", PIECE),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + PIECE + b"\r\n"),
    "error": (b"HTTP/1.1 500 E\r\nX-Request-Id: r\r\n\r\n", PIECE),
}
STREAMS = {
    "event": (HEAD + b"\r\n", PIECE),
    "lines": (HEAD + b"\r\n", b"data: x\n" * 1000),
    "comments": (HEAD + b"\r\n", b": x\n" * 1000),
}


class EndlessServer:
    """Answers with bytes that don't end until the client closes."""

    def __init__(self, begin: bytes, repeated: bytes):
        self._begin, self._repeated = begin, repeated
        self.sent_bytes = 0
        self.is_left = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Send until the connection is closed."""
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError):
            for piece in itertools.chain([self._begin], itertools.repeat(self._repeated)):
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
        self.is_left.set()
        writer.close()

    @contextlib.asynccontextmanager
    async def upstream(self):
        """Yield the upstream while it listens."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(HANG_S):
                yield Upstream("u", "s", Address("127.0.0.1", port), "hall")
        finally:
            server.close()


class HaltingServer(EndlessServer):
    """Sends some bytes, and nothing more until the client closes."""

    def __init__(self, data: bytes):
        super().__init__(data, b"")

    async def serve(self, reader, writer) -> None:
        """Send, and wait until the connection is closed."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._begin)
        await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def client(memory: MemoryLedger | None = None):
    """Yield a client as nodes use it."""
    session = Network("test").http_client(keeps_connections=False)
    try:
        yield UpstreamClient(session, PlainDialect(), lambda upstream, notice: None, memory)
    finally:
        await session.close()


def request() -> OutgoingRequest:
    return OutgoingRequest("GET", "/a", CIMultiDict(), b"", "r")


async def send(server: EndlessServer, wants_stream: bool = False):
    """Send a request; returns the result once the connection is left."""
    async with server.upstream() as upstream, client() as sender:
        result = await sender.send(upstream, request(), wants_stream)
        if isinstance(result, Streaming):
            result = await read_events(result)
        await server.is_left.wait()
        return result


async def read_events(streaming: Streaming):
    """Read events as a node does."""
    splitter = EventSplitter()
    try:
        async for data in streaming.chunks(lambda silent_s: False):
            splitter.feed(data)
    except (AnswerCut, EventTooLong) as error:
        return error
    finally:
        streaming.close()


# Guards against memory that is filled by a head without end, or a task that reads it for ever.
@pytest.mark.parametrize("wants_stream", [False, True])
@pytest.mark.parametrize("kind", HEADS)
def test_head_without_end_is_left_at_a_bound(kind, wants_stream):
    async def test():
        server = EndlessServer(*HEADS[kind])
        assert isinstance(await send(server, wants_stream), Broken)
        assert server.sent_bytes <= MAX_HEAD_BYTES + SOCKET_BUFFERS_BYTES

    asyncio.run(test())


# Guards against memory that is filled by a body without end.
@pytest.mark.parametrize("kind", BODIES)
def test_body_without_end_is_left_at_a_bound(kind):
    async def test():
        server = EndlessServer(*BODIES[kind])
        assert isinstance(await send(server), Broken)
        assert server.sent_bytes <= MAX_ANSWER_BYTES + SOCKET_BUFFERS_BYTES

    asyncio.run(test())


# Guards against memory that is filled by many bodies, each within its own bound.
def test_bodies_without_end_are_bounded_together():
    async def test():
        servers = [EndlessServer(*BODIES["close"]) for _ in range(6)]
        async with contextlib.AsyncExitStack() as stack:
            sender = await stack.enter_async_context(client())
            upstreams = [await stack.enter_async_context(s.upstream()) for s in servers]
            sends = (sender.send(upstream, request(), False) for upstream in upstreams)
            results = await asyncio.gather(*sends)
        assert all(isinstance(result, Broken) for result in results)
        sent_bytes = sum(server.sent_bytes for server in servers)
        # A body that is left makes room for what another one goes on to read.
        assert sent_bytes <= 2 * MAX_BUFFERED_BYTES + len(servers) * SOCKET_BUFFERS_BYTES

    asyncio.run(test())


# Guards against an event without end, which is kept and searched from its start at each piece.
@pytest.mark.parametrize("kind", STREAMS)
def test_event_without_end_is_left_at_a_bound(kind):
    async def test():
        server = EndlessServer(*STREAMS[kind])
        assert isinstance(await send(server, wants_stream=True), EventTooLong)
        assert server.sent_bytes <= MAX_EVENT_BYTES + SOCKET_BUFFERS_BYTES

    asyncio.run(test())


# Guards against a report without end, which a coordinator would read for each of its hosts.
def test_report_without_end_is_left_at_a_bound():
    async def test():
        server = EndlessServer(*BODIES["close"])
        network = Network("test")
        orders = PlatformOrders(network.http_client, sends_token=False)
        async with server.upstream() as upstream:
            result = await orders._read_report(orders._fresh_session, upstream)
            await server.is_left.wait()
        assert "a body over" in result.reason
        assert server.sent_bytes <= MAX_REPORT_BYTES + SOCKET_BUFFERS_BYTES

    asyncio.run(test())


# Guards against bounds that strike a sound answer behind informational ones.
def test_answer_behind_informational_responses_is_read():
    async def test():
        hints = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 10
        answer = HEAD + b"Content-Length: 4\r\n\r\nbody"

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(hints + answer)
            await writer.drain()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = Upstream("u", "s", Address("127.0.0.1", port), "hall")
        async with client() as sender, asyncio.timeout(HANG_S):
            result = await sender.send(upstream, request(), False)
        listener.close()
        assert isinstance(result, Answered)
        assert result.body == b"body"

    asyncio.run(test())


# Guards against a small answer that breaks since a large one fills the memory.
def test_largest_answer_that_is_read_makes_way_for_a_small_one():
    async def test():
        memory = MemoryLedger(45_000)
        halting = HaltingServer(HEAD + b"Content-Length: 40000\r\n\r\n" + b"l" * 30_000)
        whole = HaltingServer(HEAD + b"Content-Length: 20000\r\n\r\n" + b"s" * 20_000)
        async with (
            client(memory) as sender,
            halting.upstream() as first,
            whole.upstream() as second,
        ):
            large = asyncio.create_task(sender.send(first, request(), False))
            while memory.held_bytes < 30_000:
                await asyncio.sleep(0.01)
            assert isinstance(await sender.send(second, request(), False), Answered)
            assert isinstance(await large, Broken)
        assert memory.held_bytes == 0

    asyncio.run(test())
