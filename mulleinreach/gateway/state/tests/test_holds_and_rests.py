"""Holds and rests expire on time though messages are duplicated, late or reordered."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.state.crashes import HOLD_S
from mulleinreach.gateway.state.notices import NoticeTracker
from mulleinreach.gateway.state.tests.test_crashes import ManualClock, NullLog, TrackerHarness
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Notice
from mulleinreach.standins.gateway.hosts import make_upstream

NODES = 3
CONTENTS = st.integers(0, 2)
UPSTREAMS = st.sampled_from(["u0", "u1", "u2", "u3"])
SECONDS = st.sampled_from([0.0, 0.05, 0.7, 30.0, 500.0, 1500.0])
# Holds are dated from when the report was requested, which is before they were sent.
TRANSIT_S = st.sampled_from([0.0, 0.1, 0.6])
ROUNDING_S = 1e-6


class HeldContents(RuleBasedStateMachine):
    """Nodes whose trackers exchange observations and holds, also when nodes are replaced."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.harnesses = [TrackerHarness(self.clock, seed) for seed in range(NODES)]
        # The expiry of the latest hold that a node has decided on itself, by content.
        self.expires_at: dict[int, float] = {}
        self.sent_holds: list[tuple[float, tuple[HeldContent, ...]]] = []

    def _note_decisions(self, act) -> None:
        counts = [len(harness.held) for harness in self.harnesses]
        act()
        for harness, count in zip(self.harnesses, counts, strict=True):
            for content in harness.held[count:]:
                self.expires_at[content] = self.clock.now() + HOLD_S

    @rule(node=st.integers(0, NODES - 1), content=CONTENTS, name=UPSTREAMS)
    def upstream_ends(self, node, content, name):
        self._note_decisions(lambda: self.harnesses[node].end(content, name))

    @rule(sender=st.integers(0, NODES - 1), receiver=st.integers(0, NODES - 1))
    def observations_are_sent(self, sender, receiver):
        observations = self.harnesses[sender].tracker.own_observations(includes_old=True)
        self._note_decisions(
            lambda: self.harnesses[receiver].tracker.merge_observations(observations)
        )

    @rule(sender=st.integers(0, NODES - 1), transit_s=TRANSIT_S)
    def holds_are_sent(self, sender, transit_s):
        requested_at = self.clock.now() - transit_s
        self.sent_holds.append((requested_at, self.harnesses[sender].tracker.held()))

    @precondition(lambda self: self.sent_holds)
    @rule(data=st.data(), receiver=st.integers(0, NODES - 1))
    def holds_arrive_late_or_duplicated(self, data, receiver):
        requested_at, held = data.draw(st.sampled_from(self.sent_holds))
        self.harnesses[receiver].tracker.merge_held(held, requested_at)

    @rule(node=st.integers(0, NODES - 1))
    def node_is_replaced_and_inherits(self, node):
        held = self.harnesses[(node + 1) % NODES].tracker.held()
        self.harnesses[node] = TrackerHarness(self.clock, random.Random(node).getrandbits(16))
        self.harnesses[node].tracker.merge_held(held)

    @rule(seconds=SECONDS)
    def time_passes(self, seconds):
        self.clock.at += seconds

    @invariant()
    def no_hold_outlasts_its_expiry(self):
        for harness in self.harnesses:
            for held in harness.tracker.held():
                until = self.clock.now() + held.remaining_s
                assert until <= self.expires_at[held.content] + ROUNDING_S

    @invariant()
    def trackers_converge_in_any_order(self):
        holds = [harness.tracker.held() for harness in self.harnesses]
        trackers = [TrackerHarness(self.clock, 90 + n).tracker for n in range(2)]
        for tracker, order in zip(trackers, (holds, holds[::-1]), strict=True):
            for held in (*order, *order):
                tracker.merge_held(held)
        assert remaining_by_content(trackers[0].held()) == remaining_by_content(trackers[1].held())


def remaining_by_content(held: tuple[HeldContent, ...]) -> dict[int, float]:
    """Return the remaining times by content."""
    return {h.content: round(h.remaining_s, 3) for h in held}


class Rests(RuleBasedStateMachine):
    """A node whose upstreams request rests of different lengths."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.directory = UpstreamDirectory()
        self.tracker = NoticeTracker(self.directory, self.clock, NullLog(), lambda: None)
        self.expires_at: dict[str, float] = {}

    @rule(name=UPSTREAMS, rest_s=st.sampled_from([0.25, 1.0, 3.0, 60.0]), is_leaving=st.booleans())
    def upstream_requests_rest(self, name, rest_s, is_leaving):
        upstream = make_upstream(name, "desk", 1, None)
        self.tracker.record(upstream, Notice(is_leaving, rest_s))
        end = self.clock.now() + rest_s
        self.expires_at[name] = max(end, self.expires_at.get(name, end))

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 59.0]))
    def time_passes(self, seconds):
        self.clock.at += seconds

    @invariant()
    def each_rest_lasts_until_its_latest_end(self):
        resting = {name for name, end in self.expires_at.items() if end > self.clock.now()}
        assert set(self.tracker.resting()) == resting
        for name in resting:
            remaining_s = self.tracker.rest(name).remaining_s
            assert abs(remaining_s - (self.expires_at[name] - self.clock.now())) < ROUNDING_S


HeldContents.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
Rests.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestHeldContents = HeldContents.TestCase
TestRests = Rests.TestCase
