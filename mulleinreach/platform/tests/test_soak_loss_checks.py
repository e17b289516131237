"""Proof that the soak finds requests that are lost, and streams that are broken off."""

import pytest

from mulleinreach.platform.tests.soak.callers import CallerRequest, SentRequest, Unanswered
from mulleinreach.platform.tests.soak.kinds import SoakKinds
from mulleinreach.platform.tests.soak.notices import Arrival
from mulleinreach.platform.tests.soak.records import Disturbance, Leaving
from mulleinreach.platform.tests.soak_checks_support import find_broken, make_soak
from mulleinreach.standins.gateway.standings import BrokenRun

STOPPED_AT = 100.0


def note_unanswered(soak, world, sent_at, ended_at, has_arrived=False, has_part=False):
    """Let a request, sent in one piece, end without an answer."""
    request = CallerRequest("r", "order", world.gateways[0], "/order/1", {}, "tins r", 6.0)
    soak.callers.sent["r"] = SentRequest(sent_at, "key-1", "gateway-0")
    soak.callers.unanswered.append(Unanswered(request, sent_at, sent_at, ended_at, has_part))
    if has_arrived:
        world.notices.arrivals.append(Arrival("desk-0", "r", sent_at + 0.1))


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "has_arrived", "is_found"),
    [
        # Read, and closed without an answer.
        (102.9, 107.2, False, True),
        (103.1, 107.2, True, True),
        # The connection's end crossed the request.
        (102.9, 103.0, False, False),
        # Passed on just before the connection's end.
        (102.9, 103.0, True, True),
        # Its upstream was still at work near the end of the grace.
        (102.9, 106.7, True, False),
        (102.9, 106.6, True, True),
        # Its time was over.
        (101.0, 107.1, True, False),
    ],
)
def test_request_that_a_planned_stop_loses_is_found(sent_at, ended_at, has_arrived, is_found):
    soak, world = make_soak()
    world.gateways[0].terminated_at.append(STOPPED_AT)
    note_unanswered(soak, world, sent_at, ended_at, has_arrived)
    assert bool(find_broken(soak)) is is_found


# Near a changed configuration a stop excuses no request that has much of its time left.
@pytest.mark.parametrize(
    ("sent_at", "configured_at", "is_found"),
    [(102.9, 105.0, True), (102.4, 105.0, False), (102.9, 103.6, False), (102.9, 106.8, False)],
)
def test_request_that_a_stop_cuts_near_a_configuration_is_found(sent_at, configured_at, is_found):
    soak, world = make_soak()
    world.gateways[0].terminated_at.append(STOPPED_AT)
    world.configured_at.append(configured_at)
    note_unanswered(soak, world, sent_at, 106.7, has_arrived=True)
    assert bool(find_broken(soak)) is is_found


def add_broken_run(world, would_end_at, leaving_since=None):
    """Let a group break a run off, one of whose members may have announced its end."""
    if leaving_since is not None:
        world.leavings.append(Leaving("host-2", leaving_since))
    run = BrokenRun("r", ("host-1", "host-2"), 100.0, 103.0, would_end_at)
    world.fabric.checks.broken_runs.append(run)


@pytest.mark.parametrize(
    ("would_end_at", "leaving_since", "is_found"),
    [(104.0, None, True), (104.0, 95.0, True), (105.1, 95.0, False), (104.0, 93.0, False)],
)
def test_run_that_is_broken_off_while_its_group_lasts_is_found(
    would_end_at, leaving_since, is_found
):
    soak, world = make_soak(SoakKinds(processes=False, releases=True))
    add_broken_run(world, would_end_at, leaving_since)
    assert bool(find_broken(soak)) is is_found


@pytest.mark.parametrize("disturbed", ["gateway-0", None])
def test_loss_beside_a_disturbance_is_excused(disturbed):
    soak, world = make_soak()
    world.gateways[0].terminated_at.append(STOPPED_AT)
    world.disturbances.append(Disturbance(disturbed, 101.0, 102.0))
    note_unanswered(soak, world, 102.9, 107.2)
    assert find_broken(soak) == []


def test_loss_at_a_gateway_that_was_killed_is_excused():
    soak, world = make_soak()
    world.gateways[0].terminated_at.append(STOPPED_AT)
    world.gateways[0].killed_at.append(107.1)
    note_unanswered(soak, world, 102.9, 107.2)
    assert find_broken(soak) == []


# A process that listens and hasn't started yet has read nothing.
@pytest.mark.parametrize("has_started", [False, True])
def test_loss_at_a_gateway_that_was_stopped_before_it_started_is_excused(has_started):
    soak, world = make_soak()
    world.gateways[0].terminated_at.append(STOPPED_AT)
    if not has_started:
        world.gateways[0].terminated_unstarted_at.append(STOPPED_AT)
    note_unanswered(soak, world, 102.9, 107.2)
    assert bool(find_broken(soak)) is has_started


# The clause on connections that end without planned work is on more than three.
@pytest.mark.parametrize(("lost", "is_found"), [(3, False), (4, True)])
def test_requests_lost_without_planned_work_are_found(lost, is_found):
    soak, world = make_soak()
    for _ in range(lost):
        note_unanswered(soak, world, 100.0, 101.0, has_arrived=True)
    assert bool(find_broken(soak)) is is_found


# A host may have broken a stream off, unless all of them are sound.
@pytest.mark.parametrize("is_sound", [False, True])
def test_stream_that_breaks_off_is_found_where_upstreams_are_sound(is_sound):
    soak, world = make_soak()
    soak._loss_checks._keeps_streams_whole = is_sound
    world.gateways[0].terminated_at.append(STOPPED_AT)
    note_unanswered(soak, world, 103.1, 104.0, has_arrived=True, has_part=True)
    assert bool(find_broken(soak)) is is_sound
