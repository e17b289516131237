"""The control loop that brings the fleet's groups in line with the intent.

The node that holds the lease on the duty ``groups`` runs this loop. Any node can
take it over, because all state is in the table or is observed from the hosts.
Each transaction is conditional on the versions of the lease's row and of every
row that the decision was based on. The lease is checked again after every wait
and just before each order is sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from mulleinreach.audit import AuditTrail
from mulleinreach.common import Address, Clock, EventLog, TaskGroup
from mulleinreach.groups.model import (
    GROUPS_PREFIX,
    HOSTS_PREFIX,
    GroupRecord,
    HostRecord,
    HostUse,
)
from mulleinreach.groups.order_tracker import (
    OrderTracker,
    has_process_ended,
    is_latest_order_done,
    is_stopped,
)
from mulleinreach.groups.planner import Change, Decision, FleetPlanner
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import ConfigDocument
from mulleinreach.orders import EngineClient, Order
from mulleinreach.roster.lease import Lease
from mulleinreach.roster.messages import HostReport
from mulleinreach.stores import (
    Committed,
    Condition,
    Host,
    HostDirectory,
    HostKind,
    HostState,
    TableCache,
    TableClient,
    Write,
)

DUTY = "groups"
EPOCH_KEY = "state/epoch"
RESEND_INTERVAL_S = 5.0
# Covers the time until every node has stopped sending to a draining group.
MIN_DRAIN_S = 3.0
MAX_CHANGES_PER_ROUND = 20

HostReports = Callable[[], dict[str, tuple[HostReport, float]]]


def build_view(
    cache: TableCache,
    directory: HostDirectory,
    reports: dict[str, tuple[HostReport, float]],
    config: ConfigDocument,
    now: float,
    wall: float,
    lost_after_s: float,
) -> FleetView:
    """Combine the table's rows, the host list and the watchers' reports into one view.

    Parameters
    ==========

    reports : the latest status of each host, with the monotonic time at which
        it was requested.
    now : monotonic time in seconds.
    wall : Unix time in seconds.
    lost_after_s : seconds without a status after which a host counts as lost.
    """
    rows = [HostRecord.from_row(row) for row in cache.rows_with_prefix(HOSTS_PREFIX)]
    records = {record.name: record for record in rows}
    hosts = {host.name: host for host in directory.of_kind(HostKind.ENGINE)}
    for name in records:
        if name not in hosts:
            hosts[name] = directory.get(name) or _unlisted_host(name)
    views = {}
    for name, host in hosts.items():
        report, asked_at = reports.get(name, (None, float("-inf")))
        absent_s = now - asked_at
        gone = host.state is HostState.GONE
        views[name] = HostView(
            host=host,
            record=records.get(name) or HostRecord(name),
            report=report,
            absent_s=absent_s,
            lost=gone or absent_s > lost_after_s,
            leaving=host.state is HostState.LEAVING or name in config.drained_hosts,
        )
    groups = [GroupRecord.from_row(row) for row in cache.rows_with_prefix(GROUPS_PREFIX)]
    return FleetView(now, wall, config, views, groups)


def _unlisted_host(name: str) -> Host:
    return Host(name, "0.0.0.0:0", HostKind.ENGINE, "", HostState.GONE)


class GroupController:
    """Decides and orders changes of groups while this node holds the duty's lease."""

    def __init__(
        self,
        lease: Lease,
        planner: FleetPlanner,
        table: TableClient,
        cache: TableCache,
        directory: HostDirectory,
        engines: EngineClient,
        trail: AuditTrail,
        clock: Clock,
        log: EventLog,
        reports: HostReports,
        config: Callable[[], ConfigDocument],
        lost_after_s: float,
    ):
        self._lease = lease
        self._planner = planner
        self._table = table
        self._cache = cache
        self._directory = directory
        self._engines = engines
        self._trail = trail
        self._clock = clock
        self._log = log
        self._reports = reports
        self._config = config
        self._lost_after_s = lost_after_s
        self._order_tracker = OrderTracker()
        self._tasks = TaskGroup()
        self._sending: set[str] = set()
        self._lease_held_since: float | None = None
        self.notes: dict[str, str] = {}

    async def stop(self) -> None:
        """Cancel the orders that are being sent and release the lease."""
        await self._tasks.close()
        await self._lease.release()

    async def abandon(self) -> None:
        """Stop without releasing the lease, which then expires."""
        await self._tasks.close()

    async def tick(self) -> None:
        """Run one iteration of the control loop if this node holds the lease."""
        await self._lease.tick()
        if not self._can_decide():
            return
        await self._record_resolved_orders()
        if not self._lease.is_held():
            return
        await self._decide()
        self._send_orders()

    def _can_decide(self) -> bool:
        """Whether the host list was read and the lease held long enough to detect lost hosts."""
        if not self._lease.is_held():
            self._lease_held_since = None
            return False
        now = self._clock.now()
        if self._lease_held_since is None:
            self._lease_held_since = now
            self._order_tracker = OrderTracker()
        watched_s = now - self._lease_held_since
        return self._directory.was_read and watched_s > self._lost_after_s

    def view(self) -> FleetView:
        """Return the current view of the fleet."""
        return build_view(
            self._cache,
            self._directory,
            self._reports(),
            self._config(),
            self._clock.now(),
            self._clock.wall(),
            self._lost_after_s,
        )

    async def _record_resolved_orders(self) -> None:
        """Store which orders are resolved and which hosts are free again."""
        updated = [self._order_tracker.updated_record(host) for host in self.view().hosts.values()]
        rows = [record for record in updated if record is not None]
        if rows:
            await self._commit_rows(rows, [])

    async def _decide(self) -> None:
        view = self.view()
        if view.config.version == 0:
            return
        last_epoch = (self._cache.get(EPOCH_KEY).value or {"last": 0})["last"]
        decision = self._planner.decide(
            view, last_epoch, self._drain_check(view), self._lease.epoch, MAX_CHANGES_PER_ROUND
        )
        self._update_notes(decision)
        for change in decision.changes[:MAX_CHANGES_PER_ROUND]:
            if not self._lease.is_held() or not await self._commit(change):
                return

    def _update_notes(self, decision: Decision) -> None:
        for subject, note in decision.notes.items():
            if self.notes.get(subject) != note:
                self.notes[subject] = note
        for subject in list(self.notes):
            if subject not in decision.notes:
                del self.notes[subject]

    def _drain_check(self, view: FleetView) -> Callable[[GroupRecord], bool]:
        def is_drained(group: GroupRecord) -> bool:
            head = view.hosts.get(group.head)
            if head is None or head.report is None:
                return False
            waited_s = view.wall - group.since
            # The status must be newer than the last request that any node sent.
            is_recent = waited_s - head.absent_s > MIN_DRAIN_S
            return is_recent and head.report.in_flight == 0

        return is_drained

    async def _commit(self, change: Change) -> bool:
        """Write one change, and raise the last used epoch to the highest in it."""
        conditions, writes = [], []
        if change.group is not None:
            conditions.append(Condition(change.group.key, change.group.version))
            writes.append(Write(change.group.key, change.group.to_value()))
        for group in change.removed:
            conditions.append(Condition(group.key, group.version))
            writes.append(Write(group.key, None))
        epochs = [row.epoch for row in change.hosts]
        if epochs:
            row = self._cache.get(EPOCH_KEY)
            last = max(epochs + [(row.value or {"last": 0})["last"]])
            conditions.append(Condition(EPOCH_KEY, row.version))
            writes.append(Write(EPOCH_KEY, {"last": last}))
        entry = self._trail.entry("duty groups", change.action, change.subject, change.why)
        writes.append(entry)
        committed = await self._commit_rows(list(change.hosts), writes, conditions)
        if committed:
            self._trail.announce(entry)
        return committed

    async def _commit_rows(
        self,
        records: list[HostRecord],
        writes: list[Write],
        conditions: list[Condition] | None = None,
    ) -> bool:
        lease_row = self._cache.get(self._lease.key)
        conditions = [Condition(lease_row.key, lease_row.version), *(conditions or [])]
        conditions += [Condition(record.key, record.version) for record in records]
        writes = writes + [Write(record.key, record.to_value()) for record in records]
        result = await self._table.transact(conditions, writes)
        await self._cache.refresh()
        if not isinstance(result, Committed):
            self._log.event("control_write_failed", result=type(result).__name__)
        return isinstance(result, Committed)

    def _send_orders(self) -> None:
        for host in self.view().hosts.values():
            if host.name not in self._sending and self._needs_order(host):
                self._sending.add(host.name)
                self._tasks.spawn(self._send_order(host))

    def _needs_order(self, host: HostView) -> bool:
        record = host.record
        if record.use is HostUse.FREE or host.lost or has_process_ended(host):
            return False
        if is_latest_order_done(host) or (record.use is HostUse.STOPPING and is_stopped(host)):
            return False
        sent_at = self._order_tracker.sent_at(record)
        return sent_at is None or self._clock.now() - sent_at > RESEND_INTERVAL_S

    async def _send_order(self, host: HostView) -> None:
        try:
            record = await self._record_resend(host.record)
            if record is None or not self._lease.is_held():
                return
            self._order_tracker.record_sent_order(record, self._clock.now())
            order = self._build_order(record)
            if order is None:
                return
            address = Address.parse(host.host.address)
            result = await self._engines.order(address, order)
            self._order_tracker.record_order_result(record, result)
            self._log.event("order_sent", host=host.name, order=record.order_id, result=str(result))
        finally:
            self._sending.discard(host.name)

    async def _record_resend(self, record: HostRecord) -> HostRecord | None:
        """Count a resent copy in the host's row if the engine doesn't check epochs."""
        first_copy = (
            record.sender == self._lease.epoch and self._order_tracker.sent_at(record) is None
        )
        if record.unresolved == 0 or first_copy:
            return record
        copy = replace(
            record,
            unresolved=record.unresolved + 1,
            copies=record.copies + 1,
            sender=self._lease.epoch,
        )
        if not await self._commit_rows([copy], []):
            return None
        return replace(copy, version=self._cache.get(copy.key).version)

    def _build_order(self, record: HostRecord) -> Order | None:
        """Return the order that a row calls for, or ``None`` if its group has changed."""
        if record.use is HostUse.STOPPING:
            return Order(
                record.order_id, "stop", record.replica, record.epoch, record.incarnation, []
            )
        row = self._cache.get(GROUPS_PREFIX + record.replica)
        group = GroupRecord.from_row(row) if row.value is not None else None
        if group is None or group.epoch != record.epoch:
            return None
        return Order(
            order_id=record.order_id,
            action="load",
            replica=record.replica,
            epoch=record.epoch,
            incarnation=record.incarnation,
            members=list(group.hosts),
            model=group.model,
            model_version=group.model_version,
            adapters=list(group.adapters),
        )


async def run_controller(controller: GroupController, interval_s: float) -> None:
    """Run the control loop until it is cancelled."""
    while True:
        await controller.tick()
        await asyncio.sleep(interval_s)
