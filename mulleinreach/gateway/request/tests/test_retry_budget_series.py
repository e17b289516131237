"""Retries of all nodes together stay within their bound in any series of failures."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.request.tests.retry_harness import RetryHarness

FRACTIONS = st.sampled_from([0.01, 0.33, 1.0])
SLACKS = [100.0, 302.0]


class SharedRetryBudget(RuleBasedStateMachine):
    """Checks the bound while nodes, coordinators and messages fail in any order."""

    @initialize(
        nodes=st.sampled_from([8, 32, 350]),
        requests_per_s=st.sampled_from([40.0, 224.0, 450.0]),
        slack=st.sampled_from(SLACKS),
        seed=st.integers(0, 1000),
    )
    def begin(self, nodes, requests_per_s, slack, seed):
        bounds = DeploymentBounds(retry_slack=slack)
        self.harness = RetryHarness(nodes, requests_per_s, seed, bounds)
        self.harness.run(5)

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 12.0]), lost=st.sampled_from([0.0, 0.5, 1.0]))
    def time_passes(self, seconds, lost):
        self.harness.run(seconds, lost)

    @rule(fraction=FRACTIONS)
    def nodes_are_killed(self, fraction):
        self.harness.restart(self.harness.pick(fraction))
        self.harness.run(0.6)

    @rule(fraction=FRACTIONS)
    def nodes_are_stopped_as_planned(self, fraction):
        self.harness.release(self.harness.pick(fraction))
        self.harness.run(0.6)

    @rule()
    def store_is_restored(self):
        self.harness.forget_statement()
        self.harness.replace_coordinator()
        self.harness.run(0.6)

    @rule(fraction=FRACTIONS)
    def nodes_lose_the_coordinator(self, fraction):
        self.harness.cut_off(self.harness.pick(fraction))
        self.harness.run(0.6)

    @rule()
    def nodes_find_the_coordinator(self):
        self.harness.reconnect()
        self.harness.run(0.6)

    @rule(followers=FRACTIONS)
    def coordinator_is_replaced(self, followers):
        self.harness.replace_coordinator(followers=followers)
        self.harness.run(0.6)

    @rule(seconds=st.sampled_from([1.0, 5.0, 15.0]))
    def coordinator_stands_still(self, seconds):
        self.harness.freeze_coordinator(seconds)
        self.harness.run(0.6)

    @rule(fraction=FRACTIONS)
    def nodes_are_added(self, fraction):
        self.harness.add_nodes(max(1, round(fraction * len(self.harness.nodes) / 2)))
        self.harness.run(0.6)

    @rule(fraction=FRACTIONS)
    def nodes_are_removed(self, fraction):
        self.harness.remove(self.harness.pick(fraction / 2))
        self.harness.run(0.6)

    def teardown(self):
        if hasattr(self, "harness"):
            assert self.harness.excess() <= 0


TestSharedRetryBudget = SharedRetryBudget.TestCase
TestSharedRetryBudget.settings = settings(max_examples=15, stateful_step_count=15)


@pytest.mark.parametrize("nodes", [8, 32, 350])
@pytest.mark.parametrize("requests_per_s", [40.0, 450.0])
def test_budget_is_used_while_all_nodes_know_the_coordinator(nodes, requests_per_s):
    """At least as much as equal parts of seven tenths of the bound."""
    harness = RetryHarness(nodes, requests_per_s, seed=1)
    harness.run(40)
    bounds, window_s = harness.bounds, harness.bounds.retry_window_s
    allowed = bounds.retry_ratio * requests_per_s * window_s + bounds.retry_slack
    # A node sends whole retries only.
    assert harness.record.most_retries(window_s) >= max(1, 0.7 * allowed - nodes)
    assert harness.excess() <= 0


def make_harness_with_large_slack() -> RetryHarness:
    """Return 32 nodes whose slack is more than what the ratio allows, after a calm time."""
    harness = RetryHarness(32, 120.0, 1, DeploymentBounds(retry_slack=302.0), failing=0.0)
    harness.run(20)
    harness.failing = 1.0
    return harness


def test_nodes_cut_off_for_long_leave_their_shares_to_others():
    harness = make_harness_with_large_slack()
    harness.cut_off(harness.pick(0.75))
    harness.run(40)
    assert harness.excess() <= 0


def test_all_nodes_start_again_with_a_new_coordinator():
    harness = make_harness_with_large_slack()
    harness.run(4)
    harness.restart(harness.pick(1.0))
    harness.replace_coordinator()
    harness.run(20)
    assert harness.excess() <= 0


# Guards against processes that retry for the requests of a window in which others have retried.
@pytest.mark.parametrize("nodes", [8, 32])
@pytest.mark.parametrize("failing_s", [2, 4, 8])
@pytest.mark.parametrize("part", [0.33, 0.6, 1.0])
def test_nodes_killed_soon_after_failures_begin(nodes, failing_s, part):
    harness = RetryHarness(nodes, 450.0, 1, failing=0.0)
    harness.run(20)
    harness.failing = 1.0
    harness.run(failing_s)
    harness.restart(harness.pick(part))
    harness.replace_coordinator()
    harness.run(12)
    assert harness.excess() <= 0
