"""Limits that upstreams name for all nodes together: what is used, what it costs.

Nodes and a coordinator on memory, on a clock that is moved. Each line is one case of some
seconds: how much of the limit is used and the most requests of any four seconds against those
that the operators' rule allows; or the bytes and the time that permits take.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from mulleinreach.gateway.coordination.hub import report_interval_s
from mulleinreach.gateway.coordination.node_messages import encode_node_report
from mulleinreach.gateway.coordination.permit_allocation import PermitAllocator
from mulleinreach.gateway.coordination.reports import NodeReport
from mulleinreach.gateway.coordination.tests.limit_harness import LimitHarness
from mulleinreach.gateway.state.permits import PermitCount
from mulleinreach.gateway.tests.limit_support import (
    max_allowed_requests,
    max_requests_in_window,
    requests_per_s,
)

NODES = (8, 30, 350)
LIMITS = (0.5, 1.1, 2.0, 20.0)
SECONDS, WARM_UP_S = 90.0, 10.0
# Upstreams that have a limit at once, at the size to design for.
LIMITED_UPSTREAMS = 20


@dataclass(frozen=True)
class Demand:
    """Requests a second for one upstream, from some of the nodes."""

    name: str
    per_s: float
    is_at_one: bool = False


def use_of_limit(nodes: int, limit: float, demand: Demand) -> tuple[float, int]:
    """Return how much of a limit is used, and the most requests within a window."""
    desk, rng = LimitHarness(nodes, limit), random.Random(nodes)
    askers = [0] if demand.is_at_one else range(nodes)
    began_at, step_s = desk.clock.now(), report_interval_s(nodes)
    while desk.clock.now() < began_at + SECONDS:
        asks = step_s * demand.per_s / len(askers)
        for number in askers:
            for _ in range(int(asks) + (rng.random() < asks % 1)):
                desk.send_or_wait(number)
        desk.allocate(set(range(nodes)))
        desk.clock.at += step_s
    used = requests_per_s(desk.sent_at, began_at + WARM_UP_S, began_at + SECONDS) / limit
    return used, max_requests_in_window(desk.sent_at)


def cost_of_allocation(nodes: int) -> tuple[float, float]:
    """Return the part of a core that dividing takes, and the bytes a second of one node's wants."""
    ids = [f"i-{number:010x}" for number in range(LIMITED_UPSTREAMS)]
    wants = tuple(PermitCount(upstream_id, 3) for upstream_id in ids)
    limits = dict.fromkeys(ids, 2.0)
    allocator, rounds, step_s = PermitAllocator(0.0), 200, report_interval_s(nodes)
    began_at = time.process_time()
    for number in range(rounds):
        allocator.allocate(dict.fromkeys(range(nodes), wants), limits, 10 + number * step_s)
    part = (time.process_time() - began_at) / (rounds * step_s)
    with_wants = len(encode_node_report(NodeReport("node", [], wanted=wants)))
    extra = with_wants - len(encode_node_report(NodeReport("node", [])))
    return part, extra / step_s


def main() -> None:
    """Print all cases."""
    print("| nodes | limit | requests a second | used | most, allowed |\n|---|---|---|---|---|")
    for nodes in NODES:
        for limit in LIMITS:
            demands = (
                Demand("all at one node", max(4, 3 * limit), is_at_one=True),
                Demand("two at each node", 2.0 * nodes),
                Demand("three times the limit, spread", 3 * limit),
            )
            for demand in demands:
                used, most = use_of_limit(nodes, limit, demand)
                bound = max_allowed_requests(limit)
                print(f"| {nodes} | {limit} | {demand.name} | {used:.2f} | {most}, {bound:g} |")
    print(f"\n{LIMITED_UPSTREAMS} limits, all nodes want permits for all of them:")
    for nodes in NODES:
        part, bytes_s = cost_of_allocation(nodes)
        print(f"{nodes} nodes: {part:.2%} of a core at who divides, {bytes_s:.0f} B/s a node sends")


if __name__ == "__main__":
    main()
