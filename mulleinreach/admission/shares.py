"""Limits of organisations, held over all nodes without a write for each request.

Explanation
===========

Of an organisation's rate L and concurrency C each of N nodes owns an N-th. A
node that needs less lends the rest to nodes that ask, with its answers to their
pings. A loan lasts ``LOAN_S``: the borrower counts it from before it asked, the
lender from when it answered and with a margin, so that the two never both use
it. So the sum of all shares never exceeds L, whatever is lost, late or cut off.

Each node's token bucket holds ``BURST_S`` seconds of its present share. Over
any T seconds all nodes together admit at most L * (T + BURST_S) requests plus
one a node for rounding; docs/design/09-limits.md has the proof and the figures.

N is the number of nodes listed in the table. While lists differ, the sum can
exceed L by the ratio of the longest to the shortest list.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.common import Clock, Code, MulleinreachError
from mulleinreach.intents import ConfigDocument, OrganisationIntent
from mulleinreach.roster.messages import Demand, Grant

LOAN_S = 1.2
BURST_S = 1.0
DEMAND_WINDOW_S = 0.5
HEADROOM = 1.2
KEEP_SHARE = 0.1


@dataclass
class _Loan:
    """A part of a share that is lent; ``until`` in monotonic seconds."""

    rate: float
    slots: int
    until: float


@dataclass
class OrganisationUsage:
    """What one organisation does at this node."""

    limits: OrganisationIntent
    tokens: float = 0.0
    refilled_at: float = 0.0
    in_flight: int = 0
    asked: int = 0
    demand_rate: float = 0.0
    demand_at: float = 0.0
    wanted_slots: int = 0
    borrowed: dict[str, _Loan] = field(default_factory=dict)
    lent: dict[str, _Loan] = field(default_factory=dict)


class DistributedLimiter:
    """Rates and concurrency of all organisations at this node."""

    def __init__(self, node: str, clock: Clock, rate_error: float):
        self._node = node
        self._clock = clock
        self._rate_error = rate_error
        self._uses: dict[str, OrganisationUsage] = {}
        self._nodes = [node]

    def follow(self, document: ConfigDocument) -> None:
        """Take the limits of a new configuration; what is in use stays counted."""
        now = self._clock.now()
        names = set()
        for limits in document.intent.organisations:
            names.add(limits.name)
            use = self._uses.get(limits.name)
            if use is None:
                self._uses[limits.name] = OrganisationUsage(limits, refilled_at=now, demand_at=now)
                self._uses[limits.name].tokens = self._rate(self._uses[limits.name]) * BURST_S
            else:
                self._refill(use)
                use.limits = limits
        for name in list(self._uses):
            if name not in names:
                del self._uses[name]

    def set_nodes(self, nodes: list[str]) -> None:
        """Take the list of all nodes, ours among them."""
        for use in self._uses.values():
            self._refill(use)
        self._nodes = sorted(nodes) or [self._node]

    def _own_rate(self, use: OrganisationUsage) -> float:
        return use.limits.rate / len(self._nodes)

    def _own_slots(self, use: OrganisationUsage) -> int:
        """Return our part of the concurrency; the remainder goes to the first nodes."""
        share, rest = divmod(use.limits.concurrency, len(self._nodes))
        place = self._nodes.index(self._node) if self._node in self._nodes else len(self._nodes)
        return share + (1 if place < rest else 0)

    def _rate(self, use: OrganisationUsage) -> float:
        now = self._clock.now()
        borrowed = sum(loan.rate for loan in use.borrowed.values() if now < loan.until)
        lent = sum(loan.rate for loan in use.lent.values() if now < loan.until)
        return max(0.0, self._own_rate(use) - lent) + borrowed

    def _slots(self, use: OrganisationUsage) -> int:
        now = self._clock.now()
        borrowed = sum(loan.slots for loan in use.borrowed.values() if now < loan.until)
        lent = sum(loan.slots for loan in use.lent.values() if now < loan.until)
        return max(0, self._own_slots(use) - lent) + borrowed

    def _refill(self, use: OrganisationUsage) -> None:
        """Add what the share earned since the last refill, exactly.

        Explanation
        ===========

        A loan that lapsed in between counts only up to then, on both sides:
        else a lender would earn again what the borrower has already used.
        """
        now = self._clock.now()
        since = use.refilled_at
        earned = self._own_rate(use) * (now - since)
        earned -= sum(_earned(loan, since, now) for loan in use.lent.values())
        earned += sum(_earned(loan, since, now) for loan in use.borrowed.values())
        most = max(1.0, self._rate(use) * BURST_S)
        use.tokens = min(most, use.tokens + max(0.0, earned))
        use.refilled_at = now

    def admit(self, organisation: str) -> None:
        """Count one request in, or raise ``RATE_LIMITED`` or ``CONCURRENCY_LIMITED``."""
        use = self._uses[organisation]
        use.asked += 1
        self._refill(use)
        if use.tokens < 1:
            rate = max(self._rate(use), 1e-3)
            wait_s = min(60.0, max(0.1, (1 - use.tokens) / rate))
            message = f"{organisation} is over its rate of {use.limits.rate:g} requests/s"
            raise MulleinreachError(Code.RATE_LIMITED, message, retry_after_s=round(wait_s, 2))
        use.wanted_slots = max(use.wanted_slots, use.in_flight + 1)
        if use.in_flight >= self._slots(use):
            message = f"{organisation} is over its {use.limits.concurrency} requests in flight"
            raise MulleinreachError(Code.CONCURRENCY_LIMITED, message, retry_after_s=0.5)
        use.tokens -= 1
        use.in_flight += 1

    def finish(self, organisation: str) -> None:
        """Count one request out."""
        use = self._uses.get(organisation)
        if use is not None and use.in_flight > 0:
            use.in_flight -= 1

    def _update_demand(self, use: OrganisationUsage) -> None:
        now = self._clock.now()
        passed_s = now - use.demand_at
        if passed_s < 0.2:
            return
        rate = use.asked / passed_s
        weight = min(1.0, passed_s / DEMAND_WINDOW_S)
        use.demand_rate += weight * (rate - use.demand_rate)
        use.wanted_slots = max(use.in_flight, use.wanted_slots - 1 if not use.asked else 0)
        use.asked = 0
        use.demand_at = now

    def demands(self) -> list[Demand]:
        """Return what to ask peers for: organisations that need more than they own."""
        wanted = []
        for name, use in self._uses.items():
            self._update_demand(use)
            needs_rate = use.demand_rate * HEADROOM > self._own_rate(use)
            needs_slots = use.wanted_slots >= self._own_slots(use) and use.wanted_slots > 0
            if needs_rate or needs_slots:
                wanted.append(Demand(name, use.demand_rate * HEADROOM, use.wanted_slots + 1))
        return wanted

    def lend(self, peer: str, demands: list[Demand]) -> list[Grant]:
        """Answer the demands of a peer; what is lent is not ours until it lapses."""
        grants = []
        for demand in demands:
            use = self._uses.get(demand.organisation)
            if use is not None:
                grants.append(self._lend_one(peer, use, demand))
        return [grant for grant in grants if grant.rate > 0 or grant.slots > 0]

    def _lend_one(self, peer: str, use: OrganisationUsage, demand: Demand) -> Grant:
        now = self._clock.now()
        self._update_demand(use)
        others = max(1, len(self._nodes) - 1)
        lent = [loan for p, loan in use.lent.items() if p != peer and now < loan.until]
        own_rate, own_slots = self._own_rate(use), self._own_slots(use)
        kept = max(use.demand_rate * HEADROOM, own_rate * KEEP_SHARE)
        spare_rate = max(0.0, own_rate - kept - sum(loan.rate for loan in lent))
        needed = max(0.0, demand.rate - own_rate)
        rate = min(spare_rate, needed / others if needed < own_rate else needed)
        spare_slots = own_slots - max(use.in_flight, use.wanted_slots)
        spare_slots = max(0, spare_slots - sum(loan.slots for loan in lent))
        slots = min(spare_slots, int(demand.running))
        self._replace_loan(use, peer, rate, slots, now)
        return Grant(use.limits.name, rate, slots)

    def _replace_loan(
        self, use: OrganisationUsage, peer: str, rate: float, slots: int, now: float
    ) -> None:
        """Lend anew; what is still lent from before counts until it lapses."""
        self._refill(use)
        until = now + LOAN_S * (1 + self._rate_error)
        before = use.lent.get(peer)
        if before is not None and now < before.until:
            rate, slots = max(rate, before.rate), max(slots, before.slots)
        use.lent[peer] = _Loan(rate, slots, until)

    def apply_grants(self, peer: str, grants: list[Grant], asked_at: float) -> None:
        """Use what a peer lent us, counted from before we asked."""
        granted = {grant.organisation: grant for grant in grants}
        until = asked_at + LOAN_S * (1 - self._rate_error)
        for name, use in self._uses.items():
            self._refill(use)
            grant = granted.get(name)
            if grant is None:
                continue
            use.borrowed[peer] = _Loan(grant.rate, grant.slots, until)

    def snapshot(self) -> dict[str, tuple[float, int, int]]:
        """Return (rate, slots, in flight) of each organisation here, for the metrics."""
        return {n: (self._rate(u), self._slots(u), u.in_flight) for n, u in self._uses.items()}


def _earned(loan: _Loan, since: float, now: float) -> float:
    """Return the requests that a loan was worth between two moments."""
    return loan.rate * max(0.0, min(loan.until, now) - since)
