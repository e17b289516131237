"""Notifies a replaced coordinator, which may be unable to read the lease itself."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Address, EventLog, Network
from mulleinreach.gateway.coordination.frames import FrameWriter
from mulleinreach.gateway.coordination.lease import Successor
from mulleinreach.gateway.coordination.node_messages import encode_node_report
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.ports import LeaseRecord

# Nodes are milliseconds apart; one that doesn't answer by then is partitioned or suspended.
CONNECT_TIMEOUT_S = 0.5


async def notify_replaced(
    replaced_record: LeaseRecord, successor: Successor, node: str, network: Network, log: EventLog
) -> None:
    """Notify the holder of an earlier lease record of its successor.

    The previous holder announces the successor to its followers, which may not reach the store.

    Parameters
    ==========

    node : the name of the node that sends the notice.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await network.connect(Address.parse(replaced_record.address))
        report = NodeReport(node, [], secret=replaced_record.secret, successor=successor)
        FrameWriter(writer).write(encode_node_report(report))
        await writer.drain()
        writer.close()
    except (OSError, TimeoutError) as error:
        log.event("replaced_not_told", address=replaced_record.address, why=repr(error))
