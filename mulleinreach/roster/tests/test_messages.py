"""Guards against messages that change when encoded and decoded, and malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinreach.roster import messages
from mulleinreach.roster.messages import (
    ConfigPush,
    Demand,
    Grant,
    Hello,
    HostReport,
    Ping,
    Pong,
    Proof,
    ReplicaReport,
    Withdrawal,
    decode,
    encode,
)

names = st.text(max_size=12)
small = st.integers(0, 65535)
large = st.integers(0, 2**32 - 1)
floats = st.floats(0, 1000, width=32)

reports = st.builds(ReplicaReport, large, st.booleans(), large, small, small, small, small)
hosts = st.builds(HostReport, names, large, names, large, names, names, large, small)
pongs = st.builds(
    Pong,
    large,
    large,
    st.booleans(),
    st.lists(reports, max_size=5),
    st.lists(hosts, max_size=3),
    st.lists(st.builds(Grant, names, floats, small), max_size=3),
    st.booleans(),
    st.lists(names, max_size=3),
)
pings = st.builds(
    Ping, large, large, st.lists(st.builds(Demand, names, floats, floats), max_size=3)
)
others = st.one_of(
    st.builds(Hello, names, names, st.binary(max_size=20)),
    st.builds(Proof, names, st.binary(max_size=40)),
    st.builds(Withdrawal, names, large, names),
    st.builds(ConfigPush, large, names),
)


@given(st.one_of(pongs, pings, others))
def test_a_message_is_read_as_it_was_written(message):
    assert decode(encode(message)) == message


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_a_value_error(data):
    try:
        decode(data)
    except ValueError:
        return


def test_columns_of_different_lengths_are_refused():
    envelope = messages._schema.Envelope.new_message()
    pong = envelope.init("pong")
    columns = pong.init("replicas")
    columns.epoch = [1, 2]
    columns.whole = [True]
    with pytest.raises(ValueError, match="differ in length"):
        decode(envelope.to_bytes_packed())
