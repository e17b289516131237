"""Cap'n Proto encoding of a node's report to the coordinator."""

from __future__ import annotations

import capnp

from mulleinreach.gateway.coordination.frames import PeerError
from mulleinreach.gateway.coordination.message_fields import (
    MAX_UINT32,
    SCHEMA,
    checked_share,
    pack_limits,
    pack_loads,
    pack_permits,
    pack_successor,
    read_message,
    to_milliseconds,
    unpack_limits,
    unpack_loads,
    unpack_permits,
    unpack_successor,
)
from mulleinreach.gateway.coordination.reports import NodeReport
from mulleinreach.gateway.state.crashes import RunObservation
from mulleinreach.gateway.state.leased_share import HeldShare
from mulleinreach.gateway.state.upstream_ends import RunOutcome


def _pack_sightings(message, sightings: list[RunObservation]) -> None:
    rows = message.init("sightings", len(sightings))
    for row, sighting in zip(rows, sightings, strict=True):
        row.id, row.content = sighting.id, sighting.content
        row.upstream, row.hall = sighting.upstream_id, sighting.hall
        row.outcome, row.agoMs = int(sighting.outcome), to_milliseconds(sighting.ago_s)
        row.parts, row.gaveMs = sighting.parts, to_milliseconds(sighting.gave_for_s)


def _unpack_sightings(rows) -> list[RunObservation]:
    return [
        RunObservation(
            row.id,
            row.content,
            row.upstream,
            row.hall,
            RunOutcome(row.outcome),
            row.agoMs / 1000,
            tuple(row.parts),
            row.gaveMs / 1000,
        )
        for row in rows
    ]


def _unpack_held_share(message) -> HeldShare:
    return HeldShare(
        checked_share(message.heldShare),
        message.shareNumber,
        checked_share(message.usedShare),
        message.shareReleased,
        checked_share(message.wantedShare),
    )


def encode_node_report(report: NodeReport) -> bytes:
    """Return the packed encoding of a node's report."""
    message = SCHEMA.NodeReport.new_message(
        node=report.node,
        stopping=report.is_stopping,
        secret=report.secret,
        seq=report.seq,
        listRevision=report.list_revision,
        configVersion=report.configuration_version,
        hall=report.hall,
        tunnelAddress=report.tunnel_address,
        served=report.served_count & MAX_UINT32,
        knownSuspects=report.known_suspects,
        incarnation=report.incarnation,
        heldShare=report.held_share.fraction,
        shareNumber=report.held_share.number,
        usedShare=report.held_share.used,
        shareReleased=report.held_share.is_released,
        wantedShare=report.held_share.wanted,
    )
    pack_loads(message, report.loads)
    _pack_sightings(message, report.sightings)
    pack_limits(message, report.limits)
    pack_permits(message.init("wanted", len(report.wanted)), report.wanted)
    pack_successor(message.successor, report.successor)
    return message.to_bytes_packed()


def decode_node_report(data: bytes) -> NodeReport:
    """Return a node's report decoded from ``data``.

    Raises
    ======

    PeerError : if ``data`` is malformed.

    Examples
    ========

    >>> from mulleinreach.gateway.coordination.lease import Successor
    >>> from mulleinreach.gateway.state.limits import NamedLimit
    >>> from mulleinreach.gateway.state.load import LoadReport
    >>> from mulleinreach.gateway.state.permits import PermitCount
    >>> successor = Successor(3, "10.0.0.1:80", "secret")
    >>> loads = [LoadReport("u", 2, 70, 0.5, 0.5, 1)]
    >>> outcome = RunOutcome.ENDED_GIVING
    >>> seen = [RunObservation(2**64 - 1, 2**63, "u", "h", outcome, 0.25, (7,), 1.5)]
    >>> report = NodeReport(
    ...     "a", loads, seq=4, successor=successor, hall="h", sightings=seen,
    ...     limits=(NamedLimit("u", 2.1, 0.5),), wanted=(PermitCount("u", 3),),
    ...     tunnel_address="10.0.0.1:81", served_count=9, known_suspects=(7,),
    ...     incarnation=2**63, held_share=HeldShare(0.25, 2**63, 0.125, True, 0.5),
    ... )
    >>> decode_node_report(encode_node_report(report)) == report
    True
    """
    try:
        message = read_message(SCHEMA.NodeReport, data)
        return NodeReport(
            message.node,
            unpack_loads(message.loads),
            message.stopping,
            message.secret,
            message.seq,
            message.listRevision,
            message.configVersion,
            unpack_successor(message.successor),
            message.hall,
            _unpack_sightings(message.sightings),
            unpack_limits(message.limits),
            unpack_permits(message.wanted),
            message.tunnelAddress,
            message.served,
            tuple(message.knownSuspects),
            message.incarnation,
            _unpack_held_share(message),
        )
    except (capnp.KjException, ValueError) as error:
        raise PeerError(str(error)) from error
