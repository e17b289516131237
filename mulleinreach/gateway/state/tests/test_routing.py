"""Stalled, busy, cold and remote upstreams are avoided while better ones are available."""

from __future__ import annotations

import asyncio
import random

import pytest

from mulleinreach.common import Address, VirtualClock
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.load import LoadReport, LoadTracker
from mulleinreach.gateway.state.routing import Router
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.standins.gateway.world import LARGE, PROFILE
from mulleinreach.standins.virtual import run_virtual

NO_SUSPECTS: set[str] = set()


def _head(upstream_id: str, hall: str = "hall") -> Head:
    upstream = Upstream(upstream_id, "models", Address("10.0.0.1", 80), hall)
    return Head(upstream, f"group-{upstream_id}", 1, LARGE)


def _choose(loads: LoadTracker, names: list[str]) -> str:
    router = Router(loads, random.Random(1))
    heads = [_head(name) for name in names]
    return router.choose_head(heads, PROFILE, 100, NO_SUSPECTS).upstream.id


def test_busy_head_is_preferred_to_a_stalled_one():
    async def test():
        loads = LoadTracker(VirtualClock())
        loads.start("still")
        busy = [loads.start("busy") for _ in range(6)]
        await asyncio.sleep(0.4)
        busy[0].progress()
        assert _choose(loads, ["still", "busy"]) == "busy"

    run_virtual(test())


@pytest.mark.parametrize(("silent_s", "chosen"), [(0.1, "far"), (0.4, "busy")])
def test_silence_reported_by_other_nodes_counts(silent_s, chosen):
    async def test():
        loads = LoadTracker(VirtualClock())
        totals = [LoadReport("far", 1, 0, silent_s, 0.9), LoadReport("busy", 6, 0, 0.0, 0.9)]
        loads.update_totals(totals, [])
        assert _choose(loads, ["far", "busy"]) == chosen

    run_virtual(test())


def test_byte_received_after_the_totals_shows_that_a_head_is_not_stalled():
    async def test():
        loads = LoadTracker(VirtualClock())
        request = loads.start("far")
        loads.update_totals([LoadReport("far", 1, 0, 0.4, 0.9), LoadReport("busy", 6, 0, 0, 1)], [])
        request.progress()
        assert _choose(loads, ["far", "busy"]) == "far"

    run_virtual(test())


def test_stalled_head_is_used_if_there_is_no_other():
    async def test():
        loads = LoadTracker(VirtualClock())
        loads.start("still")
        await asyncio.sleep(0.4)
        assert _choose(loads, ["still"]) == "still"

    run_virtual(test())


@pytest.mark.parametrize(("running_near", "is_near_chosen"), [(0, True), (3, True), (13, False)])
def test_head_of_the_own_hall_is_preferred_unless_it_is_clearly_slower(
    running_near, is_near_chosen
):
    async def test():
        loads = LoadTracker(VirtualClock())
        router = Router(loads, random.Random(1), "own")
        for _ in range(running_near):
            loads.start("near").progress()
        heads = [_head("near", "own")] + [_head(f"far-{n}", "other") for n in range(3)]
        chosen = [
            router.choose_head(heads, PROFILE, 100, NO_SUSPECTS).upstream.id for _ in range(40)
        ]
        # The second random head may be the near one again.
        assert chosen.count("near") == 40 if is_near_chosen else chosen.count("near") < 20

    run_virtual(test())


@pytest.mark.parametrize(("running_near", "chosen"), [(0, "near"), (1, "near"), (3, "far")])
def test_plain_upstream_of_the_own_hall_is_preferred_unless_it_is_busier(running_near, chosen):
    async def test():
        loads = LoadTracker(VirtualClock())
        router = Router(loads, random.Random(3), "own")
        upstreams = [_head("near", "own").upstream, _head("far", "other").upstream]
        for _ in range(running_near):
            loads.start("near")
        picked = {router.choose_plain(upstreams, NO_SUSPECTS).id for _ in range(30)}
        assert chosen in picked
        assert len(picked) == (2 if running_near == 1 else 1)

    run_virtual(test())


def test_cold_head_is_avoided_until_the_others_are_clearly_busier():
    async def test():
        loads = LoadTracker(VirtualClock())
        router = Router(loads, random.Random(1))
        heads = [_head("cold"), _head("warm")]

        def chosen() -> str:
            head = router.choose_head(heads, PROFILE, 100, NO_SUSPECTS, {"cold"})
            return head.upstream.id

        for _ in range(6):
            loads.start("warm").progress()
        assert chosen() == "warm"
        for _ in range(30):
            loads.start("warm").progress()
        assert chosen() == "cold"

    run_virtual(test())


@pytest.mark.parametrize(("running_warm", "chosen"), [(1, "warm"), (3, "cold")])
def test_cold_plain_upstream_is_avoided_until_the_others_are_busier(running_warm, chosen):
    async def test():
        loads = LoadTracker(VirtualClock())
        router = Router(loads, random.Random(3))
        upstreams = [_head("warm").upstream, _head("cold").upstream]
        for _ in range(running_warm):
            loads.start("warm")
        picked = {router.choose_plain(upstreams, NO_SUSPECTS, {"cold"}).id for _ in range(30)}
        assert picked == {chosen}

    run_virtual(test())
