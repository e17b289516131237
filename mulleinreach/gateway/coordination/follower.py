"""A node's side of its connection with the coordinator."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass

from mulleinreach.common import Address, Network
from mulleinreach.gateway.coordination.coordinator_messages import decode_coordinator_report
from mulleinreach.gateway.coordination.frames import FrameReader, FrameWriter, PeerError
from mulleinreach.gateway.coordination.hub import (
    MAX_BUFFERED_BYTES,
    REPORT_TIMEOUT_S,
    report_interval_s,
)
from mulleinreach.gateway.coordination.knowledge import Knowledge
from mulleinreach.gateway.coordination.lease import CoordinatorLease, Resignation
from mulleinreach.gateway.coordination.node_messages import encode_node_report
from mulleinreach.gateway.coordination.node_reports import OwnReports
from mulleinreach.gateway.coordination.reports import (
    CoordinatorReport,
)
from mulleinreach.gateway.coordination.succession import CONNECT_TIMEOUT_S

# Newer evidence shows that this node can read the store itself.
MAX_OWN_EVIDENCE_AGE_S = 0.9


class FollowEndReason(enum.Enum):
    """Why a node stopped following a coordinator."""

    # The connection was refused.
    PROCESS_GONE = enum.auto()
    # No report was received.
    UNREACHABLE = enum.auto()
    # The connection failed or timed out after at least one report.
    CONNECTION_LOST = enum.auto()
    # The coordinator can't renew its lease, and this node can read the store.
    RESIGNED = enum.auto()
    # The coordinator announced its successor.
    REPLACED = enum.auto()


@dataclass(frozen=True)
class FollowEnd:
    """Result of following a coordinator.

    Parameters
    ==========

    resignation : the coordinator's resignation, if that is the reason.
    """

    reason: FollowEndReason
    resignation: Resignation | None = None


class Follower:
    """Sends reports to the coordinator and applies the reports that it returns."""

    def __init__(
        self,
        lease: CoordinatorLease,
        network: Network,
        own_reports: OwnReports,
        knowledge: Knowledge,
    ):
        self._lease = lease
        self._network = network
        self._own_reports = own_reports
        self._knowledge = knowledge
        self._writer: FrameWriter | None = None
        # Whether this node receives a coordinator's reports.
        self.is_following = False
        # Number of nodes, from the latest coordinator report.
        self.node_count = 1

    async def follow(self, address: Address) -> FollowEnd:
        """Follow the coordinator at an address until the connection or its term ends."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await self._network.connect(address)
        except ConnectionRefusedError:
            return FollowEnd(FollowEndReason.PROCESS_GONE)
        except (OSError, TimeoutError):
            return FollowEnd(FollowEndReason.UNREACHABLE)
        self._writer = FrameWriter(writer)
        sending = asyncio.create_task(self._send_reports(self._writer))
        try:
            return await self._receive_reports(FrameReader(reader))
        finally:
            self.is_following = False
            self._writer = None
            sending.cancel()
            writer.close()

    async def _receive_reports(self, frames: FrameReader) -> FollowEnd:
        """Receive reports until the coordinator times out, resigns or is replaced."""
        try:
            while True:
                async with asyncio.timeout(REPORT_TIMEOUT_S):
                    report = decode_coordinator_report(await frames.read())
                self.is_following = True
                self.node_count = report.totals.nodes
                self._apply(report)
                if self._is_replaced(report):
                    self._lease.adopt(report.totals.successor)
                    return FollowEnd(FollowEndReason.REPLACED)
                if self._can_replace(report):
                    return FollowEnd(FollowEndReason.RESIGNED, report.totals.resignation)
        except (PeerError, OSError, TimeoutError):
            return FollowEnd(
                FollowEndReason.CONNECTION_LOST
                if self.is_following
                else FollowEndReason.UNREACHABLE
            )

    def _apply(self, report: CoordinatorReport) -> None:
        """Apply a report, dated from when the node's own report that it answers was sent."""
        answered = self._own_reports.find_sent(report.echoed_seq)
        if answered is not None:
            self._knowledge.take(report, answered.sent_at, answered.loads)

    def _is_replaced(self, report: CoordinatorReport) -> bool:
        """Whether the report announces a coordinator with a higher token."""
        successor = report.totals.successor
        return successor is not None and successor.token > self._lease.token

    def _can_replace(self, report: CoordinatorReport) -> bool:
        """Whether the coordinator has resigned and this node can read the store."""
        is_resigned = report.totals.resignation is not None
        return is_resigned and self._knowledge.evidence_age_s() < MAX_OWN_EVIDENCE_AGE_S

    async def _send_reports(self, writer: FrameWriter) -> None:
        while not writer.is_closing():
            self._send_report(writer)
            await asyncio.sleep(report_interval_s(self.node_count))

    def _send_report(self, writer: FrameWriter) -> None:
        report = self._own_reports.next()
        # Skipped while the send buffer is full; the next report supersedes it.
        if writer.buffered_bytes() < MAX_BUFFERED_BYTES:
            writer.write(encode_node_report(report))

    def send_last_report(self) -> None:
        """Report at once, as this process is about to end."""
        if self._writer is not None and not self._writer.is_closing():
            self._send_report(self._writer)
