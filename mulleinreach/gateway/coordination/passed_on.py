"""What a node must know, and take in, for nodes to tell each other about it."""

from __future__ import annotations

from typing import Protocol

from mulleinreach.gateway.coordination.reports import CoordinatorReport, Totals
from mulleinreach.gateway.known.crashes import RunObservation
from mulleinreach.gateway.known.limits import NamedLimit
from mulleinreach.gateway.known.load import LoadReport
from mulleinreach.gateway.known.permits import PermitCount
from mulleinreach.gateway.known.upstreams import ListChange
from mulleinreach.gateway.model import HandoverState
from mulleinreach.gateway.ports import OperatorRows


class Knowledge(Protocol):
    """What this node knows, to be passed on, and takes what is passed on to it."""

    def totals(self, token: int, nodes: int, loads: list[LoadReport]) -> Totals:
        """Return what all nodes should know, heads included."""

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return the changes of the list after a revision, ``None`` if too many."""

    def whole_list(self) -> ListChange | None:
        """Return all upstreams of this node's list, ``None`` before the first one."""

    def list_revision(self) -> int:
        """Return the revision of this node's list; 0 before the first one."""

    def configuration_version(self) -> int:
        """Return the version in force at this node; 0 before the first one."""

    def configuration_document(self) -> bytes:
        """Return the configuration in force, in a form that other nodes can decode."""

    def evidence_age_s(self) -> float:
        """Return the age of the latest proof that operators have written nothing newer."""

    def operator_rows(self) -> OperatorRows | None:
        """Return the operators' rows in the store, if this node has read them."""

    def confirm(self, rows: OperatorRows | None, asked_at: float) -> None:
        """Take in that a write under the versions of these rows was done after ``asked_at``."""

    async def read_changed_rows(self, rows: OperatorRows | None) -> None:
        """Read the operators' rows, which have other versions, unless a wait has told it."""

    async def read_unconfirmed_rows(self) -> None:
        """Read the operators' rows if renewals have not proved them for too long."""

    def inheritance(self) -> HandoverState:
        """Return what nodes that start should know."""

    def apply_inheritance(self, inheritance: HandoverState) -> None:
        """Take what an earlier coordinator knew."""

    def sightings(self, includes_old: bool) -> list[RunObservation]:
        """Return what this node saw of upstreams that ended under requests, lately or ever."""

    def merge_sightings(self, sightings: list[RunObservation]) -> None:
        """Take what another node saw of upstreams that ended under requests."""

    def unreported_limits(self, includes_told: bool) -> tuple[NamedLimit, ...]:
        """Return the limits of upstreams that the coordinator should know and hasn't told."""

    def merge_limits(self, named: tuple[NamedLimit, ...]) -> None:
        """Take what another node knows of the limits of upstreams."""

    def limits(self) -> dict[str, float]:
        """Return the limits of upstreams that are in force, in requests a second."""

    def wanted_permits(self) -> tuple[PermitCount, ...]:
        """Return the permits that this node has use for."""

    def note_store_failed(self) -> None:
        """Note that the store has just failed to answer."""

    def take(self, report: CoordinatorReport, asked_at: float, own_loads: list[LoadReport]) -> None:
        """Take a report that answers what this node had sent at ``asked_at``."""
