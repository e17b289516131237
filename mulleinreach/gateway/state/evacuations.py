"""Tracks evacuated halls: halls to which operators have ordered that no requests be sent.

Evacuation orders are stored beside the configuration, so evidence that the configuration is
current covers them too. After an order the hall's share of traffic falls to 0 within half of the
deployment's bound. A node counts the bound from the latest time at which the hall was known to have
no order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.ports import EvacuationRow
from mulleinreach.gateway.revision import era_of

# Fraction of the bound; the rest is a margin for nodes that receive the order late.
RAMP_DOWN_FRACTION = 0.5
# How long an order that a restored store lacks stays in force.
UNCONFIRMED_KEPT_S = 3.0
NEVER = float("-inf")


@dataclass
class _Evacuation:
    """The evacuation of one hall.

    Parameters
    ==========

    known_at : when this node received the order; the hall's share of traffic falls from then on.
    closed_at : when that share reaches 0.
    is_closure_logged : whether the log event for that has been written.
    unconfirmed_until : until when an order that a restored store lacks stays in force; ``None``
        if the store has it.
    """

    known_at: float
    closed_at: float
    is_closure_logged: bool = False
    unconfirmed_until: float | None = None


class Evacuations:
    """The evacuation orders that this node knows.

    Parameters
    ==========

    bound_s : seconds after an order from which on no request may be sent to the hall.
    halls : the halls of the deployment.

    Examples
    ========

    >>> halls = Evacuations(5.0, ("a", "b"), Clock(), EventLog("node"))
    >>> halls.apply_rows([EvacuationRow("a", 0)], True, 9, proven_at=NEVER)
    >>> sorted(halls.halls), halls.share("a")
    ([], 1.0)
    >>> halls.rows()
    (EvacuationRow(hall='a', version=0), EvacuationRow(hall='b', version=0))
    """

    def __init__(self, bound_s: float, halls: Iterable[str], clock: Clock, log: EventLog):
        self._bound_s = bound_s
        self._clock = clock
        self._log = log
        self._configured = frozenset(halls)
        self._versions: dict[str, int] = {}
        self._evacuated: dict[str, _Evacuation] = {}
        self._taken_back_at: dict[str, float] = {}
        # The store's revision of the known orders.
        self.revision = 0

    @property
    def halls(self) -> frozenset[str]:
        """The evacuated halls."""
        self._end_unconfirmed()
        return frozenset(self._evacuated)

    def rows(self) -> tuple[EvacuationRow, ...]:
        """Return the rows of all halls that this node has read from the store."""
        names = sorted(self._configured | self._versions.keys())
        return tuple(EvacuationRow(hall, self._versions.get(hall, 0)) for hall in names)

    def apply_rows(
        self, rows: Iterable[EvacuationRow], is_complete: bool, revision: int, proven_at: float
    ) -> None:
        """Apply rows that this node has read from the store.

        Parameters
        ==========

        is_complete : whether ``rows`` includes every hall with an order.
        revision : the store's revision that was read; rows of an earlier one are ignored.
        proven_at : the latest time at which the state known so far is proved to be current.
        """
        if is_complete:
            self._versions.clear()
        for row in rows:
            self._versions[row.hall] = row.version
        if revision >= self.revision:
            evacuated = frozenset(hall for hall, version in self._versions.items() if version)
            self._apply(evacuated, revision, proven_at)
            self._confirm(evacuated)

    def apply_published(self, halls: frozenset[str], revision: int, proven_at: float) -> bool:
        """Apply what the coordinator published; returns whether this node now agrees with it.

        Parameters
        ==========

        halls : all evacuated halls, as of ``revision`` of the store.
        proven_at : the latest time at which the state known so far is proved to be current.
        """
        if revision >= self.revision:
            # A coordinator also receives its own report, which confirms nothing.
            is_newer = revision > self.revision
            self._apply(halls, revision, proven_at)
            if is_newer:
                self._confirm(halls)
        return halls == self.halls

    def _apply(self, halls: frozenset[str], revision: int, proven_at: float) -> None:
        if era_of(revision) > era_of(self.revision):
            self._mark_unconfirmed(self.halls - halls)
        self.revision = revision
        for hall in sorted(halls - self.halls):
            self._begin(hall, proven_at)
        for hall in sorted(self.halls - halls):
            if self._evacuated[hall].unconfirmed_until is None:
                self._end(hall)

    def _confirm(self, halls: frozenset[str]) -> None:
        """Note that the store has the orders for these halls."""
        for hall in halls:
            self._evacuated[hall].unconfirmed_until = None

    def _mark_unconfirmed(self, halls: frozenset[str]) -> None:
        """Keep orders that a restored store lacks in force, until operators can rewrite them."""
        for hall in sorted(halls):
            self._evacuated[hall].unconfirmed_until = self._clock.now() + UNCONFIRMED_KEPT_S
            self._log.event("evacuation_unconfirmed", hall=hall, holds_for_s=UNCONFIRMED_KEPT_S)

    def _end_unconfirmed(self) -> None:
        """End unconfirmed evacuations whose order was not written again in time."""
        for hall, evacuation in list(self._evacuated.items()):
            until = evacuation.unconfirmed_until
            if until is not None and self._clock.now() >= until:
                self._end(hall)

    def _begin(self, hall: str, proven_at: float) -> None:
        now = self._clock.now()
        if hall not in self._configured:
            # The evidence, renewals of the lease, covers only the halls of the deployment.
            proven_at = NEVER
        closed_at = max(now, proven_at + RAMP_DOWN_FRACTION * self._bound_s)
        self._evacuated[hall] = _Evacuation(now, closed_at)
        self._log.event(
            "hall_evacuated",
            hall=hall,
            known=hall in self._configured,
            unproven_for_s=round(now - proven_at, 2),
            nothing_more_in_s=round(closed_at - now, 2),
        )

    def _end(self, hall: str) -> None:
        evacuation = self._evacuated.pop(hall)
        now = self._clock.now()
        self._taken_back_at[hall] = now
        lasted_s = round(now - evacuation.known_at, 2)
        self._log.event("hall_taken_back", hall=hall, evacuated_for_s=lasted_s)

    def share(self, hall: str) -> float:
        """Return the fraction of its usual requests that a hall should get now, from 0 to 1."""
        self._end_unconfirmed()
        evacuation = self._evacuated.get(hall)
        if evacuation is None:
            return 1.0
        now = self._clock.now()
        if now < evacuation.closed_at:
            return (evacuation.closed_at - now) / (evacuation.closed_at - evacuation.known_at)
        if not evacuation.is_closure_logged:
            evacuation.is_closure_logged = True
            after_s = round(now - evacuation.known_at, 2)
            self._log.event("hall_gets_nothing_more", hall=hall, known_for_s=after_s)
        return 0.0

    def since_taken_back_s(self, hall: str) -> float:
        """Return the seconds since operators took a hall back; infinite if they never did."""
        return self._clock.now() - self._taken_back_at.get(hall, NEVER)
