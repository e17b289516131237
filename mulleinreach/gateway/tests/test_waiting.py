"""Who gets a place while the heads of a model are full."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Address, Clock
from mulleinreach.gateway.load import LoadBook
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.upstreams import Upstream
from mulleinreach.gateway.waiting import EXTRA_PLACES, PATIENCE_S, PlaceQueue
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, PROFILE
from mulleinreach.standins.virtual import run_virtual

SERVICE = Service(MODEL_SERVICE, engine=PROFILE)
HEADERS = CallerHeaders("r", 8.0, None, LARGE, 100, 10, None)
HEAD = Upstream("head", MODEL_SERVICE, Address("10.0.0.1", 80), "hall")
LONG_S = 8.0


class _OneHead:
    """A chooser that knows one head, or none."""

    def __init__(self) -> None:
        self.is_open = True

    def choose(self, service, headers, tried):
        return HEAD if self.is_open else None

    def heads(self, service, model):
        return [HEAD] if self.is_open else []


def _run(test) -> None:
    async def run():
        clock = Clock()
        loads = LoadBook(clock)
        loads.take_totals([], [])
        chooser = _OneHead()
        await test(PlaceQueue(chooser, loads, clock), loads, chooser)

    run_virtual(run())


def _fill(loads: LoadBook) -> list:
    """Take all places of the head; returns the requests that hold them."""
    return [loads.start(HEAD.id) for _ in range(PROFILE.slots + EXTRA_PLACES)]


def test_request_goes_at_once_while_there_are_places():
    async def test(queue, loads, chooser):
        started_at = loads.now()
        assert await queue.wait(SERVICE, HEADERS, LONG_S, 0.1) is HEAD
        assert loads.now() == started_at

    _run(test)


def test_newest_request_that_can_be_in_time_takes_the_place_that_is_free():
    async def test(queue, loads, chooser):
        held = _fill(loads)
        order = []

        async def ask(name: str, timely_for_s: float) -> None:
            await queue.wait(SERVICE, HEADERS, LONG_S, timely_for_s)
            loads.start(HEAD.id)
            order.append(name)

        asking = []
        for name, timely_for_s in (("late", 0.0), ("older", 0.4), ("newer", 0.4)):
            asking.append(asyncio.create_task(ask(name, timely_for_s)))
            await asyncio.sleep(0.01)
        held.pop().finish()
        await asyncio.sleep(0.05)
        assert order == ["newer"]
        held.pop().finish()
        await asyncio.sleep(0.05)
        assert order == ["newer", "older"]
        held.pop().finish()
        await asyncio.sleep(0.05)
        assert order == ["newer", "older"]
        await asyncio.gather(*asking)

    _run(test)


def test_request_waits_no_longer_than_its_patience():
    async def test(queue, loads, chooser):
        _fill(loads)
        started_at = loads.now()
        await queue.wait(SERVICE, HEADERS, LONG_S, 0.1)
        assert loads.now() - started_at <= PATIENCE_S + 0.05
        started_at = loads.now()
        await queue.wait(SERVICE, HEADERS, 0.8, 0.1)
        assert loads.now() - started_at <= 0.25

    _run(test)


def test_request_is_given_back_at_once_if_nobody_serves_its_model():
    async def test(queue, loads, chooser):
        chooser.is_open = False
        started_at = loads.now()
        assert await queue.wait(SERVICE, HEADERS, LONG_S, 0.3) is None
        assert loads.now() == started_at

    _run(test)


def test_request_whose_caller_leaves_holds_up_nobody():
    async def test(queue, loads, chooser):
        held = _fill(loads)
        leaving = asyncio.create_task(queue.wait(SERVICE, HEADERS, LONG_S, 0.5))
        await asyncio.sleep(0.01)
        staying = asyncio.create_task(queue.wait(SERVICE, HEADERS, LONG_S, 0.4))
        await asyncio.sleep(0.01)
        leaving.cancel()
        held.pop().finish()
        await asyncio.wait_for(staying, 0.1)

    _run(test)
