"""Which prompt parts are found to be at fault for crashes of upstreams, and which aren't."""

from __future__ import annotations

import itertools

import pytest

from mulleinreach.gateway.state.part_suspects import (
    MAX_CRASHES_PER_PART,
    MAX_SUSPECTS,
    MAX_TRACKED_PARTS,
    SERVED_REPORT_DELAY_S,
    PartSuspects,
)
from mulleinreach.gateway.state.tests.test_crashes import ManualClock, TrackerHarness, upstream
from mulleinreach.gateway.state.upstream_ends import (
    OBSERVATION_RETENTION_S,
    ObservedRun,
    RunOutcome,
)

SYSTEM, HOT, SOUND = 1, 2, 3
FIRST_SESSION = 1000
# Requests that an upstream runs beside the one that crashes it.
NEIGHBOURS = 6
LONG_GIVING_S = 1.0


class PartsHarness:
    """Suspected parts with their clock; crashes are told as nodes observe them."""

    def __init__(self):
        self.clock = ManualClock()
        self.parts = PartSuspects(self.clock)
        self._ids = itertools.count(1)

    def lose(
        self,
        upstream_id: str,
        *parts: int,
        outcome: RunOutcome = RunOutcome.ENDED_BEGUN,
        content: int | None = None,
        gave_for_s: float = 0.0,
    ) -> None:
        """Record a request that was lost at an upstream."""
        run_id = next(self._ids)
        run = ObservedRun(
            run_id,
            run_id if content is None else content,
            upstream_id,
            "hall",
            outcome,
            self.clock.now(),
            parts,
            gave_for_s,
        )
        self.parts.note_end(run)

    def crash(self, *parts: int, neighbours: int = NEIGHBOURS, content: int | None = None) -> None:
        """Let an upstream crash under a request with some parts, and lose sound ones with it."""
        name = f"u{next(self._ids)}"
        self.lose(name, *parts, content=content)
        for _ in range(neighbours):
            self.lose(
                name,
                SYSTEM,
                FIRST_SESSION + next(self._ids),
                outcome=RunOutcome.ENDED_GIVING,
                gave_for_s=LONG_GIVING_S,
            )
        self.wait(0.2)

    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.at += seconds

    def judge(self) -> int | None:
        """Return the part that is found to be at fault after all nodes have reported."""
        self.parts.suspects()
        self.wait(SERVED_REPORT_DELAY_S + 0.1)
        evidence = self.parts.find_culprit()
        return None if evidence is None else evidence.part


@pytest.fixture
def desk() -> PartsHarness:
    return PartsHarness()


def test_part_of_the_youngest_request_in_each_crash_is_at_fault(desk):
    for _ in range(3):
        assert desk.judge() is None
        desk.crash(SYSTEM, HOT)
    assert desk.judge() == HOT


# Two requests that are repeated make the five crashes after which few more may follow.
@pytest.mark.parametrize(("repeats", "found"), [((2, 2), None), ((4, 1), HOT), ((2, 3), HOT)])
def test_part_of_two_repeated_requests_is_at_fault_after_five_crashes(desk, repeats, found):
    for content, count in enumerate(repeats, start=1):
        for _ in range(count):
            desk.crash(SYSTEM, HOT, content=content)
    desk.parts.note_served([SYSTEM], desk.clock.now())
    desk.parts.count_served(20)
    assert desk.judge() == found


@pytest.mark.parametrize("position", range(3))
def test_place_in_the_prompt_does_not_matter(desk, position):
    prompt = [SYSTEM, SOUND]
    prompt.insert(position, HOT)
    for number in range(5):
        # A sound request with the same parts, but for the hot one, runs at each upstream.
        desk.lose(f"v{number}", SYSTEM, SOUND, outcome=RunOutcome.ENDED_GIVING, gave_for_s=0.5)
        desk.lose(f"v{number}", *prompt)
        for _ in range(NEIGHBOURS):
            desk.lose(f"v{number}", SYSTEM, outcome=RunOutcome.ENDED_GIVING, gave_for_s=0.7)
        desk.wait(0.2)
    assert desk.judge() == HOT


def test_part_of_all_lost_requests_is_not_at_fault(desk):
    for _ in range(12):
        desk.crash(SYSTEM)
    assert desk.judge() is None


def test_part_that_is_served_is_cleared(desk):
    for _ in range(4):
        desk.crash(SYSTEM, HOT)
    desk.parts.note_served([HOT], desk.clock.now())
    assert desk.judge() is None
    desk.crash(SYSTEM, HOT)
    assert desk.judge() is None


def test_report_of_a_served_request_does_not_clear_later_crashes(desk):
    served_at = desk.clock.now()
    for _ in range(4):
        desk.crash(SYSTEM, HOT)
    desk.parts.note_served([HOT], served_at)
    assert desk.judge() == HOT


def test_one_request_in_several_crashes_says_nothing_of_its_parts(desk):
    for _ in range(6):
        desk.crash(SYSTEM, HOT, content=77)
    assert desk.judge() is None


def test_replicas_without_neighbours_need_served_requests(desk):
    """Each lost request has the part, so that only what is served elsewhere tells it apart."""
    desk.parts.note_own_served([SYSTEM, HOT])
    for _ in range(4):
        desk.crash(SYSTEM, HOT, neighbours=0)
    assert desk.judge() is None
    desk.parts.count_served(5)
    desk.parts.note_served([SYSTEM], desk.clock.now())
    assert desk.judge() == HOT


def test_part_that_was_served_before_needs_more_evidence(desk):
    for _ in range(3):
        desk.crash(SYSTEM, HOT, neighbours=3)
    desk.parts.suspects()
    desk.parts.note_known([HOT])
    assert desk.judge() is None
    for _ in range(3):
        desk.crash(SYSTEM, HOT, neighbours=3)
    assert desk.judge() == HOT


def test_crashes_of_a_held_part_do_not_count_for_others(desk):
    for _ in range(6):
        desk.crash(SYSTEM, SOUND, HOT)
    assert desk.judge() == HOT
    desk.parts.attribute_crashes(HOT)
    assert desk.judge() is None
    assert desk.parts.suspects() == ()


def test_two_hot_parts_are_found_one_after_the_other(desk):
    for _ in range(4):
        desk.crash(SYSTEM, HOT)
        desk.crash(SYSTEM, SOUND)
    first = desk.judge()
    desk.parts.attribute_crashes(first)
    assert {first, desk.judge()} == {HOT, SOUND}


def test_upstreams_that_end_at_one_moment_count_once(desk):
    for number in range(8):
        desk.lose(f"u{number}", SYSTEM, HOT)
        for _ in range(NEIGHBOURS):
            session = FIRST_SESSION + number
            desk.lose(f"u{number}", SYSTEM, session, outcome=RunOutcome.ENDED_GIVING, gave_for_s=1)
    assert desk.judge() is None


def test_old_crashes_are_forgotten(desk):
    for _ in range(4):
        desk.crash(SYSTEM, HOT)
    desk.wait(OBSERVATION_RETENTION_S + 1)
    desk.crash(SYSTEM, HOT)
    assert desk.judge() is None


def test_state_is_bounded(desk):
    for _ in range(3):
        for part in range(1000, 1000 + MAX_TRACKED_PARTS + 50):
            desk.lose("u", part)
            desk.wait(0.001)
        desk.wait(5)
    assert len(desk.parts._records) == MAX_TRACKED_PARTS
    assert len(desk.parts.suspects()) <= MAX_SUSPECTS
    for _ in range(MAX_CRASHES_PER_PART + 10):
        desk.crash(HOT, neighbours=0)
    assert len(desk.parts._records[HOT].crashes) == MAX_CRASHES_PER_PART


def test_node_leaves_the_judgement_to_a_coordinator_and_reports_what_it_served():
    node, coordinator = TrackerHarness(), TrackerHarness(seed=2)
    coordinator.clock = node.clock
    coordinator.tracker._clock = coordinator.tracker._parts._clock = node.clock
    for number in range(5):
        node.tracker.note_coordinator(node.clock.now())
        node.tracker.note_end(
            100 + number, upstream(f"u{number}"), RunOutcome.ENDED_BEGUN, (SYSTEM, HOT)
        )
        for other in range(NEIGHBOURS):
            node.tracker.note_end(
                200 + 10 * number + other,
                upstream(f"u{number}"),
                RunOutcome.ENDED_GIVING,
                (SYSTEM,),
                LONG_GIVING_S,
            )
        coordinator.tracker.merge_observations(node.tracker.own_observations(False))
        node.wait(0.2)
    assert HOT in coordinator.tracker.suspects()
    node.tracker.merge_suspects(coordinator.tracker.suspects())
    node.wait(SERVED_REPORT_DELAY_S)
    coordinator.tracker.held()
    node.wait(SERVED_REPORT_DELAY_S)
    assert [held.content for held in coordinator.tracker.held()] == [HOT]
    assert not node.tracker.is_held(HOT)
    node.tracker.note_served(999, upstream("w"), (SYSTEM, 5))
    told = node.tracker.own_observations(False)[-1]
    assert (told.outcome, told.parts) == (RunOutcome.SERVED, (SYSTEM,))
    assert node.tracker.known_suspects() == (SYSTEM,)
