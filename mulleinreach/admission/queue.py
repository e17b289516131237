"""The queue before the replicas of a service, by priority and fair share.

Explanation
===========

A request enters when a replica has room for it; else it waits. Lower priority
numbers go first; within one, organisations take turns by weight (stride
scheduling: each has a pass that grows by 1 / weight when one of its requests
enters, and the lowest pass goes next). So a request that gives up costs its
organisation nothing. A request that can't enter before its deadline, by the
rate at which the queue moves and the organisation's share, is refused at once.

References
==========

.. [1] Waldspurger, Weihl, "Stride scheduling", 1995.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mulleinreach.common import Clock, Code, MulleinreachError

RATE_WINDOW_S = 3.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 30.0


@dataclass
class Ticket:
    """What a request needs from the queue; ``deadline`` in monotonic seconds.

    Parameters
    ==========

    expected_duration_s : how long the request is expected to take once it has entered.
    """

    service: str
    organisation: str
    weight: float
    priority: int
    deadline: float
    expected_duration_s: float = 0.0


@dataclass
class _Waiting:
    ticket: Ticket
    try_acquire: Callable[[], object | None]
    turn: asyncio.Future


@dataclass
class _Line:
    """The requests of one organisation at one priority, and its pass."""

    weight: float
    waiting: deque[_Waiting] = field(default_factory=deque)
    pass_value: float = 0.0

    def drop_done(self) -> None:
        """Forget those at the front that have given up."""
        while self.waiting and self.waiting[0].turn.done():
            self.waiting.popleft()

    def live(self) -> int:
        """Return how many wait."""
        return sum(not w.turn.done() for w in self.waiting)


@dataclass
class _ServiceQueue:
    """The lines of one service, by (priority, organisation), and how fast they go."""

    lines: dict[tuple[int, str], _Line] = field(default_factory=dict)
    virtual_time: dict[int, float] = field(default_factory=dict)
    entered: deque[float] = field(default_factory=lambda: deque(maxlen=4096))

    def live(self) -> int:
        return sum(line.live() for line in self.lines.values())

    def next_line(self) -> tuple[int, _Line] | None:
        """Return the line whose turn it is, with its priority."""
        best = None
        for (priority, name), line in self.lines.items():
            line.drop_done()
            if not line.waiting:
                continue
            rank = (priority, line.pass_value, name)
            if best is None or rank < best[0]:
                best = (rank, line)
        return None if best is None else (best[0][0], best[1])


class AdmissionQueue:
    """One queue for each service of a node."""

    def __init__(self, clock: Clock, max_waiting: int):
        self._clock = clock
        self._most_waiting = max_waiting
        self._queues: dict[str, _ServiceQueue] = {}
        self.shed = 0

    def length(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self._queues.get(service)
        return queue.live() if queue else 0

    async def enter(
        self,
        ticket: Ticket,
        try_acquire: Callable[[], object | None],
        release: Callable[[object], None],
    ) -> object:
        """Return what ``try_acquire`` returns once it has room, in turn.

        Parameters
        ==========

        try_acquire : takes a place at a replica, or returns ``None`` if none has room.
        release : returns a place that was taken for a request that has left.
        """
        queue = self._queues.setdefault(ticket.service, _ServiceQueue())
        if queue.live() == 0:
            place = try_acquire()
            if place is not None:
                queue.entered.append(self._clock.now())
                return place
        line = self._line(queue, ticket)
        self._refuse_if_hopeless(queue, line, ticket)
        waiting = _Waiting(ticket, try_acquire, asyncio.get_running_loop().create_future())
        line.waiting.append(waiting)
        return await self._wait(queue, waiting, release)

    def _line(self, queue: _ServiceQueue, ticket: Ticket) -> _Line:
        key = (ticket.priority, ticket.organisation)
        line = queue.lines.setdefault(key, _Line(ticket.weight))
        line.weight = ticket.weight
        if line.live() == 0:
            # Who was away earns no credit for that time.
            now = queue.virtual_time.get(ticket.priority, 0.0)
            line.pass_value = max(line.pass_value, now)
        return line

    async def _wait(
        self, queue: _ServiceQueue, waiting: _Waiting, release: Callable[[object], None]
    ) -> object:
        turn = waiting.turn
        try:
            async with asyncio.timeout_at(
                waiting.ticket.deadline - waiting.ticket.expected_duration_s
            ):
                return await turn
        except (TimeoutError, asyncio.CancelledError) as reason:
            if turn.done() and not turn.cancelled():
                release(turn.result())
            if isinstance(reason, asyncio.CancelledError):
                raise
            self.shed += 1
            raise self._overloaded(queue, "too little of its time was left in the queue") from None

    def _refuse_if_hopeless(self, queue: _ServiceQueue, line: _Line, ticket: Ticket) -> None:
        """Refuse a request that would wait past its deadline, or beyond the queue's length."""
        share = self._share(queue, line, ticket)
        own = line.live()
        if own >= max(1, share * self._most_waiting):
            self.shed += 1
            raise self._overloaded(queue, f"{own} of {ticket.organisation} wait already")
        rate = self._rate(queue) * share
        wait_s = (self._before(queue, ticket) + own) / rate if rate > 0 else 0.0
        if self._clock.now() + wait_s + ticket.expected_duration_s > ticket.deadline:
            self.shed += 1
            raise self._overloaded(queue, f"it would wait {wait_s:.1f} s")

    def _share(self, queue: _ServiceQueue, line: _Line, ticket: Ticket) -> float:
        """Return the organisation's part among those that wait at its priority."""
        others = sum(
            other.weight
            for (priority, name), other in queue.lines.items()
            if priority == ticket.priority and name != ticket.organisation and other.live()
        )
        return line.weight / (line.weight + others)

    def _before(self, queue: _ServiceQueue, ticket: Ticket) -> int:
        lines = queue.lines.items()
        return sum(line.live() for (priority, _), line in lines if priority < ticket.priority)

    def _overloaded(self, queue: _ServiceQueue, detail: str) -> MulleinreachError:
        rate = self._rate(queue)
        wait_s = queue.live() / rate if rate > 0 else 1.0
        retry_after_s = round(max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s)), 2)
        message = f"the service is overloaded: {detail}"
        return MulleinreachError(Code.OVERLOADED, message, retry_after_s=retry_after_s)

    def _rate(self, queue: _ServiceQueue) -> float:
        """Return how many requests a second went in lately."""
        now = self._clock.now()
        while queue.entered and now - queue.entered[0] > RATE_WINDOW_S:
            queue.entered.popleft()
        if len(queue.entered) < 2:
            return 0.0
        return len(queue.entered) / max(0.5, now - queue.entered[0])

    def admit_waiting(self, service: str) -> None:
        """Let in those that have room now; call this when a place may have come free."""
        queue = self._queues.get(service)
        if queue is None:
            return
        while True:
            found = queue.next_line()
            if found is None:
                return
            priority, line = found
            first = line.waiting[0]
            place = first.try_acquire()
            if place is None:
                return
            line.waiting.popleft()
            queue.virtual_time[priority] = line.pass_value
            line.pass_value += 1 / line.weight
            queue.entered.append(self._clock.now())
            first.turn.set_result(place)

    def admit_all_waiting(self) -> None:
        """Pump the queues of all services."""
        for service in list(self._queues):
            self.admit_waiting(service)
