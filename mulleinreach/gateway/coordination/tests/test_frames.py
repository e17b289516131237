"""Messages between nodes come through whole, small when repeated, and never without bound."""

from __future__ import annotations

import asyncio
import struct
import zlib

import pytest

from mulleinreach.gateway.coordination.frames import (
    MAX_MESSAGE_BYTES,
    FrameReader,
    FrameWriter,
    PeerError,
)


class _Pipe:
    """A writer whose bytes a reader gets."""

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader(limit=2**24)
        self.sent = 0

    def write(self, data: bytes) -> None:
        self.sent += len(data)
        self.reader.feed_data(data)


def test_messages_arrive_in_order_and_repeated_ones_are_compressed():
    async def test():
        pipe = _Pipe()
        frames, reader = FrameWriter(pipe), FrameReader(pipe.reader)
        messages = [bytes(range(256)) * 3 + bytes([n]) for n in range(20)]
        for message in messages:
            frames.write(message)
        assert [await reader.read() for _ in messages] == messages
        assert pipe.sent < 0.15 * sum(len(message) for message in messages)

    asyncio.run(test())


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", MAX_MESSAGE_BYTES + 1),
        struct.pack(">I", 5) + b"\xff\xff\xff\xff\xff",
        struct.pack(">I", 9) + b"cut",
    ],
)
def test_malformed_frame_raises_peer_error(data):
    async def test():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        with pytest.raises(PeerError):
            await FrameReader(reader).read()

    asyncio.run(test())


def test_message_that_exceeds_the_size_limit_decompressed_raises_peer_error():
    async def test():
        stream = zlib.compressobj(1, zlib.DEFLATED, -12)
        data = stream.compress(bytes(MAX_MESSAGE_BYTES + 1)) + stream.flush(zlib.Z_SYNC_FLUSH)
        reader = asyncio.StreamReader(limit=2**24)
        reader.feed_data(struct.pack(">I", len(data)) + data)
        with pytest.raises(PeerError):
            await FrameReader(reader).read()

    asyncio.run(test())
