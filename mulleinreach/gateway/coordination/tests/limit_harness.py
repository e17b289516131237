"""Test harness: nodes and a coordinator that share one upstream's rate limit."""

from __future__ import annotations

import random
from contextlib import AbstractContextManager

from mulleinreach.gateway.coordination.permit_allocation import PermitAllocator
from mulleinreach.gateway.state.limits import LimitTracker
from mulleinreach.gateway.state.permits import SendPermits
from mulleinreach.gateway.state.tests.test_crashes import ManualClock, NullLog
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.standins.gateway.hosts import make_upstream

UPSTREAM = make_upstream("u", "desk", 1, None)


class LimitHarness:
    """Simulates nodes that send to one upstream, and their coordinator, on a manual clock."""

    def __init__(self, nodes: int, limit: float):
        self.clock = ManualClock()
        self.nodes = [self.make_node(number) for number in range(nodes)]
        self.allocator = PermitAllocator(self.clock.now())
        self.limit = limit
        self.sent_at: list[float] = []
        self._waiting: list[tuple[SendPermits, AbstractContextManager[None]]] = []
        for number in range(nodes):
            self.report_limit(number, limit)

    def make_node(self, seed: int) -> SendPermits:
        """Return a node that knows the upstream but not its limit."""
        directory = UpstreamDirectory()
        directory.replace_all(1, [UPSTREAM], self.clock.now())
        book = LimitTracker(directory, self.clock, NullLog())
        return SendPermits(book, self.clock, random.Random(seed))

    def report_limit(self, number: int, limit: float) -> None:
        """Report the upstream's limit to a node, as in a response of the upstream."""
        self.nodes[number].limits.record_answer(UPSTREAM.id, limit)

    def restart_node(self, number: int) -> None:
        """Replace a node by a restarted one that knows the limit."""
        self.nodes[number] = self.make_node(number)
        self.report_limit(number, self.limit)

    def send_if_permitted(self, number: int) -> bool:
        """Send a request from a node if it is permitted; returns whether it was sent."""
        node = self.nodes[number]
        node.demand.note_request(UPSTREAM.id)
        if self._send_if_allowed(node):
            return True
        node.demand.note_diverted(UPSTREAM.id)
        return False

    def _send_if_allowed(self, node: SendPermits) -> bool:
        if not node.may_send(UPSTREAM.id):
            return False
        node.note_sent(UPSTREAM.id)
        self.sent_at.append(self.clock.now())
        return True

    def send_or_wait(self, number: int) -> None:
        """Send a request from a node now, or else after the coordinator's next answer."""
        node = self.nodes[number]
        node.demand.note_request(UPSTREAM.id)
        if self._send_if_allowed(node):
            return
        waiting_scope = node.demand.waiting(UPSTREAM.id)
        waiting_scope.__enter__()
        self._waiting.append((node, waiting_scope))

    def allocate(
        self, reachable: set[int], lost: frozenset[int] = frozenset(), report_age_s: float = 0
    ) -> None:
        """Allocate permits to the nodes that reach the coordinator.

        Parameters
        ==========

        lost : nodes whose answer is lost.
        report_age_s : time since the answered reports were sent.
        """
        now = self.clock.now()
        wanted = {number: self.nodes[number].wanted() for number in sorted(reachable)}
        granted = self.allocator.allocate(wanted, {UPSTREAM.id: self.limit}, now)
        for number in reachable - lost:
            permits = granted.get(number, [])
            self.nodes[number].receive(permits, now - report_age_s, len(self.nodes))
        waiting, self._waiting = self._waiting, []
        for node, waiting_scope in waiting:
            self._send_if_allowed(node)
            waiting_scope.__exit__(None, None, None)
