"""Guards of the shares of bounds that hold for all nodes together."""

from __future__ import annotations

from benchmarks.breakage import Breakage

LEDGER = "mulleinreach/gateway/coordination/share_ledger.py"
LEDGER_TESTS = "mulleinreach/gateway/coordination/tests/test_share_ledger.py"
SERIES = "mulleinreach/gateway/request/tests/test_retry_budget_series.py"

LATE_ARRIVALS = "mulleinreach/gateway/request/tests/test_late_arrivals.py"
ARRIVALS = "mulleinreach/gateway/state/arrivals.py"

SHARE_BREAKAGES = [
    Breakage(
        "BUDGET",
        "a retry counts until it has arrived",
        ARRIVALS,
        'self._counts_until = float("inf")',
        "self._counts_until = clock.now() + window_s",
        LATE_ARRIVALS,
    ),
    Breakage(
        "FAILBACK",
        "a request to a cold upstream counts until it has arrived",
        ARRIVALS,
        'self._counts_until = float("inf")',
        "self._counts_until = clock.now() + window_s",
        "mulleinreach/gateway/state/tests/test_cold.py -k stands_still",
    ),
    Breakage(
        "BUDGET",
        "a retry whose connection was left may still arrive",
        ARRIVALS,
        "self._end(self._clock.now() + MAX_UNREAD_S)",
        "self._end(self._clock.now())",
        f"{LATE_ARRIVALS} -k end_of_a_silence",
    ),
    Breakage(
        "BUDGET",
        "a retry without an answer isn't taken for arrived",
        "mulleinreach/gateway/request/sending.py",
        "        if not isinstance(result, Broken) or result.is_closed:\n            exchange.note",
        "        if True:\n            exchange.note",
        f"{LATE_ARRIVALS} -k end_of_a_silence",
    ),
    Breakage(
        "BUDGET",
        "a process that has just started allows for retries of the one before it",
        "mulleinreach/gateway/request/budget.py",
        "NEW_PROCESS_RATIO_PART if is_new else RATIO_PART",
        "RATIO_PART",
        f"{SERIES} -k soon_after",
    ),
    Breakage(
        "BUDGET",
        "a share ends without answers of the coordinator",
        "mulleinreach/gateway/state/leased_share.py",
        "is_held = self.age_s < SHARE_DURATION_S and not self._is_released",
        "is_held = not self._is_released",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "what a lost node may have used counts for a window",
        LEDGER,
        "SHARE_DURATION_S * (1 + CLOCK_RATE_MARGIN) + self._used_for_s",
        "0.1",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "a new coordinator leases nothing that an earlier one may have leased",
        LEDGER,
        "unknown = 0.0 if is_own else self._inherited.connected",
        "unknown = 0.0",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "a new coordinator waits for the end of the previous one's lease",
        LEDGER,
        "previous_ended_at = begun_at + LEASE_DURATION_S * (1 + CLOCK_RATE_MARGIN)",
        "previous_ended_at = begun_at",
        LEDGER_TESTS,
    ),
    Breakage(
        "BUDGET",
        "a share that is reported late in a term is not adopted",
        LEDGER,
        "is_over = now >= self._unknown.until",
        "is_over = False",
        LEDGER_TESTS,
    ),
    Breakage(
        "BUDGET",
        "shares never add up to more than the bound",
        LEDGER,
        "granted = min(1.0, self._free(charges) / wanted) if wanted else 0.0",
        "granted = 1.0",
        LEDGER_TESTS,
    ),
    Breakage(
        "BUDGET",
        "nothing is leased that isn't stated with the coordinator's lease",
        LEDGER,
        "min(MAX_TOTAL - charges.of_others, self._stated.room(charges))",
        "MAX_TOTAL - charges.of_others",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "what a node has used stays charged after a smaller share",
        LEDGER,
        "            account.note_use(share, now + self._used_for_s)\n        self._connected",
        "        self._connected",
        LEDGER_TESTS,
    ),
    Breakage(
        "BUDGET",
        "a share is charged until its holder reports a later lease",
        "mulleinreach/gateway/coordination/share_accounts.py",
        "        self._leases.append(_IssuedLease(number, charge))",
        "        self._leases = [_IssuedLease(number, charge)]",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "a statement of before a restore of the store isn't inherited",
        "mulleinreach/gateway/coordination/lease.py",
        "return replace(self.record.inheritance, shares=None)",
        "return self.record.inheritance",
        "mulleinreach/gateway/coordination/tests/test_restored_lease.py",
    ),
    Breakage(
        "BUDGET",
        "departed shares are inherited with the time for which they count",
        LEDGER,
        "for charge in [*charges.departed.values(), *charges.inherited, unknown]:",
        "for charge in [unknown]:",
        SERIES,
    ),
    Breakage(
        "LOST",
        "a node that ends as planned gives back what it hasn't used",
        "mulleinreach/gateway/stopping.py",
        "        self._coordination.announce_end()\n",
        "",
        "mulleinreach/gateway/coordination/tests/test_share_handover.py",
    ),
    Breakage(
        "BUDGET",
        "shares are leased only while the coordinator's lease is held",
        "mulleinreach/gateway/coordination/hub.py",
        "        if not self._lease.is_held():\n            return {}\n        held = {",
        "        held = {",
        f"{LEDGER_TESTS} -k without_its_lease",
    ),
    Breakage(
        "BUDGET",
        "a restarted process is another holder",
        "mulleinreach/gateway/coordination/node_reports.py",
        "incarnation=self._incarnation,",
        "incarnation=len(self._identity.name),",
        f"{LEDGER_TESTS} -k earlier_process",
    ),
    Breakage(
        "CEILING",
        "a new coordinator counts loads that earlier ones may have begun",
        "mulleinreach/gateway/fleet/weight_loads.py",
        "NEW_TERM_RATE_SHARE if is_shared else USABLE_RATE_SHARE",
        "USABLE_RATE_SHARE",
        "mulleinreach/gateway/request/tests/test_bounds.py -k successive",
    ),
]
