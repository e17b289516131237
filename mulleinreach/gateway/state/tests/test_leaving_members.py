"""Members of groups that are leaving, as the list of upstreams knows them."""

from __future__ import annotations

from dataclasses import replace

from mulleinreach.common import Address
from mulleinreach.gateway.state import upstreams
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream, UpstreamState


# Guards against an error for each request once more upstreams have left than are remembered.
def test_member_whose_announcement_is_remembered_no_more_is_never_due(monkeypatch):
    monkeypatch.setattr(upstreams, "MAX_REMEMBERED_IDS", 1)
    membership = Membership("g", 1, 0, MemberState.OPEN)
    host = Upstream("u", "s", Address("10.0.0.1", 80), "hall", membership=membership)
    host = replace(host, state=UpstreamState.DRAINING)
    directory = UpstreamDirectory()
    directory.replace_all(1, [host], observed_at=0.0)
    directory.mark_leaving("another", observed_at=1.0)
    [member] = directory.draining_members()
    assert member.since == float("inf")
