"""Facts that are told doubled, late and in any order exclude for as long as they should."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mulleinreach.gateway.known.crashes import HOLD_S
from mulleinreach.gateway.known.notices import NoticeTracker
from mulleinreach.gateway.known.tests.test_crashes import ManualClock, NullLog, TrackerHarness
from mulleinreach.gateway.known.upstreams import UpstreamDirectory
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.upstream import Notice
from mulleinreach.standins.gateway.hosts import make_upstream

NODES = 3
CONTENTS = st.integers(0, 2)
UPSTREAMS = st.sampled_from(["u0", "u1", "u2", "u3"])
SECONDS = st.sampled_from([0.0, 0.05, 0.7, 30.0, 500.0, 1500.0])
# What crosses the wire is dated from before it was asked for.
ON_THE_WAY_S = st.sampled_from([0.0, 0.1, 0.6])
ROUNDING_S = 1e-6


class HeldContents(RuleBasedStateMachine):
    """Nodes whose books hear of ends, and hand on what is held, also through replacements."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.harnesses = [TrackerHarness(self.clock, seed) for seed in range(NODES)]
        # The end of the latest hold that any node has decided on by itself, by content.
        self.ends_at: dict[int, float] = {}
        self.told: list[tuple[float, tuple[HeldContent, ...]]] = []

    def _note_decisions(self, act) -> None:
        counts = [len(desk.held) for desk in self.harnesses]
        act()
        for desk, count in zip(self.harnesses, counts, strict=True):
            for content in desk.held[count:]:
                self.ends_at[content] = self.clock.now() + HOLD_S

    @rule(node=st.integers(0, NODES - 1), content=CONTENTS, name=UPSTREAMS)
    def upstream_ends(self, node, content, name):
        self._note_decisions(lambda: self.harnesses[node].end(content, name))

    @rule(teller=st.integers(0, NODES - 1), hearer=st.integers(0, NODES - 1))
    def sightings_are_told(self, teller, hearer):
        told = self.harnesses[teller].tracker.own_observations(includes_old=True)
        self._note_decisions(lambda: self.harnesses[hearer].tracker.merge_observations(told))

    @rule(teller=st.integers(0, NODES - 1), on_the_way_s=ON_THE_WAY_S)
    def holds_are_sent(self, teller, on_the_way_s):
        asked_at = self.clock.now() - on_the_way_s
        self.told.append((asked_at, self.harnesses[teller].tracker.held()))

    @precondition(lambda self: self.told)
    @rule(data=st.data(), hearer=st.integers(0, NODES - 1))
    def holds_arrive_late_or_doubled(self, data, hearer):
        asked_at, held = data.draw(st.sampled_from(self.told))
        self.harnesses[hearer].tracker.merge_held(held, asked_at)

    @rule(node=st.integers(0, NODES - 1))
    def node_is_replaced_and_inherits(self, node):
        held = self.harnesses[(node + 1) % NODES].tracker.held()
        self.harnesses[node] = TrackerHarness(self.clock, random.Random(node).getrandbits(16))
        self.harnesses[node].tracker.merge_held(held)

    @rule(seconds=SECONDS)
    def time_goes_by(self, seconds):
        self.clock.at += seconds

    @invariant()
    def nothing_is_held_beyond_its_end(self):
        for desk in self.harnesses:
            for held in desk.tracker.held():
                until = self.clock.now() + held.remaining_s
                assert until <= self.ends_at[held.content] + ROUNDING_S

    @invariant()
    def nodes_agree_once_they_have_told_each_other(self):
        told = [desk.tracker.held() for desk in self.harnesses]
        trackers = [TrackerHarness(self.clock, 90 + n).tracker for n in range(2)]
        for tracker, order in zip(trackers, (told, told[::-1]), strict=True):
            for held in (*order, *order):
                tracker.merge_held(held)
        assert dict_of(trackers[0].held()) == dict_of(trackers[1].held())


def dict_of(held: tuple[HeldContent, ...]) -> dict[int, float]:
    """Return the times that remain, by content."""
    return {h.content: round(h.remaining_s, 3) for h in held}


class Rests(RuleBasedStateMachine):
    """A node whose upstreams ask for rests of all lengths, and start again."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.directory = UpstreamDirectory()
        self.tracker = NoticeTracker(self.directory, self.clock, NullLog(), lambda: None)
        self.ends_at: dict[str, float] = {}

    @rule(name=UPSTREAMS, rest_s=st.sampled_from([0.25, 1.0, 3.0, 60.0]), leaves=st.booleans())
    def upstream_asks(self, name, rest_s, leaves):
        upstream = make_upstream(name, "desk", 1, None)
        self.tracker.take(upstream, Notice(leaves, rest_s))
        end = self.clock.now() + rest_s
        self.ends_at[name] = max(end, self.ends_at.get(name, end))

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 59.0]))
    def time_goes_by(self, seconds):
        self.clock.at += seconds

    @invariant()
    def each_rests_until_its_last_end(self):
        resting = {name for name, end in self.ends_at.items() if end > self.clock.now()}
        assert set(self.tracker.resting()) == resting
        for name in resting:
            remaining_s = self.tracker.rest(name).remaining_s
            assert abs(remaining_s - (self.ends_at[name] - self.clock.now())) < ROUNDING_S


HeldContents.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
Rests.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestHeldContents = HeldContents.TestCase
TestRests = Rests.TestCase
