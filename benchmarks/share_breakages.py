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
        "return self._fraction if self.age_s < SHARE_DURATION_S else 0.0",
        "return self._fraction",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "what a lost node may have used counts for a window",
        LEDGER,
        "charged_for_s = SHARE_DURATION_S + MAX_UNREAD_S + window_s",
        "charged_for_s = 0.1",
        SERIES,
    ),
    Breakage(
        "BUDGET",
        "a new coordinator leases nothing that an earlier one may have leased",
        LEDGER,
        "begun_at if is_first_term else previous_ended_at + self._charged_for_s",
        "begun_at",
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
        "        if now < self._leases_new_at:\n            self._adopt",
        "        if True:\n            self._adopt",
        LEDGER_TESTS,
    ),
    Breakage(
        "BUDGET",
        "shares never add up to more than the bound",
        LEDGER,
        "return min(1.0, free / missing)",
        "return 1.0",
        LEDGER_TESTS,
    ),
    Breakage(
        "BUDGET",
        "shares are leased only while the coordinator's lease is held",
        "mulleinreach/gateway/coordination/hub.py",
        "        if not self._lease.is_held():\n            return {}\n        held =",
        "        held =",
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
