"""Leases shares of a bound on all nodes together, so that they never add up to more than it.

Explanation
===========

The bound concerns arrivals in any window of a fixed length. What a node has used under its share
counts until it has arrived and one more window is over, whether the node still runs or not. Until
then the ledger keeps the share charged to it.

A new coordinator doesn't know the shares that the previous one leased. It renews those that nodes
report to hold, and leases nothing else until all others have ended.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from mulleinreach.gateway.coordination.lease import CLOCK_RATE_MARGIN, LEASE_DURATION_S
from mulleinreach.gateway.state.arrivals import MAX_UNREAD_S
from mulleinreach.gateway.state.leased_share import SHARE_DURATION_S

# Sum of the shares of connected nodes. The rest is kept for nodes that join.
TARGET_TOTAL = 0.75
# Bound on all charged shares; below 1 since requests arrive later than they are counted.
MAX_TOTAL = 0.9
# Most nodes of a new deployment start within this time; until then shares are kept small.
SETTLING_S = 3.0
SETTLING_SHARE = 0.09

Holder = TypeVar("Holder", bound=Hashable)


@dataclass(frozen=True)
class _Charge:
    fraction: float
    until: float


@dataclass
class _Account:
    """The shares that are charged to one holder, from the largest to the latest."""

    charges: deque[_Charge] = field(default_factory=deque)

    def charged(self, now: float) -> float:
        """Return the largest share that the holder may have used in the current window."""
        while self.charges and self.charges[0].until <= now:
            self.charges.popleft()
        return self.charges[0].fraction if self.charges else 0.0

    def charge(self, fraction: float, until: float) -> None:
        """Charge a share that is leased now."""
        while self.charges and self.charges[-1].fraction <= fraction:
            self.charges.pop()
        self.charges.append(_Charge(fraction, until))


@dataclass(frozen=True)
class ShareDivision:
    """What of a bound is charged to whom, as fractions of it.

    Parameters
    ==========

    nodes : the connected nodes.
    least : the smallest share of any of them.
    connected : what is charged to connected nodes.
    departed : what is charged to nodes that aren't connected any more.
    unknown : what shares of earlier coordinators may add, whose holders haven't reported.
    """

    nodes: int
    least: float
    connected: float
    departed: float
    unknown: float

    def rounded(self) -> ShareDivision:
        """Return the division in hundredths, which leaves small changes out.

        Examples
        ========

        >>> ShareDivision(2, 0.101, 0.2, 0.0, 0.699).rounded()
        ShareDivision(nodes=2, least=0.1, connected=0.2, departed=0.0, unknown=0.7)
        """
        fractions = (self.least, self.connected, self.departed, self.unknown)
        return ShareDivision(self.nodes, *(round(fraction, 2) for fraction in fractions))


class ShareLedger:
    """The shares of one coordinator's term.

    Parameters
    ==========

    begun_at : start of the term.
    window_s : length of the windows that the bound concerns.
    is_first_term : whether no coordinator has leased shares before.

    Examples
    ========

    >>> ledger = ShareLedger(0.0, 10.0, is_first_term=True)
    >>> ledger.lease({"a": 0.0, "b": 0.0}, 1.0)
    {'a': 0.09, 'b': 0.09}
    >>> ledger.lease({"a": 0.0, "b": 0.0, "c": 0.0}, 5.0)
    {'a': 0.25, 'b': 0.25, 'c': 0.25}
    """

    def __init__(self, begun_at: float, window_s: float, is_first_term: bool = False):
        charged_for_s = SHARE_DURATION_S + MAX_UNREAD_S + window_s
        self._charged_for_s = charged_for_s * (1 + CLOCK_RATE_MARGIN)
        self._accounts: dict[Hashable, _Account] = {}
        self._settled_at = begun_at + SETTLING_S if is_first_term else begun_at
        # The previous coordinator may lease shares until its own lease has expired.
        previous_ended_at = begun_at + LEASE_DURATION_S * (1 + CLOCK_RATE_MARGIN)
        self._leases_new_at = begun_at if is_first_term else previous_ended_at + self._charged_for_s

    def lease(self, held: Mapping[Holder, float], now: float) -> dict[Holder, float]:
        """Lease shares to all connected nodes; returns the share of each.

        Parameters
        ==========

        held : the unexpired share that each connected node reports.
        """
        self._drop_expired(now)
        if now < self._leases_new_at:
            self._adopt(held, now)
        charged = {holder: self._charged(holder, now) for holder in held}
        target = self._target(len(held), now)
        missing = {holder: max(0.0, target - charged[holder]) for holder in held}
        granted = self._granted_fraction(sum(missing.values()), now)
        leased = {
            holder: min(target, charged[holder] + granted * missing[holder]) for holder in held
        }
        for holder, fraction in leased.items():
            self._charge(holder, fraction, now)
        return leased

    def _target(self, holders: int, now: float) -> float:
        """Return the share to which each connected node is entitled."""
        target = TARGET_TOTAL / max(1, holders)
        return target if now >= self._settled_at else min(target, SETTLING_SHARE)

    def total(self, now: float) -> float:
        """Return the sum of all charged shares."""
        return sum(account.charged(now) for account in self._accounts.values())

    def division(self, leased: Mapping[Holder, float], now: float) -> ShareDivision:
        """Return what is charged to whom, given the latest share of each connected node."""
        connected = sum(self._charged(holder, now) for holder in leased)
        total = self.total(now)
        is_unknown = now < self._leases_new_at
        return ShareDivision(
            nodes=len(leased),
            least=min(leased.values(), default=0.0),
            connected=connected,
            departed=total - connected,
            unknown=max(0.0, MAX_TOTAL - total) if is_unknown else 0.0,
        )

    def _drop_expired(self, now: float) -> None:
        """Remove the accounts of nodes whose shares have ended."""
        self._accounts = {h: a for h, a in self._accounts.items() if a.charged(now)}

    def _adopt(self, held: Mapping[Holder, float], now: float) -> None:
        """Charge the shares that nodes hold from the previous coordinator."""
        for holder, fraction in held.items():
            if fraction and holder not in self._accounts:
                self._charge(holder, fraction, now)

    def _charged(self, holder: Hashable, now: float) -> float:
        account = self._accounts.get(holder)
        return account.charged(now) if account else 0.0

    def _granted_fraction(self, missing: float, now: float) -> float:
        """Return which fraction of the missing shares can be leased now."""
        if now < self._leases_new_at or not missing:
            return 0.0
        free = max(0.0, MAX_TOTAL - self.total(now))
        return min(1.0, free / missing)

    def _charge(self, holder: Hashable, fraction: float, now: float) -> None:
        account = self._accounts.setdefault(holder, _Account())
        account.charge(fraction, now + self._charged_for_s)
