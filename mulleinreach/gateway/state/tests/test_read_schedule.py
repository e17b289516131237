"""When a node reads the store directly, with and without a coordinator."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from mulleinreach.common import EventLog, VirtualClock
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.ports import Unavailable
from mulleinreach.gateway.state.read_schedule import direct_read_schedule
from mulleinreach.gateway.state.store_calls import StoreCalls, StoreRole, pause_s
from mulleinreach.standins.virtual import run_virtual

MANY_NODES = 195
LARGE_SITE = DeploymentBounds(leaving_propagation_s=4.0, config_propagation_s=4.0)


def test_node_that_loses_its_coordinator_retries_soon():
    async def test():
        role = [StoreRole.FOLLOWER]
        calls = StoreCalls(
            GatewayMetrics(),
            EventLog("a"),
            VirtualClock(),
            random.Random(1),
            lambda failures: pause_s(role[0], MANY_NODES, failures),
        )
        calls.count("configuration_wait", Unavailable("turned away"))
        admission = asyncio.create_task(calls.admit())
        await asyncio.sleep(0.5)
        assert not admission.done()
        role[0] = StoreRole.NO_COORDINATOR
        await asyncio.wait_for(admission, 0.6)

    run_virtual(test())


def test_follower_pause_is_bounded_at_any_deployment_size():
    assert pause_s(StoreRole.FOLLOWER, 1000, 1) <= 5.0


@pytest.mark.parametrize("cores", [0.5, 2.0])
def test_schedule_leaves_time_to_read_within_the_bounds(cores):
    schedules = [
        direct_read_schedule(LARGE_SITE, cores, False, random.Random(n)) for n in range(200)
    ]
    assert all(1.5 + schedule.extra_s < 3.1 for schedule in schedules)
    small = direct_read_schedule(DeploymentBounds(), cores, False, random.Random(1))
    assert small.extra_s == 0
    tight = replace(LARGE_SITE, evacuation_s=2.5)
    assert direct_read_schedule(tight, cores, False, random.Random(1)).extra_s == 0


def test_nodes_with_ample_cores_read_first():
    ample = [
        direct_read_schedule(LARGE_SITE, 2.0, False, random.Random(n)).extra_s for n in range(15)
    ]
    scarce = [
        direct_read_schedule(LARGE_SITE, 0.5, False, random.Random(n)).extra_s for n in range(180)
    ]
    assert max(ample) + 0.2 < min(scarce)
