"""Property tests of putting a stream together from attempts that misbehave."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinreach.requests.stream import OrderedStream, StreamError, StreamFault

REQUEST = "r1"
TOKENS = [f"token{number} " for number in range(8)]


def event(position, attempt=1, request=REQUEST, tokens=TOKENS):
    end = position == len(tokens)
    data = "[DONE]" if end else f'{{"choices":[{{"text":"{tokens[position]}"}}]}}'
    return f"id: {request}/{attempt}:{position}\ndata: {data}\n\n".encode()


def whole(attempt=1):
    return b"".join(event(position, attempt) for position in range(len(TOKENS) + 1))


def positions(delivered):
    heads = [e.split(b"\n")[0] for e in delivered.split(b"\n\n") if e]
    return [int(head.rpartition(b":")[2]) for head in heads]


@st.composite
def attempts(draw):
    """Attempts as lists of events: shuffled a little, doubled, lost, of others, cut."""
    made = []
    for number in range(1, draw(st.integers(1, 4)) + 1):
        events = [event(position, number) for position in range(len(TOKENS) + 1)]
        for _ in range(draw(st.integers(0, 4))):
            at = draw(st.integers(0, len(events) - 1))
            kind = draw(st.sampled_from(["double", "lose", "late", "swap"]))
            if kind == "double":
                events.insert(at, events[at])
            elif kind == "lose" and len(events) > 1:
                del events[at]
            elif kind == "late":
                events.insert(at, event(draw(st.integers(0, len(TOKENS))), attempt=99))
            elif kind == "swap" and at > 0:
                events[at - 1], events[at] = events[at], events[at - 1]
        made.append(events[: draw(st.integers(0, len(events)))])
    return made


@given(attempts(), st.integers(1, 40))
def test_only_the_next_position_is_ever_delivered(made, chunk):
    stream = OrderedStream(REQUEST)
    delivered = b""
    for number, events in enumerate(made, 1):
        stream.begin_attempt(number)
        data = b"".join(events)
        for start in range(0, len(data), chunk):
            if not stream.is_done:
                delivered += stream.feed(data[start : start + chunk])
    told = positions(delivered)
    assert told == list(range(len(told)))
    assert stream.is_done == (len(told) == len(TOKENS) + 1)
    assert stream.delivered_text() == "".join(TOKENS[: min(len(told), len(TOKENS))])


@given(attempts())
def test_a_last_good_attempt_always_completes_the_answer(made):
    stream = OrderedStream(REQUEST)
    delivered = b""
    for number, events in enumerate(made, 1):
        stream.begin_attempt(number)
        delivered += stream.feed(b"".join(events)) if not stream.is_done else b""
    stream.begin_attempt(50)
    if not stream.is_done:
        delivered += stream.feed(whole(50))
    assert positions(delivered) == list(range(len(TOKENS) + 1))


def test_another_requests_events_end_the_attempt():
    stream = OrderedStream(REQUEST)
    stream.begin_attempt(1)
    with pytest.raises(StreamError) as raised:
        stream.feed(event(0, request="r2"))
    assert raised.value.fault is StreamFault.OTHER_REQUEST


@pytest.mark.parametrize("garbage", [b"hello\n\n", b"id: r1/1:x\ndata: a\n\n", b"id: r1/1:0\n\n"])
def test_garbage_ends_the_attempt(garbage):
    stream = OrderedStream(REQUEST)
    stream.begin_attempt(1)
    with pytest.raises(StreamError) as raised:
        stream.feed(garbage)
    assert raised.value.fault is StreamFault.GARBAGE


def test_unterminated_event_is_rejected():
    stream = OrderedStream(REQUEST)
    stream.begin_attempt(1)
    with pytest.raises(StreamError):
        for _ in range(100):
            stream.feed(b"x" * 10_000)


def test_text_too_long_to_keep_is_none():
    stream = OrderedStream(REQUEST, max_kept_bytes=100)
    stream.begin_attempt(1)
    stream.feed(whole())
    assert stream.is_done
    assert stream.delivered_text() is None
