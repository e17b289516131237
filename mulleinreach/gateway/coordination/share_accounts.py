"""What is charged to the holders of shares of a bound on all nodes together."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from mulleinreach.gateway.model import ShareStatement
from mulleinreach.gateway.state.leased_share import HeldShare, ShareLease

# Bound on all charged shares; below 1 since requests arrive later than they are counted.
MAX_TOTAL = 0.9
# Sum of the shares of connected nodes, as far as the bound has room for it beside others.
TARGET_TOTAL = 0.75
FIRST_TOKEN = 1
# What the first coordinator of a deployment states as it acquires its lease.
FIRST_STATEMENT = ShareStatement(FIRST_TOKEN, TARGET_TOTAL)


@dataclass(frozen=True)
class Charge:
    """A part of the bound that may be used until then."""

    fraction: float
    until: float


@dataclass(frozen=True)
class _IssuedLease:
    number: int
    charge: Charge


@dataclass
class ShareAccount:
    """The leases that one holder may still use, and what it has used.

    Explanation
    ===========

    A holder uses one lease at a time, and never an earlier one again. So once it reports a lease,
    what it sent under earlier ones counts only as far as it was used.
    """

    _leases: list[_IssuedLease] = field(default_factory=list)
    _used: Charge = Charge(0.0, 0.0)

    def charged(self, now: float) -> float:
        """Return the largest part of the bound that the holder may use in the current window."""
        largest = self.used(now)
        for lease in self._leases:
            if lease.charge.until > now and lease.charge.fraction > largest:
                largest = lease.charge.fraction
        return largest

    def used(self, now: float) -> float:
        """Return what the holder has reported as used in the current window."""
        return self._used.fraction if now < self._used.until else 0.0

    def charged_until(self, now: float) -> float:
        """Return when all charges have ended."""
        charges = [self._used, *(lease.charge for lease in self._leases)]
        return max((charge.until for charge in charges if charge.fraction), default=now)

    def lease(self, number: int, charge: Charge) -> None:
        """Charge a lease; the latest number again renews that lease."""
        if self._leases and self._leases[-1].number == number:
            self._leases.pop()
        self._leases.append(_IssuedLease(number, charge))

    def latest(self) -> ShareLease | None:
        """Return the latest lease."""
        if not self._leases:
            return None
        latest = self._leases[-1]
        return ShareLease(latest.charge.fraction, latest.number)

    def note_use(self, held: HeldShare, used_until: float) -> None:
        """Record what the holder has used, up to the report.

        Parameters
        ==========

        used_until : until when that counts if the holder reports no more.
        """
        self._used = Charge(held.used, used_until)
        if held.is_released:
            self._leases.clear()

    def drop_before(self, number: int) -> None:
        """Drop the leases before one that the holder uses."""
        if self._leases and self._leases[0].number < number:
            self._leases = [lease for lease in self._leases if lease.number >= number]

    def drop_ended(self, now: float) -> None:
        """Drop the leases whose charges have ended."""
        if self._leases and self._leases[0].charge.until <= now:
            self._leases = [lease for lease in self._leases if lease.charge.until > now]


@dataclass(frozen=True)
class Charges:
    """All that is charged at one moment.

    Parameters
    ==========

    connected : by connected holder, the largest part that it may use in the current window.
    departed : by holder that isn't connected, what it may use.
    inherited : what holders may use that earlier coordinators named as departed.
    unknown : what shares of earlier coordinators may add, whose holders haven't reported.
    """

    connected: dict[Hashable, float]
    departed: dict[Hashable, Charge]
    inherited: list[Charge]
    unknown: float

    @property
    def of_departed(self) -> float:
        """What is charged to holders that are known not to be connected."""
        charges = [*self.departed.values(), *self.inherited]
        return sum(charge.fraction for charge in charges)

    @property
    def of_connected(self) -> float:
        """What is charged to connected holders."""
        return sum(self.connected.values())

    @property
    def of_others(self) -> float:
        """What is charged to all but connected holders."""
        return self.of_departed + self.unknown
