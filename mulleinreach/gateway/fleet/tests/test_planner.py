"""Tests for planning the groups and standbys of a domain by slot usage."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common import Address, Clock, VirtualClock
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.fleet.planner import (
    DomainView,
    FreeHost,
    plan_groups,
    plan_standbys,
    target_groups,
    target_standbys,
)
from mulleinreach.gateway.fleet.usage import NO_GROUP_USAGE, ModelUsage
from mulleinreach.gateway.model import EngineModel
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.standins.gateway.world import LARGE, PROFILE, SMALL
from mulleinreach.standins.virtual import run_virtual

MODELS = (EngineModel(LARGE, 4, share=0.67), EngineModel(SMALL, 2, share=0.33))
MODERATE_USAGE = {LARGE: 0.2, SMALL: 0.3}
SMALL_IS_FULL = {LARGE: 0.2, SMALL: 1.1}
BOTH_ARE_FULL = {LARGE: 1.0, SMALL: 1.0}


def _view(hosts: int, groups: dict[str, int], usage: dict[str, float], *free: FreeHost):
    return DomainView("domain", hosts, groups, {}, free, usage)


@pytest.mark.parametrize("usage", [{}, MODERATE_USAGE, BOTH_ARE_FULL])
def test_every_model_gets_a_group_while_no_model_lacks_more_than_the_other(usage):
    assert target_groups(_view(8, {}, usage), MODELS)[LARGE] == 1
    assert target_groups(_view(8, {}, usage), MODELS)[SMALL] >= 1
    assert target_groups(_view(6, {}, usage), MODELS) == {LARGE: 1, SMALL: 1}


def test_groups_that_serve_are_kept_whatever_is_in_use():
    groups = {LARGE: 1, SMALL: 1}
    targets = target_groups(_view(7, groups, SMALL_IS_FULL), MODELS)
    assert all(targets[name] >= count for name, count in groups.items())


def test_survivors_of_a_wide_group_serve_the_model_that_is_full():
    survivors = [FreeHost(f"host-{n}", LARGE, (LARGE,)) for n in range(3)]
    view = _view(5, {SMALL: 1}, SMALL_IS_FULL, *survivors)
    assert target_groups(view, MODELS) == {LARGE: 0, SMALL: 2}
    loads = plan_standbys(view, MODELS, target_groups(view, MODELS))
    assert [plan.model for plan in loads] == [SMALL] * 3
    moderate = _view(5, {SMALL: 1}, MODERATE_USAGE, *survivors)
    # One becomes the standby of the serving group; the others wait for a fourth host.
    plans = plan_standbys(moderate, MODELS, target_groups(moderate, MODELS))
    assert [plan.model for plan in plans] == [SMALL]


def test_only_standby_is_of_the_model_with_the_greatest_need():
    groups = {LARGE: 1, SMALL: 1}
    assert target_standbys(_view(7, groups, {}), groups, MODELS) == {LARGE: 1, SMALL: 0}
    assert target_standbys(_view(7, groups, SMALL_IS_FULL), groups, MODELS)[SMALL] == 1


def test_standbys_that_hold_a_full_model_form_a_group_at_once():
    free = [FreeHost("a", SMALL, (SMALL,)), FreeHost("b", SMALL, (SMALL,))]
    groups = {LARGE: 1, SMALL: 1}
    full, moderate = _view(8, groups, SMALL_IS_FULL, *free), _view(8, groups, MODERATE_USAGE, *free)
    (plan,) = plan_groups(full, MODELS, target_groups(full, MODELS))
    assert (plan.model, plan.members) == (SMALL, ("a", "b"))
    assert plan_groups(moderate, MODELS, target_groups(moderate, MODELS)) == []


def _head(name: str, model: str) -> Head:
    return Head(Upstream(name, "models", Address("10.0.0.1", 80), "hall"), name, 1, model)


def test_usage_is_smoothed():
    async def test():
        usage = ModelUsage(Clock())
        heads = [_head("l", LARGE), _head("s", SMALL)]
        usage.update(PROFILE, heads, {})
        assert usage.by_model() == {}
        half = PROFILE.slots / 2
        usage.update(PROFILE, heads, {"s": LoadReport("s", half, 0, 0.0)})
        assert usage.by_model() == pytest.approx({LARGE: 0.0, SMALL: 0.5})
        assert usage.demand() == {}
        for _ in range(100):
            await asyncio.sleep(0.1)
            usage.update(PROFILE, heads, {"s": LoadReport("s", half, 0, 0.0)})
        assert usage.demand() == pytest.approx({LARGE: 0.0, SMALL: half})
        await asyncio.sleep(0.1)
        usage.update(PROFILE, heads, {"s": LoadReport("s", 10 * half, 0, 0.0)})
        assert usage.by_model()[SMALL] < 0.7
        for _ in range(100):
            await asyncio.sleep(0.1)
            usage.update(PROFILE, heads[:1], {"l": LoadReport("l", half, 0, 0.0)})
        assert usage.by_model() == pytest.approx({LARGE: 0.5, SMALL: NO_GROUP_USAGE}, rel=0.1)

        assert usage.demand()[LARGE] == pytest.approx(half, rel=0.1)

    run_virtual(test())


def test_cold_host_is_chosen_last_as_member_and_as_head():
    warm = [FreeHost(f"warm-{n}", SMALL) for n in range(2)]
    coldest, colder = FreeHost("coldest", SMALL, cold_s=9.0), FreeHost("colder", SMALL, cold_s=2.0)
    (plan,) = plan_groups(_view(4, {}, {}, coldest, colder, *warm), MODELS, {LARGE: 0, SMALL: 1})
    assert plan.members == ("warm-0", "warm-1")
    (plan,) = plan_groups(_view(3, {}, {}, coldest, warm[0]), MODELS, {LARGE: 0, SMALL: 1})
    assert plan.members == ("warm-0", "coldest")
    (plan,) = plan_groups(_view(2, {}, {}, coldest, colder), MODELS, {LARGE: 0, SMALL: 1})
    assert plan.members == ("colder", "coldest")


def test_host_is_cold_for_as_long_as_its_row_states():
    async def test():
        directory, clock = UpstreamDirectory(), VirtualClock()
        hosts = HostRegistry(directory, clock, lambda service: 8.0)
        row = Upstream("u", "s", Address("10.0.0.1", 1), "hall", cold_s=5.0)
        directory.replace_all(1, [row], clock.now())
        hosts.refresh("s")
        await asyncio.sleep(3)
        hosts.refresh("s")
        assert hosts.cold_s("u") == pytest.approx(2.0)
        await asyncio.sleep(3)
        assert hosts.cold_s("u") == 0.0

    run_virtual(test())
