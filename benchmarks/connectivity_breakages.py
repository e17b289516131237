"""The guards of nodes that can't connect to upstreams."""

from __future__ import annotations

from benchmarks.breakage import Breakage

CONNECTIVITY = "mulleinreach/gateway/connectivity"
NETWORK = f"{CONNECTIVITY}/upstream_network.py"
PARTITIONED = f"{CONNECTIVITY}/tests/test_partitioned_nodes.py"
TUNNELS = f"{CONNECTIVITY}/tests/test_tunnels.py"
REACHABILITY = f"{CONNECTIVITY}/tests/test_reachability.py"
ASSIGNMENT = "mulleinreach/gateway/coordination/tunnel_assignment.py"
ASSIGNMENT_TESTS = "mulleinreach/gateway/coordination/tests/test_tunnel_assignment.py"

CONNECTIVITY_BREAKAGES = [
    Breakage(
        "RECOVER",
        "an upstream that can't be reached directly is reached through another node",
        NETWORK,
        "for server in self.tunnel_servers.choose(TUNNELS_PER_CONNECTION if may_tunnel else 0)",
        "for server in self.tunnel_servers.choose(0)",
        f"{PARTITIONED} -k callers_of",
    ),
    Breakage(
        "RECOVER",
        "a node that reaches no upstream opens no tunnels",
        "mulleinreach/gateway/coordination/node_reports.py",
        "if self.is_stopping or not self._knowledge.can_open_tunnels():",
        "if self.is_stopping:",
        f"{PARTITIONED} -k refused_at_once",
    ),
    Breakage(
        "RECOVER",
        "an isolated node without tunnel servers refuses at once",
        NETWORK,
        "return [partial(_fail, address)]",
        "return [direct]",
        f"{PARTITIONED} -k refused_at_once",
    ),
    Breakage(
        "RECOVER",
        "an isolated node notices that it reaches upstreams again",
        NETWORK,
        "candidates = list(self._upstream_addresses())",
        "candidates = []",
        f"{PARTITIONED} -k refused_at_once",
    ),
    Breakage(
        "BUDGET",
        "an upstream has ended only if another node is refused, too",
        NETWORK,
        "return await self._state_for_others(address)",
        "return ProcessState.ENDED",
        f"{PARTITIONED} -k does_not_count_as_ended",
    ),
    Breakage(
        "RECOVER",
        "a coordinator that reaches no hosts finds none of them lost",
        "mulleinreach/gateway/fleet/group_monitor.py",
        "if lost and not self._operator.reaches_hosts():",
        "if False:",
        f"{PARTITIONED} -k outlive",
    ),
    Breakage(
        "RECOVER",
        "one success ends a node's isolation",
        f"{CONNECTIVITY}/reachability.py",
        "self._isolated_since = None\n        # Any",
        "# Any",
        REACHABILITY,
    ),
    Breakage(
        "MIXED",
        "a tunnel that ends early is a reset",
        f"{CONNECTIVITY}/tunnel.py",
        "if not self._blocks.is_at_end and error is None:",
        "if False:",
        TUNNELS,
    ),
    Breakage(
        "UNASKED",
        "tunnels open for nodes of the deployment alone",
        f"{CONNECTIVITY}/tunnel_server.py",
        "return is_known and has_room and is_listed",
        "return has_room and is_listed",
        TUNNELS,
    ),
    Breakage(
        "UNASKED",
        "tunnels lead to listed upstreams alone",
        f"{CONNECTIVITY}/tunnel_server.py",
        "return is_known and has_room and is_listed",
        "return is_known and has_room",
        TUNNELS,
    ),
    Breakage(
        "HOME",
        "requests that are bound to other regions take no tunnel",
        "mulleinreach/gateway/request/sending.py",
        "if allowed is None or self._region in allowed:",
        "if True:",
        f"{PARTITIONED} -k other_regions",
    ),
    Breakage(
        "HOME",
        "tunnels stay in the region",
        ASSIGNMENT,
        "if n.hall != hall and self._regions.get(n.hall) == region",
        "if n.hall != hall",
        ASSIGNMENT_TESTS,
    ),
    Breakage(
        "RECOVER",
        "a coordinator that can't connect to hosts hands the lease to a node that can",
        "mulleinreach/gateway/coordination/term.py",
        "return is_isolated and self._hub.has_member_reaching_hosts()",
        "return False",
        f"{PARTITIONED} -k repairs_a_group",
    ),
]
