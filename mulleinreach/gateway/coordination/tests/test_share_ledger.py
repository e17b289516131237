"""Shares of a bound never add up to more than the bound, whatever nodes and coordinators do."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.coordination.lease import LEASE_DURATION_S
from mulleinreach.gateway.coordination.share_ledger import (
    MAX_TOTAL,
    SETTLING_S,
    TARGET_TOTAL,
    ShareLedger,
)
from mulleinreach.gateway.state.arrivals import MAX_UNREAD_S
from mulleinreach.gateway.state.leased_share import SHARE_DURATION_S, LeasedShare
from mulleinreach.gateway.state.tests.test_crashes import ManualClock
from mulleinreach.gateway.tests.support import block_store_access, run_world

WINDOW_S = 10.0
# Until then a share counts that was leased at time 0.
CHARGED_UNTIL_S = SHARE_DURATION_S + MAX_UNREAD_S + WINDOW_S
NODES = 8


def first_term() -> ShareLedger:
    return ShareLedger(-SETTLING_S, WINDOW_S, is_first_term=True)


def held_by(*names: str) -> dict[str, float]:
    return dict.fromkeys(names, 0.0)


def test_nodes_get_equal_shares():
    shares = first_term().lease(held_by("a", "b", "c"), 0.0)
    assert shares == dict.fromkeys("abc", pytest.approx(TARGET_TOTAL / 3))


def test_node_that_joins_gets_a_share_at_once_and_an_equal_one_later():
    ledger = first_term()
    ledger.lease(held_by("a", "b"), 0.0)
    assert 0 < ledger.lease(held_by("a", "b", "c"), 0.1)["c"] <= MAX_TOTAL - TARGET_TOTAL
    for at in range(1, int(CHARGED_UNTIL_S) + 3):
        shares = ledger.lease(held_by("a", "b", "c"), float(at))
    assert shares["c"] == pytest.approx(TARGET_TOTAL / 3)


def test_share_of_a_lost_node_counts_until_its_use_has_left_the_window():
    ledger = first_term()
    ledger.lease(held_by("a", "b"), 0.0)
    for at in (1.0, CHARGED_UNTIL_S - 0.1):
        restarted = ledger.lease(held_by("c", "d"), at)
        assert sum(restarted.values()) <= MAX_TOTAL - TARGET_TOTAL + 1e-9
    restarted = ledger.lease(held_by("c", "d"), CHARGED_UNTIL_S + 1)
    assert sum(restarted.values()) == pytest.approx(TARGET_TOTAL)


def test_new_coordinator_renews_the_shares_that_nodes_hold():
    ledger = ShareLedger(0.0, WINDOW_S)
    shares = ledger.lease({"a": 0.1, "b": 0.3, "c": 0.0}, 0.5)
    assert shares == {"a": 0.1, "b": pytest.approx(TARGET_TOTAL / 3), "c": 0.0}


def test_new_coordinator_leases_nothing_else_until_all_earlier_shares_have_ended():
    ledger = ShareLedger(0.0, WINDOW_S)
    assert ledger.lease(held_by("a"), LEASE_DURATION_S + CHARGED_UNTIL_S)["a"] == 0.0
    assert ledger.lease(held_by("a"), LEASE_DURATION_S + CHARGED_UNTIL_S + 1)["a"] > 0


def test_share_that_is_reported_late_in_a_term_is_not_adopted():
    ledger = ShareLedger(0.0, WINDOW_S)
    later = LEASE_DURATION_S + CHARGED_UNTIL_S + 1
    ledger.lease(held_by("a"), later)
    assert ledger.lease({"a": 0.0, "b": 0.5}, later)["b"] <= MAX_TOTAL - TARGET_TOTAL


def test_shares_in_the_first_moments_of_a_deployment_leave_room_for_other_nodes():
    ledger = ShareLedger(0.0, WINDOW_S, is_first_term=True)
    assert 0 < ledger.lease(held_by("a"), 0.1)["a"] < TARGET_TOTAL / NODES
    names = [str(number) for number in range(NODES)]
    shares = ledger.lease(held_by(*names), SETTLING_S + 0.1)
    assert sum(shares.values()) == pytest.approx(TARGET_TOTAL)


def test_share_ends_without_answers_of_the_coordinator():
    clock = ManualClock()
    share = LeasedShare(clock)
    share.receive(0.25, clock.now())
    clock.at += SHARE_DURATION_S - 0.1
    assert share.fraction == 0.25
    clock.at += 0.2
    assert share.fraction == 0.0


def test_share_counts_from_the_report_that_the_answer_echoes():
    clock = ManualClock()
    share = LeasedShare(clock)
    share.receive(0.25, clock.now() - SHARE_DURATION_S)
    assert share.fraction == 0.0


def test_coordinator_without_its_lease_renews_no_shares():
    async def test(world):
        await asyncio.sleep(SETTLING_S + 1)
        assert all(node.leased_share.fraction for node in world.nodes.values())
        for node in world.nodes.values():
            block_store_access(node)
        await asyncio.sleep(LEASE_DURATION_S + SHARE_DURATION_S + 1)
        assert not any(node.leased_share.fraction for node in world.nodes.values())

    run_world(test, nodes=3, domains=0)


def test_shares_outlast_the_replacement_of_a_coordinator():
    async def test(world):
        await asyncio.sleep(SETTLING_S + 1)
        await world.kill_node(world.coordinator())
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert all(node.leased_share.fraction for node in world.nodes.values())

    run_world(test, nodes=4, domains=0)


def test_node_that_starts_again_does_not_get_the_share_of_its_earlier_process_anew():
    async def test(world):
        await asyncio.sleep(SETTLING_S + 1)
        name = next(name for name in world.nodes if name != world.coordinator())
        for _ in range(4):
            await world.kill_node(name)
            await world.start_node(name)
            await asyncio.sleep(1)
        total = sum(node.leased_share.fraction for node in world.nodes.values())
        assert total + 3 * world.nodes[name].leased_share.fraction <= MAX_TOTAL

    run_world(test, nodes=2, domains=0)
