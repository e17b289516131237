"""Assigns to each node the nodes through which it may connect to upstreams.

Explanation
===========

A node that is partitioned from upstreams needs such nodes at once, so the coordinator assigns
them beforehand, and again whenever a node loses its upstreams or finds them again. The assignment
spreads evenly over the nodes that reach upstreams.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.reports import NodeReport

# Of each node, in its own hall and in the others of its region; some of them may have failed.
LOCAL_SERVERS = 2
REMOTE_SERVERS = 2


@dataclass(frozen=True)
class _Node:
    """A node, and where it opens tunnels; empty if it can't."""

    name: str
    hall: str
    tunnel_address: str


class TunnelAssignment:
    """The tunnel servers of each node, as one coordinator assigns them.

    Explanation
    ===========

    At first only some nodes have connected to a new coordinator. Until the others have done so,
    it assigns nothing, and nodes keep the servers that its predecessor assigned.

    Parameters
    ==========

    begins_at : when the first assignment is made.
    regions : the region of each hall. The body of a request that is bound to a region must not
        leave it, so nodes get servers in their own region.
    """

    def __init__(self, regions: Mapping[str, str], begins_at: float):
        self._regions = regions
        self._begins_at = begins_at
        self._nodes: list[_Node] = []
        self._servers: dict[str, tuple[Address, ...]] = {}

    def update(self, reports: list[NodeReport], now: float) -> None:
        """Assign servers anew if the nodes, or what they offer, have changed."""
        if now < self._begins_at:
            return
        nodes = sorted(
            (_Node(report.node, report.hall, report.tunnel_address) for report in reports),
            key=lambda node: node.name,
        )
        if nodes == self._nodes:
            return
        self._nodes = nodes
        offers = [node for node in nodes if node.tunnel_address]
        pools = {hall: self._pools(hall, offers) for hall in {node.hall for node in nodes}}
        self._servers = {
            node.name: _assign(number, node, *pools[node.hall]) for number, node in enumerate(nodes)
        }

    def servers_of(self, node: str) -> tuple[Address, ...] | None:
        """Return the tunnel servers of a node; ``None`` before any were assigned to it."""
        return self._servers.get(node)

    def _pools(self, hall: str, offers: list[_Node]) -> tuple[list[_Node], list[_Node]]:
        """Return the nodes in a hall, and those in other halls of its region."""
        region = self._regions.get(hall)
        remote = [n for n in offers if n.hall != hall and self._regions.get(n.hall) == region]
        return [node for node in offers if node.hall == hall], remote


def _assign(
    number: int, node: _Node, local: list[_Node], remote: list[_Node]
) -> tuple[Address, ...]:
    chosen = _take(local, node, number, LOCAL_SERVERS) + _take(remote, node, number, REMOTE_SERVERS)
    return tuple(Address.parse(server.tunnel_address) for server in chosen)


def _take(pool: list[_Node], node: _Node, number: int, count: int) -> list[_Node]:
    """Return up to ``count`` nodes of a pool without ``node``, others for each number."""
    # One more, since the node itself may be among them.
    window = [
        pool[(number * count + step) % len(pool)] for step in range(min(count + 1, len(pool)))
    ]
    return [other for other in window if other.name != node.name][:count]
