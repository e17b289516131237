"""Malformed messages raise only :class:`PeerError`, which closes the connection."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.coordinator_messages import (
    decode_coordinator_report,
    encode_coordinator_report,
    encode_totals,
)
from mulleinreach.gateway.coordination.frames import PeerError
from mulleinreach.gateway.coordination.list_messages import encode_list, pack_changes
from mulleinreach.gateway.coordination.node_messages import decode_node_report, encode_node_report
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
    Totals,
)
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.state.crashes import RunObservation
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.upstream_ends import RunOutcome
from mulleinreach.gateway.state.upstreams import ListChange
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream

SEEN = RunObservation(3, 4, "u", "hall", RunOutcome.ENDED, 0.5)
NODE_REPORT = encode_node_report(
    NodeReport("a", [LoadReport("u", 1, 10, 0.5, 0.5)], seq=4, hall="h", sightings=[SEEN])
)
COORDINATOR_REPORT = encode_coordinator_report(
    8, encode_totals(Totals(3, 9, [], held=(HeldContent(7, 60.0),))), pack_changes([]), False, b"c"
)


def read(decode, data: bytes) -> None:
    """Decode a message; only :class:`PeerError` is expected."""
    try:
        decode(data)
    except PeerError:
        return


@given(data=st.binary(max_size=200))
def test_no_bytes_raise_anything_else(data):
    read(decode_node_report, data)
    read(decode_coordinator_report, data)


@pytest.mark.parametrize(
    ("decode", "sound"),
    [(decode_node_report, NODE_REPORT), (decode_coordinator_report, COORDINATOR_REPORT)],
    ids=["node", "coordinator"],
)
@given(place=st.integers(0, 10_000), byte=st.integers(0, 255))
def test_no_spoilt_byte_raises_anything_else(decode, sound, place, byte):
    place %= len(sound)
    read(decode, sound[:place] + bytes([byte]) + sound[place + 1 :])


def test_observation_with_unknown_outcome_is_refused():
    malformed = NodeReport("a", [], sightings=[RunObservation(3, 4, "u", "hall", 99, 0.5)])
    with pytest.raises(PeerError):
        decode_node_report(encode_node_report(malformed))


def test_list_of_twice_the_maximum_number_of_hosts_is_decoded():
    member = Membership("g1000047.wide", 1_000_047, 3, MemberState.OPEN)
    hosts = [
        Upstream(
            f"i-{number:010x}@1790000000000",
            "models",
            Address("10.1.64.27", 8508),
            "hall-a",
            slots=13,
            models=("wide-model",),
            staged=("wide-model", "narrow-model"),
            domain="hall-a-d0",
            membership=member,
        )
        for number in range(5680)
    ]
    loads = [LoadReport(host.id, 13, 7000, 0.1, 0.9) for host in hosts]
    report = decode_coordinator_report(
        encode_coordinator_report(
            8,
            encode_totals(Totals(3, 350, loads)),
            pack_changes([]),
            False,
            whole_list=encode_list(ListChange(5, hosts, [])),
        )
    )
    assert report.whole_list.upstreams == hosts
    assert len(report.totals.loads) == len(hosts)
