"""Changes of the list are packed once for all nodes that lack the same ones."""

from __future__ import annotations

import pytest

from mulleinreach.gateway.coordination.coordinator_messages import (
    decode_coordinator_report,
    encode_coordinator_report,
    encode_totals,
)
from mulleinreach.gateway.coordination.list_messages import (
    MAX_PACKED_SERIES,
    ChangePacker,
    pack_changes,
)
from mulleinreach.gateway.coordination.reports import Totals
from mulleinreach.gateway.state.upstreams import ListChange
from mulleinreach.standins.gateway.hosts import make_upstream

TOTALS = encode_totals(Totals(3, 9, []))


def make_change(revision: int, hosts: int = 3) -> ListChange:
    """Return a change that adds some hosts and removes one."""
    upstreams = [make_upstream(f"u-{revision}-{n}", "s", 80, "d") for n in range(hosts)]
    return ListChange(revision, upstreams, ["gone"])


@pytest.mark.parametrize("count", [0, 1, 3])
def test_report_holds_the_changes_it_was_given(count):
    changes = [make_change(revision) for revision in range(5, 5 + count)]
    packed = pack_changes(changes)
    for _ in range(2):
        data = encode_coordinator_report(8, TOTALS, packed, False)
        assert decode_coordinator_report(data).changes == changes


# Guards against work that grows with the nodes times the hosts, which delays all reports.
def test_changes_of_a_round_are_packed_once():
    packer, changes = ChangePacker(), [make_change(5), make_change(6)]
    packed = packer.pack(changes)
    assert all(packer.pack(list(changes)) is packed for _ in range(350))
    assert packer.pack(changes[1:]) is not packed
    assert packer.pack(changes) is packed


def test_other_changes_of_the_same_revision_are_packed_anew():
    packer = ChangePacker()
    first, second = make_change(5, hosts=1), make_change(5, hosts=2)
    packed = packer.pack([first]), packer.pack([second])
    reports = [encode_coordinator_report(8, TOTALS, each, False) for each in packed]
    assert [decode_coordinator_report(r).changes for r in reports] == [[first], [second]]


def test_few_series_are_kept():
    packer = ChangePacker()
    first = make_change(1)
    packed = packer.pack([first])
    for revision in range(2, 2 + MAX_PACKED_SERIES):
        packer.pack([make_change(revision)])
    assert packer.pack([first]) is not packed
