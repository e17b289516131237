"""A queue of requests for each service, with priorities and weighted fair shares.

Explanation
===========

A request waits until a replica has capacity for it. Lower priority numbers are
served first. Within a priority, organisations are served by stride scheduling:
the pass of an organisation grows by 1 / weight with each admitted request, and
the lowest pass is next, so cancelled requests don't count. A request whose
estimated wait, by the recent admission rate and the organisation's share,
exceeds its deadline is rejected at once.

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
    """A request to be queued; ``deadline`` in monotonic seconds.

    Parameters
    ==========

    expected_duration_s : expected duration of the request after its admission.
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
    """The waiting requests of one organisation at one priority, and their pass."""

    weight: float
    waiting: deque[_Waiter] = field(default_factory=deque)
    pass_value: float = 0.0

    def drop_cancelled(self) -> None:
        """Remove cancelled requests from the front."""
        while self.waiting and self.waiting[0].admitted.done():
            self.waiting.popleft()

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(not w.admitted.done() for w in self.waiting)


@dataclass
class _ServiceQueue:
    """The flows of one service, by (priority, organisation), and recent admissions."""

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
            sort_key = (priority, flow.pass_value, name)
            if best is None or sort_key < best[0]:
                best = (sort_key, flow)
        return None if best is None else (best[0][0], best[1])


class AdmissionQueue:
    """The request queues of a node, one for each service."""

    def __init__(self, clock: Clock, max_waiting: int):
        self._clock = clock
        self._max_waiting = max_waiting
        self._queues: dict[str, _ServiceQueue] = {}
        self.shed = 0

    def length(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        queue = self._queues.get(service)
        return queue.count_waiting() if queue else 0

    async def enter(
        self,
        ticket: Ticket,
        try_acquire: Callable[[], object | None],
        release: Callable[[object], None],
    ) -> object:
        """Wait for the request's turn and return the slot that ``try_acquire`` returned.

        Parameters
        ==========

        try_acquire : acquires a slot at a replica, or returns ``None`` if none has capacity.
        release : releases a slot that was acquired for a request cancelled meanwhile.
        """
        queue = self._queues.setdefault(ticket.service, _ServiceQueue())
        if queue.count_waiting() == 0:
            slot = try_acquire()
            if slot is not None:
                queue.admission_times.append(self._clock.now())
                return slot
        flow = self._get_flow(queue, ticket)
        self._reject_if_overloaded(queue, flow, ticket)
        waiter = _Waiter(ticket, try_acquire, asyncio.get_running_loop().create_future())
        flow.waiting.append(waiter)
        return await self._wait(queue, waiter, release)

    def _get_flow(self, queue: _ServiceQueue, ticket: Ticket) -> _Flow:
        key = (ticket.priority, ticket.organisation)
        flow = queue.flows.setdefault(key, _Flow(ticket.weight))
        flow.weight = ticket.weight
        if flow.count_waiting() == 0:
            # An idle flow earns no credit.
            now = queue.virtual_time.get(ticket.priority, 0.0)
            flow.pass_value = max(flow.pass_value, now)
        return flow

    async def _wait(
        self, queue: _ServiceQueue, waiter: _Waiter, release: Callable[[object], None]
    ) -> object:
        admitted = waiter.admitted
        try:
            async with asyncio.timeout_at(
                waiter.ticket.deadline - waiter.ticket.expected_duration_s
            ):
                return await admitted
        except (TimeoutError, asyncio.CancelledError) as reason:
            if admitted.done() and not admitted.cancelled():
                release(admitted.result())
            if isinstance(reason, asyncio.CancelledError):
                raise
            self.shed += 1
            raise self._overloaded(
                queue, "the request waited until too little time was left before its deadline"
            ) from None

    def _reject_if_overloaded(self, queue: _ServiceQueue, flow: _Flow, ticket: Ticket) -> None:
        """Reject a request that would miss its deadline or exceed the queue's length."""
        share = self._weight_share(queue, flow, ticket)
        own_waiting = flow.count_waiting()
        if own_waiting >= max(1, share * self._max_waiting):
            self.shed += 1
            raise self._overloaded(
                queue, f"{own_waiting} requests of {ticket.organisation} are already queued"
            )
        rate = self._admission_rate(queue) * share
        wait_s = (
            (self._count_higher_priority(queue, ticket) + own_waiting) / rate if rate > 0 else 0.0
        )
        if self._clock.now() + wait_s + ticket.expected_duration_s > ticket.deadline:
            self.shed += 1
            raise self._overloaded(queue, f"the request would wait {wait_s:.1f} s")

    def _weight_share(self, queue: _ServiceQueue, flow: _Flow, ticket: Ticket) -> float:
        """Return the organisation's share of the weights waiting at its priority."""
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
        """Return the recently admitted requests per second."""
        now = self._clock.now()
        while queue.admission_times and now - queue.admission_times[0] > RATE_WINDOW_S:
            queue.admission_times.popleft()
        if len(queue.admission_times) < 2:
            return 0.0
        return len(queue.admission_times) / max(0.5, now - queue.admission_times[0])

    def admit_waiting(self, service: str) -> None:
        """Admit waiting requests while slots are free; called when a slot may be free."""
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
        """Admit waiting requests of all services while slots are free."""
        for service in list(self._queues):
            self.admit_waiting(service)
