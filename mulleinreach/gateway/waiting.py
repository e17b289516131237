"""Lets requests wait at their node while the heads of their model are full.

Explanation
===========

A request that an engine can't let in at once waits in the engine's queue, in the order
of arrival. While there are a few requests more than places, that makes all of them a
little late. At its node a request can be passed by: the newest one that can still be
in time goes first, so that most are in time and few are late.

A request that is late already leaves the places to others: it waits until a head with
many free places is drawn for it. After an outage, the requests that it delayed come
back together, and would else fill every place for as long as a stream lasts.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mulleinreach.common import Clock
from mulleinreach.gateway.choosing import UpstreamChooser
from mulleinreach.gateway.load import LoadBook
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.upstreams import Upstream

# The longest wait, in seconds and as a share of the time that is left.
PATIENCE_S = 1.0
SHARE_OF_WAIT = 0.25
# A place that has become free is noticed so much later; a stream holds one for a second.
POLL_S = 0.015
# One request more than places keeps an engine busy while news of a free place travels.
EXTRA_PLACES = 1
# The share of a head's places that late requests may fill.
LATE_ROOM_SHARE = 0.6


@dataclass
class _Waiter:
    """A request that waits; ``timely_until`` is when it becomes late."""

    service: Service
    headers: CallerHeaders
    timely_until: float
    gives_up_at: float
    granted: asyncio.Future[Upstream | None]


@dataclass
class _Line:
    """The requests that wait for one model; ``is_served`` while somebody looks for places."""

    waiters: list[_Waiter] = field(default_factory=list)
    is_served: bool = False


class PlaceQueue:
    """The requests that wait at this node, by service and model."""

    def __init__(self, chooser: UpstreamChooser, loads: LoadBook, clock: Clock):
        self._chooser = chooser
        self._loads = loads
        self._clock = clock
        self._lines: dict[tuple[str, str | None], _Line] = {}

    async def wait(
        self, service: Service, headers: CallerHeaders, remaining_s: float, timely_for_s: float
    ) -> Upstream | None:
        """Wait for a head with free places, or until the patience is over.

        Parameters
        ==========

        timely_for_s : how long the request may wait and still be in time.

        Returns
        =======

        The head, or ``None`` if the request should go to whichever is the best.
        """
        now = self._clock.now()
        line = self._lines.setdefault((service.name, headers.model), _Line())
        patience_s = min(PATIENCE_S, SHARE_OF_WAIT * remaining_s)
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(service, headers, now + timely_for_s, now + patience_s, granted)
        line.waiters.append(waiter)
        if not line.is_served:
            line.is_served = True
            self._serve(line)
        try:
            return await granted
        finally:
            if waiter in line.waiters:
                line.waiters.remove(waiter)

    def _serve(self, line: _Line) -> None:
        """Let the first of a line go if there is a place; look again a little later."""
        if not line.waiters:
            line.is_served = False
            return
        waiter = self._first(line.waiters)
        head = self._find_place(waiter)
        loop = asyncio.get_running_loop()
        if head is None and not self._is_over(waiter):
            loop.call_later(POLL_S, self._serve, line)
            return
        line.waiters.remove(waiter)
        if not waiter.granted.done():
            waiter.granted.set_result(head)
        # The request is sent before the next look, so that it counts there.
        loop.call_soon(self._serve, line)

    def _first(self, waiters: list[_Waiter]) -> _Waiter:
        """Return who may go next: whose patience is over, the newest timely, the oldest late."""
        now = self._clock.now()
        impatient = [waiter for waiter in waiters if waiter.gives_up_at <= now]
        if impatient:
            return impatient[0]
        timely = [waiter for waiter in waiters if waiter.timely_until > now]
        return timely[-1] if timely else waiters[0]

    def _is_over(self, waiter: _Waiter) -> bool:
        """Whether a request waits no more: a timely one is refused at once if nobody serves."""
        now = self._clock.now()
        if now >= waiter.gives_up_at:
            return True
        is_timely = waiter.timely_until > now
        return is_timely and not self._chooser.heads(waiter.service.name, waiter.headers.model)

    def _find_place(self, waiter: _Waiter) -> Upstream | None:
        """Return a head that has room for a request, if one is drawn."""
        is_timely = waiter.timely_until > self._clock.now()
        if not is_timely and not self._loads.is_told_lately():
            # What other nodes have sent is unknown, as after a start of all of them.
            return None
        head = self._chooser.choose(waiter.service, waiter.headers, set())
        if head is None:
            return None
        slots = waiter.service.engine.slots
        room = slots + EXTRA_PLACES if is_timely else LATE_ROOM_SHARE * slots
        return head if self._loads.running(head.id) < room else None
