"""The exchanges that this node has in flight, which are aborted when their upstream is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from mulleinreach.gateway.request.exchange import (
    Broken,
    ExchangeResult,
    OutgoingRequest,
    Streaming,
    UpstreamClient,
)
from mulleinreach.gateway.state.arrivals import SendCharge
from mulleinreach.gateway.upstream import Upstream, start_time_ms

# Clocks of hosts differ by less, and processes take longer to start.
MAX_CLOCK_DIFFERENCE_S = 0.25


class ActiveExchange:
    """An exchange that another task can abort.

    Parameters
    ==========

    sent_at : when the request is sent, in seconds since the Unix epoch.
    content : digest of the request's content.
    parts : digests of its prompt's shared parts.
    charges : what counts this send until it has arrived.
    may_move : whether the request can go on at another upstream; reserves what that takes.
    """

    def __init__(
        self,
        upstream_id: str,
        sent_at: float,
        content: int,
        parts: tuple[int, ...],
        charges: Collection[SendCharge],
        may_move: Callable[[], bool],
    ):
        self._charges = charges
        self.may_move = may_move
        self.upstream_id = upstream_id
        self.sent_at = sent_at
        self.content = content
        self.parts = parts
        self.is_aborted = False
        # Whether the upstream's process is known to have ended.
        self.has_upstream_ended = False
        # When the first part of the response's body was received.
        self.body_began_at: float | None = None
        # Whether the connection was closed or reset before the end of the answer.
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
        """Send a request; returns :class:`Broken` if the exchange is aborted meanwhile."""
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

    def note_arrived(self) -> None:
        """Note that the upstream has read the request, or never will."""
        for charge in self._charges:
            charge.note_arrived()

    def note_abandoned(self) -> None:
        """Note that the exchange is over; without an answer the request may be unread yet."""
        for charge in self._charges:
            charge.note_abandoned()

    def has_digest(self, digest: int) -> bool:
        """Whether a digest is that of the request's content or of a part of its prompt."""
        return digest == self.content or digest in self.parts

    @property
    def has_received_body(self) -> bool:
        """Whether a part of the response's body was received."""
        return self.body_began_at is not None

    def note_body(self, now: float) -> None:
        """Record that a part of the response's body was received."""
        if self.body_began_at is None:
            self.body_began_at = now

    @property
    def is_cut_by_upstream(self) -> bool:
        """Whether the connection was lost, and not because this node aborted the exchange."""
        return self.is_cut and not self.is_aborted

    def abort(self) -> None:
        """Abort the exchange: its upstream is lost, or the request makes upstreams crash."""
        self.is_aborted = True
        if self._streaming is not None:
            self._streaming.close()
        elif self._task is not None:
            self._task.cancel()


class ActiveExchanges:
    """All exchanges in flight, by id of the upstream."""

    def __init__(self) -> None:
        self._by_upstream: dict[str, set[ActiveExchange]] = {}

    def begin(self, exchange: ActiveExchange) -> None:
        """Register an exchange that is about to start."""
        self._by_upstream.setdefault(exchange.upstream_id, set()).add(exchange)

    def end(self, exchange: ActiveExchange) -> None:
        """Remove an exchange that is over."""
        exchange.note_abandoned()
        exchanges = self._by_upstream.get(exchange.upstream_id, set())
        exchanges.discard(exchange)
        if not exchanges:
            self._by_upstream.pop(exchange.upstream_id, None)

    def count(self, upstream_id: str) -> int:
        """Return how many exchanges with an upstream are in flight."""
        return len(self._by_upstream.get(upstream_id, ()))

    def replace_start(self, replaced_id: str, running_id: str) -> int:
        """Abort the exchanges with a start that another one has replaced; returns how many.

        The list may name a start late. What was sent since it began has gone to it.
        """
        started_ms = start_time_ms(running_id)
        started_at = float("inf") if started_ms is None else started_ms / 1000
        ended = []
        for exchange in self._by_upstream.pop(replaced_id, set()):
            exchange.upstream_id = running_id
            self.begin(exchange)
            if exchange.sent_at < started_at - MAX_CLOCK_DIFFERENCE_S:
                exchange.has_upstream_ended = True
                ended.append(exchange)
        return self._abort_all(ended)

    def move(self, upstream_id: str) -> int:
        """Abort the exchanges with a lost upstream that can go on at another; returns how many.

        The upstream may only be silent, so the others are left to it.
        """
        exchanges = self._by_upstream.get(upstream_id, ())
        return self._abort_all([exchange for exchange in exchanges if exchange.may_move()])

    def _abort_all(self, exchanges: list[ActiveExchange]) -> int:
        for exchange in exchanges:
            exchange.abort()
        return len(exchanges)

    def abort_held(self, digest: int) -> int:
        """Abort all exchanges of a content or part that have no body; returns how many."""
        return self._abort_all(
            [
                exchange
                for at_upstream in self._by_upstream.values()
                for exchange in at_upstream
                if exchange.has_digest(digest) and not exchange.has_received_body
            ]
        )
