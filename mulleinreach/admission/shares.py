"""Limits of organisations, held over all nodes without a write for each request.

Explanation
===========

Of an organisation's rate L and concurrency C each of N nodes owns an N-th. A
node that needs less lends the rest to nodes that ask, with its answers to their
pings. A loan lasts ``LOAN_DURATION_S``: the borrower counts it from before it request_count, the
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

LOAN_DURATION_S = 1.2
BURST_S = 1.0
DEMAND_WINDOW_S = 0.5
DEMAND_HEADROOM = 1.2
MIN_KEPT_SHARE = 0.1


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
    request_count: int = 0
    demand_rate: float = 0.0
    demand_updated_at: float = 0.0
    wanted_slots: int = 0
    borrowed: dict[str, _Loan] = field(default_factory=dict)
    lent: dict[str, _Loan] = field(default_factory=dict)


class DistributedLimiter:
    """Rates and concurrency of all organisations at this node."""

    def __init__(self, node: str, clock: Clock, rate_error: float):
        self._node = node
        self._clock = clock
        self._rate_error = rate_error
        self._usage: dict[str, OrganisationUsage] = {}
        self._nodes = [node]

    def follow(self, document: ConfigDocument) -> None:
        """Take the limits of a new configuration; what is in use stays counted."""
        now = self._clock.now()
        names = set()
        for limits in document.intent.organisations:
            names.add(limits.name)
            usage = self._usage.get(limits.name)
            if usage is None:
                self._usage[limits.name] = OrganisationUsage(
                    limits, refilled_at=now, demand_updated_at=now
                )
                self._usage[limits.name].tokens = self._rate(self._usage[limits.name]) * BURST_S
            else:
                self._refill(usage)
                usage.limits = limits
        for name in list(self._usage):
            if name not in names:
                del self._usage[name]

    def set_nodes(self, nodes: list[str]) -> None:
        """Take the list of all nodes, ours among them."""
        for usage in self._usage.values():
            self._refill(usage)
        self._nodes = sorted(nodes) or [self._node]

    def _own_rate(self, usage: OrganisationUsage) -> float:
        return usage.limits.rate / len(self._nodes)

    def _own_slots(self, usage: OrganisationUsage) -> int:
        """Return our part of the concurrency; the remainder goes to the first nodes."""
        share, remainder = divmod(usage.limits.concurrency, len(self._nodes))
        index = self._nodes.index(self._node) if self._node in self._nodes else len(self._nodes)
        return share + (1 if index < remainder else 0)

    def _rate(self, usage: OrganisationUsage) -> float:
        now = self._clock.now()
        borrowed = sum(loan.rate for loan in usage.borrowed.values() if now < loan.until)
        lent = sum(loan.rate for loan in usage.lent.values() if now < loan.until)
        return max(0.0, self._own_rate(usage) - lent) + borrowed

    def _slots(self, usage: OrganisationUsage) -> int:
        now = self._clock.now()
        borrowed = sum(loan.slots for loan in usage.borrowed.values() if now < loan.until)
        lent = sum(loan.slots for loan in usage.lent.values() if now < loan.until)
        return max(0, self._own_slots(usage) - lent) + borrowed

    def _refill(self, usage: OrganisationUsage) -> None:
        """Add what the share earned since the last refill, exactly.

        Explanation
        ===========

        A loan that lapsed in between counts only up to then, on both sides:
        else a lender would earn again what the borrower has already used.
        """
        now = self._clock.now()
        since = usage.refilled_at
        earned = self._own_rate(usage) * (now - since)
        earned -= sum(_loan_earnings(loan, since, now) for loan in usage.lent.values())
        earned += sum(_loan_earnings(loan, since, now) for loan in usage.borrowed.values())
        max_tokens = max(1.0, self._rate(usage) * BURST_S)
        usage.tokens = min(max_tokens, usage.tokens + max(0.0, earned))
        usage.refilled_at = now

    def admit(self, organisation: str) -> None:
        """Count one request in, or raise ``RATE_LIMITED`` or ``CONCURRENCY_LIMITED``."""
        usage = self._usage[organisation]
        usage.request_count += 1
        self._refill(usage)
        if usage.tokens < 1:
            rate = max(self._rate(usage), 1e-3)
            wait_s = min(60.0, max(0.1, (1 - usage.tokens) / rate))
            message = f"{organisation} is over its rate of {usage.limits.rate:g} requests/s"
            raise MulleinreachError(Code.RATE_LIMITED, message, retry_after_s=round(wait_s, 2))
        usage.wanted_slots = max(usage.wanted_slots, usage.in_flight + 1)
        if usage.in_flight >= self._slots(usage):
            message = f"{organisation} is over its {usage.limits.concurrency} requests in flight"
            raise MulleinreachError(Code.CONCURRENCY_LIMITED, message, retry_after_s=0.5)
        usage.tokens -= 1
        usage.in_flight += 1

    def finish(self, organisation: str) -> None:
        """Count one request out."""
        usage = self._usage.get(organisation)
        if usage is not None and usage.in_flight > 0:
            usage.in_flight -= 1

    def _update_demand(self, usage: OrganisationUsage) -> None:
        now = self._clock.now()
        elapsed_s = now - usage.demand_updated_at
        if elapsed_s < 0.2:
            return
        rate = usage.request_count / elapsed_s
        weight = min(1.0, elapsed_s / DEMAND_WINDOW_S)
        usage.demand_rate += weight * (rate - usage.demand_rate)
        usage.wanted_slots = max(
            usage.in_flight, usage.wanted_slots - 1 if not usage.request_count else 0
        )
        usage.request_count = 0
        usage.demand_updated_at = now

    def demands(self) -> list[Demand]:
        """Return what to ask peers for: organisations that need more than they own."""
        wanted = []
        for name, usage in self._usage.items():
            self._update_demand(usage)
            needs_rate = usage.demand_rate * DEMAND_HEADROOM > self._own_rate(usage)
            needs_slots = usage.wanted_slots >= self._own_slots(usage) and usage.wanted_slots > 0
            if needs_rate or needs_slots:
                wanted.append(
                    Demand(name, usage.demand_rate * DEMAND_HEADROOM, usage.wanted_slots + 1)
                )
        return wanted

    def lend(self, peer: str, demands: list[Demand]) -> list[Grant]:
        """Answer the demands of a peer; what is lent is not ours until it lapses."""
        grants = []
        for demand in demands:
            usage = self._usage.get(demand.organisation)
            if usage is not None:
                grants.append(self._lend_one(peer, usage, demand))
        return [grant for grant in grants if grant.rate > 0 or grant.slots > 0]

    def _lend_one(self, peer: str, usage: OrganisationUsage, demand: Demand) -> Grant:
        now = self._clock.now()
        self._update_demand(usage)
        others = max(1, len(self._nodes) - 1)
        lent = [loan for p, loan in usage.lent.items() if p != peer and now < loan.until]
        own_rate, own_slots = self._own_rate(usage), self._own_slots(usage)
        reserved_rate = max(usage.demand_rate * DEMAND_HEADROOM, own_rate * MIN_KEPT_SHARE)
        spare_rate = max(0.0, own_rate - reserved_rate - sum(loan.rate for loan in lent))
        needed = max(0.0, demand.rate - own_rate)
        rate = min(spare_rate, needed / others if needed < own_rate else needed)
        spare_slots = own_slots - max(usage.in_flight, usage.wanted_slots)
        spare_slots = max(0, spare_slots - sum(loan.slots for loan in lent))
        slots = min(spare_slots, int(demand.running))
        self._update_loan(usage, peer, rate, slots, now)
        return Grant(usage.limits.name, rate, slots)

    def _update_loan(
        self, usage: OrganisationUsage, peer: str, rate: float, slots: int, now: float
    ) -> None:
        """Lend anew; what is still lent from before counts until it lapses."""
        self._refill(usage)
        until = now + LOAN_DURATION_S * (1 + self._rate_error)
        before = usage.lent.get(peer)
        if before is not None and now < before.until:
            rate, slots = max(rate, before.rate), max(slots, before.slots)
        usage.lent[peer] = _Loan(rate, slots, until)

    def apply_grants(self, peer: str, grants: list[Grant], asked_at: float) -> None:
        """Use what a peer lent us, counted from before we asked."""
        granted = {grant.organisation: grant for grant in grants}
        until = asked_at + LOAN_DURATION_S * (1 - self._rate_error)
        for name, usage in self._usage.items():
            self._refill(usage)
            grant = granted.get(name)
            if grant is None:
                continue
            usage.borrowed[peer] = _Loan(grant.rate, grant.slots, until)

    def snapshot(self) -> dict[str, tuple[float, int, int]]:
        """Return (rate, slots, in flight) of each organisation here, for the metrics."""
        return {n: (self._rate(u), self._slots(u), u.in_flight) for n, u in self._usage.items()}


def _loan_earnings(loan: _Loan, since: float, now: float) -> float:
    """Return the requests that a loan was worth between two moments."""
    return loan.rate * max(0.0, min(loan.until, now) - since)
