"""The guards against requests that end the upstreams which run them."""

from __future__ import annotations

from benchmarks.breakage import Breakage

GATEWAY = "mulleinreach/gateway"
CRASHING = f"{GATEWAY}/request/tests/test_crashing_requests.py"
BOOK = f"{GATEWAY}/state/tests/test_crashes.py"
WORK = f"{GATEWAY}/state/tests/test_crash_tracker_cost.py"

CRASH_BREAKAGES = [
    Breakage(
        "BUDGET",
        "a held request is sent to nobody else within its try",
        f"{GATEWAY}/request/sending.py",
        "if self.is_held(job):",
        "if False:",
        f"{CRASHING} -k aborted",
    ),
    Breakage(
        "BUDGET",
        "a held request is refused as it comes",
        f"{GATEWAY}/request/relay.py",
        "is_held(job):\n            return self._refuse_held(job)\n        self._budget",
        "is_held(job) and False:\n            return None\n        self._budget",
        f"{CRASHING} -k without_waiting",
    ),
    Breakage(
        "BUDGET",
        "only an upstream that refuses connections has ended",
        f"{GATEWAY}/request/sending.py",
        "if not await self._is_refusing(upstream.address):",
        "if False:",
        f"{CRASHING} -k loses_answers",
    ),
    Breakage(
        "BUDGET",
        "the coordinator tells what is held",
        f"{GATEWAY}/shared_state.py",
        "self._crashes.merge_held(totals.held or (), asked_at)",
        "pass",
        CRASHING,
    ),
    Breakage(
        "BUDGET",
        "the coordinator joins the sightings of all nodes",
        f"{GATEWAY}/coordination/hub.py",
        "self._knowledge.merge_sightings(report.sightings)",
        "pass",
        CRASHING,
    ),
    Breakage(
        "BUDGET",
        "a new coordinator hears of earlier sightings",
        f"{GATEWAY}/coordination/node_reports.py",
        "includes_old=is_coordinator_new",
        "includes_old=False",
        f"{CRASHING} -k before_their_coordinator",
    ),
    Breakage(
        "BUDGET",
        "nodes that start read what is held",
        f"{GATEWAY}/shared_state.py",
        "self._crashes.merge_held(inheritance.held)",
        "pass",
        f"{CRASHING} -k survives_a_restart",
    ),
    Breakage(
        "BUDGET",
        "copies that wait at replicas are taken back",
        f"{GATEWAY}/node.py",
        "count = self.active.abort_held(digest)",
        "count = 0",
        f"{CRASHING} -k aborted",
    ),
    Breakage(
        "BUDGET",
        "a failing hall holds no sound request",
        f"{GATEWAY}/state/crashes.py",
        "if not is_counted and not (shares_hall and self._ends.is_hall_failing(end, explained)):",
        "if not is_counted:",
        BOOK,
    ),
    Breakage(
        "BUDGET",
        "a request that was served begins anew",
        f"{GATEWAY}/state/crashes.py",
        "ends = [seen for seen in known if seen.at > served_at]",
        "ends = [seen for seen in known if seen.outcome is not RunOutcome.SERVED]",
        BOOK,
    ),
    Breakage(
        "BUDGET",
        "ends after a part of the answer count too",
        f"{GATEWAY}/state/crashes.py",
        "limits = (MIN_ENDS_AFTER_BEGIN, MIN_ENDS_BEFORE_OUTPUT, MIN_ENDS_ANY_OUTCOME)",
        'limits = (MIN_ENDS_AFTER_BEGIN, MIN_ENDS_BEFORE_OUTPUT, float("inf"))',
        f"{CRASHING} -k gives_events_before",
    ),
    Breakage(
        "BUDGET",
        "a beginning that all show tells nothing",
        f"{GATEWAY}/state/crashes.py",
        "return self._ends.count_begun(end, MAX_BEGUN_REQUESTS + 1) <= MAX_BEGUN_REQUESTS",
        "return True",
        BOOK,
    ),
    Breakage(
        "BUDGET",
        "a doubled report counts once",
        f"{GATEWAY}/state/crashes.py",
        "if observation.id in self._known_ids:",
        "if False:",
        BOOK,
    ),
    Breakage(
        "BUDGET",
        "a hold that is handed on ends when it would have",
        f"{GATEWAY}/state/crashes.py",
        "until = dated_at + min(held.remaining_s, HOLD_S)",
        "until = dated_at + HOLD_S",
        WORK,
    ),
    Breakage(
        "BUDGET",
        "messages carry the time that remains to a hold",
        f"{GATEWAY}/coordination/messages.py",
        "times_s = [ms / 1000 for ms in message.heldForMs]",
        "times_s = []",
        f"{GATEWAY}/coordination/messages.py --doctest-modules",
    ),
    Breakage(
        "BUDGET",
        "so does the lease's row",
        f"{GATEWAY}/coordination/lease_document.py",
        'times_s = [float(seconds) for seconds in document.get("held_for_s", [])]',
        "times_s = []",
        "mulleinreach/platform/tests/test_ports.py -k lease_is_written",
    ),
]
