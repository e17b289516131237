"""Breaks one rule at a time in a copy of the tree, and sees that its test fails.

Prints the table of ``docs/PROOFS.md``. A breakage that no test finds is named,
and the exit code is 1. An argument selects the breakages whose promise it names.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.breakage import Breakage
from benchmarks.gateway_breakages import GATEWAY_BREAKAGES

BREAKAGES = [
    Breakage(
        "1",
        "evidence of wholeness ages out",
        "mulleinreach/groups/polling.py",
        "return self._clock.now() - status.confirmed_at < self._max_age_s",
        "return status.confirmed_at > NEVER",
        "tests/test_promise_1_wholeness.py",
    ),
    Breakage(
        "1",
        "a member must be ready in the group's epoch",
        "mulleinreach/groups/polling.py",
        'return status.replica == replica and status.epoch == epoch and status.state == "ready"',
        "return True",
        "tests/test_promise_1_wholeness.py",
    ),
    Breakage(
        "2",
        "writes are conditional on the lease and the rows decided from",
        "mulleinreach/groups/controller.py",
        "conditions += [Condition(record.key, record.version) for record in records]",
        "conditions = []",
        "tests/test_promise_2_one_replica_a_host.py -k paused_holder",
    ),
    Breakage(
        "2",
        "a host with unresolved orders stays out",
        "mulleinreach/groups/order_tracker.py",
        "return replace(record, unresolved=record.unresolved - answered)",
        "return replace(record, unresolved=0)",
        "tests/test_promise_2_one_replica_a_host.py -k late_order_to",
    ),
    Breakage(
        "2",
        "confirming is conditional on the intent that the plan was made from",
        "mulleinreach/intents/plan.py",
        "if plan.basis == document.intent_version:",
        "if True:",
        "tests/test_sessions.py -k race",
    ),
    Breakage(
        "3",
        "an event is delivered only at its position",
        "mulleinreach/requests/stream.py",
        "self._buffered[position] = event",
        "self._buffered[self.next_position] = event",
        "mulleinreach/requests/tests/test_stream.py",
    ),
    Breakage(
        "3",
        "events of other requests are refused",
        "mulleinreach/requests/stream.py",
        'raise StreamError(StreamFault.OTHER_REQUEST, f"event {event[:80]!r}")',
        "return",
        "mulleinreach/requests/tests/test_stream.py",
    ),
    Breakage(
        "3",
        "an answer carries the request's id",
        "mulleinreach/requests/runner.py",
        'if response.headers.get("x-request-id") != expected_id:',
        "if False:",
        "tests/test_promise_4_not_run.py tests/test_promise_3_whole_answers.py -k swap",
    ),
    Breakage(
        "3",
        "a stream ends only with its end mark",
        "mulleinreach/requests/runner.py",
        "while not stream.is_done:",
        "for _ in range(1):",
        "tests/test_promise_3_whole_answers.py -k never_ends",
    ),
    Breakage(
        "4",
        "a failure after bytes were sent is not 'not run'",
        "mulleinreach/requests/call.py",
        "return self.outcome not in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)",
        "return False",
        "tests/test_promise_4_not_run.py",
    ),
    Breakage(
        "4",
        "the same for plain services",
        "mulleinreach/requests/plain.py",
        "return MulleinreachError(code, message, ran=ExecutionStatus.UNKNOWN)",
        "return MulleinreachError(code, message)",
        "tests/test_promise_4_not_run.py",
    ),
    Breakage(
        "5",
        "a claim is conditional on absence",
        "mulleinreach/requests/claims.py",
        "conditions = [Condition(p.key, p.version) for p in batch]",
        "conditions = []",
        "tests/test_promise_5_once_only.py -k all_nodes_at_once",
    ),
    Breakage(
        "5",
        "a claim that was given up is released",
        "mulleinreach/requests/claims.py",
        "self._tasks.spawn(self._release(key, version, record))",
        "pass",
        "tests/test_promise_5_once_only.py -k lands_late",
    ),
    Breakage(
        "5",
        "nothing is sent without a claim",
        "mulleinreach/requests/claims.py",
        "return ClaimRefused(reason)",
        "return Claim(key, version, record)",
        "tests/test_promise_5_once_only.py -k table_down",
    ),
    Breakage(
        "5",
        "once-only requests are not retried",
        "mulleinreach/requests/runner.py",
        "if call.once_only and result.may_have_run:",
        "if False:",
        "tests/test_promise_5_once_only.py -k unrepeatable_model",
    ),
    Breakage(
        "6",
        "peers tell of leaving hosts",
        "mulleinreach/evidence.py",
        "                leaving |= hosts",
        "                pass",
        "tests/test_promise_6_leaving.py",
    ),
    Breakage(
        "6",
        "an operator's drain counts at once",
        "mulleinreach/evidence.py",
        "leaving = set(node.force.document.drained_hosts)",
        "leaving = set()",
        "tests/test_promise_6_leaving.py",
    ),
    Breakage(
        "7",
        "a drained replica finishes what is in flight",
        "mulleinreach/groups/controller.py",
        "return is_recent and head.report.in_flight == 0",
        "return True",
        "tests/test_promise_7_planned_stops.py",
    ),
    Breakage(
        "7",
        "a node that stops waits for its requests",
        "mulleinreach/node.py",
        "while self._owes_answers() and self.clock.now() < give_up_at:",
        "while False:",
        "tests/test_promise_7_planned_stops.py",
    ),
    Breakage(
        "8",
        "a node without fresh evidence refuses work",
        "mulleinreach/intents/force.py",
        "return now - self._cache.read_at < self._fresh_s or self._has_majority(now)",
        "return True",
        "tests/test_promise_8_configuration.py -k cut_off",
    ),
    Breakage(
        "8",
        "a confirmation is found again when its answer was lost",
        "mulleinreach/intents/plan.py",
        "        if found.state is PlanState.CONFIRMED:",
        "        if False:",
        "tests/test_promise_8_configuration.py -k answer_is_lost",
    ),
]


def is_found(breakage: Breakage) -> bool:
    """Apply a breakage in a copy of the tree; returns whether its tests fail."""
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory) / "tree"
        ignored = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".hypothesis")
        shutil.copytree(".", copy, ignore=ignored)
        path = copy / breakage.file
        text = path.read_text()
        if text.count(breakage.old) != 1:
            raise ValueError(
                f"{breakage.file}: {breakage.old!r} stands {text.count(breakage.old)} times"
            )
        path.write_text(text.replace(breakage.old, breakage.new))
        command = [sys.executable, "-m", "pytest", "-n0", "-x", "-q", *breakage.tests.split()]
        done = subprocess.run(command, cwd=copy, capture_output=True, timeout=400)
        # 1 says that tests failed; any other code is no proof.
        return done.returncode == 1


def main() -> None:
    """Print the table; exit with 1 if a breakage was not found."""
    selected = [
        breakage
        for breakage in BREAKAGES + GATEWAY_BREAKAGES
        if len(sys.argv) == 1 or breakage.promise in sys.argv[1:]
    ]
    with ThreadPoolExecutor(4) as pool:
        found = list(pool.map(is_found, selected))
    print("| promise | rule taken out | in | test that then fails |")
    print("|---|---|---|---|")
    for breakage, is_seen in zip(selected, found, strict=True):
        tests = f"`{breakage.tests}`" if is_seen else "**none**"
        print(f"| {breakage.promise} | {breakage.rule} | `{breakage.file}` | {tests} |")
    sys.exit(0 if all(found) else 1)


if __name__ == "__main__":
    main()
