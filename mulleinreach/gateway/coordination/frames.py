"""Framing of messages between two nodes: a length prefix and a compressed payload.

Successive messages differ little, so each direction of a connection uses one compression stream.
"""

from __future__ import annotations

import asyncio
import struct
import zlib

MAX_MESSAGE_BYTES = 4_000_000
_LENGTH = struct.Struct(">I")
# A small window covers the last few messages and keeps the memory per connection low.
_LEVEL = 1
_WINDOW_BITS = -12
_MEMORY_LEVEL = 5


class PeerError(Exception):
    """The connection to a peer is no longer usable."""


class FrameWriter:
    """Writes messages to a connection."""

    def __init__(self, writer: asyncio.StreamWriter):
        self._writer = writer
        self._stream = zlib.compressobj(_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL)

    def write(self, message: bytes) -> None:
        """Add one message to the send buffer."""
        data = self._stream.compress(message) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        self._writer.write(_LENGTH.pack(len(data)) + data)

    def buffered_bytes(self) -> int:
        """Return the number of bytes in the send buffer."""
        return self._writer.transport.get_write_buffer_size()

    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class FrameReader:
    """Reads messages from a connection."""

    def __init__(self, reader: asyncio.StreamReader):
        self._reader = reader
        self._stream = zlib.decompressobj(_WINDOW_BITS)

    async def read(self) -> bytes:
        """Return the next message.

        Raises
        ======

        PeerError : if the connection ends, or a message is too long or malformed.
        """
        try:
            (length,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
            if length > MAX_MESSAGE_BYTES:
                raise PeerError(f"message of {length} bytes is too long")
            data = await self._reader.readexactly(length)
            message = self._stream.decompress(data, MAX_MESSAGE_BYTES)
        except (asyncio.IncompleteReadError, OSError, zlib.error) as error:
            raise PeerError(str(error)) from error
        if self._stream.unconsumed_tail:
            raise PeerError(f"decompressed message exceeds {MAX_MESSAGE_BYTES} bytes")
        return message
