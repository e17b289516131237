"""A connection to an upstream through another node, as the asking node opens and uses it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from mulleinreach.common import Address, Network
from mulleinreach.common.delivery import UNRECEIVED_BYTES
from mulleinreach.gateway.connectivity.connector import ProtocolFactory, UpstreamConnection
from mulleinreach.gateway.connectivity.messages import (
    LENGTH,
    MAX_MESSAGE_BYTES,
    RECEIVED,
    TunnelError,
    TunnelOutcome,
    TunnelRequest,
    decode_reply,
    encode_request,
)


class BlockDecoder:
    """Takes the upstream's bytes out of their blocks.

    Examples
    ========

    >>> decoder = BlockDecoder()
    >>> decoder.feed(LENGTH.pack(3) + b"ab"), decoder.feed(b"c" + LENGTH.pack(0))
    (b'ab', b'c')
    >>> decoder.is_at_end, decoder.feed(RECEIVED.pack(12)), decoder.is_at_end
    (False, b'', True)
    """

    def __init__(self) -> None:
        self._field = b""
        self._remaining = 0
        self._is_ending = False
        # How many bytes the upstream had received when it closed the connection.
        self.received_bytes: int | None = None

    @property
    def is_at_end(self) -> bool:
        """Whether the upstream has closed the connection."""
        return self.received_bytes is not None

    def feed(self, data: bytes) -> bytes:
        """Return the upstream's bytes in ``data``."""
        payload = []
        while data and not self.is_at_end:
            if self._remaining:
                payload.append(data[: self._remaining])
                data = data[self._remaining :]
                self._remaining -= len(payload[-1])
                continue
            data = self._read_field(data)
        return b"".join(payload)

    def _read_field(self, data: bytes) -> bytes:
        """Read a part of the number that comes next; returns what follows it."""
        number = RECEIVED if self._is_ending else LENGTH
        missing = number.size - len(self._field)
        self._field += data[:missing]
        if len(self._field) == number.size:
            (value,) = number.unpack(self._field)
            self._field = b""
            self._note_number(value)
        return data[missing:]

    def _note_number(self, value: int) -> None:
        if self._is_ending:
            self.received_bytes = value
            return
        self._remaining = value
        self._is_ending = value == 0


class TunnelTransport:
    """The connection of a tunnel as the inner protocol uses it.

    Its other side is another node, so it knows from the end of the tunnel only what the upstream
    has received. All else is the connection's.
    """

    def __init__(self, transport: asyncio.Transport, blocks: BlockDecoder):
        self._transport = transport
        self._blocks = blocks
        self._written_bytes = 0

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Write to the connection."""
        self._written_bytes += len(data)
        self._transport.write(data)

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Write several parts to the connection."""
        self.write(b"".join(parts))

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information about the connection."""
        if name == UNRECEIVED_BYTES and self._blocks.is_at_end:
            return self._written_bytes - self._blocks.received_bytes
        return self._transport.get_extra_info(name, default)


class TunnelProtocol(asyncio.Protocol):
    """Asks another node for a connection, then passes its bytes to an inner protocol.

    Explanation
    ===========

    The inner protocol writes to the connection itself. If the connection ends before the
    upstream has closed it, the inner protocol sees a reset: without that, an answer that ends
    with its connection would look complete.
    """

    def __init__(self, request: TunnelRequest):
        self._request = request
        self._transport: asyncio.Transport | None = None
        self._inner: asyncio.Protocol | None = None
        self._reply = b""
        self._early_data = b""
        self._blocks = BlockDecoder()
        self._is_lost = False
        self.outcome: asyncio.Future[TunnelOutcome] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self._transport = transport
        transport.write(encode_request(self._request))

    def data_received(self, data: bytes) -> None:
        """Read the reply, or pass the upstream's bytes on."""
        if self.outcome.done():
            self._receive(data)
            return
        self._reply += data
        if len(self._reply) < LENGTH.size:
            return
        (length,) = LENGTH.unpack_from(self._reply)
        end = LENGTH.size + length
        if length > MAX_MESSAGE_BYTES:
            self._fail(TunnelError(f"reply of {length} bytes is too long"))
        elif len(self._reply) >= end:
            try:
                self.outcome.set_result(decode_reply(self._reply[LENGTH.size : end]))
            except TunnelError as error:
                self._fail(error)
                return
            self._receive(self._reply[end:])

    def _fail(self, error: TunnelError) -> None:
        self.outcome.set_exception(error)
        self._transport.abort()

    def _receive(self, data: bytes) -> None:
        if self._inner is None:
            self._early_data += data
            return
        if payload := self._blocks.feed(data):
            self._inner.data_received(payload)
        if self._blocks.is_at_end and not self._transport.is_closing():
            self._inner.eof_received()
            self._transport.close()

    def begin(self, protocol_factory: ProtocolFactory) -> asyncio.BaseProtocol:
        """Create the inner protocol and connect it to the upstream."""
        if self._is_lost:
            raise TunnelError("the tunnel was closed at once")
        self._inner = protocol_factory()
        self._inner.connection_made(TunnelTransport(self._transport, self._blocks))
        self._receive(self._early_data)
        return self._inner

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the end of the connection on."""
        self._is_lost = True
        if not self.outcome.done():
            self.outcome.set_exception(TunnelError("the connection ended before the reply"))
        if self._inner is None:
            return
        if not self._blocks.is_at_end and error is None:
            error = ConnectionResetError("the tunnel was cut")
        self._inner.connection_lost(error)

    def pause_writing(self) -> None:
        """Pass on that the send buffer is full."""
        if self._inner is not None:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the send buffer has room again."""
        if self._inner is not None:
            self._inner.resume_writing()


async def open_tunnel(
    network: Network, server: Address, request: TunnelRequest, protocol_factory: ProtocolFactory
) -> UpstreamConnection:
    """Open a connection to an upstream through the node at ``server``.

    Raises
    ======

    OSError : if the node can't be reached; :class:`TunnelError` if it opens no tunnel.
    """
    transport, tunnel = await network.create_connection(lambda: TunnelProtocol(request), server)
    try:
        outcome = await tunnel.outcome
        if outcome is not TunnelOutcome.OPENED:
            raise TunnelError(f"{server} answers {outcome.name.lower()}", outcome)
        return UpstreamConnection(transport, tunnel.begin(protocol_factory), is_tunnel=True)
    except BaseException:
        transport.abort()
        raise
