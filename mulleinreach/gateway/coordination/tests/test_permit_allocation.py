"""Requests stay within a limit over all nodes despite failures, restarts and lost messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mulleinreach.gateway.coordination.permit_allocation import BURST_PERMITS, PermitAllocator
from mulleinreach.gateway.coordination.tests.limit_harness import UPSTREAM, LimitHarness
from mulleinreach.gateway.state.limits import NamedLimit, permit_lifetime_s
from mulleinreach.gateway.state.permits import PermitCount
from mulleinreach.gateway.tests.limit_support import assert_limit_kept, requests_per_s

ROUND_S = 0.1
# Share of a limit that has to be used; lower for low limits, where expired permits weigh more.
MIN_USED_SHARE, MIN_USED_SHARE_OF_LOW = 0.85, 0.7
LOW_LIMIT_PER_S = 2.0
NODES = st.integers(0, 5)
# Remaining lease of a coordinator that has stopped responding.
REMAINING_LEASE_S = 1.6


def min_expected_rate(limit: float) -> float:
    """Return the minimum number of requests per second expected under a limit."""
    return limit * (MIN_USED_SHARE_OF_LOW if limit <= LOW_LIMIT_PER_S else MIN_USED_SHARE)


@pytest.mark.parametrize("nodes", [8, 30])
@pytest.mark.parametrize("limit", [0.5, 1.1, 2.0, 6.0, 20.0])
@pytest.mark.parametrize("is_spread", [True, False])
def test_limit_is_used_and_kept(nodes, limit, is_spread):
    harness, rng = LimitHarness(nodes, limit), random.Random(nodes)
    all_nodes = set(range(nodes))
    senders = all_nodes if is_spread else {0}
    began_at = harness.clock.now()
    while harness.clock.now() < began_at + 60:
        for number in senders:
            # At least two requests per second at each node, and three times the limit in total.
            requests_per_round = ROUND_S * max(2, 3 * limit / len(senders))
            for _ in range(int(requests_per_round) + (rng.random() < requests_per_round % 1)):
                harness.send_if_permitted(number)
        harness.allocate(all_nodes)
        harness.clock.at += ROUND_S
    assert_limit_kept(harness.sent_at, limit)
    assert requests_per_s(harness.sent_at, began_at + 10, began_at + 60) >= min_expected_rate(limit)


@pytest.mark.parametrize("nodes", [8, 30, 350])
@pytest.mark.parametrize("limit", [0.5, 1.1, 2.0])
def test_limit_is_used_by_nodes_with_few_requests_each(nodes, limit):
    harness, rng = LimitHarness(nodes, limit), random.Random(nodes)
    began_at = harness.clock.now()
    while harness.clock.now() < began_at + 60:
        for _ in range(3):
            if rng.random() < limit * ROUND_S:
                harness.send_or_wait(rng.randrange(nodes))
        harness.allocate(set(range(nodes)))
        harness.clock.at += ROUND_S
    assert_limit_kept(harness.sent_at, limit)
    assert requests_per_s(harness.sent_at, began_at + 10, began_at + 60) >= min_expected_rate(limit)


def test_permits_follow_changing_demand():
    harness = LimitHarness(8, 2.0)
    for number in (0, 5):
        moved_at = harness.clock.now()
        while harness.clock.now() < moved_at + 20:
            harness.send_if_permitted(number)
            harness.allocate(set(range(8)))
            harness.clock.at += ROUND_S
    assert requests_per_s(harness.sent_at, moved_at + 3, moved_at + 20) >= MIN_USED_SHARE * 2.0


def test_unused_permits_do_not_accumulate_beyond_the_burst():
    allocator = PermitAllocator(0.0)
    allocator.allocate({}, {"u": 1.0}, 10.0)
    (granted,) = allocator.allocate({"a": (PermitCount("u", 50),)}, {"u": 1.0}, 100.0)["a"]
    assert granted.count <= BURST_PERMITS


def test_nodes_with_equal_demand_get_equal_permits():
    allocator = PermitAllocator(0.0)
    got = {"a": 0, "b": 0}
    for step in range(300):
        wanted = {"a": (PermitCount("u", 4),), "b": (PermitCount("u", 4),)}
        for node, granted in allocator.allocate(wanted, {"u": 3.0}, step * ROUND_S).items():
            got[node] += sum(permits.count for permits in granted)
    assert abs(got["a"] - got["b"]) <= 1


class SharedLimit(RuleBasedStateMachine):
    """Checks a limit while nodes, coordinators and messages fail in any order."""

    @initialize(limit=st.sampled_from([0.5, 1.1, 2.1, 6.0, 30.0]))
    def begin(self, limit):
        self.harness = LimitHarness(6, limit)
        self.connected = set(range(6))
        self.coordinator_silent_until = 0.0

    @rule(
        rounds=st.integers(1, 20),
        senders=st.sets(NODES, min_size=1),
        requests_per_round=st.integers(1, 5),
    )
    def requests_come(self, rounds, senders, requests_per_round):
        for _ in range(rounds):
            for number in senders:
                for _ in range(requests_per_round):
                    self.harness.send_if_permitted(number)
            if self.harness.clock.now() >= self.coordinator_silent_until:
                self.harness.allocate(self.connected)
            self.harness.clock.at += ROUND_S

    @rule(lost=st.frozensets(NODES), answer_age_s=st.sampled_from([0.0, 0.3, 0.9]))
    def answers_are_lost_or_late(self, lost, answer_age_s):
        if self.harness.clock.now() >= self.coordinator_silent_until:
            self.harness.allocate(self.connected, lost, answer_age_s)

    @rule(number=NODES)
    def node_is_cut_off(self, number):
        self.connected.discard(number)

    @rule(number=NODES)
    def node_is_heard_again(self, number):
        self.connected.add(number)

    @rule(number=NODES)
    def node_starts_again(self, number):
        self.harness.restart_node(number)

    @rule()
    def coordinator_is_replaced(self):
        """The lease expires first, then the new coordinator waits for permits to expire."""
        self.coordinator_silent_until = self.harness.clock.now() + REMAINING_LEASE_S
        self.harness.allocator = PermitAllocator(self.coordinator_silent_until)

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.0, 5.0]))
    def time_goes_by(self, seconds):
        self.harness.clock.at += seconds

    @invariant()
    def limit_is_kept(self):
        if hasattr(self, "harness"):
            assert_limit_kept(self.harness.sent_at, self.harness.limit)


def test_answer_dates_permits_from_the_report_that_it_answers():
    harness = LimitHarness(2, 5.0)
    harness.nodes[0].receive(
        [PermitCount(UPSTREAM.id, 2)], harness.clock.now() - permit_lifetime_s(5.0), 2
    )
    assert not harness.nodes[0].may_send(UPSTREAM.id)


def test_limit_that_sinks_revokes_permits_granted_before():
    harness = LimitHarness(1, 30.0)
    node = harness.nodes[0]
    node.receive([PermitCount(UPSTREAM.id, 20)], harness.clock.now(), 2)
    assert node.may_send(UPSTREAM.id)
    harness.clock.at += 0.1
    harness.report_limit(0, 1.0)
    assert not node.may_send(UPSTREAM.id)


def test_reported_limit_applies_to_node_without_own_response():
    harness = LimitHarness(1, 5.0)
    other = harness.make_node(1)
    other.limits.merge_published([NamedLimit(UPSTREAM.id, 5.0)], harness.clock.now())
    assert not other.may_send(UPSTREAM.id)


TestSharedLimit = SharedLimit.TestCase
