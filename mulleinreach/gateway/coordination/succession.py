"""Tells a coordinator that it has been replaced, which it may be unable to read itself."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Address, EventLog, Network
from mulleinreach.gateway.coordination.frames import FrameWriter
from mulleinreach.gateway.coordination.lease import Successor
from mulleinreach.gateway.coordination.messages import (
    encode_node_report,
)
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
)
from mulleinreach.gateway.ports import LeaseRecord

# Nodes are some milliseconds apart; one that doesn't answer by then is cut off or frozen.
CONNECT_TIMEOUT_S = 0.5


async def notify_replaced(
    replaced_record: LeaseRecord, successor: Successor, node: str, network: Network, log: EventLog
) -> None:
    """Tell the holder of an earlier record who is in its place now.

    Some of the nodes that meet there can't read that in the store either.

    Parameters
    ==========

    node : the name of the node that tells it.
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
