"""Interface to the state that nodes exchange through the coordinator."""

from __future__ import annotations

from typing import Protocol

from mulleinreach.gateway.coordination.reports import CoordinatorReport, Totals
from mulleinreach.gateway.model import HandoverState
from mulleinreach.gateway.ports import OperatorRows
from mulleinreach.gateway.state.crashes import RunObservation
from mulleinreach.gateway.state.leased_share import HeldShare
from mulleinreach.gateway.state.limits import NamedLimit
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.permits import PermitCount
from mulleinreach.gateway.state.upstreams import ListChange


class Knowledge(Protocol):
    """Provides this node's state for reports, and applies the state in received reports."""

    def totals(self, token: int, nodes: int, loads: list[LoadReport]) -> Totals:
        """Return the totals to send to all nodes, as coordinator."""

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return the list's changes after a revision; ``None`` if some are no longer stored."""

    def whole_list(self) -> ListChange | None:
        """Return this node's upstream list; ``None`` before it has one."""

    def list_revision(self) -> int:
        """Return the revision of this node's upstream list; 0 before it has one."""

    def configuration_version(self) -> int:
        """Return the version of this node's configuration; 0 before it has one."""

    def configuration_document(self) -> bytes:
        """Return this node's encoded configuration."""

    def evidence_age_s(self) -> float:
        """Return the time since the operators' rows were last verified to be current."""

    def operator_rows(self) -> OperatorRows | None:
        """Return the operators' rows as this node last read them, if it has."""

    def confirm(self, rows: OperatorRows | None, asked_at: float) -> None:
        """Record that a write sent at ``asked_at`` verified the versions of these rows."""

    async def read_changed_rows(self, rows: OperatorRows | None) -> None:
        """Read the operators' changed rows, unless newer ones than ``rows`` are known."""

    async def read_unconfirmed_rows(self) -> None:
        """Read the operators' rows if renewals have not confirmed them recently."""

    def inheritance(self) -> HandoverState:
        """Return the state to store with the lease for the next coordinator."""

    def apply_inheritance(self, inheritance: HandoverState) -> None:
        """Apply the state that a previous coordinator stored with the lease."""

    def sightings(self, includes_old: bool) -> list[RunObservation]:
        """Return this node's recent or all observations of upstreams that ended under requests."""

    def merge_sightings(self, sightings: list[RunObservation]) -> None:
        """Merge another node's observations of upstreams that ended under requests."""

    def served_count(self) -> int:
        """Return the number of requests that this node has served."""

    def known_suspects(self) -> tuple[int, ...]:
        """Return the suspected prompt parts of requests that this node has served."""

    def merge_served(self, node: str, count: int, known_suspects: tuple[int, ...]) -> None:
        """Merge what another node has served: how many requests, and which suspected parts."""

    def can_open_tunnels(self) -> bool:
        """Whether this node can connect to upstreams itself, and so for other nodes."""

    def isolated_s(self) -> float:
        """Return for how long this node couldn't connect to any upstream; 0 if it can."""

    def unreported_limits(self, includes_published: bool) -> tuple[NamedLimit, ...]:
        """Return rate limits of upstreams that the coordinator hasn't reported."""

    def merge_limits(self, named: tuple[NamedLimit, ...]) -> None:
        """Merge rate limits of upstreams that another node reported."""

    def limits(self) -> dict[str, float]:
        """Return the rate limits of upstreams in force, in requests per second."""

    def wanted_permits(self) -> tuple[PermitCount, ...]:
        """Return the permits that this node requests."""

    def held_share(self) -> HeldShare:
        """Return this node's share of bounds on all nodes together, and what it has used."""

    def release_share(self) -> None:
        """Use this node's share of bounds on all nodes together no more."""

    def note_store_failed(self) -> None:
        """Record that the store has just failed to answer."""

    def take(self, report: CoordinatorReport, asked_at: float, own_loads: list[LoadReport]) -> None:
        """Apply a report that answers this node's report sent at ``asked_at``."""
