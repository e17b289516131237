"""Requests within a limit over all nodes, whatever becomes of nodes, coordinators and messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mulleinreach.gateway.coordination.permit_allocation import BURST, PermitAllocator
from mulleinreach.gateway.coordination.tests.limit_desk import UPSTREAM, Desk
from mulleinreach.gateway.known.limits import NamedLimit, permit_lifetime_s
from mulleinreach.gateway.known.permits import PermitCount
from mulleinreach.gateway.tests.limited import assert_kept, rate

ROUND_S = 0.1
# So much of a limit is to be used where there are requests enough; of a low one a permit that
# lapses is a larger part.
USED, USED_OF_LOW = 0.85, 0.7
LOW_PER_S = 2.0
NODES = st.integers(0, 5)
# How long the lease of a coordinator that fell silent still keeps others from it.
LEASE_S = 1.6


def to_be_used(limit: float) -> float:
    """Return how many requests a second should be sent under a limit."""
    return limit * (USED_OF_LOW if limit <= LOW_PER_S else USED)


@pytest.mark.parametrize("nodes", [8, 30])
@pytest.mark.parametrize("limit", [0.5, 1.1, 2.0, 6.0, 20.0])
@pytest.mark.parametrize("is_spread", [True, False])
def test_limit_is_used_and_kept(nodes, limit, is_spread):
    desk, rng = Desk(nodes, limit), random.Random(nodes)
    everybody = set(range(nodes))
    askers = everybody if is_spread else {0}
    began_at = desk.clock.now()
    while desk.clock.now() < began_at + 60:
        for number in askers:
            # Two requests a second at each node, and three times the limit at least.
            asks = ROUND_S * max(2, 3 * limit / len(askers))
            for _ in range(int(asks) + (rng.random() < asks % 1)):
                desk.ask(number)
        desk.allocate(everybody)
        desk.clock.at += ROUND_S
    assert_kept(desk.sent_at, limit)
    assert rate(desk.sent_at, began_at + 10, began_at + 60) >= to_be_used(limit)


@pytest.mark.parametrize("nodes", [8, 30, 350])
@pytest.mark.parametrize("limit", [0.5, 1.1, 2.0])
def test_limit_is_used_by_nodes_that_have_few_requests_each(nodes, limit):
    desk, rng = Desk(nodes, limit), random.Random(nodes)
    began_at = desk.clock.now()
    while desk.clock.now() < began_at + 60:
        for _ in range(3):
            if rng.random() < limit * ROUND_S:
                desk.ask_and_wait(rng.randrange(nodes))
        desk.allocate(set(range(nodes)))
        desk.clock.at += ROUND_S
    assert_kept(desk.sent_at, limit)
    assert rate(desk.sent_at, began_at + 10, began_at + 60) >= to_be_used(limit)


def test_permits_follow_demand_that_moves():
    desk = Desk(8, 2.0)
    for number in (0, 5):
        moved_at = desk.clock.now()
        while desk.clock.now() < moved_at + 20:
            desk.ask(number)
            desk.allocate(set(range(8)))
            desk.clock.at += ROUND_S
    assert rate(desk.sent_at, moved_at + 3, moved_at + 20) >= USED * 2.0


def test_what_nobody_wanted_for_long_is_not_given_out_at_once():
    allocator = PermitAllocator(0.0)
    allocator.allocate({}, {"u": 1.0}, 10.0)
    (given,) = allocator.allocate({"a": (PermitCount("u", 50),)}, {"u": 1.0}, 100.0)["a"]
    assert given.count <= BURST


def test_two_nodes_that_want_as_much_get_as_much():
    allocator = PermitAllocator(0.0)
    got = {"a": 0, "b": 0}
    for step in range(300):
        wanted = {"a": (PermitCount("u", 4),), "b": (PermitCount("u", 4),)}
        for node, given in allocator.allocate(wanted, {"u": 3.0}, step * ROUND_S).items():
            got[node] += sum(permits.count for permits in given)
    assert abs(got["a"] - got["b"]) <= 1


class SharedLimit(RuleBasedStateMachine):
    """Nodes are cut off and start again, coordinators are replaced, messages are lost and late."""

    @initialize(limit=st.sampled_from([0.5, 1.1, 2.1, 6.0, 30.0]))
    def begin(self, limit):
        self.desk = Desk(6, limit)
        self.heard = set(range(6))
        self.silent_until = 0.0

    @rule(rounds=st.integers(1, 20), askers=st.sets(NODES, min_size=1), asks=st.integers(1, 5))
    def requests_come(self, rounds, askers, asks):
        for _ in range(rounds):
            for number in askers:
                for _ in range(asks):
                    self.desk.ask(number)
            if self.desk.clock.now() >= self.silent_until:
                self.desk.allocate(self.heard)
            self.desk.clock.at += ROUND_S

    @rule(lost=st.frozensets(NODES), late_s=st.sampled_from([0.0, 0.3, 0.9]))
    def answers_are_lost_or_late(self, lost, late_s):
        if self.desk.clock.now() >= self.silent_until:
            self.desk.allocate(self.heard, lost, late_s)

    @rule(number=NODES)
    def node_is_cut_off(self, number):
        self.heard.discard(number)

    @rule(number=NODES)
    def node_is_heard_again(self, number):
        self.heard.add(number)

    @rule(number=NODES)
    def node_starts_again(self, number):
        self.desk.start_again(number)

    @rule()
    def coordinator_is_replaced(self):
        """Its lease lapses first; the next one begins to give permits later still."""
        self.silent_until = self.desk.clock.now() + LEASE_S
        self.desk.allocator = PermitAllocator(self.silent_until)

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.0, 5.0]))
    def time_goes_by(self, seconds):
        self.desk.clock.at += seconds

    @invariant()
    def limit_is_kept(self):
        if hasattr(self, "desk"):
            assert_kept(self.desk.sent_at, self.desk.limit)


def test_word_of_a_coordinator_dates_permits_from_what_it_answers():
    desk = Desk(2, 5.0)
    desk.nodes[0].receive(
        [PermitCount(UPSTREAM.id, 2)], desk.clock.now() - permit_lifetime_s(5.0), 2
    )
    assert not desk.nodes[0].may_send(UPSTREAM.id)


def test_limit_that_sinks_ends_the_permits_that_were_given_out_before():
    desk = Desk(1, 30.0)
    node = desk.nodes[0]
    node.receive([PermitCount(UPSTREAM.id, 20)], desk.clock.now(), 2)
    assert node.may_send(UPSTREAM.id)
    desk.clock.at += 0.1
    desk.tell(0, 1.0)
    assert not node.may_send(UPSTREAM.id)


def test_limit_that_is_told_binds_a_node_that_had_no_answer():
    desk = Desk(1, 5.0)
    other = desk.make_node(1)
    other.limits.merge_published([NamedLimit(UPSTREAM.id, 5.0)], desk.clock.now())
    assert not other.may_send(UPSTREAM.id)


TestSharedLimit = SharedLimit.TestCase
