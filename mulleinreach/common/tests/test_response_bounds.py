"""Servers that send little but heads or framing are left before much of it is parsed."""

from __future__ import annotations

import asyncio
import random

import pytest

from mulleinreach.common.response_bounds import (
    MAX_FRAMING_BYTES,
    MAX_INFORMATIONAL_RESPONSES,
    PIECE_BYTES,
    BoundedResponseHandler,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Bytes that a transport hands over at once.
READ_BYTES = 262_144


class FakeTransport(asyncio.Transport):
    """Notes whether it was aborted."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False
        self.is_paused = False

    def abort(self):
        self.is_aborted = True

    def close(self):
        self.is_aborted = True

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def get_extra_info(self, name, default=None):
        return default


async def make_handler():
    """Return a handler that waits for a response, and its transport."""
    handler, transport = BoundedResponseHandler(asyncio.get_running_loop()), FakeTransport()
    handler.connection_made(transport)
    handler.set_response_params(read_until_eof=True, auto_decompress=False)
    return handler, transport


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


# Guards against an event loop that parses one-byte chunks while all other requests wait.
@pytest.mark.parametrize("framing", [chunk(b"x"), chunk(b"x", b";" + b"e" * 50)])
def test_body_that_is_mostly_framing_is_left_within_a_read(framing):
    async def test():
        handler, transport = await make_handler()
        handler.data_received(HEAD)
        _, body = await handler.read()
        handler.data_received(framing * (READ_BYTES // len(framing)))
        assert transport.is_aborted
        assert body.total_bytes <= MAX_FRAMING_BYTES + PIECE_BYTES
        assert "framing" in str(body.exception())

    asyncio.run(test())


@pytest.mark.parametrize("seed", range(10))
def test_sound_chunks_are_read_however_they_are_cut(seed):
    async def test():
        rng = random.Random(seed)
        handler, transport = await make_handler()
        sizes = [rng.choice((1, 20, 60, 4000, 70_000)) for _ in range(300)]
        data = HEAD + b"".join(chunk(rng.randbytes(size)) for size in sizes) + chunk(b"")
        received = 0
        body = None
        while data:
            while transport.is_paused:
                received += len(await body.readany())
            cut = rng.choice((1, 100, 5000, READ_BYTES))
            handler.data_received(data[:cut])
            data = data[cut:]
            if body is None and handler._has_final_head:
                _, body = await handler.read()
        async for part in body.iter_any():
            received += len(part)
        assert received == sum(sizes)
        assert not transport.is_aborted

    asyncio.run(test())


# Guards against an event loop that parses informational responses while other requests wait.
def test_informational_responses_without_end_are_left_within_a_read():
    async def test():
        handler, transport = await make_handler()
        hint = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        handler.data_received(hint * (READ_BYTES // len(hint)))
        assert transport.is_aborted
        most = MAX_INFORMATIONAL_RESPONSES + PIECE_BYTES // len(hint) + 1
        assert handler._informational_count <= most

    asyncio.run(test())


def test_bytes_before_any_request_are_held_back():
    async def test():
        handler = BoundedResponseHandler(asyncio.get_running_loop())
        handler.connection_made(FakeTransport())
        handler.data_received(b"x" * 10)

    asyncio.run(test())
