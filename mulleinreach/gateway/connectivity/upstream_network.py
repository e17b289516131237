"""Opens connections to upstreams, and records which upstreams this node can't connect to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

import aiohttp

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.connectivity.connector import (
    OpenedConnection,
    ProtocolFactory,
    UpstreamConnector,
)
from mulleinreach.gateway.connectivity.reachability import ReachabilityTracker

CONNECT_TIMEOUT_S = 0.35


class UpstreamNetwork:
    """All connections of a node to upstreams: for requests, orders and probes.

    Parameters
    ==========

    upstream_addresses : returns the addresses of all listed upstreams.
    """

    def __init__(
        self,
        network: Network,
        upstream_addresses: Callable[[], Collection[Address]],
        clock: Clock,
        log: EventLog,
    ):
        self._network = network
        self.reachability = ReachabilityTracker(upstream_addresses, clock, log)

    def http_client(self) -> aiohttp.ClientSession:
        """Return a client session that opens a new connection for each request."""
        return self._network.http_client_on(UpstreamConnector(self.open), CONNECT_TIMEOUT_S)

    async def open(self, protocol_factory: ProtocolFactory, address: Address) -> OpenedConnection:
        """Open a connection to an upstream; raises ``OSError`` if that fails."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                opened = await self._network.create_connection(protocol_factory, address)
        except OSError:
            self.reachability.note_failed(address)
            raise
        self.reachability.note_connected(address)
        return opened
