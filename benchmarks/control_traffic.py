"""Works out what nodes and their coordinator exchange at the size to design for.

Nothing is measured: messages of that size are made up and encoded by the gateway's own
code, and counted. ``python -m benchmarks.control_traffic`` writes the block between the
markers of ``docs/CAPACITY.md``, which a test holds against the code, and prints what
compression on the connections leaves.
"""

from __future__ import annotations

import random
from pathlib import Path

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.coordinator_messages import (
    encode_coordinator_report,
    encode_totals,
)
from mulleinreach.gateway.coordination.frames import FrameWriter
from mulleinreach.gateway.coordination.hub import report_interval_s
from mulleinreach.gateway.coordination.lease import RENEW_INTERVAL_S, SECRET_BYTES
from mulleinreach.gateway.coordination.list_messages import encode_list, pack_changes
from mulleinreach.gateway.coordination.node_messages import encode_node_report
from mulleinreach.gateway.coordination.reports import (
    NodeReport,
    OpenHead,
    Totals,
)
from mulleinreach.gateway.coordination.share_accounts import TARGET_TOTAL
from mulleinreach.gateway.coordination.share_ledger import NUMBER_BITS
from mulleinreach.gateway.coordination.totals import FULL_TOTALS_INTERVAL_ROUNDS
from mulleinreach.gateway.state.leased_share import HeldShare, ShareLease
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.store_reading import READER_WAIT_S
from mulleinreach.gateway.state.upstreams import ListChange
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream

PAGE = Path("docs/CAPACITY.md")
BEGIN, END = "<!-- worked out: begin -->", "<!-- worked out: end -->"

# The size to design for: see docs/CAPACITY.md.
NODES, REPLICAS, HOSTS_EACH = 350, 710, 4
# Tokens a second of all streams together, and the seconds that a stream takes for each token.
TOKENS_S, TOKEN_S = 1_600_000, 0.029
# How many streams are under way together.
IN_FLIGHT = round(TOKENS_S * TOKEN_S)
# Bytes a second that a node may exchange with its coordinator.
LIMIT_BYTES_S = 3 * 1024
# Compression reaches its lasting rate after the first messages of a connection.
ROUNDS, SETTLING_ROUNDS = 60, 20
KIB = 1024
# Of the size of a real one each.
INCARNATION = 0x7F3A91C2D04E
SHARE = ShareLease(TARGET_TOTAL / NODES, (7 << NUMBER_BITS) + 12)
HELD_SHARE = HeldShare(SHARE.fraction, SHARE.number)


class CountingWriter:
    """Stands in for a connection, and counts the bytes that are written to it."""

    def __init__(self) -> None:
        self.count = 0

    def write(self, data: bytes) -> None:
        """Count the bytes."""
        self.count += len(data)


def _head_id(number: int) -> str:
    return f"h{number * HOSTS_EACH:04d}-4f3a1c"


def _loads(heads: list[int], streams: int, rng: random.Random) -> list[LoadReport]:
    """Return loads of heads that share so many streams, as they may stand at one moment."""
    mean = streams / len(heads)
    return [
        LoadReport(
            _head_id(head),
            max(1, round(rng.gauss(mean, mean**0.5))),
            rng.choice((0, 0, 0, 700)),
            rng.uniform(0, 0.03),
            rng.uniform(1, 8),
        )
        for head in heads
    ]


def node_report(rng: random.Random) -> bytes:
    """Return the report of a node with its part of all streams, each at another head."""
    streams = IN_FLIGHT // NODES
    loads = _loads(rng.sample(range(REPLICAS), streams), streams, rng)
    return encode_node_report(
        NodeReport(
            "node-0349",
            loads,
            secret="s" * 2 * SECRET_BYTES,
            seq=1_000_000,
            hall="lagos-a",
            tunnel_address="10.200.100.40:7342",
            incarnation=INCARNATION,
            held_share=HELD_SHARE,
        )
    )


def coordinator_report(rng: random.Random, with_heads: bool) -> bytes:
    """Return what one node is told at rest: the totals, now and then with the open heads."""
    heads = [
        OpenHead(_head_id(n), f"g{n + 65536}.wide", n + 65536, "wide") for n in range(REPLICAS)
    ]
    totals = Totals(
        3, NODES, _loads(range(REPLICAS), IN_FLIGHT, rng), heads if with_heads else None
    )
    return encode_coordinator_report(
        1_000_000, encode_totals(totals), pack_changes([]), False, share=SHARE
    )


def whole_list() -> bytes:
    """Return the list of all hosts, as a node that starts is sent it once."""
    hosts = []
    for number in range(REPLICAS * HOSTS_EACH):
        member = Membership(f"g{number}.wide", number, number % HOSTS_EACH, MemberState.OPEN)
        address = Address(f"10.{number // 250}.1.{number % 250}", 8000)
        host = Upstream(
            f"h{number:04d}-4f3a1c", "models", address, "lagos-a", domain="d1", membership=member
        )
        hosts.append(host)
    return encode_list(ListChange(1_000_000, hosts, []))


def told_bytes(rng: random.Random) -> float:
    """Return the mean size of a coordinator's report before compression."""
    with_heads = len(coordinator_report(rng, True))
    without = len(coordinator_report(rng, False))
    return (with_heads + (FULL_TOTALS_INTERVAL_ROUNDS - 1) * without) / FULL_TOTALS_INTERVAL_ROUNDS


def render() -> str:
    """Return the block of what follows from the code."""
    rng = random.Random(1)
    reports_s = 1 / report_interval_s(NODES)
    up, down = len(node_report(rng)) * reports_s, told_bytes(rng) * reports_s
    others = NODES - 1
    rows = [
        ("messages sent a second", reports_s, others * reports_s, "one connection a node"),
        ("messages taken a second", reports_s, others * reports_s, "the same connection"),
        ("KiB sent a second", up / KIB, others * down / KIB, "packed, before compression"),
        ("KiB taken a second", down / KIB, others * up / KIB, "packed, before compression"),
        ("renewals of the lease a second", 0, 1 / RENEW_INTERVAL_S, "a write under conditions"),
        ("waits at the store a second, at rest", 0, 2 / READER_WAIT_S, "two tables, long polls"),
    ]
    lines = ["", "| what | a node | the coordinator | mechanism |", "|---|---|---|---|"]
    lines += [f"| {name} | {a:,.1f} | {b:,.1f} | {how} |" for name, a, b, how in rows]
    lines += [
        "",
        f"- {IN_FLIGHT:,} streams are under way together ({TOKENS_S:,} tokens a second, {TOKEN_S} s"
        f" each): {IN_FLIGHT // NODES} a node, {IN_FLIGHT // REPLICAS} a replica.",
        f"- The list of all hosts, sent once to a node that starts: {len(whole_list()) / KIB:,.0f}"
        " KiB packed.",
        "",
    ]
    return "\n".join(lines)


def compressed_bytes_s(make) -> float:
    """Return the bytes a second of a connection on which ``make(round)`` is sent."""
    wire = CountingWriter()
    writer = FrameWriter(wire)
    for number in range(ROUNDS):
        if number == SETTLING_ROUNDS:
            wire.count = 0
        writer.write(make(number))
    return wire.count / ((ROUNDS - SETTLING_ROUNDS) * report_interval_s(NODES))


def main() -> None:
    """Write the block into the page, and print what compression leaves."""
    head, _, rest = PAGE.read_text().partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f"{head}{BEGIN}{render()}{END}{tail}")
    rng = random.Random(1)
    up = compressed_bytes_s(lambda _: node_report(rng))
    down = compressed_bytes_s(
        lambda n: coordinator_report(rng, n % FULL_TOTALS_INTERVAL_ROUNDS == 0)
    )
    print(f"compressed, KiB/s: a node sends {up / KIB:.1f}, is sent {down / KIB:.1f}")
    print(f"times the limit of a node: {(up + down) / LIMIT_BYTES_S:.0f}")
    print(f"coordinator sends {(NODES - 1) * down / KIB:,.0f}, takes {(NODES - 1) * up / KIB:,.0f}")


if __name__ == "__main__":
    main()
