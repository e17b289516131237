"""Nodes and a coordinator that keep one upstream's limit, on a clock that a test moves."""

from __future__ import annotations

import random
from contextlib import AbstractContextManager

from mulleinreach.gateway.coordination.permit_allocation import PermitAllocator
from mulleinreach.gateway.known.limits import LimitTracker
from mulleinreach.gateway.known.permits import SendPermits
from mulleinreach.gateway.known.tests.test_crashes import SilentLog, SteppedClock
from mulleinreach.gateway.known.upstreams import UpstreamDirectory
from mulleinreach.standins.gateway.hosts import make_upstream

UPSTREAM = make_upstream("u", "desk", 1, None)


class Desk:
    """Nodes that send to one upstream with a limit, and the coordinator that they hear."""

    def __init__(self, nodes: int, limit: float):
        self.clock = SteppedClock()
        self.nodes = [self.make_node(number) for number in range(nodes)]
        self.allocator = PermitAllocator(self.clock.now())
        self.limit = limit
        self.sent_at: list[float] = []
        self._waiting: list[tuple[SendPermits, AbstractContextManager[None]]] = []
        for number in range(nodes):
            self.tell(number, limit)

    def make_node(self, seed: int) -> SendPermits:
        """Return a node that knows the upstream and no limit of it."""
        directory = UpstreamDirectory()
        directory.replace_all(1, [UPSTREAM], self.clock.now())
        book = LimitTracker(directory, self.clock, SilentLog())
        return SendPermits(book, self.clock, random.Random(seed))

    def tell(self, number: int, limit: float) -> None:
        """Let an answer of the upstream name its limit to a node."""
        self.nodes[number].limits.record_answer(UPSTREAM.id, limit)

    def start_again(self, number: int) -> None:
        """Let a node start again, which an answer has told the limit."""
        self.nodes[number] = self.make_node(number)
        self.tell(number, self.limit)

    def ask(self, number: int) -> bool:
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

    def ask_and_wait(self, number: int) -> None:
        """Let a node send a request now, or after the coordinator's next answer, if it may."""
        node = self.nodes[number]
        node.demand.note_request(UPSTREAM.id)
        if self._send_if_allowed(node):
            return
        waits = node.demand.waiting(UPSTREAM.id)
        waits.__enter__()
        self._waiting.append((node, waits))

    def allocate(
        self, hearers: set[int], lost: frozenset[int] = frozenset(), late_s: float = 0
    ) -> None:
        """Have the coordinator give permits to the nodes that it hears.

        Parameters
        ==========

        lost : nodes that the answer doesn't reach.
        late_s : how long ago the reports were sent that it answers.
        """
        now = self.clock.now()
        wanted = {number: self.nodes[number].wanted() for number in sorted(hearers)}
        given = self.allocator.allocate(wanted, {UPSTREAM.id: self.limit}, now)
        for number in hearers - lost:
            permits = given.get(number, [])
            self.nodes[number].receive(permits, now - late_s, len(self.nodes))
        waiting, self._waiting = self._waiting, []
        for node, waits in waiting:
            self._send_if_allowed(node)
            waits.__exit__(None, None, None)
