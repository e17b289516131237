"""Limits of organisations over all nodes, without shared state for each request.

Explanation
===========

Each of N listed nodes owns 1 / N of an organisation's rate and concurrency, and
lends what it doesn't need to nodes that ask in their pings. The borrower counts a
loan's ``LOAN_DURATION_S`` from before its ping, the lender from its reply and with
a margin for clock drift, so that the two never use it at the same time. The shares
never exceed the limit while all nodes have the same list of nodes.
docs/design/09-limits.md has the exact bound and its proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.common import Clock, Code, MulleinreachError
from mulleinreach.intents import ConfigDocument, OrganisationIntent
from mulleinreach.roster.messages import Demand, Grant

LOAN_DURATION_S = 1.2
# Capacity of a token bucket, in seconds of its rate.
BURST_S = 1.0
DEMAND_WINDOW_S = 0.5
# Factor over the observed demand that a node keeps or asks for.
DEMAND_HEADROOM = 1.2
# Fraction of its own rate that a node never lends.
MIN_KEPT_SHARE = 0.1


@dataclass
class _Loan:
    """A part of a share that is lent until ``until``, in monotonic seconds."""

    rate: float
    slots: int
    until: float


@dataclass
class OrganisationUsage:
    """The token bucket, demand and loans of an organisation at this node."""

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
    """Limits the rates and concurrency of all organisations at this node."""

    def __init__(self, node: str, clock: Clock, rate_error: float):
        self._node = node
        self._clock = clock
        self._rate_error = rate_error
        self._usage: dict[str, OrganisationUsage] = {}
        self._nodes = [node]

    def follow(self, document: ConfigDocument) -> None:
        """Apply the limits of a new configuration; requests in flight stay counted."""
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
        """Set the list of all nodes, including this one."""
        for usage in self._usage.values():
            self._refill(usage)
        self._nodes = sorted(nodes) or [self._node]

    def _own_rate(self, usage: OrganisationUsage) -> float:
        return usage.limits.rate / len(self._nodes)

    def _own_slots(self, usage: OrganisationUsage) -> int:
        """Return this node's slots; the remainder goes to the first nodes of the list."""
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
        """Add the tokens earned since the last refill.

        Explanation
        ===========

        A loan that expired meanwhile counts up to its expiry on both sides. If it
        didn't, the lender would earn tokens that the borrower has already used.
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
        """Admit one request, or raise ``RATE_LIMITED`` or ``CONCURRENCY_LIMITED``."""
        usage = self._usage[organisation]
        usage.request_count += 1
        self._refill(usage)
        if usage.tokens < 1:
            rate = max(self._rate(usage), 1e-3)
            wait_s = min(60.0, max(0.1, (1 - usage.tokens) / rate))
            message = f"{organisation} exceeds its rate of {usage.limits.rate:g} requests/s"
            raise MulleinreachError(Code.RATE_LIMITED, message, retry_after_s=round(wait_s, 2))
        usage.wanted_slots = max(usage.wanted_slots, usage.in_flight + 1)
        if usage.in_flight >= self._slots(usage):
            message = (
                f"{organisation} exceeds its limit of {usage.limits.concurrency} requests in flight"
            )
            raise MulleinreachError(Code.CONCURRENCY_LIMITED, message, retry_after_s=0.5)
        usage.tokens -= 1
        usage.in_flight += 1

    def finish(self, organisation: str) -> None:
        """Count one request as finished."""
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
        """Return the demands to send to peers, for organisations that need more."""
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
        """Grant loans for a peer's demands; lent shares are unavailable until they expire."""
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
        """Replace the loan to a peer; an unexpired larger one keeps its rate and slots."""
        self._refill(usage)
        until = now + LOAN_DURATION_S * (1 + self._rate_error)
        previous = usage.lent.get(peer)
        if previous is not None and now < previous.until:
            rate, slots = max(rate, previous.rate), max(slots, previous.slots)
        usage.lent[peer] = _Loan(rate, slots, until)

    def apply_grants(self, peer: str, grants: list[Grant], asked_at: float) -> None:
        """Apply the loans granted by a peer, which expire relative to ``asked_at``."""
        granted = {grant.organisation: grant for grant in grants}
        until = asked_at + LOAN_DURATION_S * (1 - self._rate_error)
        for name, usage in self._usage.items():
            self._refill(usage)
            grant = granted.get(name)
            if grant is None:
                continue
            usage.borrowed[peer] = _Loan(grant.rate, grant.slots, until)

    def snapshot(self) -> dict[str, tuple[float, int, int]]:
        """Return (rate, slots, in flight) by organisation at this node, for the metrics."""
        return {n: (self._rate(u), self._slots(u), u.in_flight) for n, u in self._usage.items()}


def _loan_earnings(loan: _Loan, since: float, now: float) -> float:
    """Return the tokens that a loan earned between two times."""
    return loan.rate * max(0.0, min(loan.until, now) - since)
