"""A network in memory, on a virtual clock, whose links can be cut.

Explanation
===========

``async_solipsism`` gives an event loop with virtual time and in-memory
connections, so that whole nodes run in one process, in the same order on every
run. The connector overrides private methods of aiohttp; it stands only here.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine

import aiohttp
import async_solipsism

from mulleinreach.common.address import Address
from mulleinreach.common.clock import VirtualClock
from mulleinreach.common.net import Network
from mulleinreach.standins.links import Links


class _FixedResolver(aiohttp.abc.AbstractResolver):
    async def resolve(self, host, port=0, family=socket.AF_INET):
        return [
            {
                "hostname": host,
                "host": host,
                "port": port,
                "family": socket.AF_INET,
                "proto": 0,
                "flags": 0,
            }
        ]

    async def close(self) -> None:
        return None


class _LinkConnector(aiohttp.TCPConnector):
    """Connects through the links."""

    def __init__(self, links: Links, origin: str, **options):
        super().__init__(resolver=_FixedResolver(), ttl_dns_cache=None, **options)
        self._links = links
        self._origin = origin

    def _keep_young(self) -> None:
        """Date resting connections anew.

        aiohttp dates them by the machine's own clock, and no run may depend on how long it
        really takes; so here none grows too old to be used.
        """
        now = aiohttp.connector.monotonic()
        for resting in self._conns.values():
            dated = [(protocol, now) for protocol, _ in resting]
            resting.clear()
            resting.extend(dated)

    def _cleanup(self) -> None:
        self._keep_young()
        super()._cleanup()

    async def _get(self, key, traces):
        self._keep_young()
        return await super()._get(key, traces)

    async def _wrap_create_connection(self, factory, *args, addr_infos, req, **kwargs):
        host, port = addr_infos[0][4][:2]
        try:
            return await self._links.connect(self._origin, factory, host, port)
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(str(error)) from error
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error


class VirtualNetwork(Network):
    """The network as one process sees it."""

    def __init__(self, links: Links, origin: str):
        super().__init__(origin)
        self._links = links

    def _connector(self, force_close: bool) -> aiohttp.TCPConnector:
        return _LinkConnector(self._links, self.origin, limit=0, force_close=force_close)

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        return await self._links.connect(self.origin, protocol_factory, address.host, address.port)

    async def connect(self, address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await self.create_connection(lambda: protocol, address)
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class SuspendableClock(VirtualClock):
    """The clock of a machine that may have been suspended for some seconds."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def now(self) -> float:
        """Return the loop's time and what went by in suspension."""
        return super().now() + self.suspended_s


def run_virtual(main: Coroutine) -> object:
    """Run ``main`` to its end on a loop with virtual time.

    Examples
    ========

    >>> run_virtual(asyncio.sleep(3600, "done"))
    'done'
    """
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        loop.close()
        asyncio.set_event_loop(None)
