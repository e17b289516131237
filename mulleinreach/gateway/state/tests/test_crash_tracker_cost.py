"""The cost of merging observations when many upstreams end at once, and the expiry of holds.

Cost is counted in bytecode operations, which don't depend on the machine.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

from mulleinreach.gateway.state.crashes import HOLD_S, CrashTracker, RunObservation
from mulleinreach.gateway.state.tests.test_crashes import CULPRIT, TrackerHarness
from mulleinreach.gateway.state.upstream_ends import RunOutcome

REQUESTS_EACH = 17
FEW_UPSTREAMS, MANY_UPSTREAMS = 6, 48
# Allows for logarithmic growth and for ends in the same hall.
MAX_COST_RATIO = 1.5
# Merging known observations this many times costs at most this share of the first merge.
REPEATS = 10
MAX_REPEAT_COST_RATIO = 0.5
# The coordinator is replaced every half hour for a day.
COORDINATOR_INTERVAL_S = 1800.0
COORDINATORS = 48


def count_operations(act: Callable[[], None]) -> int:
    """Return how many bytecode operations a function executes."""
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
    """Return observations of upstreams in two halls that end with many requests in flight."""
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
    """Return the operations per observation when this many upstreams end at once."""
    tracker: CrashTracker = TrackerHarness().tracker
    observations = make_observations(upstreams)
    return count_operations(lambda: tracker.merge_observations(observations)) / len(observations)


def test_cost_of_an_observation_is_independent_of_their_number():
    assert operations_per_observation(MANY_UPSTREAMS) < MAX_COST_RATIO * operations_per_observation(
        FEW_UPSTREAMS
    )


def test_repeated_observations_are_cheap():
    tracker = TrackerHarness().tracker
    observations = make_observations(MANY_UPSTREAMS)
    first = count_operations(lambda: tracker.merge_observations(observations))
    again = count_operations(
        lambda: [tracker.merge_observations(observations) for _ in range(REPEATS)]
    )
    assert again < MAX_REPEAT_COST_RATIO * first


def test_hold_passed_between_coordinators_keeps_its_expiry():
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


def test_hold_passed_on_before_its_expiry_applies():
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
