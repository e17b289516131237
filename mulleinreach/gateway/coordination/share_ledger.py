"""Leases shares of a bound on all nodes together, so that they never add up to more than it.

Explanation
===========

The bound concerns arrivals in any window of a fixed length. Nodes report what they have used, so a
share that a connected node doesn't use is leased to others as soon as the node reports a smaller
one. Equal shares take a part of the bound; the rest goes to nodes that report that they need it.

A node that is no longer connected may use its share until the lease ends, and what it has used
counts until it has arrived and one more window is over. Until then the share stays charged to it.

A coordinator states in the row of its own lease what may be charged, before it leases more. So its
successor knows how much that is. It doesn't know by whom, and charges the part of a node to that
node as it reports.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from mulleinreach.gateway.coordination.lease import CLOCK_RATE_MARGIN, LEASE_DURATION_S
from mulleinreach.gateway.coordination.share_accounts import (
    FIRST_TOKEN,
    MAX_TOTAL,
    Charge,
    Charges,
    ShareAccount,
)
from mulleinreach.gateway.coordination.share_limits import StatedLimits, StatementLimit
from mulleinreach.gateway.coordination.share_targets import equal_part, share_targets
from mulleinreach.gateway.model import DepartedShare, ShareStatement
from mulleinreach.gateway.state.arrivals import MAX_UNREAD_S
from mulleinreach.gateway.state.leased_share import SHARE_DURATION_S, HeldShare, ShareLease

# Less isn't worth a statement of its own.
MIN_GRANT = 0.005
# Most nodes of a new deployment start within this time; until then shares are kept small.
SETTLING_S = 3.0
SETTLING_SHARE = 0.09
# Lease numbers of one coordinator; its fencing token is the part above them.
NUMBER_BITS = 32
# Statements round up to this, which bounds their size in deployments of any size.
STATED_STEP_S = 1.0

Holder = TypeVar("Holder", bound=Hashable)


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
    token : the coordinator's fencing token.
    inherited : what stands in the lease's row: what earlier coordinators may have leased, or what
        this one has stated as the first; ``None`` if that isn't known.

    Examples
    ========

    >>> from mulleinreach.gateway.coordination.share_accounts import FIRST_STATEMENT
    >>> ledger = ShareLedger(-SETTLING_S, 10.0, FIRST_TOKEN, FIRST_STATEMENT)
    >>> held = {"a": HeldShare(), "b": HeldShare()}
    >>> [lease.fraction for lease in ledger.lease(held, 0.0).values()]
    [0.375, 0.375]
    """

    def __init__(
        self, begun_at: float, window_s: float, token: int, inherited: ShareStatement | None
    ):
        self._token = token
        self._used_for_s = (MAX_UNREAD_S + window_s) * (1 + CLOCK_RATE_MARGIN)
        self._charged_for_s = SHARE_DURATION_S * (1 + CLOCK_RATE_MARGIN) + self._used_for_s
        self._accounts: dict[Hashable, ShareAccount] = {}
        self._connected: list[Hashable] = []
        # What connected nodes need beside what they have used.
        self._needs: dict[Hashable, float] = {}
        # The holders of shares of earlier coordinators that have reported.
        self._adopted: set[Hashable] = set()
        self._first_number = self._last_number = token << NUMBER_BITS
        self._inherited = inherited or ShareStatement(connected=MAX_TOTAL)
        self._settled_at = begun_at + SETTLING_S if token == FIRST_TOKEN else begun_at
        # The previous coordinator may lease shares until its own lease has expired.
        previous_ended_at = begun_at + LEASE_DURATION_S * (1 + CLOCK_RATE_MARGIN)
        is_own = self._inherited.token == token
        unknown = 0.0 if is_own else self._inherited.connected
        self._unknown = Charge(unknown, previous_ended_at + self._charged_for_s)
        self._departed = [
            Charge(share.fraction, begun_at + (1 + CLOCK_RATE_MARGIN) * share.remaining_s)
            for share in self._inherited.departed
        ]
        self._stated = StatedLimits(self._inherited.connected)

    # Statements.

    def propose(self, now: float) -> ShareStatement:
        """Return a statement of what this coordinator may charge from now on.

        Until it is confirmed, nothing is leased that exceeds this or the previous statement.
        """
        charges = self._charges(now)
        departed = self._stated_departed(charges, now)
        room = MAX_TOTAL - sum(share.fraction for share in departed)
        targets = self._targets(charges, room, now)
        wanted = sum(max(charged, targets[h]) for h, charged in charges.connected.items())
        connected = min(1.0, max(charges.of_connected, min(room, wanted)))
        statement = ShareStatement(self._token, connected, departed)
        limit = StatementLimit(connected, frozenset(charges.departed), frozenset(self._adopted))
        self._stated.propose(statement, limit)
        return statement

    def confirm(self, statement: ShareStatement | None) -> None:
        """Record which of the proposed statements stands in the row."""
        self._stated.confirm(statement)

    def needs_statement(self, now: float) -> bool:
        """Whether a node that needs more could get it after another statement."""
        if not self._needs:
            return False
        charges = self._charges(now)
        targets = self._targets(charges, MAX_TOTAL - charges.of_others, now)
        is_missing = any(targets[holder] > charges.connected[holder] for holder in self._needs)
        is_room = MAX_TOTAL - charges.of_others - charges.of_connected >= MIN_GRANT
        return is_missing and is_room and self._free(charges) < MIN_GRANT

    def _stated_departed(self, charges: Charges, now: float) -> tuple[DepartedShare, ...]:
        """Return what holders that aren't connected may use, by the time for which they may."""
        by_time: dict[float, float] = {}
        unknown = Charge(charges.unknown, self._unknown.until)
        for charge in [*charges.departed.values(), *charges.inherited, unknown]:
            remaining_s = STATED_STEP_S * math.ceil((charge.until - now) / STATED_STEP_S)
            by_time[remaining_s] = by_time.get(remaining_s, 0.0) + charge.fraction
        return tuple(DepartedShare(f, time_s) for time_s, f in sorted(by_time.items()) if f)

    # Leases.

    def lease(self, held: Mapping[Holder, HeldShare], now: float) -> dict[Holder, ShareLease]:
        """Lease shares to connected nodes; returns the share of each.

        Parameters
        ==========

        held : what each connected node reports of its share.
        """
        self._note_reports(held, now)
        charges = self._charges(now)
        targets = self._targets(charges, self._room(charges), now)
        missing = {h: max(0.0, target - charges.connected[h]) for h, target in targets.items()}
        wanted = sum(missing.values())
        granted = min(1.0, self._free(charges) / wanted) if wanted else 0.0
        return {
            holder: self._issue(holder, min(target, charged + granted * missing[holder]), now)
            for (holder, target), charged in zip(
                targets.items(), charges.connected.values(), strict=True
            )
            if self._may_lease(holder)
        }

    def _may_lease(self, holder: Hashable) -> bool:
        """Whether a holder's share is renewed.

        One of an earlier coordinator isn't before it is stated, so that its use ends when the
        earlier lease does.
        """
        return holder not in self._adopted or self._stated.contain(holder)

    def _room(self, charges: Charges) -> float:
        """Return what may be charged to connected nodes."""
        return max(0.0, min(MAX_TOTAL - charges.of_others, self._stated.room(charges)))

    def _free(self, charges: Charges) -> float:
        """Return what may be leased in addition to what is charged."""
        return max(0.0, self._room(charges) - charges.of_connected)

    def _targets(self, charges: Charges, room: float, now: float) -> dict[Hashable, float]:
        """Return the shares to which connected nodes are entitled."""
        part = equal_part(len(charges.connected), room, charges.of_others)
        if now < self._settled_at:
            part = min(part, SETTLING_SHARE)
        used = {holder: self._accounts[holder].used(now) for holder in charges.connected}
        return share_targets(part, room, used, self._needs)

    def _issue(self, holder: Hashable, fraction: float, now: float) -> ShareLease:
        """Lease a share; the latest lease is renewed if its fraction is the same."""
        account = self._accounts[holder]
        latest = account.latest()
        is_own = latest is not None and latest.number > self._first_number
        if is_own and latest.fraction == fraction:
            number = latest.number
        else:
            number = self._last_number = self._last_number + 1
        account.lease(number, Charge(fraction, now + self._charged_for_s))
        return ShareLease(fraction, number)

    # Reports.

    def _note_reports(self, held: Mapping[Holder, HeldShare], now: float) -> None:
        """Record which nodes are connected, and what they hold and have used."""
        for holder, share in held.items():
            if holder not in self._accounts:
                self._adopt(holder, share, now)
            account = self._accounts[holder]
            if self._first_number < share.number <= self._last_number:
                account.drop_before(share.number)
            account.note_use(share, now + self._used_for_s)
        self._connected = [holder for holder, share in held.items() if not share.is_released]
        self._needs = {h: held[h].wanted for h in self._connected if held[h].wanted}
        self._stated.note_connected(self._connected)
        for account in self._accounts.values():
            account.drop_ended(now)
        self._accounts = {h: a for h, a in self._accounts.items() if h in held or a.charged(now)}

    def _adopt(self, holder: Hashable, share: HeldShare, now: float) -> None:
        """Open an account, with the share that its holder has of an earlier coordinator."""
        account = self._accounts[holder] = ShareAccount()
        is_over = now >= self._unknown.until
        if is_over or not (share.fraction or share.used):
            return
        self._adopted.add(holder)
        account.lease(share.number, Charge(share.fraction, now + self._charged_for_s))
        # Shares of still earlier coordinators aren't part of what the latest one has stated.
        if share.number >> NUMBER_BITS >= self._inherited.token:
            unknown = self._unknown.fraction - max(share.fraction, share.used)
            self._unknown = Charge(max(0.0, unknown), self._unknown.until)

    def release(self, holder: Hashable, share: HeldShare, now: float) -> None:
        """Charge a holder that uses its share no more only what it has used."""
        if holder in self._accounts:
            self._accounts[holder].note_use(share, now + self._used_for_s)

    # Charges.

    def _charges(self, now: float) -> Charges:
        """Return all that is charged now."""
        connected = {holder: self._accounts[holder].charged(now) for holder in self._connected}
        departed = {
            holder: Charge(account.charged(now), account.charged_until(now))
            for holder, account in self._accounts.items()
            if holder not in connected and account.charged(now)
        }
        return Charges(
            connected,
            departed,
            [charge for charge in self._departed if charge.until > now],
            self._unknown.fraction if now < self._unknown.until else 0.0,
        )

    def division(self, leased: Mapping[Holder, ShareLease], now: float) -> ShareDivision:
        """Return what is charged to whom, given the latest share of each connected node."""
        charges = self._charges(now)
        return ShareDivision(
            nodes=len(charges.connected),
            least=min((lease.fraction for lease in leased.values()), default=0.0),
            connected=charges.of_connected,
            departed=charges.of_departed,
            unknown=charges.unknown,
        )
