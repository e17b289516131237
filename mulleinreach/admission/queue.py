"""The queue before the replicas of a service, by priority and fair share.

Explanation
===========

A request enters when a replica has room for it; else it waits. Lower priority
numbers go first; within one, organisations share by weight (start-time fair
queueing). A request that can't be served before its deadline, by the rate at
which the queue moves, is refused at once.

References
==========

.. [1] Goyal, Vin, Cheng, "Start-time fair queueing", 1996.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from mulleinreach.common import Clock, Code, MulleinreachError

RATE_WINDOW_S = 5.0
MIN_RETRY_AFTER_S = 0.2


@dataclass
class Ticket:
    """What a request needs from the queue; ``deadline`` in monotonic seconds."""

    service: str
    organisation: str
    weight: float
    priority: int
    deadline: float


@dataclass(order=True)
class _Waiting:
    rank: tuple[int, float, int]
    ticket: Ticket = field(compare=False)
    try_enter: Callable[[], object | None] = field(compare=False)
    turn: asyncio.Future = field(compare=False)


@dataclass
class _ServiceQueue:
    """The requests that wait for one service, and how fast they go."""

    waiting: list[_Waiting] = field(default_factory=list)
    virtual_time: float = 0.0
    last_finish: dict[str, float] = field(default_factory=dict)
    entered: list[float] = field(default_factory=list)

    def live(self) -> int:
        return sum(not w.turn.done() for w in self.waiting)


class AdmissionQueue:
    """One queue for each service of a node."""

    def __init__(self, clock: Clock, most_waiting: int):
        self._clock = clock
        self._most_waiting = most_waiting
        self._queues: dict[str, _ServiceQueue] = {}
        self._order = itertools.count()
        self.shed = 0

    def length(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self._queues.get(service)
        return queue.live() if queue else 0

    async def enter(
        self,
        ticket: Ticket,
        try_enter: Callable[[], object | None],
        give_back: Callable[[object], None],
    ) -> object:
        """Return what ``try_enter`` returns once it has room, in turn.

        Parameters
        ==========

        try_enter : takes a place at a replica, or returns ``None`` if none has room.
        give_back : returns a place that was taken for a request that has left.
        """
        queue = self._queues.setdefault(ticket.service, _ServiceQueue())
        if queue.live() == 0:
            place = try_enter()
            if place is not None:
                self._note_entered(queue, ticket)
                return place
        self._refuse_if_hopeless(queue, ticket)
        waiting = _Waiting(
            self._rank(queue, ticket), ticket, try_enter, asyncio.get_running_loop().create_future()
        )
        heapq.heappush(queue.waiting, waiting)
        return await self._wait(queue, waiting, give_back)

    async def _wait(
        self, queue: _ServiceQueue, waiting: _Waiting, give_back: Callable[[object], None]
    ) -> object:
        turn = waiting.turn
        try:
            async with asyncio.timeout_at(waiting.ticket.deadline):
                return await turn
        except (TimeoutError, asyncio.CancelledError) as reason:
            if turn.done() and not turn.cancelled():
                give_back(turn.result())
            if isinstance(reason, asyncio.CancelledError):
                raise
            self.shed += 1
            raise self._overloaded(queue, "its deadline passed in the queue") from None

    def _rank(self, queue: _ServiceQueue, ticket: Ticket) -> tuple[int, float, int]:
        start = max(queue.virtual_time, queue.last_finish.get(ticket.organisation, 0.0))
        queue.last_finish[ticket.organisation] = start + 1 / ticket.weight
        return (ticket.priority, start, next(self._order))

    def _refuse_if_hopeless(self, queue: _ServiceQueue, ticket: Ticket) -> None:
        ahead = sum(
            not w.turn.done() and w.ticket.priority <= ticket.priority for w in queue.waiting
        )
        if ahead >= self._most_waiting:
            self.shed += 1
            raise self._overloaded(queue, f"{ahead} requests wait already")
        rate = self._rate(queue)
        if rate > 0 and self._clock.now() + ahead / rate > ticket.deadline:
            self.shed += 1
            raise self._overloaded(queue, f"{ahead} requests wait and {rate:.1f} a second go in")

    def _overloaded(self, queue: _ServiceQueue, detail: str) -> MulleinreachError:
        rate = self._rate(queue)
        wait_s = queue.live() / rate if rate > 0 else 1.0
        retry_after_s = round(max(MIN_RETRY_AFTER_S, min(30.0, wait_s)), 2)
        message = f"the service is overloaded: {detail}"
        return MulleinreachError(Code.OVERLOADED, message, retry_after_s=retry_after_s)

    def _rate(self, queue: _ServiceQueue) -> float:
        """Return how many requests a second went in lately."""
        now = self._clock.now()
        recent = [at for at in queue.entered if now - at < RATE_WINDOW_S]
        queue.entered = recent
        if len(recent) < 2:
            return 0.0
        return len(recent) / max(0.5, now - recent[0])

    def _note_entered(self, queue: _ServiceQueue, ticket: Ticket) -> None:
        queue.entered.append(self._clock.now())
        if len(queue.entered) > 4096:
            del queue.entered[:2048]

    def pump(self, service: str) -> None:
        """Let in those that have room now; call this when a place may have come free."""
        queue = self._queues.get(service)
        if queue is None:
            return
        while queue.waiting:
            first = queue.waiting[0]
            if first.turn.done():
                heapq.heappop(queue.waiting)
                continue
            place = first.try_enter()
            if place is None:
                return
            heapq.heappop(queue.waiting)
            queue.virtual_time = max(queue.virtual_time, first.rank[1])
            self._note_entered(queue, first.ticket)
            first.turn.set_result(place)

    def pump_all(self) -> None:
        """Pump the queues of all services."""
        for service in list(self._queues):
            self.pump(service)
