"""The state that the coordinator distributes to all nodes, and its use on each of them.

Explanation
===========

The coordinator reads the store for all nodes and distributes what it read together with its
age. A node counts that age from when it sent the report that the coordinator answers, so
network delays can only make data look older. A node whose data gets too old reads the store
itself.
"""

from __future__ import annotations

from collections.abc import Callable

from mulleinreach.gateway.connectivity.upstream_network import UpstreamNetwork
from mulleinreach.gateway.coordination.reports import (
    CoordinatorReport,
    OpenHead,
    Totals,
)
from mulleinreach.gateway.fleet.controller import FleetController
from mulleinreach.gateway.model import HandoverState
from mulleinreach.gateway.ports import OperatorRows
from mulleinreach.gateway.request.urgency import FirstWaitEstimator
from mulleinreach.gateway.state.cold import ColdRateLimit
from mulleinreach.gateway.state.configuration_follower import ConfigurationInForce
from mulleinreach.gateway.state.crashes import CrashTracker, RunObservation
from mulleinreach.gateway.state.eligibility import Eligibility
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.leased_share import HeldShare, LeasedShare
from mulleinreach.gateway.state.limits import NamedLimit
from mulleinreach.gateway.state.load import LoadReport, LoadTracker
from mulleinreach.gateway.state.permits import PermitCount, SendPermits
from mulleinreach.gateway.state.retiring import RetiringHeads
from mulleinreach.gateway.state.selection import UpstreamChooser
from mulleinreach.gateway.state.upstream_follower import UpstreamFollower
from mulleinreach.gateway.state.upstreams import ListChange, UpstreamDirectory

# Keeps the evidence at other nodes below their limit of 1.5 s until the next renewal.
MAX_UNCONFIRMED_S = 0.7


class SharedState:
    """The state of one node that it exchanges with the coordinator.

    Parameters
    ==========

    follower : keeps the list of upstreams up to date, from the store or the coordinator.
    controller : describes the groups and hosts if this node is the coordinator.
    retiring : since when this node knows that heads retire.
    on_lost : called with the id of each upstream that the coordinator newly reports lost.
    on_overdue : called with the id of each retiring head whose requests should move.
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
        leased_share: LeasedShare,
        controller: FleetController,
        first_waits: FirstWaitEstimator,
        crashes: CrashTracker,
        upstream_network: UpstreamNetwork,
        retiring: RetiringHeads,
        on_lost: Callable[[str], None],
        on_overdue: Callable[[str], None],
    ):
        self._in_force = in_force
        self._follower = follower
        self._directory = directory
        self._loads = loads
        self._chooser = chooser
        self._eligibility = eligibility
        self._cold_limit = cold_limit
        self._permits = permits
        self._leased_share = leased_share
        self._controller = controller
        self._first_waits = first_waits
        self._crashes = crashes
        self._upstream_network = upstream_network
        self._retiring = retiring
        self._on_lost = on_lost
        self._on_overdue = on_overdue
        self._heads: list[OpenHead] = []

    # State sent to other nodes.

    def totals(self, token: int, nodes: int, loads: list[LoadReport]) -> Totals:
        """Return the totals that the coordinator sends to all nodes."""
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
            limits=self._permits.limits.known_limits(),
            suspects=self._crashes.suspects(),
            vacating=view.vacating,
        )

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return the changes of the list after a revision, ``None`` if they aren't kept."""
        return self._directory.changes_since(revision)

    def whole_list(self) -> ListChange | None:
        """Return this node's full list of upstreams, ``None`` before the first read."""
        return self._directory.whole()

    def list_revision(self) -> int:
        """Return the revision of this node's list; 0 before the first read."""
        return self._directory.revision or 0

    def configuration_version(self) -> int:
        """Return the version of this node's configuration; 0 before the first read."""
        return self._in_force.version

    def configuration_document(self) -> bytes:
        """Return this node's configuration, encoded for transfer to other nodes."""
        return self._in_force.document

    def evidence_age_s(self) -> float:
        """Return the age of the latest proof that the configuration is current, in seconds."""
        return self._in_force.evidence_age_s()

    def inheritance(self) -> HandoverState:
        """Return the state for later coordinators and starting nodes."""
        return HandoverState(self._first_waits.known(), self._crashes.held())

    def sightings(self, includes_old: bool) -> list[RunObservation]:
        """Return this node's observations of requests during which upstreams ended.

        Parameters
        ==========

        includes_old : whether to include all kept observations, not only recent ones.
        """
        return self._crashes.own_observations(includes_old)

    def merge_sightings(self, sightings: list[RunObservation]) -> None:
        """Merge another node's observations of requests during which upstreams ended."""
        self._crashes.merge_observations(sightings)

    def served_count(self) -> int:
        """Return the number of requests that this node has served since it started."""
        return self._crashes.served_count

    def known_suspects(self) -> tuple[int, ...]:
        """Return the suspected prompt parts of requests that this node has served."""
        return self._crashes.known_suspects()

    def merge_served(self, node: str, count: int, known_suspects: tuple[int, ...]) -> None:
        """Merge what another node has served: how many requests, and which suspected parts."""
        self._crashes.merge_served_count(node, count)
        self._crashes.merge_known_suspects(known_suspects)

    def can_open_tunnels(self) -> bool:
        """Whether this node can connect to upstreams itself, and so for other nodes."""
        return not self._upstream_network.reachability.is_isolated

    def isolated_s(self) -> float:
        """Return for how long this node couldn't connect to any upstream; 0 if it can."""
        return self._upstream_network.reachability.isolated_s()

    def unreported_limits(self, includes_published: bool) -> tuple[NamedLimit, ...]:
        """Return the upstream limits that the coordinator doesn't know yet.

        Parameters
        ==========

        includes_published : whether to include limits that the coordinator has published.
        """
        return self._permits.limits.unpublished(includes_published)

    def merge_limits(self, named: tuple[NamedLimit, ...]) -> None:
        """Merge the upstream limits that another node reports."""
        self._permits.limits.merge_reported(named)

    def limits(self) -> dict[str, float]:
        """Return the current limits of upstreams by id, in requests per second."""
        return self._permits.limits.limits()

    def wanted_permits(self) -> tuple[PermitCount, ...]:
        """Return the number of send permits that this node needs for each upstream."""
        return self._permits.wanted()

    def held_share(self) -> HeldShare:
        """Return this node's share of bounds on all nodes together, and what it has used."""
        return self._leased_share.held()

    def release_share(self) -> None:
        """Use this node's share of bounds on all nodes together no more."""
        self._leased_share.release()

    # Proofs from renewals of the lease.

    def operator_rows(self) -> OperatorRows | None:
        """Return the versions of the operators' rows, ``None`` if this node hasn't read them."""
        return self._in_force.operator_rows()

    def confirm(self, rows: OperatorRows | None, asked_at: float) -> None:
        """Record that these versions were still current in a write begun at ``asked_at``."""
        self._in_force.confirm(rows, asked_at)
        self._follower.confirm(asked_at)

    async def read_changed_rows(self, rows: OperatorRows | None) -> None:
        """Read the operators' rows again, unless they were already read since ``rows``."""
        if self._in_force.operator_rows() == rows:
            await self._in_force.read_now()

    async def read_unconfirmed_rows(self) -> None:
        """Read the operators' rows if no renewal has recently confirmed them."""
        self._follower.confirm(self._loads.now())
        if self._in_force.evidence_age_s() > MAX_UNCONFIRMED_S:
            await self._in_force.read_now()

    def note_store_failed(self) -> None:
        """Record a failed call to the store."""
        self._follower.note_store_failed()

    # State received from other nodes.

    def apply_inheritance(self, inheritance: HandoverState) -> None:
        """Apply the state that an earlier coordinator handed over."""
        self._first_waits.take_announced(inheritance.first_waits)
        self._crashes.merge_held(inheritance.held)

    def take(self, report: CoordinatorReport, asked_at: float, own_loads: list[LoadReport]) -> None:
        """Apply a coordinator's report.

        Parameters
        ==========

        asked_at : when this node sent the report that the coordinator answers; the data is as
            old as that plus its age at the coordinator.
        own_loads : this node's own loads in that report.
        """
        totals = report.totals
        self._loads.update_totals(totals.loads, own_loads)
        self._in_force.merge_coordinator_evidence(
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
            self._follower.merge_coordinator_changes(
                report.changes, totals.list_revision, asked_at - totals.list_age_s
            )
        self._cold_limit.set_number(report.number, totals.numbers, asked_at)
        if totals.limits is not None:
            self._permits.limits.merge_published(totals.limits, asked_at)
        self._permits.receive(report.permits, asked_at, totals.nodes)
        if report.share is not None:
            self._leased_share.receive(report.share, asked_at)
        self._crashes.merge_held(totals.held or (), asked_at)
        self._take_suspects(report, asked_at)
        if report.tunnel_servers is not None:
            self._upstream_network.tunnel_servers.replace(report.tunnel_servers)
        self._take_heads(totals)
        self._take_lost(totals.lost)

    def _take_suspects(self, report: CoordinatorReport, asked_at: float) -> None:
        """Apply the suspected prompt parts, unless this node coordinates itself."""
        is_own = report.echoed_seq == 0
        if is_own:
            return
        self._crashes.note_coordinator(asked_at)
        if report.totals.suspects is not None:
            self._crashes.merge_suspects(report.totals.suspects)

    def _take_heads(self, totals: Totals) -> None:
        if totals.heads is not None:
            self._heads = totals.heads
        opened = [
            Head(upstream, head.group, head.epoch, head.model, head.pace)
            for head in self._heads
            if (upstream := self._directory.get(head.upstream_id)) is not None
        ]
        self._chooser.set_coordinator_heads(opened, frozenset(totals.retiring))
        for head in self._retiring.update(totals.retiring, totals.vacating):
            self._on_overdue(head)

    def _take_lost(self, lost: list[str]) -> None:
        newly_lost = set(lost) - self._eligibility.lost
        self._eligibility.lost = frozenset(lost)
        for upstream_id in sorted(newly_lost):
            self._on_lost(upstream_id)
