"""Connects other nodes to upstreams that they can't connect to themselves."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable, Collection
from dataclasses import dataclass

from mulleinreach.common import Address, EventLog, Network, TaskGroup
from mulleinreach.common.delivery import (
    FIRST_FLIGHT_BYTES,
    is_reset_after_end,
    unreceived_bytes,
)
from mulleinreach.gateway.connectivity.messages import (
    LENGTH,
    MAX_MESSAGE_BYTES,
    RECEIVED,
    TunnelError,
    TunnelOutcome,
    TunnelRequest,
    decode_request,
    encode_reply,
)
from mulleinreach.gateway.metrics import GatewayMetrics

REQUEST_TIMEOUT_S = 1.0
# Shorter than the asking node waits, so that it learns why there is no connection.
CONNECT_TIMEOUT_S = 0.25
# Each takes two descriptors, of which callers' requests need some, too.
MAX_TUNNELS = 1000
BLOCK_BYTES = 65_536


@dataclass(frozen=True)
class StreamPair:
    """Both directions of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class TunnelServer:
    """Accepts other nodes' requests for connections to upstreams.

    Explanation
    ===========

    Connects only to listed upstreams, and never through a further node. The asking node decides
    what is sent; this node only copies bytes.

    Parameters
    ==========

    upstream_addresses : returns the addresses of all listed upstreams.
    secrets : returns the secrets of the lease by which nodes of the deployment are known.
    """

    def __init__(
        self,
        network: Network,
        upstream_addresses: Callable[[], Collection[Address]],
        secrets: Callable[[], Collection[str]],
        metrics: GatewayMetrics,
        log: EventLog,
    ):
        self._network = network
        self._upstream_addresses = upstream_addresses
        self._secrets = secrets
        self._metrics = metrics
        self._log = log
        self._server: asyncio.AbstractServer | None = None
        self._handlers = TaskGroup()
        # The number of connected tunnels.
        self.open_count = 0

    async def listen(self, address: Address) -> None:
        """Start to accept requests."""
        self._server = await self._network.listen(address, self._accept)

    def stop_listening(self) -> None:
        """Accept no more requests; open tunnels stay open."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and cut all tunnels."""
        self.stop_listening()
        await self._handlers.close()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection in a task that :meth:`close` can cancel."""
        self._handlers.spawn(self._serve(StreamPair(reader, writer)))

    async def _serve(self, node: StreamPair) -> None:
        try:
            await self._serve_node(node)
        except (TunnelError, OSError, asyncio.IncompleteReadError) as error:
            self._log.event("tunnel_failed", why=repr(error))
            node.writer.transport.abort()
        finally:
            node.writer.close()

    async def _serve_node(self, node: StreamPair) -> None:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            request = await _read_request(node.reader)
        outcome, upstream = await self._connect(request)
        self._metrics.count_tunnel(outcome.name.lower())
        node.writer.write(encode_reply(outcome))
        if upstream is None:
            await node.writer.drain()
            return
        self.open_count += 1
        try:
            await _Splice(node, upstream).run()
        finally:
            self.open_count -= 1
            upstream.writer.close()

    async def _connect(self, request: TunnelRequest) -> tuple[TunnelOutcome, StreamPair | None]:
        if not self._is_allowed(request):
            return TunnelOutcome.DENIED, None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return TunnelOutcome.OPENED, StreamPair(
                    *await self._network.connect(request.upstream)
                )
        except ConnectionRefusedError:
            return TunnelOutcome.REFUSED, None
        except OSError:
            return TunnelOutcome.UNREACHABLE, None

    def _is_allowed(self, request: TunnelRequest) -> bool:
        is_known = any(hmac.compare_digest(request.secret, known) for known in self._secrets())
        has_room = self.open_count < MAX_TUNNELS
        is_listed = request.upstream in self._upstream_addresses()
        return is_known and has_room and is_listed


async def _read_request(reader: asyncio.StreamReader) -> TunnelRequest:
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise TunnelError(f"request of {length} bytes is too long")
    return decode_request(await reader.readexactly(length))


class _Splice:
    """Copies both directions of a tunnel until one of them ends."""

    def __init__(self, node: StreamPair, upstream: StreamPair):
        self._node = node
        self._upstream = upstream
        self._sent_bytes = 0

    async def run(self) -> None:
        """Copy; raises ``OSError`` if a connection is reset."""
        copies = {
            asyncio.create_task(self._copy_to_upstream()),
            asyncio.create_task(self._copy_to_node()),
        }
        try:
            done, _ = await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in done:
                copy.result()
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)

    async def _copy_to_upstream(self) -> None:
        while data := await self._node.reader.read(BLOCK_BYTES):
            self._upstream.writer.write(data)
            self._sent_bytes += len(data)
            await self._upstream.writer.drain()

    async def _copy_to_node(self) -> None:
        """Copy the upstream's bytes in blocks.

        If it closes the connection, an empty block follows, and how much it had received. Without
        them the asking node sees a reset.
        """
        while data := await self._upstream.reader.read(BLOCK_BYTES):
            self._node.writer.write(LENGTH.pack(len(data)) + data)
            await self._node.writer.drain()
        transport = self._upstream.writer.transport
        received_bytes = self._sent_bytes - unreceived_bytes(transport)
        if self._sent_bytes > FIRST_FLIGHT_BYTES and await is_reset_after_end(transport):
            return
        self._node.writer.write(LENGTH.pack(0) + RECEIVED.pack(received_bytes))
        await self._node.writer.drain()
