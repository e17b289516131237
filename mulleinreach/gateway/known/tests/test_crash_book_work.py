"""What a node's book of ended upstreams costs when many end at once, and how long its holds last.

Work is counted in operations of the interpreter, which are the same on every machine.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

from mulleinreach.gateway.known.crashes import HOLD_S, CrashTracker, RunObservation
from mulleinreach.gateway.known.tests.test_crashes import CULPRIT, TrackerHarness
from mulleinreach.gateway.known.upstream_ends import RunOutcome

REQUESTS_EACH = 17
FEW_UPSTREAMS, MANY_UPSTREAMS = 6, 48
# Some more is allowed for what grows with the logarithm, and for ends of one hall.
MAX_COST_RATIO = 1.5
# The loss of 100 upstreams may take 20 ms, and to be told of it ten times 10 ms more.
REPEATS = 10
MAX_REPEAT_COST_RATIO = 0.5
# Coordinators are replaced each half hour for a day.
COORDINATOR_INTERVAL_S = 1800.0
COORDINATORS = 48


def count_operations(act: Callable[[], None]) -> int:
    """Return how many operations the interpreter carries out."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        act()
    finally:
        sys.settrace(None)
    return count


def make_observations(upstreams: int) -> list[RunObservation]:
    """Return what a node tells when upstreams of two halls end under many requests each."""
    rng = random.Random(upstreams)
    return [
        RunObservation(
            rng.getrandbits(64),
            rng.getrandbits(64),
            f"u{number}",
            "ab"[number % 2],
            RunOutcome.ENDED_BEGUN,
            0.1,
        )
        for number in range(upstreams)
        for _ in range(REQUESTS_EACH)
    ]


def operations_per_observation(upstreams: int) -> float:
    """Return how many operations a sighting takes where so many upstreams end at once."""
    tracker: CrashTracker = TrackerHarness().tracker
    observations = make_observations(upstreams)
    return count_operations(lambda: tracker.take(observations)) / len(observations)


def test_sighting_takes_no_more_work_where_more_is_known():
    assert operations_per_observation(MANY_UPSTREAMS) < MAX_COST_RATIO * operations_per_observation(
        FEW_UPSTREAMS
    )


def test_sightings_that_are_told_again_take_little():
    tracker = TrackerHarness().tracker
    observations = make_observations(MANY_UPSTREAMS)
    first = count_operations(lambda: tracker.take(observations))
    again = count_operations(lambda: [tracker.take(observations) for _ in range(REPEATS)])
    assert again < MAX_REPEAT_COST_RATIO * first


def test_hold_that_is_handed_on_ends_when_it_would_have():
    harness = TrackerHarness()
    for name in ("u1", "u2"):
        harness.end(CULPRIT, name)
    tracker = harness.tracker
    for _ in range(COORDINATORS):
        harness.wait(COORDINATOR_INTERVAL_S)
        later = TrackerHarness(harness.clock).tracker
        later.merge_held(tracker.held())
        tracker = later
        if harness.clock.now() >= 1000.0 + HOLD_S:
            assert not tracker.is_held(CULPRIT)


def test_hold_that_is_handed_on_in_time_counts():
    harness = TrackerHarness()
    for name in ("u1", "u2"):
        harness.end(CULPRIT, name)
    harness.wait(HOLD_S / 2)
    later = TrackerHarness(harness.clock)
    later.tracker.merge_held(harness.tracker.held())
    harness.wait(HOLD_S / 2 - 1)
    assert later.tracker.is_held(CULPRIT)
    harness.wait(2)
    assert not later.tracker.is_held(CULPRIT)
