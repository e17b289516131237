"""Requests beyond the capacity of a model's heads get the late priority and wait.

Guards against an overload that makes all requests miss the objective of their route.
"""

from __future__ import annotations

import asyncio

from mulleinreach.common import VirtualClock
from mulleinreach.gateway.request.urgency import HIGHEST_PRIORITY, LATE_PRIORITY, MAX_QUEUE_FRACTION
from mulleinreach.gateway.state.load import LoadReport, LoadTracker
from mulleinreach.gateway.state.routing import QUEUED_PENALTY_MS
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.world import LARGE, MODEL_SERVICE, PROFILE, make_configuration
from mulleinreach.standins.virtual import run_virtual

USUAL_PRIORITY = HIGHEST_PRIORITY + 1
OBJECTIVE_S = make_configuration().routes[0].objective_s
# Requests that can queue at a head and still meet the objective.
MAX_WAITING = round(MAX_QUEUE_FRACTION * OBJECTIVE_S * 1000 / QUEUED_PENALTY_MS)
EVENT_COUNT = 40


def test_requests_that_would_miss_the_objective_yield_to_those_that_meet_it():
    async def test(world):
        await world.until_formed()
        flood = [asyncio.create_task(world.stream(EVENT_COUNT)) for _ in range(3 * PROFILE.slots)]
        await asyncio.gather(*flood)
        sent_priorities = [p for ps in world.fabric.checks.priorities.values() for p in ps]
        in_time, yielding = (
            sent_priorities.count(str(USUAL_PRIORITY)),
            sent_priorities.count(str(LATE_PRIORITY)),
        )
        assert in_time + yielding == len(flood)
        assert PROFILE.slots <= in_time <= PROFILE.slots + MAX_WAITING
        # With free slots, the next request gets the usual priority again.
        await world.stream(1)
        assert list(world.fabric.checks.priorities.values())[-1] == [str(USUAL_PRIORITY)]

    run_world(test, nodes=1, domains=1)


def test_yielding_requests_do_not_make_others_yield():
    async def test():
        tracker = LoadTracker(VirtualClock())
        ahead = [tracker.start("u", 100) for _ in range(3)]
        yielding = [tracker.start("u", 100, stands_back=True) for _ in range(9)]
        assert (tracker.running("u"), tracker.running_ahead("u")) == (12, 3)
        assert tracker.pending_tokens("u") == 300
        # A request that has started isn't overtaken, so it counts as ahead.
        yielding[0].progress()
        assert tracker.running_ahead("u") == 4
        ahead[0].finish()
        assert tracker.running_ahead("u") == 3

    run_virtual(test())


def test_yielding_requests_of_other_nodes_count_as_published():
    async def test():
        tracker = LoadTracker(VirtualClock())
        tracker.start("u", 100, stands_back=True)
        own = tracker.own_reports()
        total = LoadReport("u", 10, 500, 0.1, standing_back=4)
        tracker.update_totals([total], own)
        assert (tracker.running("u"), tracker.running_ahead("u")) == (10, 6)

    run_virtual(test())


def test_predicted_wait_at_an_idle_head_is_zero():
    async def test(world):
        await world.until_formed()
        node = world.nodes["node-0"]
        head = node.chooser.heads(MODEL_SERVICE, LARGE)[0]
        assert node.chooser._router.predicted_wait_ms(head, PROFILE) == 0

    run_world(test, nodes=1, domains=1)


def test_refused_request_does_not_yield_as_well():
    async def test(world):
        await world.until_formed()
        node = world.nodes["node-0"]
        full = [asyncio.create_task(world.stream(EVENT_COUNT)) for _ in range(6 * PROFILE.slots)]
        await asyncio.sleep(0.2)
        refusing = node.chooser.heads(MODEL_SERVICE, LARGE)[0].upstream.id
        world.fabric.hosts[refusing].refuses = len(full)
        before = len(world.fabric.checks.priorities)
        await asyncio.gather(*(world.stream(1) for _ in range(12)))
        sent_priorities = list(world.fabric.checks.priorities.values())[before:]
        assert [str(USUAL_PRIORITY)] in sent_priorities
        assert [str(LATE_PRIORITY)] in sent_priorities
        await asyncio.gather(*full)

    run_world(test, nodes=1, domains=2)
