"""What the coordinator passes on to all nodes, and what a node makes of it.

Explanation
===========

The coordinator reads the store for all. What it passes on keeps its age: a node
dates it from before it sent the report that is answered, so that a delay on the
way only makes it older. A node whose evidence grows too old reads the store itself.
"""

from __future__ import annotations

from collections.abc import Callable

from mulleinreach.gateway.coordination.reports import (
    CoordinatorReport,
    OpenHead,
    Totals,
)
from mulleinreach.gateway.fleet.controller import FleetController
from mulleinreach.gateway.known.choosing import UpstreamChooser
from mulleinreach.gateway.known.cold import ColdRateLimit
from mulleinreach.gateway.known.crashes import CrashTracker, RunObservation
from mulleinreach.gateway.known.eligibility import Eligibility
from mulleinreach.gateway.known.following import ConfigurationInForce
from mulleinreach.gateway.known.limits import NamedLimit
from mulleinreach.gateway.known.load import LoadReport, LoadTracker
from mulleinreach.gateway.known.permits import PermitCount, SendPermits
from mulleinreach.gateway.known.upstream_following import UpstreamFollower
from mulleinreach.gateway.known.upstreams import Head, ListChange, UpstreamDirectory
from mulleinreach.gateway.model import HandoverState
from mulleinreach.gateway.ports import OperatorRows
from mulleinreach.gateway.request.urgency import FirstWaits

# Older evidence would be too old at the nodes (1.5 s) before the next renewal.
MAX_UNCONFIRMED_S = 0.7


class SharedState:
    """One node's side of the exchange.

    Parameters
    ==========

    follower : the list of upstreams, as this node reads it or is told it.
    controller : tells a coordinator's view of groups and hosts.
    on_lost : called with the id of each upstream that the coordinator newly found lost.
    """

    def __init__(
        self,
        in_force: ConfigurationInForce,
        follower: UpstreamFollower,
        directory: UpstreamDirectory,
        loads: LoadTracker,
        chooser: UpstreamChooser,
        eligibility: Eligibility,
        cold_limit: ColdRateLimit,
        permits: SendPermits,
        controller: FleetController,
        first_waits: FirstWaits,
        crashes: CrashTracker,
        on_lost: Callable[[str], None],
    ):
        self._in_force = in_force
        self._follower = follower
        self._directory = directory
        self._loads = loads
        self._chooser = chooser
        self._eligibility = eligibility
        self._cold_limit = cold_limit
        self._permits = permits
        self._controller = controller
        self._first_waits = first_waits
        self._crashes = crashes
        self._on_lost = on_lost
        self._heads: list[OpenHead] = []

    # What is passed on.

    def totals(self, token: int, nodes: int, loads: list[LoadReport]) -> Totals:
        """Return what all nodes should know."""
        view = self._controller.describe()
        return Totals(
            token,
            nodes,
            loads,
            view.heads,
            view.lost,
            self._in_force.version,
            self._in_force.evidence_age_s(),
            self.list_revision(),
            self._follower.list_age_s(),
            retiring=view.retiring,
            keeps_removed=self._follower.keeps_removed(),
            evacuated=sorted(self._in_force.evacuations.halls),
            operator_revision=self._in_force.evacuations.revision,
            held=self._crashes.held(),
            limits=self._permits.limits.named(),
        )

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return the changes of the list after a revision."""
        return self._directory.changes_since(revision)

    def whole_list(self) -> ListChange | None:
        """Return all upstreams of this node's list, ``None`` before the first one."""
        return self._directory.whole()

    def list_revision(self) -> int:
        """Return the revision of this node's list; 0 before the first one."""
        return self._directory.revision or 0

    def configuration_version(self) -> int:
        """Return the version in force at this node; 0 before the first one."""
        return self._in_force.version

    def configuration_document(self) -> bytes:
        """Return the configuration in force, in a form that other nodes can decode."""
        return self._in_force.document

    def evidence_age_s(self) -> float:
        """Return the age of the latest proof that the configuration is the newest."""
        return self._in_force.evidence_age_s()

    def inheritance(self) -> HandoverState:
        """Return what nodes that start should know."""
        return HandoverState(self._first_waits.known(), self._crashes.held())

    def sightings(self, includes_old: bool) -> list[RunObservation]:
        """Return what this node saw of upstreams that ended under requests, lately or ever."""
        return self._crashes.own_observations(includes_old)

    def merge_sightings(self, sightings: list[RunObservation]) -> None:
        """Take what another node saw of upstreams that ended under requests."""
        self._crashes.take(sightings)

    def unreported_limits(self, includes_told: bool) -> tuple[NamedLimit, ...]:
        """Return the limits of upstreams that the coordinator should know and hasn't told."""
        return self._permits.limits.unpublished(includes_told)

    def merge_limits(self, named: tuple[NamedLimit, ...]) -> None:
        """Take what another node knows of the limits of upstreams."""
        self._permits.limits.merge_reported(named)

    def limits(self) -> dict[str, float]:
        """Return the limits of upstreams that are in force, in requests a second."""
        return self._permits.limits.limits()

    def wanted_permits(self) -> tuple[PermitCount, ...]:
        """Return the permits that this node has use for."""
        return self._permits.wanted()

    # What a renewal of the lease shows.

    def operator_rows(self) -> OperatorRows | None:
        """Return the operators' rows in the store, if this node has read them."""
        return self._in_force.operator_rows()

    def confirm(self, rows: OperatorRows | None, asked_at: float) -> None:
        """Take in that a write under the versions of these rows was done after ``asked_at``."""
        self._in_force.confirm(rows, asked_at)
        self._follower.confirm(asked_at)

    async def read_changed_rows(self, rows: OperatorRows | None) -> None:
        """Read the operators' rows, which have other versions, unless a wait has told it."""
        if self._in_force.operator_rows() == rows:
            await self._in_force.read_now()

    async def read_unconfirmed_rows(self) -> None:
        """Read the operators' rows if renewals have not proved them for too long."""
        self._follower.confirm(self._loads.now())
        if self._in_force.evidence_age_s() > MAX_UNCONFIRMED_S:
            await self._in_force.read_now()

    def note_store_failed(self) -> None:
        """Note that the store has just failed to answer."""
        self._follower.note_store_failed()

    # What is taken.

    def apply_inheritance(self, inheritance: HandoverState) -> None:
        """Take what an earlier coordinator knew of callers."""
        self._first_waits.take_told(inheritance.first_waits)
        self._crashes.merge_held(inheritance.held)

    def take(self, report: CoordinatorReport, asked_at: float, own_loads: list[LoadReport]) -> None:
        """Take a coordinator's report.

        Parameters
        ==========

        asked_at : when this node sent the report that is answered; what is told is dated from
            then, less its age at the coordinator.
        own_loads : what that report told of this node's own requests.
        """
        totals = report.totals
        self._loads.update_totals(totals.loads, own_loads)
        self._in_force.take_passed(
            totals.configuration_version,
            asked_at - totals.configuration_age_s,
            report.configuration,
            frozenset(totals.evacuated),
            totals.operator_revision,
        )
        self._follower.note_coordinator_retention(totals.keeps_removed)
        if totals.is_store_unavailable:
            self._in_force.note_store_unreachable(asked_at)
        if report.whole_list is not None:
            self._follower.take_coordinator_list(report.whole_list, asked_at - totals.list_age_s)
        if not report.is_list_unknown:
            self._follower.take_passed(
                report.changes, totals.list_revision, asked_at - totals.list_age_s
            )
        self._cold_limit.set_number(report.number, totals.numbers, asked_at)
        if totals.limits is not None:
            self._permits.limits.take_told(totals.limits, asked_at)
        self._permits.take(report.permits, asked_at, totals.nodes)
        self._crashes.merge_held(totals.held or (), asked_at)
        self._take_heads(totals)
        self._take_lost(totals.lost)

    def _take_heads(self, totals: Totals) -> None:
        if totals.heads is not None:
            self._heads = totals.heads
        opened = [
            Head(upstream, head.group, head.epoch, head.model, head.pace)
            for head in self._heads
            if (upstream := self._directory.get(head.upstream_id)) is not None
        ]
        self._chooser.take_told(opened, frozenset(totals.retiring))

    def _take_lost(self, lost: list[str]) -> None:
        newly_lost = set(lost) - self._eligibility.lost
        self._eligibility.lost = frozenset(lost)
        for upstream_id in sorted(newly_lost):
            self._on_lost(upstream_id)
