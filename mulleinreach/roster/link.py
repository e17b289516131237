"""Authenticated connections between two nodes.

Explanation
===========

Both sides send a :class:`Hello` with a fresh nonce, then a :class:`Proof`: an
HMAC-SHA256 over both hellos and the direction, with a key shared by all nodes.
A side that receives an invalid proof closes the connection. The digest covers the
direction and both nonces, which prevents reflection and replay of a proof.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
import struct
from dataclasses import dataclass

from mulleinreach.roster.messages import Hello, Message, Proof, decode, encode

MAX_MESSAGE_BYTES = 4_000_000
HANDSHAKE_TIMEOUT_S = 2.0
NONCE_BYTES = 16
_LENGTH = struct.Struct(">I")


class LinkError(Exception):
    """The connection failed, or the other side failed authentication."""


@dataclass(frozen=True)
class PeerKey:
    """A secret shared by all nodes, and its id."""

    id: str
    secret: bytes


@dataclass
class KeyRing:
    """The accepted keys; the first one signs this node's own proofs."""

    keys: list[PeerKey]

    def prove(self, label: bytes, transcript: bytes) -> Proof:
        """Return a proof made with the first key."""
        key = self.keys[0]
        return Proof(key.id, _digest(key.secret, label, transcript))

    def accepts(self, proof: Proof, label: bytes, transcript: bytes) -> bool:
        """Whether the proof was made with one of the accepted keys."""
        for key in self.keys:
            if key.id == proof.key_id:
                expected = _digest(key.secret, label, transcript)
                return hmac.compare_digest(expected, proof.digest)
        return False


def _digest(secret: bytes, label: bytes, transcript: bytes) -> bytes:
    return hmac.new(secret, label + transcript, hashlib.sha256).digest()


class Link:
    """Sends and receives messages over one connection, and counts the bytes for metrics."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self.bytes_sent = 0
        self.bytes_received = 0
        self.peer: Hello | None = None

    async def send(self, message: Message) -> None:
        """Write one message, and wait while the send buffer is full."""
        packed = encode(message)
        self._writer.write(_LENGTH.pack(len(packed)) + packed)
        self.bytes_sent += len(packed) + _LENGTH.size
        await self._writer.drain()

    async def receive(self) -> Message:
        """Read one message; raises :class:`LinkError` if the connection fails."""
        try:
            head = await self._reader.readexactly(_LENGTH.size)
            (length,) = _LENGTH.unpack(head)
            if length > MAX_MESSAGE_BYTES:
                raise LinkError(f"message of {length} bytes, over {MAX_MESSAGE_BYTES}")
            packed = await self._reader.readexactly(length)
            self.bytes_received += length + _LENGTH.size
            return decode(packed)
        except (asyncio.IncompleteReadError, OSError, ValueError) as error:
            raise LinkError(str(error)) from error

    async def handshake(self, own: Hello, ring: KeyRing, is_client: bool) -> Hello:
        """Authenticate both sides; returns the other side's hello."""
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            await self.send(own)
            other = await self._expect(Hello)
            first, second = (own, other) if is_client else (other, own)
            transcript = encode(first) + encode(second)
            labels = (b"client", b"server") if is_client else (b"server", b"client")
            await self.send(ring.prove(labels[0], transcript))
            proof = await self._expect(Proof)
            if not ring.accepts(proof, labels[1], transcript):
                raise LinkError(f"wrong proof under key {proof.key_id!r} from {other.node!r}")
        self.peer = other
        return other

    async def _expect(self, kind: type) -> Message:
        message = await self.receive()
        if not isinstance(message, kind):
            raise LinkError(f"received {type(message).__name__}, expected {kind.__name__}")
        return message

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()


def new_hello(node: str, incarnation: str) -> Hello:
    """Return a hello with a random nonce from the system's secure random generator."""
    return Hello(node, incarnation, secrets.token_bytes(NONCE_BYTES))
