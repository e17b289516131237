"""The halls that operators have asked to empty.

Explanation
===========

An operator's request stands as a row beside the configuration, and is read, proved and
passed on with it. So what is known of halls is as old as what is known of the
configuration: the evidence of the one is that of the other.

Nothing may be sent to a hall once the deployment's bound is over, which runs from the
moment at which the store took the request. A node doesn't know that moment, only the
latest one at which there was no request yet, and counts from that. Until half of the
bound is over, the hall's share of the requests falls to nothing instead of at once:
its places are missed less suddenly by those that have to take its work.

A store that was restored may lack a request that operators have made; they write it again. Until
they have had the time for that, a hall that was to be empty stays so.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.ports import EvacuationRow
from mulleinreach.gateway.revision import era_of

# The part of the bound in which a hall's share of the requests falls to nothing. The rest
# is for requests on their way and for nodes that hear of it late.
RAMP_DOWN_FRACTION = 0.5
# For so long a request holds that a restored store lacks.
UNCONFIRMED_KEPT_S = 3.0
NEVER = float("-inf")


@dataclass
class _Evacuation:
    """A hall that is being emptied.

    Parameters
    ==========

    known_at : when this node heard of the request; the hall's share falls from then on.
    closed_at : from when on the hall gets nothing.
    is_closure_logged : whether the log tells that it gets nothing more.
    unconfirmed_until : until when the request holds though the store lacks it; ``None`` if it
        stands there.
    """

    known_at: float
    closed_at: float
    is_closure_logged: bool = False
    unconfirmed_until: float | None = None


class Evacuations:
    """What this node knows of halls that operators have asked to empty.

    Parameters
    ==========

    bound_s : how soon after a request nothing more may be sent to the hall.
    halls : the halls of the deployment.

    Examples
    ========

    >>> halls = Evacuations(5.0, ("a", "b"), Clock(), EventLog("node"))
    >>> halls.apply_rows([EvacuationRow("a", 0)], True, 9, unproven_since=NEVER)
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
        # The store's revision up to which the halls are known.
        self.revision = 0

    @property
    def halls(self) -> frozenset[str]:
        """The halls that are to be empty."""
        self._end_unconfirmed()
        return frozenset(self._evacuated)

    def rows(self) -> tuple[EvacuationRow, ...]:
        """Return the rows of all halls, as this node has read them itself."""
        names = sorted(self._configured | self._versions.keys())
        return tuple(EvacuationRow(hall, self._versions.get(hall, 0)) for hall in names)

    def apply_rows(
        self, rows: Iterable[EvacuationRow], is_complete: bool, revision: int, unproven_since: float
    ) -> None:
        """Take what this node has read.

        Parameters
        ==========

        is_complete : whether halls that aren't named have no request.
        revision : the store's revision that was read; the rows of an earlier one change nothing.
        unproven_since : the latest moment that what was known so far is proved for.
        """
        if is_complete:
            self._versions.clear()
        for row in rows:
            self._versions[row.hall] = row.version
        if revision >= self.revision:
            evacuated = frozenset(hall for hall, version in self._versions.items() if version)
            self._apply(evacuated, revision, unproven_since)
            self._confirm(evacuated)

    def apply_published(self, halls: frozenset[str], revision: int, unproven_since: float) -> bool:
        """Take what the coordinator knows; returns whether this node knows the same now.

        Parameters
        ==========

        halls : all halls that are to be empty, as of ``revision`` of the store.
        unproven_since : the latest moment that what was known so far is proved for.
        """
        if revision >= self.revision:
            # A coordinator is told its own word too, which confirms nothing.
            is_newer = revision > self.revision
            self._apply(halls, revision, unproven_since)
            if is_newer:
                self._confirm(halls)
        return halls == self.halls

    def _apply(self, halls: frozenset[str], revision: int, unproven_since: float) -> None:
        if era_of(revision) > era_of(self.revision):
            self._mark_unconfirmed(self.halls - halls)
        self.revision = revision
        for hall in sorted(halls - self.halls):
            self._begin(hall, unproven_since)
        for hall in sorted(self.halls - halls):
            if self._evacuated[hall].unconfirmed_until is None:
                self._end(hall)

    def _confirm(self, halls: frozenset[str]) -> None:
        """Note that the store has the requests of these halls."""
        for hall in halls:
            self._evacuated[hall].unconfirmed_until = None

    def _mark_unconfirmed(self, halls: frozenset[str]) -> None:
        """Keep requests for a while that a restored store lacks."""
        for hall in sorted(halls):
            self._evacuated[hall].unconfirmed_until = self._clock.now() + UNCONFIRMED_KEPT_S
            self._log.event("evacuation_unconfirmed", hall=hall, holds_for_s=UNCONFIRMED_KEPT_S)

    def _end_unconfirmed(self) -> None:
        """End requests that nobody has written again."""
        for hall, evacuation in list(self._evacuated.items()):
            until = evacuation.unconfirmed_until
            if until is not None and self._clock.now() >= until:
                self._end(hall)

    def _begin(self, hall: str, unproven_since: float) -> None:
        now = self._clock.now()
        if hall not in self._configured:
            # Renewals of the lease prove nothing about a hall that they don't name.
            unproven_since = NEVER
        closed_at = max(now, unproven_since + RAMP_DOWN_FRACTION * self._bound_s)
        self._evacuated[hall] = _Evacuation(now, closed_at)
        self._log.event(
            "hall_evacuated",
            hall=hall,
            known=hall in self._configured,
            unproven_for_s=round(now - unproven_since, 2),
            nothing_more_in_s=round(closed_at - now, 2),
        )

    def _end(self, hall: str) -> None:
        evacuation = self._evacuated.pop(hall)
        now = self._clock.now()
        self._taken_back_at[hall] = now
        lasted_s = round(now - evacuation.known_at, 2)
        self._log.event("hall_taken_back", hall=hall, evacuated_for_s=lasted_s)

    def share(self, hall: str) -> float:
        """Return which part of its usual requests a hall should get now."""
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
        """Return how long ago a hall was taken back; infinite if it never was."""
        return self._clock.now() - self._taken_back_at.get(hall, NEVER)
