"""The messages between a node and the coordinator, and their Cap'n Proto form."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass
from pathlib import Path

import capnp

from mulleinreach.gateway.load import LoadReport

MAX_MESSAGE_BYTES = 1_000_000
MAX_COUNT = 65_535
MAX_UINT32 = 4_294_967_295
_LENGTH = struct.Struct(">I")

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class PeerError(Exception):
    """The connection to a peer is of no use any more."""


@dataclass(frozen=True)
class NodeReport:
    """What a node has in flight."""

    node: str
    loads: list[LoadReport]
    is_stopping: bool = False
    secret: str = ""


@dataclass(frozen=True)
class OpenHead:
    """A group that the coordinator saw open."""

    upstream_id: str
    group: str
    epoch: int
    model: str
    pace: float = 1.0


@dataclass(frozen=True)
class CoordinatorReport:
    """What the coordinator knows; ``loads`` are those of all nodes but the receiver."""

    token: int
    nodes: int
    loads: list[LoadReport]
    heads: list[OpenHead]
    lost: list[str]


def _pack_loads(message, loads: list[LoadReport]) -> None:
    rows = message.init("loads", len(loads))
    for row, load in zip(rows, loads, strict=True):
        row.upstream = load.upstream_id
        row.running = min(load.running, MAX_COUNT)
        row.pendingTokens = min(load.pending_tokens, MAX_UINT32)
        row.silentMs = min(int(load.silent_s * 1000), MAX_UINT32)
        row.oldestMs = min(int(load.oldest_s * 1000), MAX_UINT32)


def _unpack_loads(rows) -> list[LoadReport]:
    return [
        LoadReport(
            row.upstream,
            row.running,
            row.pendingTokens,
            row.silentMs / 1000,
            row.oldestMs / 1000,
        )
        for row in rows
    ]


def encode_node_report(report: NodeReport) -> bytes:
    """Return a node's report in its packed form."""
    message = _schema.NodeReport.new_message(
        node=report.node, stopping=report.is_stopping, secret=report.secret
    )
    _pack_loads(message, report.loads)
    return message.to_bytes_packed()


def decode_node_report(data: bytes) -> NodeReport:
    """Return the report that ``data`` holds.

    Examples
    ========

    >>> report = NodeReport("a", [LoadReport("u", 2, 70, 0.5)])
    >>> decode_node_report(encode_node_report(report)) == report
    True
    """
    try:
        message = _schema.NodeReport.from_bytes_packed(data)
        loads = _unpack_loads(message.loads)
        return NodeReport(message.node, loads, message.stopping, message.secret)
    except capnp.KjException as error:
        raise PeerError(str(error)) from error


def encode_coordinator_report(report: CoordinatorReport) -> bytes:
    """Return a coordinator's report in its packed form."""
    message = _schema.CoordinatorReport.new_message(token=report.token, nodes=report.nodes)
    _pack_loads(message, report.loads)
    rows = message.init("heads", len(report.heads))
    for row, head in zip(rows, report.heads, strict=True):
        row.upstream, row.group = head.upstream_id, head.group
        row.epoch, row.model, row.pace = head.epoch, head.model, head.pace
    message.lost = report.lost
    return message.to_bytes_packed()


def decode_coordinator_report(data: bytes) -> CoordinatorReport:
    """Return the report that ``data`` holds."""
    try:
        message = _schema.CoordinatorReport.from_bytes_packed(data)
        heads = [OpenHead(h.upstream, h.group, h.epoch, h.model, h.pace) for h in message.heads]
        return CoordinatorReport(
            message.token, message.nodes, _unpack_loads(message.loads), heads, list(message.lost)
        )
    except capnp.KjException as error:
        raise PeerError(str(error)) from error


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Put one message into the send buffer."""
    writer.write(_LENGTH.pack(len(data)) + data)


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next message; raises :class:`PeerError` when none can come any more."""
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > MAX_MESSAGE_BYTES:
            raise PeerError(f"a message of {length} bytes")
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise PeerError(str(error)) from error
