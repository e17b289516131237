"""Nodes and a coordinator that keep one upstream's limit, on a clock that a test moves."""

from __future__ import annotations

import random
from contextlib import AbstractContextManager

from mulleinreach.gateway.coordination.permit_allocation import PermitAllocator
from mulleinreach.gateway.known.limits import LimitTracker
from mulleinreach.gateway.known.permits import SendPermits
from mulleinreach.gateway.known.tests.test_crashes import ManualClock, NullLog
from mulleinreach.gateway.known.upstreams import UpstreamDirectory
from mulleinreach.standins.gateway.hosts import make_upstream

UPSTREAM = make_upstream("u", "desk", 1, None)


class LimitHarness:
    """Nodes that send to one upstream with a limit, and the coordinator that they hear."""

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
        """Return a node that knows the upstream and no limit of it."""
        directory = UpstreamDirectory()
        directory.replace_all(1, [UPSTREAM], self.clock.now())
        book = LimitTracker(directory, self.clock, NullLog())
        return SendPermits(book, self.clock, random.Random(seed))

    def report_limit(self, number: int, limit: float) -> None:
        """Let an answer of the upstream name its limit to a node."""
        self.nodes[number].limits.take(UPSTREAM.id, limit)

    def restart_node(self, number: int) -> None:
        """Let a node start again, which an answer has told the limit."""
        self.nodes[number] = self.make_node(number)
        self.report_limit(number, self.limit)

    def send_if_permitted(self, number: int) -> bool:
        """Let a node send a request if it may, else elsewhere; returns whether it did."""
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
        """Let a node send a request now, or after the coordinator's next answer, if it may."""
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
        """Have the coordinator give permits to the nodes that it hears.

        Parameters
        ==========

        lost : nodes that the answer doesn't reach.
        report_age_s : how long ago the reports were sent that it answers.
        """
        now = self.clock.now()
        wanted = {number: self.nodes[number].wanted() for number in sorted(reachable)}
        granted = self.allocator.allocate(wanted, {UPSTREAM.id: self.limit}, now)
        for number in reachable - lost:
            permits = granted.get(number, [])
            self.nodes[number].take(permits, now - report_age_s, len(self.nodes))
        waiting, self._waiting = self._waiting, []
        for node, waiting_scope in waiting:
            self._send_if_allowed(node)
            waiting_scope.__exit__(None, None, None)
