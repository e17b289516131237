"""Forms and dissolves groups by sending orders to hosts.

Explanation
===========

Delayed and duplicated orders are harmless. Epochs increase across all coordinators, so hosts
reject outdated joins. ``open`` is sent only after all members were observed ready in the
group's epoch, which has a single list of members. Members are used elsewhere only after the
head, or else the member itself, has left the group.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Iterator

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.lease import CoordinatorLease
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.ports import (
    Accepted,
    EngineOrders,
    Fenced,
    NoAnswer,
    OrderResult,
    Rejected,
    Unavailable,
)
from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.upstream import MemberState, Upstream, group_name

EPOCHS_PER_TOKEN = 1_000_000
MAX_ORDER_ATTEMPTS = 4
PROBE_TIMEOUT_S = 0.25
POLL_INTERVAL_S = 0.4
OPEN_TIMEOUT_S = 2.0
# Steps with a longer timeout load weights; during them hosts are not polled.
QUICK_STEP_TIMEOUT_S = 3.0
# Reports may be slightly older than the engine settings state.
REPORT_LAG_MARGIN_S = 0.05


class Outcome(enum.Enum):
    """The result of opening a group."""

    DONE = enum.auto()
    FAILED = enum.auto()


class JoinOutcome(enum.Enum):
    """The result of joining hosts into a group; ``WITHHELD`` if no order was sent."""

    READY = enum.auto()
    NOT_READY = enum.auto()
    WITHHELD = enum.auto()


class LeaseLost(Exception):
    """The lease has expired or has a newer holder, so no more orders may be sent."""


class GroupOperator:
    """Sends the orders of this coordinator to hosts.

    Parameters
    ==========

    report_lag_s : returns the age in seconds of the state in reports of a service's hosts.
    is_resting : returns whether a host is resting: it asked this node to pause requests.
    reaches_hosts : returns whether this node reaches any hosts; otherwise a host without an answer
        doesn't count as lost.
    """

    def __init__(
        self,
        orders: EngineOrders,
        lease: CoordinatorLease,
        hosts: HostRegistry,
        report_lag_s: Callable[[str], float],
        is_resting: Callable[[str], bool],
        reaches_hosts: Callable[[], bool],
        metrics: GatewayMetrics,
        clock: Clock,
        log: EventLog,
    ):
        self._orders = orders
        self._report_lag_s = report_lag_s
        self._is_resting = is_resting
        self.reaches_hosts = reaches_hosts
        self._lease = lease
        self._hosts = hosts
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._issued_epochs = 0
        self._quick_waits = 0
        self._state_changed = asyncio.Event()

    @property
    def is_waiting(self) -> bool:
        """Whether a step without a load of weights is waiting for a host's state."""
        return self._quick_waits > 0

    def is_lease_fresh(self) -> bool:
        """Whether the lease remains valid for at least the next second."""
        return self._lease.is_fresh()

    def notify(self) -> None:
        """Wake all waiters for a host's state."""
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def next_epoch(self) -> int:
        """Return an epoch greater than all epochs used under this and earlier leases."""
        self._issued_epochs += 1
        return self._lease.token * EPOCHS_PER_TOKEN + self._issued_epochs

    async def probe(
        self, host: Upstream, timeout_s: float = PROBE_TIMEOUT_S
    ) -> Upstream | Unavailable:
        """Request a host's state; returns the newest known state if the host responds."""
        as_of = self._clock.now() - self._lag_s(host)
        report = await self._orders.report(host, timeout_s)
        if isinstance(report, Unavailable):
            return report
        if self._hosts.merge_report(report, as_of):
            self.notify()
        return self._hosts.get(host.id) or report

    def _mark_lost(self, host: str) -> None:
        """Record that a host gave no answer, unless this node reaches no hosts at all."""
        if self.reaches_hosts():
            self._hosts.mark_lost(host)

    def _lag_s(self, host: Upstream) -> float:
        return self._report_lag_s(host.service) + REPORT_LAG_MARGIN_S

    # Forming groups.

    async def join_all(
        self, model: str, members: list[Upstream], timeout_s: float
    ) -> tuple[Group, JoinOutcome]:
        """Join hosts into a new group; returns the group and the result.

        Stored rows may be stale, for example after a store outage, so the membership of
        each host is verified with the host first.
        """
        epoch = self.next_epoch()
        name = group_name(epoch, model)
        ids = [member.id for member in members]
        if not all(await asyncio.gather(*(self._matches_known_group(m) for m in members))):
            self._log.event(
                "group_not_joined", group=name, why="the membership of a host is not confirmed"
            )
            return Group(name, epoch, dict(enumerate(members))), JoinOutcome.WITHHELD
        self._log.event("group_joining", group=name, model=model, members=",".join(ids))
        joins = [self._join(member, name, epoch, model, ids) for member in members]
        results = await asyncio.gather(*joins)
        group = Group(name, epoch, dict(enumerate(members)))
        if not all(results):
            return group, JoinOutcome.NOT_READY
        if not await self._wait_until(
            lambda: self._are_ready(name, epoch, ids), members, timeout_s
        ):
            self._log.event("group_not_ready", group=name, model=model)
            return group, JoinOutcome.NOT_READY
        return group, JoinOutcome.READY

    async def _matches_known_group(self, member: Upstream) -> bool:
        """Whether a host's own report confirms its known membership.

        Reports are slightly delayed, so a report may still show the group that the host has
        just left on this coordinator's order.
        """
        as_of = self._clock.now() - self._lag_s(member)
        report = await self._orders.report(member, PROBE_TIMEOUT_S)
        if isinstance(report, Unavailable):
            self._mark_lost(member.id)
            return False
        self._hosts.merge_report(report, as_of)
        if report.group_key == member.group_key:
            return True
        return member.group_key is None and self._hosts.has_left_since(
            member.id, report.group_key, as_of
        )

    async def _join(
        self, member: Upstream, name: str, epoch: int, model: str, ids: list[str]
    ) -> bool:
        for _ in self._attempts(member):
            result = await self._orders.join(member, name, epoch, model, ids, self._lease.token)
            self._handle_result("join", member, name, result)
            if isinstance(result, Accepted):
                return True
            if isinstance(result, Rejected):
                return False
            if self._is_member(member.id, name, epoch):
                return True
            if isinstance(await self.probe(member), Unavailable):
                self._mark_lost(member.id)
                return False
        return False

    def _attempts(self, host: Upstream) -> Iterator[int]:
        """Yield the number of each permitted attempt of an order.

        A resting host gets the first attempt, but no retries.
        """
        for number in range(MAX_ORDER_ATTEMPTS):
            self._check_lease()
            if self._hosts.is_lost(host.id) or (number and self._is_resting(host.id)):
                return
            yield number

    async def stage(self, host: Upstream, model: str, timeout_s: float) -> bool:
        """Have a host load a second model's weights; returns whether it has them."""
        result: OrderResult | None = None
        for _ in self._attempts(host):
            result = await self._orders.stage(host, model, self._lease.token)
            self._handle_result("stage", host, "", result)
            if not isinstance(result, NoAnswer):
                break
        if not isinstance(result, Accepted):
            return False
        return await self._wait_until(lambda: self._has_staged(host.id, model), [host], timeout_s)

    def _has_staged(self, host: str, model: str) -> bool:
        known = self._hosts.get(host)
        return known is not None and model in known.staged

    async def open(self, group: Group) -> Outcome:
        """Open a group whose members were all observed ready."""
        head = group.head
        deadline = self._clock.now() + OPEN_TIMEOUT_S
        while self._clock.now() < deadline:
            self._check_lease()
            if not self._are_ready(
                group.name, group.epoch, [m.id for m in self._members_by_rank(group)]
            ):
                return Outcome.FAILED
            result = await self._orders.open(head, group.name, group.epoch, self._lease.token)
            self._handle_result("open", head, group.name, result)
            if isinstance(result, Rejected):
                return Outcome.FAILED
            if await self._wait_until(
                lambda: self._is_open(head.id, group), [head], POLL_INTERVAL_S * 2
            ):
                self._log.event("group_open", group=group.name, head=head.id)
                return Outcome.DONE
            if self._is_resting(head.id):
                return Outcome.FAILED
        return Outcome.FAILED

    def record_repair(self, missing_s: float | None) -> None:
        """Record how long the group that was just opened had been missing, if known."""
        if missing_s is not None:
            self._metrics.observe_repair(missing_s)

    # Dissolving groups.

    async def dissolve(self, group: Group) -> set[str] | None:
        """Dissolve a group, so that its members can join other groups.

        Returns ``None`` if the head has left, which frees all members; otherwise the
        members that have left.
        """
        head = group.head
        if head is not None and not self._hosts.is_lost(head.id):
            if await self._leave(head, group):
                return None
            self._mark_lost(head.id)
        members = [m for m in self._members_by_rank(group) if head is None or m.id != head.id]
        alive = [m for m in members if not self._hosts.is_lost(m.id)]
        results = await asyncio.gather(*(self._leave(member, group) for member in alive))
        return {m.id for m, has_left in zip(alive, results, strict=True) if has_left}

    async def _leave(self, member: Upstream, group: Group) -> bool:
        for _ in self._attempts(member):
            result = await self._orders.leave(member, group.name, group.epoch, self._lease.token)
            self._handle_result("leave", member, group.name, result)
            if isinstance(result, Accepted):
                self._hosts.record_left(member.id, group)
            if not isinstance(result, NoAnswer):
                # A host that rejects the order is not a member of the group.
                return True
            report = await self.probe(member)
            if isinstance(report, Unavailable):
                return False
            if not self._is_member(member.id, group.name, group.epoch):
                return True
        return False

    # Host states.

    def _is_member(self, host: str, name: str, epoch: int) -> bool:
        known = self._hosts.get(host)
        return known is not None and known.group_key == (name, epoch)

    def _are_ready(self, name: str, epoch: int, ids: list[str]) -> bool:
        for rank, host in enumerate(ids):
            known = self._hosts.get(host)
            if known is None or self._hosts.is_lost(host) or known.membership is None:
                return False
            membership = known.membership
            if (membership.group, membership.epoch, membership.rank) != (name, epoch, rank):
                return False
            if membership.state is not MemberState.READY:
                return False
        return True

    def _is_open(self, host: str, group: Group) -> bool:
        known = self._hosts.get(host)
        if not self._is_member(host, group.name, group.epoch):
            return False
        return known.membership.state is MemberState.OPEN

    async def _wait_until(self, is_met, members: list[Upstream], timeout_s: float) -> bool:
        """Wait until a condition holds; quick steps poll the members between list updates."""
        is_quick = timeout_s < QUICK_STEP_TIMEOUT_S
        self._quick_waits += is_quick
        try:
            return await self._wait_for_hosts(is_met, members, timeout_s, is_quick)
        finally:
            self._quick_waits -= is_quick

    async def _wait_for_hosts(
        self, is_met, members: list[Upstream], timeout_s: float, is_quick: bool
    ) -> bool:
        deadline = self._clock.now() + timeout_s
        while not is_met():
            state_changed = self._state_changed
            remaining_s = deadline - self._clock.now()
            if remaining_s <= 0 or any(self._hosts.is_lost(m.id) for m in members):
                return False
            try:
                async with asyncio.timeout(min(POLL_INTERVAL_S, remaining_s)):
                    await state_changed.wait()
            except TimeoutError:
                if is_quick:
                    await asyncio.gather(*(self.probe(member) for member in members))
        return True

    def _members_by_rank(self, group: Group) -> list[Upstream]:
        return [group.members[rank] for rank in sorted(group.members)]

    def _check_lease(self) -> None:
        if not self._lease.is_held():
            raise LeaseLost

    def _handle_result(self, order: str, host: Upstream, group: str, result: OrderResult) -> None:
        outcome = type(result).__name__
        self._metrics.count_order(order, outcome)
        detail = getattr(result, "reason", getattr(result, "status", ""))
        self._log.event(
            "order", order=order, host=host.id, group=group, outcome=outcome, detail=detail
        )
        if isinstance(result, Fenced):
            self._lease.mark_fenced()
            raise LeaseLost
