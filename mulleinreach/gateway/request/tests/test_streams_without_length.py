"""Streams that end with their connection are complete only if their upstream closed it whole.

Guards against streams that an upstream broke off and that reach their caller as complete.
"""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.bodies import BodyBreak, CloseDelimitedBody
from mulleinreach.standins.gateway.dialect import EXPECT, REQUEST_ID, SIGNATURE
from mulleinreach.standins.gateway.world import MODEL_SERVICE
from mulleinreach.standins.links import Partition

PIECES = 12
LONG_PIECES = 40
ALL_IDS = [str(number) for number in range(1, PIECES + 1)]
# Covers the end of an answer from before its head is handled until its body is being read.
MAX_LOOP_STEPS = 12
# A close between two events can't be told from the end of the stream while its upstream lives.
BREAKS = [
    pytest.param(0, BodyBreak(b""), id="closed before any event"),
    pytest.param(0, BodyBreak(b"id: 1\ndata"), id="closed in the first event"),
    pytest.param(5, BodyBreak(b"id: 6\ndata"), id="closed in an event"),
    pytest.param(0, BodyBreak(b"", is_reset=True), id="reset before any event"),
    pytest.param(0, BodyBreak(b"id: 1\ndata", is_reset=True), id="reset in the first event"),
    pytest.param(5, BodyBreak(b"", is_reset=True), id="reset between events"),
    pytest.param(5, BodyBreak(b"id: 6\ndata", is_reset=True), id="reset in an event"),
]


def set_framing(world, framing: BodyFraming) -> None:
    """Let all hosts frame their streams in one way."""
    for host in world.fabric.hosts.values():
        host.framing = framing


def break_streams(world, events: int, how: BodyBreak, loop_steps: int) -> None:
    """Let all hosts break their streams off after some events."""
    for host in world.fabric.hosts.values():
        host.breaks_after = events
        host.broken_by = BodyBreak(how.torn, how.is_reset, loop_steps)


async def assert_broken_streams_are_cut(world, events: int, how: BodyBreak) -> None:
    """Ask for streams that break, with more and more time between the last event and the end."""
    for loop_steps in range(MAX_LOOP_STEPS):
        break_streams(world, events, how, loop_steps)
        answer = await world.stream(PIECES)
        assert answer.is_cut or answer.status >= 500, f"{loop_steps=}: {answer}"
        assert answer.event_ids == ALL_IDS[: len(answer.event_ids)]


@pytest.mark.parametrize("framing", [BodyFraming.CHUNKED, BodyFraming.CLOSE])
@pytest.mark.parametrize(("events", "how"), BREAKS)
def test_broken_stream_never_looks_complete(framing, events, how):
    async def test(world):
        await world.until_formed()
        set_framing(world, framing)
        await assert_broken_streams_are_cut(world, events, how)

    run_world(test, nodes=1)


@pytest.mark.parametrize(("events", "how"), BREAKS)
def test_broken_stream_through_another_node_never_looks_complete(events, how):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        set_framing(world, BodyFraming.CLOSE)
        world.links.partition("node-0", list(world.fabric.hosts), Partition.REFUSE)
        await assert_broken_streams_are_cut(world, events, how)

    run_world(test, nodes=2)


@pytest.mark.parametrize(("events", "how"), BREAKS)
def test_broken_stream_is_continued_at_another_replica(events, how):
    async def test(world):
        await world.until_formed()
        set_framing(world, BodyFraming.CLOSE)
        heads = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, "large")
        for loop_steps in range(MAX_LOOP_STEPS):
            break_streams(world, events, how, loop_steps)
            for name, host in world.fabric.hosts.items():
                if name != heads[0].upstream.id:
                    host.breaks_after = None
            answer = await world.stream(PIECES)
            assert not answer.is_cut
            assert answer.event_ids == ALL_IDS

    run_world(test, nodes=1)


# Guards against streams that look complete since a replica closed them before it added anything.
def test_stream_that_goes_on_and_closes_before_any_event_never_looks_complete():
    async def test(world):
        await world.until_formed()
        set_framing(world, BodyFraming.CLOSE)
        heads = world.nodes["node-0"].chooser.heads(MODEL_SERVICE, "large")
        for loop_steps in range(MAX_LOOP_STEPS):
            break_streams(world, 0, BodyBreak(b""), loop_steps)
            first = world.fabric.hosts[heads[0].upstream.id]
            first.breaks_after, first.broken_by = 5, BodyBreak(b"", is_reset=True)
            answer = await world.stream(PIECES)
            assert answer.is_cut or answer.status >= 500
            assert answer.event_ids == ALL_IDS[: len(answer.event_ids)]

    run_world(test, nodes=1)


# Guards against streams that reach their callers as complete though the process that wrote them
# ended between two events: the system closes its connections then, without a reset.
@pytest.mark.parametrize("ended_after_s", [0.1, 0.2, 0.3])
def test_stream_of_a_process_that_ended_between_events_goes_on_elsewhere(ended_after_s):
    async def test(world):
        await world.until_formed()
        set_framing(world, BodyFraming.CLOSE)
        world.crashes.closes_connections = True
        call = asyncio.create_task(world.stream(PIECES))
        await asyncio.sleep(ended_after_s)
        (runs,) = world.fabric.checks.runs.values()
        world.crashes.begin(runs[0])
        answer = await call
        assert not answer.is_cut
        assert answer.event_ids == ALL_IDS

    run_world(test, nodes=1)


# Guards against plain answers that are passed on though the process that wrote them ended within.
def test_plain_answer_of_a_process_that_ended_is_asked_for_elsewhere():
    async def test(world):
        world.crashes.closes_connections = True
        ended = []

        async def end(request):
            name = request.headers[EXPECT]
            if ended:
                return await echo_path(request)
            ended.append(name)
            body = CloseDelimitedBody(
                request, {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: name}
            )
            await body.begin()
            await body.write(b"half of")
            await asyncio.sleep(0.05)
            world.crashes.begin(name)
            return body.response

        for number in range(2):
            await world.add_plain(f"desk-{number}", end)
        await asyncio.sleep(0.5)
        answer = await world.call("/stock/1", method="GET")
        assert ended
        assert (answer.status, answer.body) == (200, b"/stock/1")

    run_world(test, nodes=1, domains=0)


# Guards against whole streams that are broken off, or held, since their replica ends as planned.
@pytest.mark.parametrize("is_listed", [False, True])
def test_stream_of_a_replica_that_leaves_is_complete_at_its_end(is_listed):
    async def test(world):
        await world.until_formed()
        set_framing(world, BodyFraming.CLOSE)
        node = world.nodes["node-0"]
        for _ in range(5):
            call = asyncio.create_task(world.stream(LONG_PIECES))
            await asyncio.sleep(0.2)
            head = world.fabric.hosts[list(world.fabric.checks.runs.values())[-1][0]]
            head.drain() if is_listed else head.cut_from_list()
            await asyncio.sleep(0.5)
            world.links.stop_listening(head.id)
            answer = await call
            assert (answer.is_cut, len(answer.event_ids)) == (False, LONG_PIECES)
        assert max(map(len, world.fabric.checks.runs.values())) == 1
        assert not node.crashes.held()

    run_world(test, nodes=1, domains=8)


def test_whole_stream_without_length_is_complete():
    async def test(world):
        await world.until_formed()
        set_framing(world, BodyFraming.CLOSE)
        events = record_events(world.nodes["node-0"])
        answer = await world.stream(PIECES)
        assert not answer.is_cut
        assert answer.event_ids == ALL_IDS
        (line,) = event_fields(events, "request_answered")
        assert (line["framing"], line["reset"], line["sends"]) == ("close", False, 1)

    run_world(test, nodes=1)
