"""Stops a node without losing requests that it has begun to read."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.connectivity.tunnel_server import TunnelServer
from mulleinreach.gateway.coordination.membership import Coordination
from mulleinreach.gateway.http_server import NodeServers
from mulleinreach.gateway.request.relay import Relay

# The time left before SIGKILL for closing connections and tasks.
ABORT_MARGIN_S = 1.0
# How long a load balancer may keep opening connections after the node reports not ready.
BALANCER_DRAIN_S = 2.9
# For the last answers to be sent.
LAST_ANSWERS_S = 0.1
POLL_INTERVAL_S = 0.05


class GracefulStop:
    """One planned stop of a node, up to the moment at which it can be aborted.

    Explanation
    ===========

    A request is owed an answer from the first byte of its head. It is served if that is possible
    before the grace ends, refused at once if not, and answered with a failure if it still runs
    at the end. Only streams that have begun are cut.

    Parameters
    ==========

    grace_s : the time between SIGTERM and SIGKILL.
    """

    def __init__(
        self,
        relay: Relay,
        servers: NodeServers,
        coordination: Coordination,
        tunnel_server: TunnelServer,
        clock: Clock,
        log: EventLog,
        grace_s: float,
    ):
        self._relay = relay
        self._servers = servers
        self._coordination = coordination
        self._tunnel_server = tunnel_server
        self._clock = clock
        self._log = log
        self._grace_s = grace_s

    async def run(self) -> None:
        """Take fewer and fewer requests, and return once none is owed or the time is over."""
        finish_by = self._clock.now() + self._grace_s - ABORT_MARGIN_S
        self._log.event("node_stopping", in_flight=self._relay.in_flight)
        self._relay.begin_stopping(finish_by)
        self._coordination.begin_stopping()
        await asyncio.sleep(min(BALANCER_DRAIN_S, self._grace_s - ABORT_MARGIN_S))
        # The load balancer opens no new connections by now.
        self._relay.close_intake()
        self._servers.begin_draining()
        self._tunnel_server.stop_listening()
        await self._wait_until(finish_by)
        self._relay.end_requests()
        await self._wait_until(finish_by + LAST_ANSWERS_S)
        self._relay.log_cut()
        self._coordination.announce_end()

    async def _wait_until(self, end: float) -> None:
        """Wait until callers and other nodes wait for nothing, or for the time."""
        while self._has_work() and self._clock.now() < end:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _has_work(self) -> bool:
        """Whether callers, or other nodes through this one, wait for answers."""
        return self._servers.owes_answers() or bool(self._tunnel_server.open_count)
