"""Nodes notice which upstreams they can't connect to, and when they can't reach any."""

from __future__ import annotations

import pytest

from mulleinreach.common import Address, EventLog, VirtualClock
from mulleinreach.gateway.connectivity.reachability import ReachabilityTracker
from mulleinreach.standins.virtual import run_virtual

LISTED = [Address("10.0.1.1", port) for port in range(9000, 9006)]


def run_tracker(test, listed=LISTED) -> None:
    """Run a test with a tracker on a virtual clock."""

    async def run() -> None:
        clock = VirtualClock()
        test(ReachabilityTracker(lambda: listed, clock, EventLog("node")))

    run_virtual(run())


def test_node_that_connects_to_none_of_several_upstreams_is_isolated():
    def test(tracker):
        for address in LISTED[:2]:
            tracker.note_failed(address)
        assert not tracker.is_isolated
        tracker.note_failed(LISTED[2])
        assert tracker.is_isolated

    run_tracker(test)


def test_node_is_isolated_by_fewer_failures_if_fewer_upstreams_are_listed():
    def test(tracker):
        tracker.note_failed(LISTED[0])
        assert tracker.is_isolated

    run_tracker(test, LISTED[:1])


def test_failures_of_one_upstream_or_beside_successes_isolate_nobody():
    def test(tracker):
        for address in LISTED:
            tracker.note_failed(LISTED[0])
            tracker.note_failed(address)
            tracker.note_connected(LISTED[1])
        assert not tracker.is_isolated
        assert set(tracker.unreachable()) == set(LISTED) - {LISTED[1]}

    run_tracker(test)


def test_one_connection_ends_the_isolation_and_the_doubt_about_the_others():
    def test(tracker):
        for address in LISTED:
            tracker.note_failed(address)
        tracker.note_connected(LISTED[0])
        assert not tracker.is_isolated
        assert tracker.unreachable() == []

    run_tracker(test)


@pytest.mark.parametrize("listed", [LISTED[1:], []])
def test_upstreams_that_left_the_list_are_forgotten(listed):
    listed = list(listed)

    def test(tracker):
        tracker.note_failed(LISTED[0])
        assert tracker.has_failed(LISTED[0])
        assert tracker.unreachable() == []

    run_tracker(test, listed)
