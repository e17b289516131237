"""Proof that the checks of the soak find what they look for."""

import pytest

from mulleinreach.platform.tests.soak.callers import SentRequest, ToldNotice
from mulleinreach.platform.tests.soak.notices import Arrival, Limited, Rest, Run
from mulleinreach.platform.tests.soak.plain import PlainRun
from mulleinreach.platform.tests.soak.records import (
    Disturbance,
    Evacuation,
    Leaving,
    Revocation,
)
from mulleinreach.platform.tests.soak_checks_support import find_broken, make_soak
from mulleinreach.standins.gateway.standings import ColdStart


def test_second_run_of_an_order_is_found():
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(0.0, "key-1")
    soak.callers.orders.add("r")
    world.plain.runs += [PlainRun("r", "soak", "desk-0"), PlainRun("r", "soak", "desk-1")]
    assert find_broken(soak) == ["r ran 2 times"]


# 100 requests allow 20 retries and the slack.
@pytest.mark.parametrize(("retries", "is_found"), [(156, False), (157, True)])
def test_retries_above_the_bound_are_found(retries, is_found):
    soak, world = make_soak()
    for number in range(100):
        soak.callers.sent[f"r{number}"] = SentRequest(101.0, "key-1", "gateway-0", "models")
    world.notices.arrivals += [Arrival("desk-0", "r0", 102.0)] * (retries + 1)
    assert bool(find_broken(soak)) is is_found


# Three requests may exceed the two attempts of their route.
@pytest.mark.parametrize(("requests", "is_found"), [(3, False), (4, True)])
def test_requests_that_run_on_too_many_hosts_are_found(requests, is_found):
    soak, world = make_soak()
    for number in range(requests):
        world.host_runs += [Run(f"r{number}", host) for host in ("host-1", "host-2", "host-3")]
    world.host_runs += [Run("again-at-one-host", "host-1")] * 3
    assert bool(find_broken(soak)) is is_found


# Of sends that announce too much time twenty are allowed, and a fifth of those that can be told.
@pytest.mark.parametrize(
    ("remaining_s", "sends", "is_found"),
    [(None, 20, False), (None, 21, True), (6.6, 21, True), (6.4, 21, False)],
)
def test_sends_that_announce_too_much_time_are_found(remaining_s, sends, is_found):
    soak, world = make_soak()
    for number in range(sends):
        soak.callers.sent[f"r{number}"] = SentRequest(101.0, "key-1", "gateway-0", "models")
        world.notices.arrivals.append(Arrival("desk-0", f"r{number}", 101.1, remaining_s))
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(("again_s", "is_found"), [(4.0, False), (5.0, True)])
def test_sends_that_end_later_again_are_found(again_s, is_found):
    soak, world = make_soak()
    for number in range(21):
        soak.callers.sent[f"r{number}"] = SentRequest(101.0, "key-1", "gateway-0", "models")
        world.notices.arrivals += [
            Arrival("desk-0", f"r{number}", 101.1, 5.9),
            Arrival("desk-1", f"r{number}", 103.3, again_s),
        ]
    assert bool(find_broken(soak)) is is_found


def send_fatally(soak, world, fatal, at, count):
    """Let so many requests of a fatal kind be sent by a gateway and arrive at a moment."""
    for number in range(count):
        soak.callers.sent[f"r{number}"] = SentRequest(at, "key-1", "gateway-0", "models")
        fatal.add(f"r{number}")
        world.notices.arrivals.append(Arrival("host-1", f"r{number}", at))


# Three may arrive later than 3 s after the third crash.
@pytest.mark.parametrize(
    ("at", "count", "is_found"), [(5.9, 9, False), (6.1, 3, False), (6.1, 4, True)]
)
def test_late_arrivals_of_a_crashing_request_are_found(at, count, is_found):
    soak, world = make_soak()
    world.domain_crashes += [1.0, 2.0, 3.0, 4.0]
    send_fatally(soak, world, soak.callers.fatal, at, count)
    assert bool(find_broken(soak)) is is_found


# Three may arrive later than 3 s after the fifth crash.
@pytest.mark.parametrize(
    ("at", "count", "is_found"), [(7.9, 9, False), (8.1, 3, False), (8.1, 4, True)]
)
def test_late_arrivals_with_a_crashing_part_are_found(at, count, is_found):
    soak, world = make_soak()
    world.domain_crashes += [1.0, 2.0, 3.0, 4.0, 5.0, 6.0]
    send_fatally(soak, world, soak.callers.fatal_by_part, at, count)
    assert bool(find_broken(soak)) is is_found


# A gateway that was ended or frozen, or a store that was away, within 3 s before the send.
@pytest.mark.parametrize(
    ("terminated_at", "disturbance", "is_found"),
    [
        ([], None, True),
        ([91.0], None, False),
        ([], Disturbance("gateway-0", 100.0, 118.0), False),
        ([], Disturbance("gateway-0", 100.0, 116.0), True),
        ([], Disturbance("gateway-1", 100.0, 118.0), True),
        ([], Disturbance(None, 100.0, 118.0), False),
    ],
)
def test_only_gateways_out_of_touch_are_excused_for_a_crashing_part(
    terminated_at, disturbance, is_found
):
    soak, world = make_soak()
    world.domain_crashes += [101.0, 102.0, 103.0, 104.0, 105.0]
    world.gateways[0].terminated_at += terminated_at
    world.disturbances += [] if disturbance is None else [disturbance]
    send_fatally(soak, world, soak.callers.fatal_by_part, at=120.0, count=4)
    assert bool(find_broken(soak)) is is_found


# A send that ends late counts once among those that can be told: 21 of 100 are over a fifth.
@pytest.mark.parametrize(("late", "is_found"), [(20, False), (21, True)])
def test_part_of_sends_that_end_later_again_is_found(late, is_found):
    soak, world = make_soak()
    for number in range(100):
        soak.callers.sent[f"r{number}"] = SentRequest(101.0, "key-1", "gateway-0", "models")
        again = Arrival("desk-1", f"r{number}", 103.3, 5.0 if number < late else 3.0)
        world.notices.arrivals += [Arrival("desk-0", f"r{number}", 101.1, 5.9), again]
    assert bool(find_broken(soak)) is is_found


def test_run_of_a_request_told_as_not_run_is_found():
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(0.0, "key-1")
    soak.callers.orders.add("r")
    soak.callers.not_run.add("r")
    world.plain.runs.append(PlainRun("r", "soak", "desk-0"))
    assert find_broken(soak) == ["r was told as not run, and ran"]


def test_run_with_a_key_long_taken_away_is_found():
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(106.0, "key-2")
    world.revocations.append(Revocation("key-2", since=100.0))
    world.plain.runs.append(PlainRun("r", "soak", "desk-0"))
    assert find_broken(soak) == ["r ran 6.0 s after its key went"]


@pytest.mark.parametrize(("started_at", "is_found"), [(106.9, True), (107.1, False)])
def test_run_counts_by_whether_its_key_was_back_when_it_started(started_at, is_found):
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(106.0, "key-2")
    world.revocations.append(Revocation("key-2", since=100.0, until=107.0))
    world.plain.runs.append(PlainRun("r", "soak", "desk-0", started_at))
    assert bool(find_broken(soak)) is is_found


def test_run_that_nobody_asked_for_is_found():
    soak, world = make_soak()
    world.plain.runs.append(PlainRun("x", "soak", "desk-0"))
    assert len(find_broken(soak)) == 1


def test_stream_with_a_gap_and_a_wrong_answer_are_found():
    soak, _ = make_soak()
    soak.callers.check_answer("stream", "r", "15", "id: 1\n\nid: 3\n\n")
    soak.callers.check_answer("order", "r", "tins r", "q tins q")
    assert len(soak.report.broken) == 2


@pytest.mark.parametrize(
    ("desk", "started_at", "is_found"),
    [
        ("desk-0", 102.9, False),
        ("desk-0", 103.1, True),
        ("desk-0", 110.1, False),
        ("desk-1", 103.1, False),
    ],
)
def test_start_in_a_hall_long_evacuated_is_found(desk, started_at, is_found):
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(102.0, "key-1", "gateway-0")
    world.evacuations.append(Evacuation("hall-a", since=100.0, until=110.0))
    world.plain.runs.append(PlainRun("r", "soak", desk, started_at))
    assert bool(find_broken(soak)) is is_found


def test_start_at_a_host_of_a_hall_long_evacuated_is_found():
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(102.0, "key-1", "gateway-0")
    world.evacuations.append(Evacuation("hall-a", since=100.0))
    checks = world.fabric.checks
    checks.runs["r"], checks.started_at["r"] = ["host-1"], [103.5]
    found = "r of gateway-0 started at host-1 3.50 s after hall-a was evacuated"
    assert find_broken(soak) == [found]


@pytest.mark.parametrize(
    ("gateway", "until", "is_found"),
    [
        ("gateway-0", 100.1, False),
        (None, 100.1, False),
        ("gateway-0", 98.9, True),
        ("gateway-1", 100.1, True),
    ],
)
def test_only_a_gateway_out_of_touch_is_excused(gateway, until, is_found):
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(102.0, "key-1", "gateway-0")
    world.evacuations.append(Evacuation("hall-a", since=100.0))
    world.disturbances.append(Disturbance(gateway, since=98.0, until=until))
    world.plain.runs.append(PlainRun("r", "soak", "desk-0", started_at=103.5))
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(
    ("gap_s", "told_for_s", "is_found"),
    [(0.24, 2.1, True), (0.24, float("inf"), True), (0.26, 2.1, False), (0.24, 1.9, False)],
)
def test_cold_host_with_more_than_it_bears_is_found(gap_s, told_for_s, is_found):
    soak, world = make_soak()
    starts = [ColdStart("host-1", 100.0 + gap_s * n, told_for_s) for n in range(5)]
    world.fabric.checks.cold_starts += starts
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(
    ("told_for_s", "is_found"), [(2.5, False), (5.0, True), (float("inf"), True)]
)
def test_cold_host_is_not_counted_that_told_it_while_the_store_was_down(told_for_s, is_found):
    soak, world = make_soak()
    starts = [ColdStart("host-1", 100.0 + 0.1 * n, told_for_s) for n in range(5)]
    world.fabric.checks.cold_starts += starts
    world.disturbances.append(Disturbance(None, since=98.0, until=99.0))
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(
    ("first_s", "count", "is_found"), [(0.6, 3, True), (0.6, 2, False), (0.1, 3, False)]
)
def test_requests_within_a_rest_are_found(first_s, count, is_found):
    soak, world = make_soak()
    world.notices.rests.append(Rest("desk-0", "r", 100.0, 3.0))
    for number in range(count):
        soak.callers.sent[f"r{number}"] = SentRequest(100.0, "key-1", "gateway-0")
        arrival = Arrival("desk-0", f"r{number}", 100.0 + first_s + 0.01 * number)
        world.notices.arrivals.append(arrival)
    soak.callers.sent["r"] = SentRequest(100.0, "key-1", "gateway-0")
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(
    ("reset_at", "started_at", "is_found"),
    [(50.0, 90.0, True), (100.1, 90.0, False), (50.0, 100.5, False)],
)
def test_rest_counts_unless_its_gateway_started_or_its_connection_was_reset(
    reset_at, started_at, is_found
):
    soak, world = make_soak()
    world.resets.append(("desk-0", reset_at))
    world.gateways[0].started_at.append(started_at)
    world.notices.rests.append(Rest("desk-0", "r", 100.0, 3.0))
    soak.callers.sent["r"] = SentRequest(100.0, "key-1", "gateway-0")
    world.notices.arrivals += [Arrival("desk-0", "r", 101.0)] * 3
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(
    ("gateway", "sent_at", "is_found"),
    [("gateway-0", 102.1, True), ("gateway-0", 101.9, False), ("gateway-1", 102.1, False)],
)
def test_request_to_an_upstream_that_had_said_that_it_leaves_is_found(gateway, sent_at, is_found):
    soak, world = make_soak()
    soak.callers.told_leaving.append(ToldNotice(gateway, "desk-0", 100.0))
    soak.callers.sent["r"] = SentRequest(sent_at, "key-1", "gateway-0")
    world.notices.arrivals.append(Arrival("desk-0", "r", 103.0))
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize(
    ("gateway", "told_at", "count", "is_found"),
    [
        ("gateway-0", 100.5, 12, True),
        ("gateway-0", 100.5, 11, False),
        ("gateway-0", 103.1, 12, False),
        ("gateway-1", 100.5, 12, False),
    ],
)
def test_requests_beyond_a_limit_are_found(gateway, told_at, count, is_found):
    soak, world = make_soak()
    world.notices.limited.append(Limited("desk-0", 1.0, since=100.0))
    soak.callers.told_limits.append(ToldNotice(gateway, "desk-0", told_at))
    for number in range(count):
        soak.callers.sent[f"r{number}"] = SentRequest(100.0, "key-1", "gateway-0")
        world.notices.arrivals.append(Arrival("desk-0", f"r{number}", 103.1 + 0.3 * number))
    assert bool(find_broken(soak)) is is_found


def test_gateway_that_was_frozen_since_it_knew_of_a_limit_is_excused():
    soak, world = make_soak()
    world.notices.limited.append(Limited("desk-0", 1.0, since=100.0))
    soak.callers.told_limits.append(ToldNotice("gateway-0", "desk-0", 100.5))
    world.disturbances.append(Disturbance("gateway-0", since=101.0, until=102.0))
    soak.callers.sent["r"] = SentRequest(100.0, "key-1", "gateway-0")
    world.notices.arrivals += [Arrival("desk-0", "r", 103.5)] * 20
    assert find_broken(soak) == []


@pytest.mark.parametrize(
    ("sent_at", "disturbed_at", "is_broken"),
    [(101.9, None, False), (102.1, None, True), (102.1, 101.0, False), (110.0, 101.0, True)],
)
def test_start_at_an_upstream_whose_row_told_that_it_leaves_is_found(
    sent_at, disturbed_at, is_broken
):
    soak, world = make_soak()
    soak.callers.sent["r"] = SentRequest(sent_at, "key-1", "gateway-0")
    world.plain.runs.append(PlainRun("r", "soak", "desk-0", sent_at))
    world.leavings.append(Leaving("desk-0", 100.0))
    if disturbed_at is not None:
        world.disturbances.append(Disturbance(None, disturbed_at, disturbed_at + 0.5))
    assert bool(find_broken(soak)) == is_broken
