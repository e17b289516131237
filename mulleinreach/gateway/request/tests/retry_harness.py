"""Test harness: nodes that retry under leased shares of a budget, and their coordinators."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from mulleinreach.gateway.coordination.lease import LEASE_DURATION_S, RENEW_INTERVAL_S
from mulleinreach.gateway.coordination.share_accounts import FIRST_STATEMENT
from mulleinreach.gateway.coordination.share_ledger import ShareLedger
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.model import ShareStatement
from mulleinreach.gateway.request.budget import WindowedRetryBudget
from mulleinreach.gateway.request.tests.retry_bound import RetryRecord
from mulleinreach.gateway.state.arrivals import SendCharge
from mulleinreach.gateway.state.leased_share import LeasedShare
from mulleinreach.gateway.state.tests.test_crashes import ManualClock

SERVICE = "service"
ROUND_S = 0.2
# Longest time from a report to the answer that the node still accepts, and to a retry's arrival.
MAX_ANSWER_AGE_S = 0.9
MAX_SEND_S = 0.3


@dataclass(eq=False)
class Coordinator:
    """A coordinator, which leases shares and states what it leases until its own lease ends."""

    ledger: ShareLedger
    lease_ends_at: float = float("inf")
    frozen_until: float = 0.0
    renews_at: float = 0.0


@dataclass(eq=False)
class Node:
    """One life of a node."""

    incarnation: int
    share: LeasedShare
    budget: WindowedRetryBudget
    coordinator: Coordinator | None = None


@dataclass
class RetryHarness:
    """Nodes under requests, a part of which fail at first, on a manual clock."""

    node_count: int
    requests_per_s: float
    seed: int
    bounds: DeploymentBounds = field(default_factory=DeploymentBounds)
    failing: float = 1.0

    def __post_init__(self):
        self.clock = ManualClock()
        self.record = RetryRecord()
        self._rng = random.Random(self.seed)
        self._incarnations = itertools.count(1)
        self._coordinators: list[Coordinator] = []
        self._owed_requests = 0.0
        self._silent_until = 0.0
        # What stands in the row of the coordinators' lease.
        self._row: ShareStatement | None = FIRST_STATEMENT
        # Retries under way: when each arrives, and the charge of the node that sent it.
        self._under_way: list[tuple[float, SendCharge]] = []
        self.nodes = [self._make_node() for _ in range(self.node_count)]
        self.replace_coordinator()

    def _make_node(self) -> Node:
        share = LeasedShare(self.clock, self.bounds)
        budget = WindowedRetryBudget(self.bounds, self.clock, share)
        return Node(next(self._incarnations), share, budget)

    def pick(self, fraction: float) -> list[int]:
        """Return the numbers of a random part of the nodes, at least one."""
        count = max(1, round(fraction * len(self.nodes)))
        return self._rng.sample(range(len(self.nodes)), min(count, len(self.nodes)))

    # Disruptions.

    def restart(self, numbers: list[int]) -> None:
        """Kill nodes; new processes take their places and follow the latest coordinator."""
        for number in numbers:
            self.nodes[number] = self._make_node()
            self.nodes[number].coordinator = self._coordinators[-1]

    def cut_off(self, numbers: list[int]) -> None:
        """Let nodes lose their coordinator."""
        for number in numbers:
            self.nodes[number].coordinator = None

    def reconnect(self) -> None:
        """Let all nodes follow the latest coordinator."""
        for node in self.nodes:
            node.coordinator = self._coordinators[-1]

    def add_nodes(self, count: int) -> None:
        """Add nodes, which follow the latest coordinator."""
        self.nodes.extend(self._make_node() for _ in range(count))
        self.restart(list(range(len(self.nodes) - count, len(self.nodes))))

    def remove(self, numbers: list[int]) -> None:
        """Remove nodes for good, but for the last one."""
        for number in sorted(numbers, reverse=True):
            if len(self.nodes) > 1:
                del self.nodes[number]

    def begin_silence(self, seconds: float) -> None:
        """Let upstreams read nothing for some time; what is sent meanwhile arrives at its end."""
        self._silent_until = self.clock.now() + seconds

    def replace_coordinator(self, followers: float = 1.0) -> None:
        """Begin a new term; the previous coordinator leases on until its lease has ended.

        Parameters
        ==========

        followers : the part of the nodes that follow the new coordinator at once.
        """
        now = self.clock.now()
        for previous in self._coordinators:
            previous.lease_ends_at = min(previous.lease_ends_at, now + LEASE_DURATION_S)
        token = len(self._coordinators) + 1
        ledger = ShareLedger(now, self.bounds.retry_window_s, token, self._row)
        self._coordinators.append(Coordinator(ledger, renews_at=now + RENEW_INTERVAL_S))
        for number in self.pick(followers):
            self.nodes[number].coordinator = self._coordinators[-1]

    def forget_statement(self) -> None:
        """Let the row state nothing, as after a restore of the store."""
        self._row = None

    def release(self, numbers: list[int]) -> None:
        """Stop nodes as planned; new processes take their places."""
        for number in numbers:
            node = self.nodes[number]
            node.share.release()
            if node.coordinator is not None and self._gives_leases(node.coordinator):
                held = {
                    other.incarnation: other.share.held()
                    for other in self._followers(node.coordinator)
                }
                node.coordinator.ledger.lease(held, self.clock.now())
        self.restart(numbers)

    def freeze_coordinator(self, seconds: float) -> None:
        """Let the coordinator stand still, or lack its lease while the store is away."""
        self._coordinators[-1].frozen_until = self.clock.now() + seconds

    # Time.

    def run(self, seconds: float, lost_answers: float = 0.0) -> None:
        """Let requests and reports come for some time.

        Parameters
        ==========

        lost_answers : the part of the coordinators' answers that don't arrive.
        """
        for _ in range(round(seconds / ROUND_S)):
            self._send_requests()
            self._note_arrivals()
            self._renew_lease(lost_answers)
            for coordinator in self._coordinators[-3:]:
                self._lease_shares(coordinator, lost_answers)
            self.clock.at += ROUND_S

    def _send_requests(self) -> None:
        self._owed_requests += self.requests_per_s * ROUND_S
        while self._owed_requests >= 1:
            self._owed_requests -= 1
            now = self.clock.now()
            node = self._rng.choice(self.nodes)
            node.budget.count_request(SERVICE)
            self.record.requests_at.append(now)
            is_failing = self._rng.random() < self.failing
            decision = (
                node.budget.try_spend(SERVICE, f"r{len(self.record.requests_at)}")
                if is_failing
                else None
            )
            if decision is not None and decision.is_granted:
                arrives_at = max(now, self._silent_until) + self._rng.uniform(0, MAX_SEND_S)
                self.record.retries_at.append(arrives_at)
                self._under_way.append((arrives_at, decision.charge))

    def _note_arrivals(self) -> None:
        now = self.clock.now()
        for arrives_at, charge in self._under_way:
            if arrives_at <= now:
                charge.note_arrived()
        self._under_way = [entry for entry in self._under_way if entry[0] > now]

    def _renew_lease(self, lost_answers: float) -> None:
        """State what the latest coordinator leases; the write or its answer may be lost."""
        now, coordinator = self.clock.now(), self._coordinators[-1]
        if now < max(coordinator.renews_at, coordinator.frozen_until):
            return
        coordinator.renews_at = now + RENEW_INTERVAL_S
        statement = coordinator.ledger.propose(now)
        if self._rng.random() >= lost_answers / 2:
            self._row = statement
            if self._rng.random() >= lost_answers / 2:
                coordinator.ledger.confirm(statement)

    def _gives_leases(self, coordinator: Coordinator) -> bool:
        now = self.clock.now()
        return coordinator.frozen_until <= now < coordinator.lease_ends_at

    def _followers(self, coordinator: Coordinator) -> list[Node]:
        return [node for node in self.nodes if node.coordinator is coordinator]

    def _lease_shares(self, coordinator: Coordinator, lost_answers: float) -> None:
        if not self._gives_leases(coordinator):
            return
        now, followers = self.clock.now(), self._followers(coordinator)
        held = {node.incarnation: node.share.held() for node in followers}
        leased = coordinator.ledger.lease(held, now)
        for node in followers:
            if self._rng.random() >= lost_answers:
                asked_at = now - self._rng.uniform(0, MAX_ANSWER_AGE_S)
                node.share.receive(leased[node.incarnation], asked_at)

    def excess(self) -> float:
        """Return by how many retries the worst window exceeds the bound."""
        self.record.retries_at.sort()
        return self.record.max_excess(self.bounds)
