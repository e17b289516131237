"""The HTTP servers of a node, with bounds on their clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from functools import partial

from aiohttp import web

from mulleinreach.common import Address, Clock, EventLog
from mulleinreach.common.server.bounds import ClientBounds
from mulleinreach.common.server.connections import ConnectionTable, ConnectionTimeouts
from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.common.server.start import listen
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import RequestLimits
from mulleinreach.gateway.resources import ResourceShares

# Beyond the idle timeouts in force, after which connections are closed.
IDLE_TIMEOUT_S = 3600.0
# At least the limit of the configuration, so that larger headers get a proper error answer.
MAX_LINE_BYTES = 65_536
# Of readiness probes, and of requests for the metrics.
MAX_OPERATOR_CONNECTIONS = 64
OPERATOR_MEMORY_BYTES = 4_194_304
OPERATOR_TIMEOUTS = ConnectionTimeouts(idle_s=20.0, header_s=5.0)
SHUTDOWN_TIMEOUT_S = 0.2

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class NodeServers:
    """Serves callers, and operators' probes of readiness and metrics.

    Parameters
    ==========

    limits : returns the limits on callers' requests that are in force.
    refuse : answers a caller's request for which there is no memory.
    """

    def __init__(
        self,
        resources: ResourceShares,
        limits: Callable[[], RequestLimits],
        refuse: Handler,
        metrics: GatewayMetrics,
        clock: Clock,
        log: EventLog,
    ):
        self._limits = limits
        self._metrics = metrics
        self._log = log
        self._servers: list[tuple[web.Server, asyncio.AbstractServer]] = []
        self._callers = ClientBounds(
            ConnectionTable(clock, resources.caller_connections, self._on_closed),
            MemoryLedger(resources.callers_bytes),
            head_bytes=lambda: limits().header_bytes,
            refuse=refuse,
            on_malformed=self._on_malformed,
            on_dropped=self._on_dropped,
        )
        self._operators = ClientBounds(
            ConnectionTable(clock, MAX_OPERATOR_CONNECTIONS, self._on_closed),
            MemoryLedger(OPERATOR_MEMORY_BYTES),
            on_malformed=self._on_malformed,
        )

    def _on_closed(self, reason: str) -> None:
        self._log.event("connection_closed", why=reason)

    def _on_malformed(self, status: int, reason: str) -> None:
        self._metrics.count_denied(status)
        self._log.event("request_malformed", status=status, why=reason)

    def _on_dropped(self, count: int) -> None:
        self._log.event("requests_dropped", count=count)

    async def serve_callers(
        self, handler: Handler, address: Address, listening_socket: socket.socket | None
    ) -> None:
        """Start the server for callers.

        Parameters
        ==========

        listening_socket : a socket that already listens on the address; ``None`` to open one.
        """
        await self._serve(handler, address, self._callers, listening_socket)

    async def serve_operators(self, handler: Handler, address: Address) -> None:
        """Start a server for operators' probes."""
        await self._serve(handler, address, self._operators)

    async def _serve(
        self,
        handler: Handler,
        address: Address,
        bounds: ClientBounds,
        listening_socket: socket.socket | None = None,
    ) -> None:
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        self._servers.append((server, await listen(server, bounds, address, listening_socket)))

    def duties(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that close connections of slow clients, by their names."""
        callers, operators = self._callers.connections, self._operators.connections
        return {
            "caller_connections": partial(callers.watch, self._caller_timeouts),
            "operator_connections": partial(operators.watch, lambda: OPERATOR_TIMEOUTS),
        }

    def _caller_timeouts(self) -> ConnectionTimeouts:
        limits = self._limits()
        return ConnectionTimeouts(limits.idle_timeout_s, limits.header_timeout_s)

    def begin_draining(self) -> None:
        """Stop listening; close unused connections now, others as they become unused."""
        for _, listener in self._servers:
            listener.close()
        for bounds in (self._callers, self._operators):
            bounds.connections.begin_draining()

    def owes_answers(self) -> bool:
        """Whether callers wait for answers, or for the rest of them."""
        return self._callers.connections.owes_answers()

    async def abort(self) -> None:
        """Stop listening and close all connections immediately."""
        for server, listener in self._servers:
            listener.close()
            await server.shutdown(SHUTDOWN_TIMEOUT_S)
