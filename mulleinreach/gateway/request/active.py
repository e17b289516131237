"""The exchanges that this node has in flight, so that a lost upstream's can be ended at once."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.request.exchange import (
    Broken,
    ExchangeResult,
    OutgoingRequest,
    Streaming,
    UpstreamClient,
)
from mulleinreach.gateway.upstream import Upstream


class ActiveExchange:
    """An exchange that can be ended from outside.

    Parameters
    ==========

    content : digest of the request.
    """

    def __init__(self, upstream_id: str, content: int):
        self.upstream_id = upstream_id
        self.content = content
        self.is_aborted = False
        # Whether anything of the answer's body has come.
        self.has_received_body = False
        # Whether the upstream's connection ended before the answer did.
        self.is_cut = False
        self._task: asyncio.Task | None = None
        self._streaming: Streaming | None = None

    async def send(
        self,
        client: UpstreamClient,
        upstream: Upstream,
        request: OutgoingRequest,
        wants_stream: bool,
    ) -> ExchangeResult:
        """Send a request; ends as :class:`Broken` if the upstream is withdrawn meanwhile."""
        self._task = asyncio.create_task(client.send(upstream, request, wants_stream))
        try:
            result = await self._task
        except asyncio.CancelledError:
            if self.is_aborted and not asyncio.current_task().cancelling():
                return Broken("the upstream was lost")
            raise
        if isinstance(result, Streaming):
            self._streaming = result
        return result

    @property
    def is_cut_by_upstream(self) -> bool:
        """Whether the answer was cut, and not by this node."""
        return self.is_cut and not self.is_aborted

    def abort(self) -> None:
        """End the exchange because its upstream is lost, or the request ends upstreams."""
        self.is_aborted = True
        if self._streaming is not None:
            self._streaming.close()
        elif self._task is not None:
            self._task.cancel()


class ActiveExchanges:
    """All exchanges in flight, by upstream."""

    def __init__(self) -> None:
        self._by_upstream: dict[str, set[ActiveExchange]] = {}

    def begin(self, upstream_id: str, content: int) -> ActiveExchange:
        """Note an exchange that is about to start."""
        exchange = ActiveExchange(upstream_id, content)
        self._by_upstream.setdefault(upstream_id, set()).add(exchange)
        return exchange

    def end(self, exchange: ActiveExchange) -> None:
        """Forget an exchange."""
        exchanges = self._by_upstream.get(exchange.upstream_id, set())
        exchanges.discard(exchange)
        if not exchanges:
            self._by_upstream.pop(exchange.upstream_id, None)

    def abort(self, upstream_id: str) -> int:
        """End all exchanges with a lost upstream; returns how many there were."""
        exchanges = list(self._by_upstream.get(upstream_id, ()))
        for exchange in exchanges:
            exchange.abort()
        return len(exchanges)

    def abort_content(self, content: int) -> int:
        """End all exchanges for a request that have given nothing; returns how many there were."""
        exchanges = [
            exchange
            for at_upstream in self._by_upstream.values()
            for exchange in at_upstream
            if exchange.content == content and not exchange.has_received_body
        ]
        for exchange in exchanges:
            exchange.abort()
        return len(exchanges)
