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
class _Waiter:
    ticket: Ticket
    try_acquire: Callable[[], object | None]
    admitted: asyncio.Future


@dataclass
class _Flow:
    """The requests of one organisation at one priority, and its pass."""

    weight: float
    waiting: deque[_Waiter] = field(default_factory=deque)
    pass_value: float = 0.0

    def drop_cancelled(self) -> None:
        """Forget those at the front that have given up."""
        while self.waiting and self.waiting[0].admitted.done():
            self.waiting.popleft()

    def count_waiting(self) -> int:
        """Return how many wait."""
        return sum(not w.admitted.done() for w in self.waiting)


@dataclass
class _ServiceQueue:
    """The lines of one service, by (priority, organisation), and how fast they go."""

    flows: dict[tuple[int, str], _Flow] = field(default_factory=dict)
    virtual_time: dict[int, float] = field(default_factory=dict)
    admission_times: deque[float] = field(default_factory=lambda: deque(maxlen=4096))

    def count_waiting(self) -> int:
        return sum(flow.count_waiting() for flow in self.flows.values())

    def next_flow(self) -> tuple[int, _Flow] | None:
        """Return the line whose turn it is, with its priority."""
        best = None
        for (priority, name), flow in self.flows.items():
            flow.drop_cancelled()
            if not flow.waiting:
                continue
            rank = (priority, flow.pass_value, name)
            if best is None or rank < best[0]:
                best = (rank, flow)
        return None if best is None else (best[0][0], best[1])


class AdmissionQueue:
    """One queue for each service of a node."""

    def __init__(self, clock: Clock, max_waiting: int):
        self._clock = clock
        self._max_waiting = max_waiting
        self._queues: dict[str, _ServiceQueue] = {}
        self.shed = 0

    def length(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self._queues.get(service)
        return queue.count_waiting() if queue else 0

    async def enter(
        self,
        ticket: Ticket,
        try_acquire: Callable[[], object | None],
        release: Callable[[object], None],
    ) -> object:
        """Return what ``try_acquire`` returns once it has room, in admitted.

        Parameters
        ==========

        try_acquire : takes a slot at a replica, or returns ``None`` if none has room.
        release : returns a place that was taken for a request that has left.
        """
        queue = self._queues.setdefault(ticket.service, _ServiceQueue())
        if queue.count_waiting() == 0:
            slot = try_acquire()
            if slot is not None:
                queue.admission_times.append(self._clock.now())
                return slot
        flow = self._get_flow(queue, ticket)
        self._reject_if_overloaded(queue, flow, ticket)
        waiting = _Waiter(ticket, try_acquire, asyncio.get_running_loop().create_future())
        flow.waiting.append(waiting)
        return await self._wait(queue, waiting, release)

    def _get_flow(self, queue: _ServiceQueue, ticket: Ticket) -> _Flow:
        key = (ticket.priority, ticket.organisation)
        flow = queue.flows.setdefault(key, _Flow(ticket.weight))
        flow.weight = ticket.weight
        if flow.count_waiting() == 0:
            # Who was away earns no credit for that time.
            now = queue.virtual_time.get(ticket.priority, 0.0)
            flow.pass_value = max(flow.pass_value, now)
        return flow

    async def _wait(
        self, queue: _ServiceQueue, waiting: _Waiter, release: Callable[[object], None]
    ) -> object:
        admitted = waiting.admitted
        try:
            async with asyncio.timeout_at(
                waiting.ticket.deadline - waiting.ticket.expected_duration_s
            ):
                return await admitted
        except (TimeoutError, asyncio.CancelledError) as reason:
            if admitted.done() and not admitted.cancelled():
                release(admitted.result())
            if isinstance(reason, asyncio.CancelledError):
                raise
            self.shed += 1
            raise self._overloaded(queue, "too little of its time was left in the queue") from None

    def _reject_if_overloaded(self, queue: _ServiceQueue, flow: _Flow, ticket: Ticket) -> None:
        """Refuse a request that would wait past its deadline, or beyond the queue's length."""
        share = self._weight_share(queue, flow, ticket)
        own = flow.count_waiting()
        if own >= max(1, share * self._max_waiting):
            self.shed += 1
            raise self._overloaded(queue, f"{own} of {ticket.organisation} wait already")
        rate = self._admission_rate(queue) * share
        wait_s = (self._count_higher_priority(queue, ticket) + own) / rate if rate > 0 else 0.0
        if self._clock.now() + wait_s + ticket.expected_duration_s > ticket.deadline:
            self.shed += 1
            raise self._overloaded(queue, f"it would wait {wait_s:.1f} s")

    def _weight_share(self, queue: _ServiceQueue, flow: _Flow, ticket: Ticket) -> float:
        """Return the organisation's part among those that wait at its priority."""
        others = sum(
            other.weight
            for (priority, name), other in queue.flows.items()
            if priority == ticket.priority and name != ticket.organisation and other.count_waiting()
        )
        return flow.weight / (flow.weight + others)

    def _count_higher_priority(self, queue: _ServiceQueue, ticket: Ticket) -> int:
        flows = queue.flows.items()
        return sum(
            flow.count_waiting() for (priority, _), flow in flows if priority < ticket.priority
        )

    def _overloaded(self, queue: _ServiceQueue, detail: str) -> MulleinreachError:
        rate = self._admission_rate(queue)
        wait_s = queue.count_waiting() / rate if rate > 0 else 1.0
        retry_after_s = round(max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s)), 2)
        message = f"the service is overloaded: {detail}"
        return MulleinreachError(Code.OVERLOADED, message, retry_after_s=retry_after_s)

    def _admission_rate(self, queue: _ServiceQueue) -> float:
        """Return how many requests a second went in lately."""
        now = self._clock.now()
        while queue.admission_times and now - queue.admission_times[0] > RATE_WINDOW_S:
            queue.admission_times.popleft()
        if len(queue.admission_times) < 2:
            return 0.0
        return len(queue.admission_times) / max(0.5, now - queue.admission_times[0])

    def admit_waiting(self, service: str) -> None:
        """Let in those that have room now; call this when a place may have come free."""
        queue = self._queues.get(service)
        if queue is None:
            return
        while True:
            found = queue.next_flow()
            if found is None:
                return
            priority, flow = found
            first = flow.waiting[0]
            slot = first.try_acquire()
            if slot is None:
                return
            flow.waiting.popleft()
            queue.virtual_time[priority] = flow.pass_value
            flow.pass_value += 1 / flow.weight
            queue.admission_times.append(self._clock.now())
            first.admitted.set_result(slot)

    def admit_all_waiting(self) -> None:
        """Pump the queues of all services."""
        for service in list(self._queues):
            self.admit_waiting(service)
