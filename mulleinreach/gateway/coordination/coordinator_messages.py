"""Cap'n Proto encoding of the coordinator's report to a node."""

from __future__ import annotations

import capnp

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.frames import PeerError
from mulleinreach.gateway.coordination.lease import Resignation
from mulleinreach.gateway.coordination.list_messages import PackedChanges, unpack_change
from mulleinreach.gateway.coordination.message_fields import (
    MAX_UINT16,
    SCHEMA,
    checked_share,
    pack_limits,
    pack_loads,
    pack_permits,
    pack_successor,
    read_message,
    to_milliseconds,
    unpack_addresses,
    unpack_limits,
    unpack_loads,
    unpack_permits,
    unpack_successor,
)
from mulleinreach.gateway.coordination.reports import CoordinatorReport, OpenHead, Totals
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.state.crashes import held_contents
from mulleinreach.gateway.state.leased_share import ShareLease
from mulleinreach.gateway.state.permits import PermitCount


def encode_totals(totals: Totals) -> bytes:
    """Return the encoded totals, which are embedded in the report to each node."""
    message = SCHEMA.Totals.new_message(
        token=totals.token,
        nodes=totals.nodes,
        hasHeads=totals.heads is not None,
        configVersion=totals.configuration_version,
        configAgeMs=to_milliseconds(totals.configuration_age_s),
        listRevision=totals.list_revision,
        listAgeMs=to_milliseconds(totals.list_age_s),
        storeAway=totals.is_store_unavailable,
        keepsRemoved=totals.keeps_removed,
        operatorRevision=totals.operator_revision,
        numbers=min(totals.numbers, MAX_UINT16),
    )
    if totals.resignation is not None:
        message.resigned = True
        message.renewal = totals.resignation.renewal
    pack_loads(message, totals.loads)
    pack_successor(message.successor, totals.successor)
    heads = totals.heads or []
    rows = message.init("heads", len(heads))
    for row, head in zip(rows, heads, strict=True):
        row.upstream, row.group = head.upstream_id, head.group
        row.epoch, row.model, row.pace = head.epoch, head.model, head.pace
    message.lost = totals.lost
    message.retiring = totals.retiring
    message.vacating = totals.vacating
    message.evacuated = totals.evacuated
    message.hasHeld = totals.held is not None
    held = totals.held or ()
    message.held = [h.content for h in held]
    message.heldForMs = [to_milliseconds(h.remaining_s) for h in held]
    message.hasLimits = totals.limits is not None
    pack_limits(message, totals.limits or ())
    message.hasSuspects = totals.suspects is not None
    message.suspects = totals.suspects or ()
    return message.to_bytes_packed()


def _decode_totals(data: bytes) -> Totals:
    message = read_message(SCHEMA.Totals, data)
    heads = None
    if message.hasHeads:
        heads = [OpenHead(h.upstream, h.group, h.epoch, h.model, h.pace) for h in message.heads]
    return Totals(
        message.token,
        message.nodes,
        unpack_loads(message.loads),
        heads,
        list(message.lost),
        message.configVersion,
        message.configAgeMs / 1000,
        message.listRevision,
        message.listAgeMs / 1000,
        Resignation(message.token, message.renewal) if message.resigned else None,
        list(message.retiring),
        message.storeAway,
        unpack_successor(message.successor),
        message.keepsRemoved,
        list(message.evacuated),
        message.operatorRevision,
        message.numbers,
        _unpack_held(message) if message.hasHeld else None,
        unpack_limits(message.limits) if message.hasLimits else None,
        tuple(message.suspects) if message.hasSuspects else None,
        list(message.vacating),
    )


def _unpack_held(message) -> tuple[HeldContent, ...]:
    """Return the held requests; earlier releases don't send the remaining times."""
    times_s = [ms / 1000 for ms in message.heldForMs]
    return held_contents(message.held, times_s)


def encode_coordinator_report(
    echoed_seq: int,
    totals: bytes,
    changes: PackedChanges,
    is_list_unknown: bool,
    configuration: bytes = b"",
    whole_list: bytes = b"",
    number: int = 0,
    permits: tuple[PermitCount, ...] = (),
    tunnel_servers: tuple[Address, ...] | None = None,
    share: ShareLease | None = None,
) -> bytes:
    """Return the encoded report to one node, given what many nodes get in encoded form.

    Examples
    ========

    >>> from mulleinreach.gateway.coordination.lease import Successor
    >>> from mulleinreach.gateway.coordination.list_messages import encode_list, pack_changes
    >>> from mulleinreach.gateway.state.limits import NamedLimit
    >>> from mulleinreach.gateway.state.upstreams import ListChange
    >>> from mulleinreach.gateway.upstream import Membership, MemberState, Upstream
    >>> heads = [OpenHead("u", "g", 5, "m", 2.0)]
    >>> totals = Totals(
    ...     3, 9, [], heads, ["v"], 7, 0.5, 40, 0.25, Resignation(3, 6), ["w"], True,
    ...     Successor(4, "10.0.0.2:80", "secret"), False, ["hall"], 38, 9,
    ...     (HeldContent(2**64 - 1, 60.0),), (NamedLimit("u", float("inf"), 1.5),), (7,),
    ... )
    >>> member = Membership("g", 5, 0, MemberState.OPEN)
    >>> upstream = Upstream("u", "s", Address("10.0.0.1", 80), "hall", membership=member, cold_s=2)
    >>> changes = [ListChange(41, [upstream], ["w"])]
    >>> data = encode_coordinator_report(
    ...     8, encode_totals(totals), pack_changes(changes), False, b"c",
    ...     encode_list(changes[0]), 5,
    ...     (PermitCount("u", 2),), (Address("10.0.0.3", 81),), ShareLease(0.25, 7),
    ... )
    >>> permits, servers = (PermitCount("u", 2),), (Address("10.0.0.3", 81),)
    >>> report = CoordinatorReport(
    ...     8, totals, changes, False, b"c", changes[0], 5, permits, servers, ShareLease(0.25, 7)
    ... )
    >>> decode_coordinator_report(data) == report
    True
    """
    message = SCHEMA.CoordinatorReport.new_message(
        echoedSeq=echoed_seq,
        totals=totals,
        listUnknown=is_list_unknown,
        configuration=configuration,
        wholeList=whole_list,
        number=number,
        hasTunnelServers=tunnel_servers is not None,
        tunnelServers=[str(address) for address in tunnel_servers or ()],
        hasShare=share is not None,
        share=share.fraction if share else 0.0,
        shareNumber=share.number if share else 0,
    )
    pack_permits(message.init("permits", len(permits)), permits)
    changes.copy_to(message)
    return message.to_bytes_packed()


def _unpack_share(message) -> ShareLease:
    return ShareLease(checked_share(message.share), message.shareNumber)


def decode_coordinator_report(data: bytes) -> CoordinatorReport:
    """Return the coordinator's report decoded from ``data``.

    Raises
    ======

    PeerError : if ``data`` is malformed.
    """
    try:
        message = read_message(SCHEMA.CoordinatorReport, data)
        changes = [unpack_change(row) for row in message.changes]
        whole_list = None
        if message.wholeList:
            packed = read_message(SCHEMA.ListChange, message.wholeList)
            whole_list = unpack_change(packed)
        totals = _decode_totals(message.totals)
        return CoordinatorReport(
            message.echoedSeq,
            totals,
            changes,
            message.listUnknown,
            message.configuration,
            whole_list,
            message.number,
            unpack_permits(message.permits),
            unpack_addresses(message.tunnelServers) if message.hasTunnelServers else None,
            _unpack_share(message) if message.hasShare else None,
        )
    except (capnp.KjException, ValueError) as error:
        raise PeerError(str(error)) from error
