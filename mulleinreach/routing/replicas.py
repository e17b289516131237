"""The replicas that a node may send requests to, and their estimated load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Address, Clock
from mulleinreach.groups.model import GROUPS_PREFIX, GroupRecord, GroupState
from mulleinreach.groups.polling import ReplicaHealthTracker, ReplicaStatus
from mulleinreach.stores import HostDirectory, TableCache

MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 10.0
# Consecutive failures after which a replica is ejected.
FAILURES_TO_EJECT = 3
# Assumed for replicas that report no slots.
DEFAULT_SLOTS = 8
# Maximum load of a replica, as a multiple of its slots.
MAX_LOAD_FACTOR = 1.25


@dataclass
class ReplicaLoad:
    """This node's requests at one replica, to correct delayed load reports.

    Parameters
    ==========

    sent, finished : numbers of requests since the node started.
    sent_at_report, finished_at_report : these numbers at the latest report.
    failures : consecutive failed attempts.
    ejected_until : when the ejection ends, in monotonic seconds.
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
        """The number of this node's requests in flight at the replica."""
        return self.sent - self.finished

    def estimate(self, status: ReplicaStatus) -> float:
        """Return the estimated load: the reported one, with this node's changes since."""
        if status.reported_at > self.reported_at:
            self.reported_at = status.reported_at
            self.sent_at_report = self.sent
            self.finished_at_report = self.finished
        since = (self.sent - self.sent_at_report) - (self.finished - self.finished_at_report)
        return max(status.running + status.waiting + since, self.in_flight, 0)


@dataclass(frozen=True)
class Candidate:
    """A replica that may be sent requests; ``load`` in requests running or waiting."""

    replica: str
    epoch: int
    address: Address
    load: float
    slots: int
    in_flight: int = 0
    nodes: int = 1

    @property
    def has_capacity(self) -> bool:
        """Whether the replica may be sent another request.

        Explanation
        ===========

        Load reports lag, so a replica may look full with requests of other nodes
        that have ended since. A node may always use its fair share of the slots.
        """
        max_load = self.slots * MAX_LOAD_FACTOR
        return self.load < max_load or self.in_flight < max_load / self.nodes


class ReplicaTable:
    """The replicas of each service, with their health, hosts and estimated load."""

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
        """Return the replica whose group has this epoch; epochs are unique."""
        return self._by_epoch.get(epoch)

    def groups(self, service: str) -> list[GroupRecord]:
        """Return all groups of a service, including unusable ones."""
        return self._groups.get(service, [])

    def all_groups(self) -> list[GroupRecord]:
        """Return all groups of all services."""
        return [group for groups in self._groups.values() for group in groups]

    def load_of(self, replica: str) -> ReplicaLoad:
        """Return this node's load on a replica."""
        return self._loads.setdefault(replica, ReplicaLoad())

    def candidates(self, service: str) -> list[Candidate]:
        """Return the replicas of a service that may be sent requests now."""
        leaving = self._leaving_hosts()
        nodes = self._get_node_count()
        found = []
        for group in self._groups.get(service, []):
            if self.why_unusable(group, leaving) is None:
                found.append(self._candidate(group, nodes))
        return found

    def why_unusable(self, group: GroupRecord, leaving: set[str]) -> str | None:
        """Return why a group gets no new requests, or ``None`` if it is usable."""
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
        status = self._health.evidence(group.replica)
        load = self.load_of(group.replica)
        head = self._directory.get(group.head)
        return Candidate(
            replica=group.replica,
            epoch=group.epoch,
            address=Address.parse(head.address),
            load=load.estimate(status),
            slots=status.slots or DEFAULT_SLOTS,
            in_flight=load.in_flight,
            nodes=nodes,
        )

    def note_sent(self, replica: str) -> None:
        """Count a request sent to a replica."""
        self.load_of(replica).sent += 1

    def note_finished(self, replica: str, failed: bool) -> None:
        """Count a finished request; consecutive failures eject the replica temporarily."""
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
