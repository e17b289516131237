"""Shares of a bound never add up to more than the bound, whatever nodes and coordinators do."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.coordination.lease import LEASE_DURATION_S
from mulleinreach.gateway.coordination.share_accounts import (
    FIRST_STATEMENT,
    FIRST_TOKEN,
    MAX_TOTAL,
    TARGET_TOTAL,
)
from mulleinreach.gateway.coordination.share_ledger import (
    NUMBER_BITS,
    SETTLING_S,
    ShareLedger,
)
from mulleinreach.gateway.coordination.share_targets import EQUAL_PART
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.model import DepartedShare, ShareStatement
from mulleinreach.gateway.state.arrivals import MAX_UNREAD_S
from mulleinreach.gateway.state.leased_share import (
    SHARE_DURATION_S,
    HeldShare,
    LeasedShare,
    ShareLease,
)
from mulleinreach.gateway.state.tests.test_crashes import ManualClock
from mulleinreach.gateway.tests.support import block_store_access, run_world

WINDOW_S = 10.0
# Until then a share counts that was leased at time 0.
CHARGED_UNTIL_S = SHARE_DURATION_S + MAX_UNREAD_S + WINDOW_S
NODES = 8
LATER_TOKEN = FIRST_TOKEN + 1


class StatingLedger(ShareLedger):
    """A ledger whose statements reach the lease's row before each answer, and holders that apply
    each answer before their next report."""

    def __init__(self, begun_at: float, token: int, inherited: ShareStatement | None):
        super().__init__(begun_at, WINDOW_S, token, inherited)
        self._applied: dict[str, ShareLease] = {}

    def shares(
        self,
        held: dict[str, float],
        now: float,
        needs: dict[str, float] | None = None,
        used: dict[str, float] | None = None,
    ) -> dict[str, float]:
        """Return the share of each node, given what it holds of an earlier coordinator."""
        reports = {
            name: replace(
                self._report(name, fraction),
                wanted=(needs or {}).get(name, 0.0),
                used=(used or {}).get(name, 0.0),
            )
            for name, fraction in held.items()
        }
        self.lease(reports, now)
        self.confirm(self.propose(now))
        leases = self.lease(reports, now)
        self._applied.update(leases)
        return {name: lease.fraction for name, lease in leases.items()}

    def _report(self, name: str, earlier: float) -> HeldShare:
        lease = self._applied.get(name, ShareLease(earlier))
        return HeldShare(lease.fraction, lease.number)


def first_term() -> StatingLedger:
    return StatingLedger(-SETTLING_S, FIRST_TOKEN, FIRST_STATEMENT)


def later_term() -> StatingLedger:
    """Return the ledger of a coordinator that knows nothing of what was leased before it."""
    return StatingLedger(0.0, LATER_TOKEN, None)


def held_by(*names: str) -> dict[str, float]:
    return dict.fromkeys(names, 0.0)


def test_nodes_get_equal_shares():
    shares = first_term().shares(held_by("a", "b", "c"), 0.0)
    assert shares == dict.fromkeys("abc", pytest.approx(TARGET_TOTAL / 3))


def test_node_that_joins_gets_a_share_at_once_and_an_equal_one_later():
    ledger = first_term()
    ledger.shares(held_by("a", "b"), 0.0)
    assert 0 < ledger.shares(held_by("a", "b", "c"), 0.1)["c"] <= MAX_TOTAL - TARGET_TOTAL
    for at in range(1, int(CHARGED_UNTIL_S) + 3):
        shares = ledger.shares(held_by("a", "b", "c"), float(at))
    assert shares["c"] == pytest.approx(TARGET_TOTAL / 3)


def test_share_of_a_lost_node_counts_until_its_use_has_left_the_window():
    ledger = first_term()
    ledger.shares(held_by("a", "b"), 0.0)
    for at in (1.0, CHARGED_UNTIL_S - 0.1):
        restarted = ledger.shares(held_by("c", "d"), at)
        assert sum(restarted.values()) <= MAX_TOTAL - TARGET_TOTAL + 1e-9
    restarted = ledger.shares(held_by("c", "d"), CHARGED_UNTIL_S + 1)
    assert sum(restarted.values()) == pytest.approx(TARGET_TOTAL)


def test_new_coordinator_divides_the_shares_that_nodes_hold():
    ledger, held = later_term(), {"a": 0.1, "b": 0.3, "c": 0.0}
    part = pytest.approx(EQUAL_PART * 0.4 / 3)
    assert ledger.shares(held, 0.5) == {"a": part, "b": part, "c": 0.0}
    assert ledger.shares(held, 0.6) == {"a": part, "b": part, "c": part}


def test_node_that_needs_more_gets_what_others_do_not_use():
    ledger, held = first_term(), held_by("a", "b", "c")
    equal = ledger.shares(held, 0.0)
    needy = ledger.shares(held, 0.1, needs={"a": 1.0})
    assert needy["a"] == pytest.approx(MAX_TOTAL - equal["b"] - equal["c"])
    assert (needy["b"], needy["c"]) == (equal["b"], equal["c"])


def test_nodes_that_need_more_share_what_is_left_until_the_bound():
    ledger, held = first_term(), held_by("a", "b", "c")
    ledger.shares(held, 0.0)
    shares = ledger.shares(held, 0.1, needs={"a": 1.0, "b": 1.0})
    assert shares["a"] == pytest.approx(shares["b"])
    assert sum(shares.values()) == pytest.approx(MAX_TOTAL)


# Guards against a part that is given to another node while it may still be used.
def test_share_that_a_node_has_used_is_leased_to_nobody_else():
    ledger, held = first_term(), held_by("a", "b")
    used = ledger.shares(held, 0.0, needs={"a": 1.0})["a"]
    shares = ledger.shares(held, 0.1, needs={"b": 1.0}, used={"a": used})
    assert used + shares["b"] <= MAX_TOTAL + 1e-9


def test_new_coordinator_leases_nothing_else_until_all_earlier_shares_have_ended():
    ledger = later_term()
    assert ledger.shares(held_by("a"), LEASE_DURATION_S + CHARGED_UNTIL_S)["a"] == 0.0
    assert ledger.shares(held_by("a"), LEASE_DURATION_S + CHARGED_UNTIL_S + 1)["a"] > 0


def test_share_that_is_reported_late_in_a_term_is_not_adopted():
    ledger = later_term()
    later = LEASE_DURATION_S + CHARGED_UNTIL_S + 1
    ledger.shares(held_by("a"), later)
    assert ledger.shares({"a": 0.0, "b": 0.5}, later)["b"] <= MAX_TOTAL - TARGET_TOTAL


def test_shares_in_the_first_moments_of_a_deployment_leave_room_for_other_nodes():
    ledger = StatingLedger(0.0, FIRST_TOKEN, FIRST_STATEMENT)
    assert 0 < ledger.shares(held_by("a"), 0.1)["a"] < TARGET_TOTAL / NODES
    names = [str(number) for number in range(NODES)]
    shares = ledger.shares(held_by(*names), SETTLING_S + 0.1)
    assert sum(shares.values()) == pytest.approx(TARGET_TOTAL)


def test_share_ends_without_answers_of_the_coordinator():
    clock = ManualClock()
    share = LeasedShare(clock, DeploymentBounds())
    share.receive(ShareLease(0.25), clock.now())
    clock.at += SHARE_DURATION_S - 0.1
    assert share.fraction == 0.25
    clock.at += 0.2
    assert share.fraction == 0.0


def test_share_counts_from_the_report_that_the_answer_echoes():
    clock = ManualClock()
    share = LeasedShare(clock, DeploymentBounds())
    share.receive(ShareLease(0.25), clock.now() - SHARE_DURATION_S)
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


def lease_numbered(ledger: ShareLedger, held: dict[str, HeldShare], now: float) -> dict:
    """State what may be leased, and lease it."""
    ledger.lease(held, now)
    ledger.confirm(ledger.propose(now))
    return ledger.lease(held, now)


# Guards against shares of which a successor wouldn't know.
def test_nothing_is_leased_before_it_is_stated():
    stated = 0.2
    ledger = ShareLedger(0.0, WINDOW_S, LATER_TOKEN, ShareStatement(FIRST_TOKEN, stated))
    held = {"a": HeldShare(stated, 1 << NUMBER_BITS, wanted=1.0), "b": HeldShare(wanted=1.0)}
    assert sum(lease.fraction for lease in ledger.lease(held, 0.1).values()) <= stated + 1e-9
    statement = ledger.propose(0.2)
    assert sum(lease.fraction for lease in ledger.lease(held, 0.3).values()) <= stated + 1e-9
    ledger.confirm(statement)
    assert sum(lease.fraction for lease in ledger.lease(held, 0.4).values()) > 2 * stated


def test_used_part_of_a_share_stays_charged_when_its_holder_has_a_smaller_one():
    ledger, used = ShareLedger(-SETTLING_S, WINDOW_S, FIRST_TOKEN, FIRST_STATEMENT), 0.6
    lease_numbered(ledger, {"a": HeldShare(wanted=used)}, 0.0)
    for at in (0.1, 0.2, 0.3):
        held = {"a": HeldShare(0.0, ledger._last_number, used=used), "b": HeldShare(wanted=1.0)}
        leases = lease_numbered(ledger, held, at)
    assert leases["a"].fraction < used
    assert leases["b"].fraction <= MAX_TOTAL - used + 1e-9


def test_share_stays_charged_until_its_holder_reports_a_smaller_one():
    ledger = ShareLedger(-SETTLING_S, WINDOW_S, FIRST_TOKEN, FIRST_STATEMENT)
    (lease,) = lease_numbered(ledger, {"a": HeldShare()}, 0.0).values()
    held = {"a": HeldShare(lease.fraction, lease.number), "b": HeldShare(wanted=1.0)}
    for at in (0.1, 0.2, 0.3):
        leases = lease_numbered(ledger, held, at)
        assert leases["b"].fraction <= MAX_TOTAL - lease.fraction + 1e-9
    held["a"] = HeldShare(leases["a"].fraction, leases["a"].number)
    assert lease_numbered(ledger, held, 0.4)["b"].fraction > MAX_TOTAL - lease.fraction


def test_statement_names_what_departed_nodes_may_use_and_for_how_long():
    ledger = ShareLedger(-SETTLING_S, WINDOW_S, FIRST_TOKEN, FIRST_STATEMENT)
    leases = lease_numbered(ledger, {"a": HeldShare(), "b": HeldShare()}, 0.0)
    ledger.lease({"a": HeldShare(leases["a"].fraction, leases["a"].number)}, 1.0)
    (departed,) = ledger.propose(1.0).departed
    assert departed.fraction == leases["b"].fraction
    assert departed.remaining_s >= CHARGED_UNTIL_S - 1.0


def test_successor_charges_departed_nodes_until_their_use_has_left_the_window():
    departed = (DepartedShare(0.6, 8.0),)
    inherited = ShareStatement(FIRST_TOKEN, 0.0, departed)
    ledger = ShareLedger(0.0, WINDOW_S, LATER_TOKEN, inherited)
    held = {"a": HeldShare(wanted=1.0)}
    assert lease_numbered(ledger, held, 7.9)["a"].fraction <= MAX_TOTAL - 0.6 + 1e-9
    assert lease_numbered(ledger, held, 8.5)["a"].fraction > MAX_TOTAL - 0.6


# Guards against a part that a node takes along from one connection to the next.
def test_holder_that_comes_back_is_charged_to_what_is_stated_for_connected_ones():
    ledger = ShareLedger(-SETTLING_S, WINDOW_S, FIRST_TOKEN, FIRST_STATEMENT)
    leases = lease_numbered(ledger, {"a": HeldShare(), "b": HeldShare()}, 0.0)
    held = {name: HeldShare(lease.fraction, lease.number) for name, lease in leases.items()}
    ledger.lease({"a": held["a"]}, 1.0)
    statement = ledger.propose(1.0)
    ledger.confirm(statement)
    ledger.lease(held, 1.1)
    ledger.lease({"a": held["a"]}, 1.2)
    needy = {"a": HeldShare(held["a"].fraction, held["a"].number, wanted=1.0)}
    assert ledger.lease(needy, 1.3)["a"].fraction <= statement.connected + 1e-9
