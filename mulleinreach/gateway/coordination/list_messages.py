"""Cap'n Proto encoding of the upstream list and of its changes."""

from __future__ import annotations

import operator
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.message_fields import MAX_UINT16, SCHEMA, to_milliseconds
from mulleinreach.gateway.state.upstreams import ListChange
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream, UpstreamState

# Nodes that have just connected lack other changes than those that were told in the round before.
MAX_PACKED_SERIES = 8


def encode_list(change: ListChange) -> bytes:
    """Return the encoded upstream list, which is embedded in reports."""
    message = SCHEMA.ListChange.new_message()
    pack_change(message, change)
    return message.to_bytes_packed()


@dataclass(frozen=True)
class PackedChanges:
    """Changes of the upstream list, packed once for the reports to many nodes."""

    changes: tuple[ListChange, ...]
    _message: object

    def copy_to(self, report) -> None:
        """Write the changes into a coordinator's report."""
        report.changes = self._message.changes

    def holds(self, changes: Sequence[ListChange]) -> bool:
        """Whether these are the packed changes, by identity."""
        return len(changes) == len(self.changes) and all(map(operator.is_, changes, self.changes))


def pack_changes(changes: Sequence[ListChange]) -> PackedChanges:
    """Pack changes of the upstream list.

    Examples
    ========

    >>> change = ListChange(7, [], ["u"])
    >>> pack_changes([change]).holds([change]), pack_changes([]).holds([change])
    (True, False)
    """
    message = SCHEMA.CoordinatorReport.new_message()
    rows = message.init("changes", len(changes))
    for row, change in zip(rows, changes, strict=True):
        pack_change(row, change)
    return PackedChanges(tuple(changes), message)


class ChangePacker:
    """Packs changes for a round of reports, in which most nodes lack the same ones."""

    def __init__(self) -> None:
        self._latest: deque[PackedChanges] = deque(maxlen=MAX_PACKED_SERIES)

    def pack(self, changes: Sequence[ListChange]) -> PackedChanges:
        """Return the packed changes; those packed lately aren't packed again."""
        for packed in self._latest:
            if packed.holds(changes):
                return packed
        packed = pack_changes(changes)
        self._latest.append(packed)
        return packed


def pack_change(row, change: ListChange) -> None:
    """Write a change of the upstream list."""
    row.revision = change.revision
    row.removed = change.removed
    packed = row.init("upstreams", len(change.upstreams))
    for target, upstream in zip(packed, change.upstreams, strict=True):
        _pack_upstream(target, upstream)


def unpack_change(row) -> ListChange:
    """Return a change of the upstream list."""
    upstreams = [_unpack_upstream(upstream) for upstream in row.upstreams]
    return ListChange(row.revision, upstreams, list(row.removed))


def _pack_upstream(row, upstream: Upstream) -> None:
    row.id, row.service = upstream.id, upstream.service
    row.address, row.hall = str(upstream.address), upstream.hall
    row.draining = upstream.state is UpstreamState.DRAINING
    row.slots = min(upstream.slots, MAX_UINT16)
    row.models, row.staged = list(upstream.models), list(upstream.staged)
    row.domain = upstream.domain or ""
    row.coldMs = to_milliseconds(upstream.cold_s)
    membership = upstream.membership
    if membership is not None:
        row.group, row.epoch = membership.group, membership.epoch
        row.rank, row.state = membership.rank, str(membership.state)


def _unpack_upstream(row) -> Upstream:
    membership = None
    if row.group:
        membership = Membership(row.group, row.epoch, row.rank, MemberState(row.state))
    return Upstream(
        row.id,
        row.service,
        Address.parse(row.address),
        row.hall,
        UpstreamState.DRAINING if row.draining else UpstreamState.READY,
        row.slots,
        tuple(row.models),
        tuple(row.staged),
        row.domain or None,
        membership,
        cold_s=row.coldMs / 1000,
    )
