"""Connects aiohttp's client to upstreams through :class:`UpstreamNetwork`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp

from mulleinreach.common import Address

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


@dataclass(frozen=True)
class UpstreamConnection:
    """An open connection to an upstream.

    Parameters
    ==========

    is_tunnel : whether it leads through another node.
    """

    transport: asyncio.Transport
    protocol: asyncio.BaseProtocol
    is_tunnel: bool = False


class UpstreamConnector(aiohttp.BaseConnector):
    """Opens a connection of its own for each request; addresses are IP addresses.

    A reused connection may be stale or hold unread data of an earlier answer.

    Parameters
    ==========

    open_connection : opens a connection to an upstream.
    """

    def __init__(
        self, open_connection: Callable[[ProtocolFactory, Address], Awaitable[UpstreamConnection]]
    ):
        super().__init__(force_close=True, limit=0)
        self._open_connection = open_connection

    async def _create_connection(self, req, traces, timeout):
        address = Address(req.url.raw_host, req.url.port)
        try:
            async with asyncio.timeout(timeout.sock_connect):
                connection = await self._open_connection(self._factory, address)
        except TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        return connection.protocol
