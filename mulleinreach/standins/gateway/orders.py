"""One node's port for orders to the hosts of a fabric."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from mulleinreach.gateway.ports import NoAnswer, OrderResult, Unavailable
from mulleinreach.gateway.upstream import Notice, Upstream
from mulleinreach.standins.gateway.dialect import LEAVING, read_limit
from mulleinreach.standins.gateway.fabric import Fabric

Answer = TypeVar("Answer")


class FabricOrders:
    """Passes orders on, and tells the node what hosts say of themselves in their answers."""

    def __init__(self, fabric: Fabric):
        self._fabric = fabric
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
        return self._tell(host, await self._fabric.join(host, group, epoch, model, members, token))

    async def open(self, head: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Order a head to serve."""
        return self._tell(head, await self._fabric.open(head, group, epoch, token))

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Order a member out of its group."""
        return self._tell(host, await self._fabric.leave(host, group, epoch, token))

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Order a load of weights."""
        return self._tell(host, await self._fabric.stage(host, model, token))

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Ask a host for its state."""
        return self._tell(host, await self._fabric.report(host, timeout_s))

    def _tell(self, host: Upstream, answer: Answer) -> Answer:
        standin = self._fabric.hosts[host.id]
        if not standin.is_dark:
            rest_s = standin.rests_from_orders_s if isinstance(answer, NoAnswer) else 0.0
            self._on_notice(
                host, Notice(LEAVING in standin.headers, rest_s, read_limit(standin.headers, None))
            )
        return answer
