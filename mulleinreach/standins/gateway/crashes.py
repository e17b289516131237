"""Upstreams whose processes end, by themselves or under a request that ends each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from mulleinreach.common import TaskGroup, VirtualClock
from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.upstream import MemberState, incarnation_id, upstream_name
from mulleinreach.standins.gateway.bodies import make_body
from mulleinreach.standins.gateway.dialect import REQUEST_ID, SIGNATURE, read_part_ids
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.hosts import HostStandIn
from mulleinreach.standins.gateway.store import UPSTREAMS
from mulleinreach.standins.links import Links

# A fatal request runs for so long before the head of its answer, and after it.
FATAL_RUN_S = 0.06
# An upstream that ended under one is back after so long.
CRASHED_FOR_S = 3.0

Handler = Callable[[web.BaseRequest], object]


@dataclass(frozen=True)
class Moment:
    """When something happened to an upstream, on the world's clock."""

    upstream_id: str
    at: float


class Crashes:
    """Ends upstreams' processes and starts them again.

    Parameters
    ==========

    add_host : starts an empty host of a name, a domain and a hall.

    Explanation
    ===========

    Knobs: a request whose body is one of ``fatal_bodies``, or that has one of ``fatal_parts`` in
    its prompt, ends each upstream that begins to run it, a host after it has given
    ``fatal_events`` events, framed by ``fatal_framing``. Connections of a process that ends are
    reset, or closed if ``closes_connections``. ``arrivals`` tells where such requests began,
    ``ended`` which processes ended.
    """

    def __init__(
        self,
        links: Links,
        fabric: Fabric,
        clock: VirtualClock,
        add_host: Callable[[str, str, str], Awaitable[HostStandIn]],
    ):
        self._add_host = add_host
        self._links = links
        self._fabric = fabric
        self._clock = clock
        self._tasks = TaskGroup()
        self.fatal_bodies: set[bytes] = set()
        self.fatal_parts: set[str] = set()
        self.fatal_events = 0
        self.fatal_framing = BodyFraming.CHUNKED
        self.closes_connections = False
        self.arrivals: list[Moment] = []
        self.ended: list[Moment] = []

    def begin(
        self,
        upstream_id: str,
        back_after_s: float = CRASHED_FOR_S,
        keeps_name: bool = False,
        is_silent: bool = False,
    ) -> None:
        """End an upstream's process, which is back after some seconds.

        Parameters
        ==========

        keeps_name : whether a host is back under its name on the list, else under another one.
        is_silent : whether its connections just fall silent, as behind a cut.
        """
        self.ended.append(Moment(upstream_id, self._clock.now()))
        if not is_silent:
            self._links.refuse(upstream_id, is_reset=not self.closes_connections)
        host = self._fabric.hosts.get(upstream_id)
        if host is not None:
            host.crash()
        self._tasks.spawn(self._start_again(upstream_id, back_after_s, keeps_name))

    async def _start_again(self, upstream_id: str, back_after_s: float, keeps_name: bool) -> None:
        await asyncio.sleep(back_after_s)
        host = self._fabric.hosts.get(upstream_id)
        if host is None:
            self._links.accept(upstream_id)
            return
        before = host.upstream
        name = upstream_name(upstream_id)
        if keeps_name:
            started_ms = round(self._clock.wall() * 1000)
            await self._add_host(incarnation_id(name, started_ms), before.domain, before.hall)
        else:
            self._fabric.store.put(UPSTREAMS, name, None)
            await self._add_host(f"{name}-again", before.domain, before.hall)

    def guard(self, handler: Handler, upstream_id: str) -> Handler:
        """Return a handler under which fatal requests end the upstream."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if not await self._is_fatal(request) or not self._begins(upstream_id):
                return await handler(request)
            self.arrivals.append(Moment(upstream_id, self._clock.now()))
            await asyncio.sleep(FATAL_RUN_S)
            if upstream_id in self._fabric.hosts:
                await self._begin_stream(request, upstream_id)
            self.begin(upstream_id)
            return web.Response()

        return handle

    async def _is_fatal(self, request: web.BaseRequest) -> bool:
        has_fatal_part = not self.fatal_parts.isdisjoint(read_part_ids(request.headers))
        return await request.read() in self.fatal_bodies or has_fatal_part

    def _begins(self, upstream_id: str) -> bool:
        """Whether an upstream would begin to run a request now."""
        host = self._fabric.hosts.get(upstream_id)
        if host is None:
            return True
        return host.standing is not None and host.standing.state is MemberState.OPEN

    async def _begin_stream(self, request: web.BaseRequest, upstream_id: str) -> None:
        """Send the head of a stream, and some events."""
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: upstream_id}
        body = make_body(self.fatal_framing, request, headers)
        await body.begin()
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, first + self.fatal_events):
            await body.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        await asyncio.sleep(FATAL_RUN_S)

    async def close(self) -> None:
        """Start nothing again any more."""
        await self._tasks.close()
