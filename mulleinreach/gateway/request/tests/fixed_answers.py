"""Servers that answer each request with the same bytes, and who asks them."""

from __future__ import annotations

import asyncio

from multidict import CIMultiDict

from mulleinreach.common import Address, Network
from mulleinreach.gateway.ports import OrderResult, Unavailable
from mulleinreach.gateway.request.exchange import ExchangeResult, OutgoingRequest, UpstreamClient
from mulleinreach.gateway.stored_rows import StoreRow
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.platform.orders import PlatformOrders
from mulleinreach.platform.store import PlatformStore
from mulleinreach.standins.gateway.dialect import PlainDialect

# The fields of an answer to :func:`send`.
FIELDS = b"X-Signature: s\r\nX-Request-Id: r\r\n"
# Only a hang takes it.
HANG_S = 20


class FixedAnswerServer:
    """Answers each request with the same bytes, and leaves the connection open."""

    def __init__(self, answer: bytes):
        self._answer = answer
        self._done = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Answer one request."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._answer)
        await writer.drain()
        await self._done.wait()
        writer.close()

    def end(self) -> None:
        """Close the connections."""
        self._done.set()


def ask(answer: bytes, call):
    """Run a call with the address of a server that answers so; it must end by itself."""

    async def run():
        handler = FixedAnswerServer(answer)
        server = await asyncio.start_server(handler.serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        try:
            async with asyncio.timeout(HANG_S):
                return await call(address)
        finally:
            handler.end()
            server.close()

    return asyncio.run(run())


def send(answer: bytes, wants_stream: bool = False) -> ExchangeResult:
    """Send a request to a server that answers so."""

    async def call(address: Address) -> ExchangeResult:
        session = Network().http_client(1.0)
        try:
            client = UpstreamClient(session, PlainDialect(), lambda upstream, notice: None)
            request = OutgoingRequest("GET", "/", CIMultiDict(), b"", "r")
            return await client.send(Upstream("u", "s", address, "h"), request, wants_stream)
        finally:
            await session.close()

    return ask(answer, call)


def order(answer: bytes) -> OrderResult:
    """Give an order to a host that answers so."""

    async def call(address: Address) -> OrderResult:
        orders = PlatformOrders(Network("test").http_client, sends_token=True)
        return await orders.leave(Upstream("u", "s", address, "h"), "g", 1, 1)

    return ask(answer, call)


def read_report(answer: bytes) -> Upstream | Unavailable:
    """Read the report of a host that answers so."""

    async def call(address: Address) -> Upstream | Unavailable:
        orders = PlatformOrders(Network("test").http_client, sends_token=True)
        return await orders._read_report(orders._fresh_session, Upstream("u", "s", address, "h"))

    return ask(answer, call)


def read_row(answer: bytes) -> StoreRow | Unavailable | None:
    """Read a row of a store that answers so."""

    async def call(address: Address) -> StoreRow | Unavailable | None:
        store = PlatformStore(Network("test").http_client, address)
        try:
            return await store.read_row("servers", "k")
        finally:
            await store.close()

    return ask(answer, call)
