"""Windows of sends that may arrive."""

from __future__ import annotations

import pytest

from mulleinreach.gateway.state.arrivals import MAX_UNREAD_S, MIN_FULL, ArrivalWindow
from mulleinreach.gateway.state.tests.test_crashes import ManualClock

WINDOW_S = 10.0


def test_send_counts_while_it_may_arrive_and_for_a_window_after_it_has():
    clock = ManualClock()
    window = ArrivalWindow(clock, WINDOW_S)
    charge = window.add()
    clock.at += 100
    assert len(window) == 1
    charge.note_arrived()
    clock.at += WINDOW_S - 0.1
    assert len(window) == 1
    clock.at += 0.2
    assert len(window) == 0


@pytest.mark.parametrize(
    ("has_arrived", "counts_s"), [(True, WINDOW_S), (False, WINDOW_S + MAX_UNREAD_S)]
)
def test_send_that_was_left_may_arrive_a_little_later(has_arrived, counts_s):
    clock = ManualClock()
    window = ArrivalWindow(clock, WINDOW_S)
    charge = window.add()
    if has_arrived:
        charge.note_arrived()
    charge.note_abandoned()
    clock.at += counts_s - 0.1
    assert len(window) == 1
    clock.at += 0.2
    assert len(window) == 0


# Guards against a window that nobody asks and that grows with each send.
def test_window_that_is_never_asked_keeps_only_what_may_count():
    clock = ManualClock()
    window = ArrivalWindow(clock, WINDOW_S)
    for _ in range(10_000):
        window.add().note_arrived()
        clock.at += 1.0
    assert len(window._charges) <= MIN_FULL
