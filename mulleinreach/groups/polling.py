"""Status polling of hosts, and tracking of replicas' health.

Each replica is watched by ``WATCHERS_PER_REPLICA`` nodes, selected by rendezvous
hashing over the nodes that answer. A watcher polls the status of every member,
with one task per host. The age of a status counts from just before its request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Address, Clock, EventLog, TaskGroup, rendezvous_rank
from mulleinreach.groups.model import GroupRecord
from mulleinreach.orders import EngineClient, EngineStatus
from mulleinreach.roster.messages import HostReport, ReplicaReport

WATCHERS_PER_REPLICA = 2
NEVER = float("-inf")


@dataclass(frozen=True)
class StatusObservation:
    """A status, and the monotonic time in seconds just before it was requested."""

    status: EngineStatus
    asked_at: float


def is_member_ready(status: EngineStatus, replica: str, epoch: int) -> bool:
    """Whether an engine reports that it is ready in the group (replica, epoch)."""
    return status.replica == replica and status.epoch == epoch and status.state == "ready"


class HostPoller:
    """Polls the status of the hosts that this node watches, with one task per host.

    ``on_broken`` is called once per epoch when a group's member stops being ready.
    """

    def __init__(
        self,
        engines: EngineClient,
        clock: Clock,
        log: EventLog,
        interval_s: float,
        on_broken: Callable[[GroupRecord, str], None],
    ):
        self._engines = engines
        self._clock = clock
        self._log = log
        self._interval_s = interval_s
        self._on_broken = on_broken
        self._tasks = TaskGroup()
        self._poll_tasks: dict[str, asyncio.Task] = {}
        self._addresses: dict[str, Address] = {}
        self._groups: dict[str, GroupRecord] = {}
        self._last_reported_epoch: dict[str, int] = {}
        self.host_observations: dict[str, StatusObservation] = {}

    def assign(self, addresses: dict[str, Address], groups: list[GroupRecord]) -> None:
        """Set the hosts to poll to ``addresses``, and the groups to report to ``groups``."""
        self._groups = {host: group for group in groups for host in group.hosts}
        for host in list(self._poll_tasks):
            if addresses.get(host) != self._addresses.get(host):
                self._poll_tasks.pop(host).cancel()
                self.host_observations.pop(host, None)
        self._addresses = dict(addresses)
        for host in addresses:
            if host not in self._poll_tasks:
                self._poll_tasks[host] = self._tasks.spawn(self._poll(host))

    async def _poll(self, host: str) -> None:
        while True:
            asked_at = self._clock.now()
            status = await self._engines.status(self._addresses[host], host)
            if status is not None:
                self._record_observation(host, StatusObservation(status, asked_at))
            await asyncio.sleep(self._interval_s)

    def _record_observation(self, host: str, observation: StatusObservation) -> None:
        previous = self.host_observations.get(host)
        self.host_observations[host] = observation
        group = self._groups.get(host)
        if group is None or previous is None:
            return
        was_ready = is_member_ready(previous.status, group.replica, group.epoch)
        is_ready = is_member_ready(observation.status, group.replica, group.epoch)
        is_new = self._last_reported_epoch.get(group.replica, 0) < group.epoch
        if was_ready and not is_ready and is_new:
            self._last_reported_epoch[group.replica] = group.epoch
            self._on_broken(group, f"{host} is no longer ready in epoch {group.epoch}")

    async def stop(self) -> None:
        """Stop all polling."""
        await self._tasks.close()

    def report_hosts(self) -> list[HostReport]:
        """Return the latest status of each watched host as a report."""
        now = self._clock.now()
        return [_report_host(s, now) for s in self.host_observations.values()]

    def report_replica(self, group: GroupRecord, sent: int) -> ReplicaReport | None:
        """Return a report on a group, or ``None`` if a member has not been polled yet."""
        observations = [self.host_observations.get(host) for host in group.hosts]
        if any(observation is None for observation in observations):
            return None
        now = self._clock.now()
        head = observations[0].status
        ready = [is_member_ready(s.status, group.replica, group.epoch) for s in observations]
        return ReplicaReport(
            epoch=group.epoch,
            whole=all(ready),
            age_ms=int(1000 * (now - min(s.asked_at for s in observations))),
            running=head.running,
            waiting=head.waiting,
            slots=head.slots,
            sent=sent,
        )


def _report_host(observation: StatusObservation, now: float) -> HostReport:
    status = observation.status
    return HostReport(
        host=status.host,
        incarnation=status.incarnation,
        replica=status.replica,
        epoch=status.epoch,
        state=status.state,
        last_order=status.last_order,
        age_ms=int(1000 * (now - observation.asked_at)),
        in_flight=status.running + status.waiting,
    )


def watchers_of(key: str, nodes: list[str]) -> list[str]:
    """Return the nodes that watch a replica, or a host that is in no replica.

    Examples
    ========

    >>> len(watchers_of("tint-model-1", ["a", "b", "c"]))
    2
    """
    return rendezvous_rank(key, nodes)[:WATCHERS_PER_REPLICA]


@dataclass
class ReplicaStatus:
    """The latest reported status of a replica; times are local monotonic seconds."""

    epoch: int
    confirmed_at: float = NEVER
    running: int = 0
    waiting: int = 0
    slots: int = 0
    reported_at: float = NEVER


class ReplicaHealthTracker:
    """Tracks which replicas are whole, i.e. have all members ready in one epoch.

    A report that confirms a replica as whole expires after ``max_age_s`` seconds.
    A withdrawal immediately invalidates all statuses requested before it arrived.
    """

    def __init__(self, clock: Clock, max_age_s: float):
        self._clock = clock
        self._max_age_s = max_age_s
        self._statuses: dict[str, ReplicaStatus] = {}
        self._withdrawn_at: dict[str, tuple[int, float]] = {}

    def record_report(self, replica: str, report: ReplicaReport, asked_at: float) -> None:
        """Record a report on ``replica`` that was requested at ``asked_at``."""
        status = self._statuses.get(replica)
        if status is None or report.epoch > status.epoch:
            status = self._statuses[replica] = ReplicaStatus(report.epoch)
        if report.epoch < status.epoch:
            return
        confirmed_at = asked_at - report.age_ms / 1000
        if report.whole and not self._is_invalidated(replica, report.epoch, confirmed_at):
            status.confirmed_at = max(status.confirmed_at, confirmed_at)
        if asked_at >= status.reported_at:
            status.running, status.waiting = report.running, report.waiting
            status.slots, status.reported_at = report.slots, asked_at

    def _is_invalidated(self, replica: str, epoch: int, confirmed_at: float) -> bool:
        withdrawn_epoch, withdrawn_at = self._withdrawn_at.get(replica, (0, NEVER))
        return epoch <= withdrawn_epoch and confirmed_at <= withdrawn_at

    def withdraw(self, replica: str, epoch: int) -> bool:
        """Invalidate the status of a replica up to ``epoch``; return whether that is new."""
        is_new = self._withdrawn_at.get(replica, (0, NEVER))[0] < epoch
        self._withdrawn_at[replica] = (epoch, self._clock.now())
        status = self._statuses.get(replica)
        if status is not None and status.epoch <= epoch:
            status.confirmed_at = NEVER
        return is_new

    def is_whole(self, replica: str, epoch: int) -> bool:
        """Whether the group (replica, epoch) was confirmed as whole recently enough."""
        status = self._statuses.get(replica)
        if status is None or status.epoch != epoch:
            return False
        return self._clock.now() - status.confirmed_at < self._max_age_s

    def evidence(self, replica: str) -> ReplicaStatus | None:
        """Return the latest status of a replica, if any was reported."""
        return self._statuses.get(replica)

    def age_s(self, replica: str) -> float:
        """Return the seconds since the replica was last confirmed as whole, else infinity."""
        status = self._statuses.get(replica)
        return self._clock.now() - status.confirmed_at if status else float("inf")

    def keep_only(self, replicas: set[str]) -> None:
        """Remove the status of all replicas that are not in ``replicas``."""
        for name in list(self._statuses):
            if name not in replicas:
                del self._statuses[name]
                self._withdrawn_at.pop(name, None)
