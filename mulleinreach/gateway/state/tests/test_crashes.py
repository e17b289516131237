"""The ends of upstreams that cause a request to be held, and those that don't."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.state.crashes import (
    HOLD_S,
    MAX_BEGUN_REQUESTS,
    MAX_HELD_CONTENTS,
    MAX_TRACKED_CONTENTS,
    REPORT_WINDOW_S,
    CrashTracker,
)
from mulleinreach.gateway.state.upstream_ends import (
    OBSERVATION_RETENTION_S,
    SAME_FAILURE_WINDOW_S,
    RunOutcome,
)
from mulleinreach.gateway.upstream import Upstream

CULPRIT, OTHER = 1, 2


class ManualClock:
    """A clock that a test advances."""

    def __init__(self):
        self.at = 1000.0

    def now(self) -> float:
        """Return the time that the test has set."""
        return self.at


class NullLog:
    """A log that discards events."""

    def event(self, name: str, **fields: object) -> None:
        """Discard an event."""


class TrackerHarness:
    """A crash tracker with its clock and the contents that it has held."""

    def __init__(self, clock: ManualClock | None = None, seed: int = 1):
        self.clock = clock or ManualClock()
        self.held: list[int] = []
        self.tracker = CrashTracker(self.clock, NullLog(), random.Random(seed), self.held.append)

    def end(self, content: int, name: str, hall: str = "a", has_begun: bool = True) -> None:
        """Record an end of a named upstream."""
        outcome = RunOutcome.ENDED_BEGUN if has_begun else RunOutcome.ENDED
        self.tracker.note_end(content, upstream(name, hall), outcome)

    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.at += seconds


def upstream(name: str, hall: str = "a") -> Upstream:
    """Return an upstream with a name."""
    return Upstream(name, "models", Address("10.0.0.1", 80), hall)


@pytest.fixture
def desk() -> TrackerHarness:
    return TrackerHarness()


def test_second_end_after_a_request_began_holds_it(desk):
    desk.end(CULPRIT, "u1")
    assert not desk.tracker.is_held(CULPRIT)
    desk.end(CULPRIT, "u2")
    assert desk.tracker.is_held(CULPRIT)
    assert desk.held == [CULPRIT]


def test_three_ends_hold_a_request_that_may_not_have_begun(desk):
    for name in ("u1", "u2"):
        desk.end(CULPRIT, name, has_begun=False)
    assert not desk.tracker.is_held(CULPRIT)
    desk.end(CULPRIT, "u3", has_begun=False)
    assert desk.tracker.is_held(CULPRIT)


def test_four_ends_hold_a_request_that_gave_events_before_each(desk):
    for number in range(4):
        assert desk.held == []
        desk.tracker.note_end(CULPRIT, upstream(f"u{number}"), RunOutcome.ENDED_GIVING)
    assert desk.held == [CULPRIT]


def test_neighbour_that_gave_events_is_not_held_with_its_culprit(desk):
    for name in ("u1", "u2", "u3"):
        desk.end(CULPRIT, name)
        desk.tracker.note_end(OTHER, upstream(name), RunOutcome.ENDED_GIVING)
    assert desk.held == [CULPRIT]


def test_simultaneous_ends_at_one_upstream_count_once(desk):
    for _ in range(5):
        desk.end(CULPRIT, "u1")
    assert not desk.tracker.is_held(CULPRIT)


def test_later_end_of_an_upstream_with_the_same_id_counts(desk):
    desk.end(CULPRIT, "u1")
    desk.wait(3)
    desk.end(CULPRIT, "u1")
    assert desk.tracker.is_held(CULPRIT)


def test_ends_in_a_failing_hall_count_once(desk):
    desk.end(OTHER, "u9")
    desk.end(CULPRIT, "u1")
    desk.wait(SAME_FAILURE_WINDOW_S / 2)
    desk.end(CULPRIT, "u2")
    assert not desk.tracker.is_held(CULPRIT)


def test_neighbours_of_a_culprit_do_not_make_its_hall_look_failing(desk):
    desk.end(OTHER, "u1", has_begun=False)
    desk.end(CULPRIT, "u1")
    desk.wait(SAME_FAILURE_WINDOW_S / 2)
    desk.end(CULPRIT, "u2")
    assert desk.tracker.is_held(CULPRIT)
    assert not desk.tracker.is_held(OTHER)


def test_ends_in_two_halls_count_while_one_is_failing(desk):
    desk.end(OTHER, "u9")
    desk.end(CULPRIT, "u1")
    desk.end(CULPRIT, "u2", hall="b")
    assert desk.tracker.is_held(CULPRIT)


def test_serving_a_request_resets_its_count(desk):
    desk.end(CULPRIT, "u1")
    desk.wait(0.1)
    desk.tracker.note_served(CULPRIT, upstream("u5"))
    desk.wait(0.1)
    desk.end(CULPRIT, "u2")
    assert not desk.tracker.is_held(CULPRIT)
    desk.wait(2)
    desk.end(CULPRIT, "u3")
    assert desk.tracker.is_held(CULPRIT)


def test_begun_state_is_ignored_when_all_requests_of_an_upstream_had_begun(desk):
    crowd = range(10, 10 + MAX_BEGUN_REQUESTS + 1)
    for name in ("u1", "u2"):
        for content in crowd:
            desk.end(content, name)
        desk.wait(3)
    assert desk.held == []
    desk.end(crowd[0], "u3")
    assert desk.held == [crowd[0]]


def test_request_that_is_served_often_adds_one_observation(desk):
    desk.end(CULPRIT, "u1")
    for _ in range(50):
        desk.tracker.note_served(CULPRIT, upstream("u2"))
    assert len(desk.tracker.own_observations(includes_old=True)) == 2


def test_served_requests_without_earlier_ends_are_not_recorded(desk):
    desk.tracker.note_served(CULPRIT, upstream("u1"))
    assert desk.tracker.own_observations(includes_old=True) == []


def test_observations_of_two_nodes_are_combined():
    first = TrackerHarness()
    second = TrackerHarness(first.clock, seed=2)
    first.end(CULPRIT, "u1")
    second.end(CULPRIT, "u2", hall="b")
    first.tracker.merge_observations(second.tracker.own_observations(includes_old=False))
    assert first.tracker.is_held(CULPRIT)
    assert not second.tracker.is_held(CULPRIT)
    second.tracker.merge_held(first.tracker.held())
    assert second.held == [CULPRIT]


def test_duplicate_and_late_reports_count_once():
    first = TrackerHarness()
    second = TrackerHarness(first.clock, seed=2)
    first.end(CULPRIT, "u1")
    report = first.tracker.own_observations(includes_old=False)
    for _ in range(3):
        second.tracker.merge_observations(report)
        second.wait(5)
    assert not second.tracker.is_held(CULPRIT)


def test_observations_of_other_nodes_are_not_reported_as_own():
    first = TrackerHarness()
    second = TrackerHarness(first.clock, seed=2)
    first.end(CULPRIT, "u1")
    second.tracker.merge_observations(first.tracker.own_observations(includes_old=False))
    assert second.tracker.own_observations(includes_old=True) == []


def test_old_observations_are_reported_to_a_new_coordinator_only(desk):
    desk.end(CULPRIT, "u1")
    desk.wait(REPORT_WINDOW_S + 0.1)
    assert desk.tracker.own_observations(includes_old=False) == []
    [told] = desk.tracker.own_observations(includes_old=True)
    assert (told.content, told.upstream_id, told.hall) == (CULPRIT, "u1", "a")
    assert told.ago_s == pytest.approx(REPORT_WINDOW_S + 0.1)


def test_observations_and_holds_expire(desk):
    desk.end(CULPRIT, "u1")
    desk.wait(OBSERVATION_RETENTION_S + 1)
    desk.end(CULPRIT, "u2")
    assert not desk.tracker.is_held(CULPRIT)
    desk.wait(2)
    desk.end(CULPRIT, "u3")
    assert desk.tracker.is_held(CULPRIT)
    desk.wait(HOLD_S + 1)
    assert not desk.tracker.is_held(CULPRIT)
    assert desk.tracker.held() == ()


def test_oldest_entries_are_evicted_at_the_limits(desk):
    for content in range(MAX_TRACKED_CONTENTS + 10):
        desk.end(content, "u1")
        desk.wait(0.01)
    assert len(desk.tracker.own_observations(includes_old=True)) == MAX_TRACKED_CONTENTS
    desk.tracker.merge_held(HeldContent(1000 + n, HOLD_S) for n in range(MAX_HELD_CONTENTS + 5))
    assert len(desk.tracker.held()) == MAX_HELD_CONTENTS
    assert desk.tracker.is_held(1000 + MAX_HELD_CONTENTS + 4)
    assert not desk.tracker.is_held(1000)


def test_delayed_report_is_dated_from_when_it_was_written():
    first = TrackerHarness()
    second = TrackerHarness(first.clock, seed=2)
    first.end(CULPRIT, "u1")
    [told] = first.tracker.own_observations(includes_old=False)
    second.tracker.merge_observations([replace(told, ago_s=700.0)])
    second.end(CULPRIT, "u2")
    assert not second.tracker.is_held(CULPRIT)
