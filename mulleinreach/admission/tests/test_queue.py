"""Turns in the queue: priorities, weights, deadlines, and places given back."""

import asyncio
from collections import Counter

import pytest

from mulleinreach.admission import AdmissionQueue, Ticket
from mulleinreach.common import Clock, Code, MulleinreachError
from mulleinreach.standins.virtual import run_virtual


class Slots:
    """A number of places that are taken and given back."""

    def __init__(self, free):
        self.free = free

    def take(self):
        if self.free == 0:
            return None
        self.free -= 1
        return "place"

    def release(self, place):
        self.free += 1


def ticket(organisation, weight=1.0, priority=1, deadline=1000.0):
    return Ticket("s", organisation, weight, priority, deadline)


async def free_slots(queue, slots, count):
    """Free one place after the other; the queue lets in whose turn it is."""
    for _ in range(count):
        slots.free += 1
        queue.admit_waiting("s")
        await asyncio.sleep(0.1)


def run(scenario):
    async def main():
        await scenario(AdmissionQueue(Clock(), 100), Slots(0))

    run_virtual(main())


def start_requests(queue, slots, tickets, entered):
    async def one(t):
        await queue.enter(t, slots.take, slots.release)
        entered.append(t.organisation)

    return [asyncio.create_task(one(t)) for t in tickets]


def test_admissions_follow_the_weights():
    async def scenario(queue, slots):
        entered = []
        tickets = [ticket("a", 3.0) for _ in range(40)] + [ticket("b", 1.0) for _ in range(40)]
        tasks = start_requests(queue, slots, tickets, entered)
        await asyncio.sleep(0.1)
        await free_slots(queue, slots, 40)
        counts = Counter(entered)
        assert abs(counts["a"] - 30) <= 1
        for task in tasks:
            task.cancel()

    run(scenario)


def test_cancelled_requests_do_not_count():
    async def scenario(queue, slots):
        entered = []
        cancelled = start_requests(queue, slots, [ticket("b")] * 30, entered)
        await asyncio.sleep(0.1)
        for task in cancelled:
            task.cancel()
        tasks = start_requests(queue, slots, [ticket("a")] * 20 + [ticket("b")] * 20, entered)
        await asyncio.sleep(0.1)
        await free_slots(queue, slots, 20)
        assert abs(Counter(entered)["a"] - 10) <= 1
        for task in tasks:
            task.cancel()

    run(scenario)


def test_a_higher_priority_goes_first():
    async def scenario(queue, slots):
        entered = []
        tickets = [ticket("low", priority=2)] * 3 + [ticket("high", priority=0)] * 3
        start_requests(queue, slots, tickets, entered)
        await asyncio.sleep(0.1)
        await free_slots(queue, slots, 6)
        assert entered == ["high"] * 3 + ["low"] * 3

    run(scenario)


def test_waiting_request_is_rejected_at_its_deadline():
    async def scenario(queue, slots):
        loop = asyncio.get_running_loop()
        with pytest.raises(MulleinreachError) as raised:
            await queue.enter(ticket("a", deadline=loop.time() + 2), slots.take, slots.release)
        assert raised.value.code is Code.OVERLOADED
        assert loop.time() == pytest.approx(2.0)

    run(scenario)


def test_request_that_would_miss_its_deadline_is_rejected_at_once():
    async def scenario(queue, slots):
        entered = []
        tasks = start_requests(queue, slots, [ticket("a")] * 30, entered)
        await asyncio.sleep(0.1)
        await free_slots(queue, slots, 10)  # ten a second
        began = asyncio.get_running_loop().time()
        with pytest.raises(MulleinreachError) as raised:
            await queue.enter(ticket("a", deadline=began + 1), slots.take, slots.release)
        assert raised.value.retry_after_s > 0
        assert asyncio.get_running_loop().time() == began
        for task in tasks:
            task.cancel()

    run(scenario)


def test_slot_of_a_cancelled_request_is_released():
    async def scenario(queue, slots):
        (task,) = start_requests(queue, slots, [ticket("a")], [])
        await asyncio.sleep(0.1)
        slots.free = 1
        queue.admit_waiting("s")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert slots.free == 1

    run(scenario)
