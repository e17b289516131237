"""Fields that several messages between a node and the coordinator have in common."""

from __future__ import annotations

from pathlib import Path

import capnp

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.lease import Successor
from mulleinreach.gateway.state.limits import NamedLimit
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.permits import PermitCount

MAX_UINT16 = 65_535
MAX_UINT32 = 4_294_967_295
# In words of 8 bytes, six times the list of 2,840 hosts. Bounds the time to read a message with a
# corrupted list length, which blocked a node for 40 s.
MAX_TRAVERSAL_WORDS = 524_288

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))


def read_message(schema, data: bytes):
    """Return a lazily decoded message with a bounded traversal."""
    return schema.from_bytes_packed(data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS)


def to_milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds, within the range of a UInt32."""
    return max(0, int(min(seconds * 1000, MAX_UINT32)))


def pack_loads(message, loads: list[LoadReport]) -> None:
    """Write the loads of upstreams into a message."""
    rows = message.init("loads", len(loads))
    for row, load in zip(rows, loads, strict=True):
        row.upstream = load.upstream_id
        row.running = min(load.running, MAX_UINT16)
        row.pendingTokens = min(load.pending_tokens, MAX_UINT32)
        row.silentMs = to_milliseconds(load.silent_s)
        row.oldestMs = to_milliseconds(load.oldest_s)
        row.standingBack = min(load.standing_back, MAX_UINT16)
        row.fixed = min(load.fixed, MAX_UINT16)


def unpack_loads(rows) -> list[LoadReport]:
    """Return the loads of upstreams in a message."""
    return [
        LoadReport(
            row.upstream,
            row.running,
            row.pendingTokens,
            row.silentMs / 1000,
            row.oldestMs / 1000,
            row.standingBack,
            row.fixed,
        )
        for row in rows
    ]


def pack_limits(message, limits: tuple[NamedLimit, ...]) -> None:
    """Write the rate limits of upstreams into a message."""
    rows = message.init("limits", len(limits))
    for row, limit in zip(rows, limits, strict=True):
        row.upstream, row.perS = limit.upstream_id, limit.per_s
        row.agoMs = to_milliseconds(limit.age_s)


def unpack_limits(rows) -> tuple[NamedLimit, ...]:
    """Return limits; raises :class:`ValueError` if one is negative or not a number."""
    limits = tuple(NamedLimit(row.upstream, row.perS, row.agoMs / 1000) for row in rows)
    if not all(limit.per_s >= 0 for limit in limits):
        raise ValueError("limit is negative or not a number")
    return limits


def pack_permits(rows, permits: tuple[PermitCount, ...]) -> None:
    """Write numbers of permits into rows, of which there are as many."""
    for row, permit in zip(rows, permits, strict=True):
        row.upstream, row.count = permit.upstream_id, min(permit.count, MAX_UINT16)


def unpack_permits(rows) -> tuple[PermitCount, ...]:
    """Return numbers of permits."""
    return tuple(PermitCount(row.upstream, row.count) for row in rows)


def unpack_addresses(rows) -> tuple[Address, ...]:
    """Return addresses; raises :class:`ValueError` if one is malformed."""
    return tuple(Address.parse(row) for row in rows)


def pack_successor(row, successor: Successor | None) -> None:
    """Write a holder of the lease, if there is one."""
    if successor is not None:
        row.token, row.address = successor.token, successor.address
        row.secret = successor.secret


def unpack_successor(row) -> Successor | None:
    """Return a holder of the lease, ``None`` if none is given."""
    return Successor(row.token, row.address, row.secret) if row.token else None


def checked_share(share: float) -> float:
    """Return a share; raises :class:`ValueError` if it isn't a fraction."""
    if not 0 <= share <= 1:
        raise ValueError(f"share {share} is not between 0 and 1")
    return share
