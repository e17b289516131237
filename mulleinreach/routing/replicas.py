"""The replicas that a node may send work to, and how loaded it thinks they are."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Address, Clock
from mulleinreach.groups.model import GROUPS_PREFIX, GroupRecord, GroupState
from mulleinreach.groups.watch import ReplicaHealthTracker, ReplicaStatus
from mulleinreach.stores import HostDirectory, TableCache

MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 10.0
FAILURES_TO_EJECT = 3
DEFAULT_SLOTS = 8
MAX_LOAD_FACTOR = 1.25


@dataclass
class ReplicaLoad:
    """This node's own work on one replica, for correcting a report that lags.

    Parameters
    ==========

    sent, finished : counts since the node started.
    sent_at_report, finished_at_report : the counts when the latest report was asked for.
    failures : in a row; ``ejected_until`` in monotonic seconds.
    """

    sent: int = 0
    finished: int = 0
    sent_at_report: int = 0
    finished_at_report: int = 0
    reported_at: float = float("-inf")
    failures: int = 0
    ejected_until: float = float("-inf")

    @property
    def in_flight(self) -> int:
        """Requests of this node that the replica works on."""
        return self.sent - self.finished

    def estimate(self, evidence: ReplicaStatus) -> float:
        """Return the requests at the replica: as reported, and what we did since."""
        if evidence.reported_at > self.reported_at:
            self.reported_at = evidence.reported_at
            self.sent_at_report = self.sent
            self.finished_at_report = self.finished
        since = (self.sent - self.sent_at_report) - (self.finished - self.finished_at_report)
        return max(evidence.running + evidence.waiting + since, self.in_flight, 0)


@dataclass(frozen=True)
class Candidate:
    """A replica that may be sent work; ``load`` in requests running or waiting."""

    replica: str
    epoch: int
    address: Address
    load: float
    slots: int
    in_flight: int = 0
    nodes: int = 1

    @property
    def has_capacity(self) -> bool:
        """Whether the replica may be sent one more.

        Explanation
        ===========

        Reports lag, so a node may see a replica full of the work of others that
        has ended since. Its fair part of the places it may use all the same.
        """
        max_load = self.slots * MAX_LOAD_FACTOR
        return self.load < max_load or self.in_flight < max_load / self.nodes


class ReplicaTable:
    """Joins groups, evidence of wholeness, leaving hosts and own load."""

    def __init__(
        self,
        cache: TableCache,
        directory: HostDirectory,
        health: ReplicaHealthTracker,
        clock: Clock,
        leaving_hosts: Callable[[], set[str]],
        get_node_count: Callable[[], int],
    ):
        self._directory = directory
        self._health = health
        self._clock = clock
        self._leaving_hosts = leaving_hosts
        self._get_node_count = get_node_count
        self._cache = cache
        self.changes = 0
        self._groups: dict[str, list[GroupRecord]] = {}
        self._by_epoch: dict[int, str] = {}
        self._loads: dict[str, ReplicaLoad] = {}
        cache.listeners.append(self._update_groups)

    def _update_groups(self) -> None:
        if self.changes == self._cache.changes:
            return
        self.changes = self._cache.changes
        self._groups = {}
        self._by_epoch = {}
        names = set()
        for row in self._cache.rows_with_prefix(GROUPS_PREFIX):
            group = GroupRecord.from_row(row)
            names.add(group.replica)
            self._groups.setdefault(group.service, []).append(group)
            self._by_epoch[group.epoch] = group.replica
        self._health.keep_only(names)
        for name in list(self._loads):
            if name not in names and self._loads[name].in_flight == 0:
                del self._loads[name]

    def replica_of(self, epoch: int) -> str | None:
        """Return the replica whose group has this epoch; each is given out once."""
        return self._by_epoch.get(epoch)

    def groups(self, service: str) -> list[GroupRecord]:
        """Return all groups of a service, usable or not."""
        return self._groups.get(service, [])

    def all_groups(self) -> list[GroupRecord]:
        """Return all groups of all services."""
        return [group for groups in self._groups.values() for group in groups]

    def load_of(self, replica: str) -> ReplicaLoad:
        """Return this node's own count of work on a replica."""
        return self._loads.setdefault(replica, ReplicaLoad())

    def candidates(self, service: str) -> list[Candidate]:
        """Return the replicas of a service that may be sent work at this moment."""
        leaving = self._leaving_hosts()
        nodes = self._get_node_count()
        found = []
        for group in self._groups.get(service, []):
            if self.why_unusable(group, leaving) is None:
                found.append(self._candidate(group, nodes))
        return found

    def why_unusable(self, group: GroupRecord, leaving: set[str]) -> str | None:
        """Return why a group gets no new work, or ``None`` if it may."""
        if group.state is GroupState.DRAINING:
            return "it is draining"
        if not leaving.isdisjoint(group.hosts):
            return f"{', '.join(sorted(leaving.intersection(group.hosts)))} is leaving"
        if not self._health.is_whole(group.replica, group.epoch):
            age = self._health.age_s(group.replica)
            return f"not known to be whole in epoch {group.epoch} (last confirmed {age:.1f} s ago)"
        if self._directory.get(group.head) is None:
            return f"the address of {group.head} is not known"
        if self._clock.now() < self.load_of(group.replica).ejected_until:
            return f"it failed {self.load_of(group.replica).failures} times in a row"
        return None

    def _candidate(self, group: GroupRecord, nodes: int) -> Candidate:
        evidence = self._health.evidence(group.replica)
        load = self.load_of(group.replica)
        head = self._directory.get(group.head)
        return Candidate(
            replica=group.replica,
            epoch=group.epoch,
            address=Address.parse(head.address),
            load=load.estimate(evidence),
            slots=evidence.slots or DEFAULT_SLOTS,
            in_flight=load.in_flight,
            nodes=nodes,
        )

    def note_sent(self, replica: str) -> None:
        """Count a request that is sent to a replica."""
        self.load_of(replica).sent += 1

    def note_finished(self, replica: str, failed: bool) -> None:
        """Count a request that has ended; failures in a row eject the replica a while."""
        load = self.load_of(replica)
        load.finished += 1
        if not failed:
            load.failures = 0
            return
        load.failures += 1
        if load.failures >= FAILURES_TO_EJECT:
            backoff_exponent = load.failures - FAILURES_TO_EJECT
            ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2 ** min(backoff_exponent, 10))
            load.ejected_until = self._clock.now() + ejection_s
