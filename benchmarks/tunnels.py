"""What connections through other nodes cost: processor time, messages, and the assignment.

Processor time is that of both nodes together, for requests that are sent directly and through a
tunnel; everything runs in one process, so the difference is the tunnel's.
"""

from __future__ import annotations

import asyncio
import random
import time

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.connectivity.tunnel_server import TunnelServer
from mulleinreach.gateway.connectivity.upstream_network import UpstreamNetwork
from mulleinreach.gateway.coordination.coordinator_messages import (
    encode_coordinator_report,
    encode_totals,
)
from mulleinreach.gateway.coordination.list_messages import pack_changes
from mulleinreach.gateway.coordination.node_messages import encode_node_report
from mulleinreach.gateway.coordination.reports import NodeReport, Totals
from mulleinreach.gateway.coordination.tunnel_assignment import TunnelAssignment
from mulleinreach.gateway.metrics import GatewayMetrics

REQUESTS = 2_000
EVENTS = 30
EVENT = b"id: 1\ndata: 0123456789012345678901234567890123456789\n\n"
NODES = 350
HALLS = 7
SERVERS = tuple(Address(f"10.0.0.{number}", 7342) for number in range(4))


async def serve_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request with a stream of events."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(EVENTS):
        writer.write(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    writer.close()


async def measure_requests(is_tunnelled: bool) -> float:
    """Return the processor time of one request in milliseconds."""
    network, log = Network("benchmark"), EventLog("benchmark")
    listener = await network.listen(Address("127.0.0.1", 0), serve_stream)
    upstream = Address("127.0.0.1", listener.sockets[0].getsockname()[1])
    upstreams = UpstreamNetwork(
        network, lambda: [upstream], lambda: "secret", Clock(), log, random.Random(1)
    )
    server = TunnelServer(network, lambda: [upstream], lambda: ["secret"], GatewayMetrics(), log)
    # Above the ports that systems hand out by themselves.
    server_address = Address("127.0.0.1", 61_342)
    await server.listen(server_address)
    if is_tunnelled:
        upstreams.reachability.note_failed(upstream)
        upstreams.tunnel_servers.replace([server_address])
    began_s = time.process_time()
    async with upstreams.http_client() as session:
        for _ in range(REQUESTS):
            async with session.get(upstream.url) as response:
                await response.read()
    spent_s = time.process_time() - began_s
    await server.close()
    listener.close()
    return spent_s * 1000 / REQUESTS


def measure_assignment() -> float:
    """Return the time in milliseconds to assign servers to all nodes anew."""
    regions = {f"hall-{number}": "region" for number in range(HALLS)}
    reports = [
        NodeReport(
            f"node-{number:03}",
            [],
            hall=f"hall-{number % HALLS}",
            tunnel_address=f"10.0.0.1:{number}",
        )
        for number in range(NODES)
    ]
    assignment = TunnelAssignment(regions, 0.0)
    began_s = time.process_time()
    assignment.update(reports, 0.0)
    return (time.process_time() - began_s) * 1000


def main() -> None:
    """Print all figures."""
    direct_ms = asyncio.run(measure_requests(is_tunnelled=False))
    tunnelled_ms = asyncio.run(measure_requests(is_tunnelled=True))
    print(f"processor time a request of {EVENTS} events, ms: {direct_ms:.2f} directly")
    print(f"{tunnelled_ms:.2f} through another node, {tunnelled_ms / direct_ms:.2f} times as much")
    plain = len(encode_node_report(NodeReport("node", [], hall="hall")))
    offering = NodeReport("node", [], hall="hall", tunnel_address=str(SERVERS[0]))
    print(f"bytes more in each report of a node: {len(encode_node_report(offering)) - plain}")
    totals = encode_totals(Totals(1, NODES, []))
    no_changes = pack_changes([])
    assigned = encode_coordinator_report(1, totals, no_changes, False, tunnel_servers=SERVERS)
    unchanged = encode_coordinator_report(1, totals, no_changes, False)
    print(f"bytes of an assignment: {len(assigned) - len(unchanged)}")
    print(f"assignment to {NODES} nodes, ms of processor time: {measure_assignment():.1f}")


if __name__ == "__main__":
    main()
