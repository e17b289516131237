"""One node's port for orders to the hosts of a fabric."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from mulleinreach.common import Network
from mulleinreach.gateway.ports import NoAnswer, OrderResult, Unavailable
from mulleinreach.gateway.upstream import Notice, Upstream
from mulleinreach.standins.gateway.dialect import LEAVING, read_limit
from mulleinreach.standins.gateway.fabric import ORDER_TIMEOUT_S, Fabric

Answer = TypeVar("Answer")


class FabricOrders:
    """Passes orders on, and tells the node what hosts say of themselves in their answers.

    Parameters
    ==========

    network : the node's network; orders are sent directly, never through another node.
    """

    def __init__(self, fabric: Fabric, network: Network):
        self._fabric = fabric
        self._network = network
        self._on_notice: Callable[[Upstream, Notice], None] = lambda host, notice: None

    def subscribe(self, on_notice: Callable[[Upstream, Notice], None]) -> None:
        """Have what hosts say of themselves in their answers told, too."""
        self._on_notice = on_notice

    async def join(
        self,
        host: Upstream,
        group: str,
        epoch: int,
        model: str,
        members: list[str],
        token: int,
    ) -> OrderResult:
        """Order a join."""
        return await self._order(
            host, lambda: self._fabric.join(host, group, epoch, model, members, token)
        )

    async def open(self, head: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Order a head to serve."""
        return await self._order(head, lambda: self._fabric.open(head, group, epoch, token))

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Order a member out of its group."""
        return await self._order(host, lambda: self._fabric.leave(host, group, epoch, token))

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Order a load of weights."""
        return await self._order(host, lambda: self._fabric.stage(host, model, token))

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Ask a host for its state."""
        if not await self._can_connect(host, timeout_s):
            return Unavailable("no connection")
        return self._tell(host, await self._fabric.report(host, timeout_s))

    async def _order(
        self, host: Upstream, order: Callable[[], Awaitable[OrderResult]]
    ) -> OrderResult:
        if not await self._can_connect(host, ORDER_TIMEOUT_S):
            return NoAnswer("no connection")
        return self._tell(host, await order())

    async def _can_connect(self, host: Upstream, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                _, writer = await self._network.connect(host.address)
        except OSError:
            return False
        writer.close()
        return True

    def _tell(self, host: Upstream, answer: Answer) -> Answer:
        standin = self._fabric.hosts[host.id]
        if not standin.is_dark:
            rest_s = standin.rests_from_orders_s if isinstance(answer, NoAnswer) else 0.0
            self._on_notice(
                host, Notice(LEAVING in standin.headers, rest_s, read_limit(standin.headers, None))
            )
        return answer
