"""The gateway's guards that :mod:`benchmarks.breakages` takes out, one at a time.

``promise`` names the users' rule, as ``docs/RULES.md`` lists it.
"""

from __future__ import annotations

from benchmarks.answer_breakages import ANSWER_BREAKAGES
from benchmarks.body_breakages import BODY_BREAKAGES
from benchmarks.breakage import Breakage
from benchmarks.client_breakages import CLIENT_BREAKAGES
from benchmarks.connectivity_breakages import CONNECTIVITY_BREAKAGES
from benchmarks.crash_breakages import CRASH_BREAKAGES
from benchmarks.ending_breakages import ENDING_BREAKAGES
from benchmarks.hall_breakages import HALL_BREAKAGES
from benchmarks.notice_breakages import NOTICE_BREAKAGES
from benchmarks.restore_breakages import RESTORE_BREAKAGES
from benchmarks.share_breakages import SHARE_BREAKAGES
from benchmarks.silence_breakages import SILENCE_BREAKAGES
from benchmarks.start_breakages import START_BREAKAGES
from benchmarks.stop_breakages import STOP_BREAKAGES
from benchmarks.value_breakages import VALUE_BREAKAGES

GATEWAY = "mulleinreach/gateway"
TESTS = f"{GATEWAY}/tests"

GATEWAY_BREAKAGES = [
    Breakage(
        "MIXED",
        "an answer carries the request's id",
        f"{GATEWAY}/request/exchange.py",
        "if not self._dialect.belongs_to(response.headers, request.request_id):",
        "if False:",
        f"{GATEWAY}/request/tests/test_relay.py",
    ),
    Breakage(
        "MIXED",
        "a success is signed",
        f"{GATEWAY}/request/exchange.py",
        "if is_success and not self._dialect.is_signed(response.headers):",
        "if False:",
        f"{GATEWAY}/request/tests/test_relay.py",
    ),
    Breakage(
        "TWICE",
        "an unsafe request is not sent again once it may have run",
        f"{GATEWAY}/request/sending.py",
        "        return job.admitted.route.is_repeatable\n\n    async def send_once",
        "        return True\n\n    async def send_once",
        f"{GATEWAY}/request/tests/test_relay.py",
    ),
    Breakage(
        "REFUSED",
        "503 only while nothing may have run",
        f"{GATEWAY}/request/relay.py",
        "if not job.may_have_run:",
        "if True:",
        f"{GATEWAY}/request/tests/test_relay.py",
    ),
    Breakage(
        "BUDGET",
        "second sends are counted",
        f"{GATEWAY}/request/budget.py",
        "charge = window.add() if not share_part or may_use_share else None",
        "charge=window.add(),",
        f"{GATEWAY}/request/tests/test_bounds.py -k second_sends",
    ),
    Breakage(
        "BUDGET",
        "a request reaches a bounded number of upstreams",
        f"{GATEWAY}/request/send_policy.py",
        "if job.sends >= self._max_sends(job):\n            "
        'return self._end_sends(job, "attempts")',
        "",
        f"{GATEWAY}/request/tests/test_bounds.py -k reaches",
    ),
    Breakage(
        "CEILING",
        "loads of the last seconds are counted",
        f"{GATEWAY}/fleet/weight_loads.py",
        "return len(self._begun) + 1 <= profile.loads_per_s * RATE_WINDOW_S * self._rate_share()",
        "return True",
        f"{GATEWAY}/request/tests/test_bounds.py -k loads",
    ),
    Breakage(
        "LOST",
        "connections are closed by a stop",
        f"{GATEWAY}/http_server.py",
        "            bounds.connections.begin_draining()\n",
        "            pass\n",
        f"{GATEWAY}/request/tests/test_connections.py -k planned_stop",
    ),
    Breakage(
        "CONFIG",
        "a key is not trusted on old evidence",
        f"{GATEWAY}/request/admission.py",
        "if self._key_evidence_age_s() > self._bounds.max_key_evidence_age_s:",
        "if False:",
        f"{GATEWAY}/request/tests/test_admission.py -k key",
    ),
    Breakage(
        "CONFIG",
        "versions only rise",
        f"{GATEWAY}/state/configuration_follower.py",
        "if self.configuration is not None and configuration.version <= self.version:",
        "if False:",
        f"{GATEWAY}/request/tests/test_admission.py -k older",
    ),
    Breakage(
        "DRAIN",
        "late news alone keeps no upstream",
        f"{GATEWAY}/state/upstream_follower.py",
        "if has_failed and self.list_age_s() > OUTAGE_S:",
        "if self.list_age_s() > OUTAGE_S:",
        f"{GATEWAY}/state/tests/test_store_outage.py -k late_answer",
    ),
    Breakage(
        "TWO",
        "a member is taken only after its head was left",
        f"{GATEWAY}/fleet/hosts.py",
        "return ended is not None and (ended.left_members is None or host in ended.left_members)",
        "return ended is not None",
        f"{GATEWAY}/fleet/tests/test_fleet.py -k free_of_a_group",
    ),
    Breakage(
        "TWO",
        "a resignation that was taken back is of no use",
        f"{GATEWAY}/coordination/lease.py",
        "if record is None or Resignation(record.token, record.renewal) != resignation:",
        "if record is None:",
        f"{GATEWAY}/state/tests/test_store_outage.py -k superseded",
    ),
    Breakage(
        "TWO",
        "a lease that was renewed during an election is not taken",
        f"{GATEWAY}/coordination/membership.py",
        "if self._lease.record != record:",
        "if False:",
        f"{GATEWAY}/fleet/tests/test_fleet.py -k renewed_during",
    ),
    Breakage(
        "TWO",
        "a report counts only if it is newer than what was heard",
        f"{GATEWAY}/state/upstreams.py",
        "if known is None or as_of <= self._changed_at.get(report.id, NEVER):",
        "if known is None:",
        f"{GATEWAY}/state/tests/test_reports.py",
    ),
    Breakage(
        "TWO",
        "an order to leave frees a host from the group that it names only",
        f"{GATEWAY}/fleet/hosts.py",
        "return departure is not None and departure.key == key and departure.left_at >= since",
        "return departure is not None and departure.left_at >= since",
        f"{GATEWAY}/fleet/tests/test_stale_groups.py",
    ),
    Breakage(
        "RECOVER",
        "hosts that are missing at a start may be back",
        f"{GATEWAY}/fleet/hosts.py",
        "return self._clock.now() < self._grace_ends_at",
        "return False",
        f"{GATEWAY}/state/tests/test_store_outage.py -k start_after",
    ),
    Breakage(
        "CONFIG",
        "keys outlive only an outage for all: nobody has left the coordinator",
        f"{GATEWAY}/coordination/hub.py",
        "if self._resignation is None or self._has_lost_members or not self._members:",
        "if self._resignation is None or not self._members:",
        f"{GATEWAY}/request/tests/test_keys_in_outages.py",
    ),
    Breakage(
        "CONFIG",
        "keys outlive only an outage for all: there was time to leave",
        f"{GATEWAY}/coordination/hub.py",
        "return self._clock.now() - self._resigned_at > REPLACEMENT_DEADLINE_S",
        "return True",
        f"{GATEWAY}/request/tests/test_keys_in_outages.py",
    ),
    Breakage(
        "CONFIG",
        "where taking keys away is strict they outlive nothing",
        f"{GATEWAY}/request/admission.py",
        "if self._bounds.trusts_keys_in_outages:",
        "if True:",
        f"{GATEWAY}/request/tests/test_keys_in_outages.py",
    ),
    Breakage(
        "CONFIG",
        "a renewal proves only the configuration that it named",
        f"{GATEWAY}/state/configuration_follower.py",
        "if rows is not None and rows == self.operator_rows():",
        "if True:",
        f"{GATEWAY}/state/tests/test_store_calls.py -k no_evidence",
    ),
    Breakage(
        "CONFIG",
        "a new coordinator tells the one that it replaces",
        f"{GATEWAY}/coordination/term.py",
        "if self._hub.successor is not None:",
        "if False:",
        f"{GATEWAY}/coordination/tests/test_successor.py",
    ),
    Breakage(
        "DUTY",
        "an order that is refused for its token ends the term",
        f"{GATEWAY}/fleet/formation.py",
        "if isinstance(result, Fenced):",
        "if False:",
        f"{GATEWAY}/coordination/tests/test_fences.py",
    ),
    Breakage(
        "GONE",
        "a handler ends when its caller leaves",
        f"{GATEWAY}/http_server.py",
        "handler_cancellation=True",
        "handler_cancellation=False",
        f"{GATEWAY}/request/tests/test_leaving_callers.py",
    ),
    Breakage(
        "RECOVER",
        "the last groups of a model stay",
        f"{GATEWAY}/fleet/allocation.py",
        "max_ended = totals[source.name] - workload.reserve(source.name) - 1",
        "max_ended = totals[source.name]",
        f"{GATEWAY}/fleet/tests/test_allocation.py -k last_groups",
    ),
    Breakage(
        "DRAIN",
        "a coordinator does not keep lapsed upstreams on its own word",
        f"{GATEWAY}/coordination/hub.py",
        "own_totals = replace(totals, keeps_removed=False)",
        "own_totals = totals",
        f"{GATEWAY}/state/tests/test_store_outage.py -k still_missing",
    ),
    Breakage(
        "BUDGET",
        "only replicas that have ended excuse further runs of a stream",
        f"{GATEWAY}/request/send_policy.py",
        "limit += min(job.ended_runs, MAX_EXTRA_RESUMES)",
        "limit += MAX_EXTRA_RESUMES",
        f"{GATEWAY}/request/tests/test_bounds.py -k lost_replica",
    ),
    Breakage(
        "BUDGET",
        "a replica that is only silent excuses no further run of a stream",
        f"{GATEWAY}/request/run_outcomes.py",
        "job.ended_runs += exchange.has_upstream_ended and is_midstream",
        "job.ended_runs += is_midstream",
        f"{GATEWAY}/request/tests/test_attempts_in_silences.py",
    ),
    Breakage(
        "BUDGET",
        "a replica that ends right after the first event excuses no further run of a stream",
        f"{GATEWAY}/request/run_outcomes.py",
        "job.ended_runs += exchange.has_upstream_ended and is_midstream",
        "job.ended_runs += exchange.has_upstream_ended",
        f"{GATEWAY}/request/tests/test_crashing_prompt_parts.py -k few_requests",
    ),
    Breakage(
        "LOST",
        "what can go on elsewhere leaves a retiring head",
        f"{GATEWAY}/shared_state.py",
        "            self._on_overdue(head)",
        "            pass",
        f"{GATEWAY}/fleet/tests/test_draining.py -k endless",
    ),
    *CLIENT_BREAKAGES,
    *STOP_BREAKAGES,
    *ENDING_BREAKAGES,
    *HALL_BREAKAGES,
    *CRASH_BREAKAGES,
    *START_BREAKAGES,
    *VALUE_BREAKAGES,
    *NOTICE_BREAKAGES,
    *RESTORE_BREAKAGES,
    *SHARE_BREAKAGES,
    *ANSWER_BREAKAGES,
    *BODY_BREAKAGES,
    *CONNECTIVITY_BREAKAGES,
    *SILENCE_BREAKAGES,
]
