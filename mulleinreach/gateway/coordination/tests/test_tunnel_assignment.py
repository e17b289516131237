"""Nodes get tunnel servers in their region, spread over the nodes that reach upstreams."""

from __future__ import annotations

from collections import Counter

from mulleinreach.gateway.coordination.reports import NodeReport
from mulleinreach.gateway.coordination.tunnel_assignment import TunnelAssignment

REGIONS = {"hall-a": "north", "hall-b": "north", "hall-c": "south"}
# Nodes of the deployment that this is designed for.
MANY = 350


def make_reports(isolated: int = 0, nodes: int = 12) -> list[NodeReport]:
    """Return reports of nodes in turn in each hall; the first ones reach no upstreams."""
    halls = list(REGIONS)
    return [
        NodeReport(
            f"node-{number:03}",
            [],
            hall=halls[number % len(halls)],
            tunnel_address="" if number < isolated else f"10.0.{number // 250}.{number % 250}:80",
        )
        for number in range(nodes)
    ]


def assign(reports: list[NodeReport]) -> dict[str, tuple]:
    assignment = TunnelAssignment(REGIONS, begins_at=0.0)
    assignment.update(reports, now=0.0)
    return {report.node: assignment.servers_of(report.node) for report in reports}


def test_servers_are_in_the_region_and_not_the_node_itself():
    reports = make_reports()
    hall_of = {report.tunnel_address: report.hall for report in reports}
    own = {report.node: report.tunnel_address for report in reports}
    for report in reports:
        servers = [str(server) for server in assign(reports)[report.node]]
        assert len(set(servers)) == len(servers) >= 2
        assert own[report.node] not in servers
        assert {REGIONS[hall_of[s]] for s in servers} == {REGIONS[report.hall]}


def test_nodes_of_a_region_share_its_last_server():
    reports = make_reports(isolated=11)
    servers = assign(reports)
    # The last node stands in the south.
    south = [r.node for r in reports if r.hall == "hall-c"][:-1]
    assert {len(servers[node]) for node in south} == {1}
    assert {len(servers[r.node]) for r in reports if r.node not in south} == {0}


def test_load_of_half_of_many_nodes_is_spread_over_the_others():
    reports = make_reports(isolated=MANY // 2, nodes=MANY)
    servers = assign(reports)
    load = Counter(server for r in reports[: MANY // 2] for server in servers[r.node])
    mean = sum(load.values()) / (MANY - MANY // 2)
    assert max(load.values()) <= 3 * mean


def test_assignment_follows_what_nodes_offer():
    assignment = TunnelAssignment(REGIONS, begins_at=0.0)
    assignment.update(make_reports(), now=0.0)
    before = assignment.servers_of("node-005")
    assignment.update(make_reports(isolated=9), now=0.1)
    after = assignment.servers_of("node-005")
    assert before != after


# Guards against a new coordinator that takes the servers from nodes while few have connected.
def test_nothing_is_assigned_to_nodes_that_are_new_or_too_early():
    assignment = TunnelAssignment(REGIONS, begins_at=0.5)
    assignment.update(make_reports(nodes=2), now=0.4)
    assert assignment.servers_of("node-000") is None
    assignment.update(make_reports(), now=0.6)
    assert assignment.servers_of("node-000")
    assert assignment.servers_of("node-999") is None
