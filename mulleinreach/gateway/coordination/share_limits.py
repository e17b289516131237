"""What the statements that may stand in the row of the coordinator's lease allow to be leased."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace

from mulleinreach.gateway.coordination.share_accounts import Charges
from mulleinreach.gateway.model import ShareStatement


@dataclass(frozen=True)
class StatementLimit:
    """What one statement allows to be charged, to all but those holders that it names as departed.

    Parameters
    ==========

    adopted : the holders of earlier shares whose part it contains.
    is_inherited : whether it contains all earlier shares, also of holders that haven't reported.
    """

    connected: float
    departed: frozenset[Hashable] = frozenset()
    adopted: frozenset[Hashable] = frozenset()
    is_inherited: bool = False

    def merge(self, other: StatementLimit) -> StatementLimit:
        """Return the limit if either statement may stand in the row."""
        return StatementLimit(
            min(self.connected, other.connected),
            self.departed & other.departed,
            self.adopted & other.adopted,
        )

    def room(self, charges: Charges) -> float:
        """Return what may be charged to connected nodes."""
        later = sum(
            charge.fraction
            for holder, charge in charges.departed.items()
            if holder not in self.departed
        )
        return self.connected - later - (charges.unknown if self.is_inherited else 0.0)


class StatedLimits:
    """The limits of the statement in the row, and of those that may have replaced it.

    Parameters
    ==========

    inherited : the fraction that the row states as connected when the term begins.
    """

    def __init__(self, inherited: float):
        self._stated = StatementLimit(inherited, is_inherited=True)
        self._unconfirmed: StatementLimit | None = None
        self._proposed: tuple[ShareStatement, StatementLimit] | None = None

    def propose(self, statement: ShareStatement, limit: StatementLimit) -> None:
        """Record a statement that is about to be written."""
        self._proposed = (statement, limit)
        self._unconfirmed = self._unconfirmed.merge(limit) if self._unconfirmed else limit

    def confirm(self, statement: ShareStatement | None) -> None:
        """Record which of the proposed statements stands in the row."""
        if self._unconfirmed is None or self._proposed is None:
            return
        is_latest = statement == self._proposed[0]
        self._stated = self._proposed[1] if is_latest else self._unconfirmed
        self._unconfirmed = None

    def room(self, charges: Charges) -> float:
        """Return what may be charged to connected nodes, whichever statement stands in the row."""
        return min(limit.room(charges) for limit in self._limits())

    def contain(self, adopted: Hashable) -> bool:
        """Whether all statements contain what a holder has of an earlier coordinator."""
        return all(limit.is_inherited or adopted in limit.adopted for limit in self._limits())

    def note_connected(self, holders: Iterable[Hashable]) -> None:
        """Charge holders that are connected again to what is stated for connected ones."""
        connected = frozenset(holders)
        self._stated = _without_departed(self._stated, connected)
        if self._unconfirmed is not None:
            self._unconfirmed = _without_departed(self._unconfirmed, connected)
        if self._proposed is not None:
            statement, limit = self._proposed
            self._proposed = (statement, _without_departed(limit, connected))

    def _limits(self) -> list[StatementLimit]:
        return [self._stated] + ([self._unconfirmed] if self._unconfirmed else [])


def _without_departed(limit: StatementLimit, connected: frozenset[Hashable]) -> StatementLimit:
    if limit.departed.isdisjoint(connected):
        return limit
    return replace(limit, departed=limit.departed - connected)
