"""The guards of what upstreams say of themselves in their answers."""

from __future__ import annotations

from benchmarks.breakage import Breakage

GATEWAY = "mulleinreach/gateway"
HEEDED = f"{GATEWAY}/request/tests/test_upstream_notices.py"
APART = f"{GATEWAY}/request/tests/test_notices_told_apart.py"
LIMITS = f"{GATEWAY}/request/tests/test_upstream_limits.py"
LIMITS_APART = f"{GATEWAY}/request/tests/test_limits_told_apart.py"
DEALING = f"{GATEWAY}/coordination/tests/test_dealing.py"

NOTICE_BREAKAGES = [
    Breakage(
        "BUDGET",
        "an upstream that rests gets no request",
        f"{GATEWAY}/known/eligibility.py",
        "if self._notices.is_resting(upstream.id):",
        "if False:",
        HEEDED,
    ),
    Breakage(
        "DRAIN",
        "an upstream's word that it leaves counts",
        f"{GATEWAY}/known/notices.py",
        "is_news = notice.is_leaving and self._directory.note_leaving(upstream.id)",
        "is_news = notice.is_leaving",
        f"{HEEDED} -k leaves",
    ),
    Breakage(
        "DRAIN",
        "what a row says later doesn't refute it",
        f"{GATEWAY}/known/upstreams.py",
        "for upstream in map(self._as_it_says, change.upstreams):",
        "for upstream in change.upstreams:",
        f"{HEEDED} -k lapses",
    ),
    Breakage(
        "DRAIN",
        "nor does a whole list",
        f"{GATEWAY}/known/upstreams.py",
        "upstreams = [self._as_it_says(u) for u in upstreams]",
        "self._leaving = {}",
        f"{APART} -k refute",
    ),
    Breakage(
        "BUDGET",
        "every answer is read, also one that is put aside",
        f"{GATEWAY}/request/exchange.py",
        "        self._on_notice(upstream, self._dialect.read_notice(",
        "        if self._dialect.belongs_to(response.headers, request.request_id):\n"
        "            self._on_notice(upstream, self._dialect.read_notice(",
        f"{APART} -k nobody_s_request",
    ),
    Breakage(
        "DRAIN",
        "answers to orders and questions are read",
        f"{GATEWAY}/node.py",
        "self.ports.orders.listen(self.notices.take)",
        "pass",
        f"{HEEDED} -k questions",
    ),
    Breakage(
        "DRAIN",
        "the adapter tells what answers to orders say",
        "mulleinreach/platform/orders.py",
        "        self._on_notice = on_notice",
        "        pass",
        "mulleinreach/platform/tests/test_notices.py",
    ),
    Breakage(
        "BUDGET",
        "an order that was turned away with a rest isn't repeated",
        f"{GATEWAY}/fleet/formation.py",
        "(number and self._is_resting(host.id))",
        "False",
        f"{HEEDED} -k order_that",
    ),
    Breakage(
        "BUDGET",
        "callers are told when the first rest ends",
        f"{GATEWAY}/request/relay.py",
        "        if rest is None:\n            return RETRY_AFTER_S",
        "        return RETRY_AFTER_S",
        f"{HEEDED} -k told_at_once",
    ),
    Breakage(
        "BUDGET",
        "a shorter rest ends no longer one",
        f"{GATEWAY}/known/notices.py",
        "upstream_id: max(asked, before, key=lambda rest: rest.until)",
        "upstream_id: asked",
        f"{APART} -k shorter",
    ),
    Breakage(
        "BUDGET",
        "only 503 asks for rest",
        "mulleinreach/platform/notices.py",
        "asks_for_rest = status == HTTPStatus.SERVICE_UNAVAILABLE",
        "asks_for_rest = True",
        "mulleinreach/platform/tests/test_notices.py",
    ),
    Breakage(
        "LIMIT",
        "an upstream with a limit is sent to for a permit only",
        f"{GATEWAY}/known/eligibility.py",
        "return [u for u in permitted if self._permits.may_send(u.id)]",
        "return permitted",
        f"{LIMITS} -k head_gets",
    ),
    Breakage(
        "LIMIT",
        "a permit is spent once",
        f"{GATEWAY}/known/permits.py",
        "self._held[upstream_id].lapse_at.popleft()",
        "pass",
        f"{DEALING} -k used_and_kept",
    ),
    Breakage(
        "LIMIT",
        "a new coordinator waits until earlier permits have lapsed",
        f"{GATEWAY}/coordination/dealing.py",
        "if now - self._begun_at < permit_s(limit) + MARGIN_S:",
        "if False:",
        f"{DEALING} {GATEWAY}/coordination/dealing.py",
    ),
    Breakage(
        "LIMIT",
        "what may gather is bounded",
        f"{GATEWAY}/coordination/dealing.py",
        "min(gathered, max(BURST, BURST_S * per_s))",
        "gathered",
        DEALING,
    ),
    Breakage(
        "LIMIT",
        "permits are dated from the report that they answer",
        f"{GATEWAY}/known/permits.py",
        "held.lapse_at.extend([asked_at + permit_s(limit)] * permits.count)",
        "held.lapse_at.extend([self._clock.now() + permit_s(limit)] * permits.count)",
        f"{DEALING} -k dates",
    ),
    Breakage(
        "LIMIT",
        "nodes tell each other limits",
        f"{GATEWAY}/coordination/hub.py",
        "self._knowledge.take_limits(report.limits)",
        "pass",
        f"{LIMITS} -k no_such_answer",
    ),
    Breakage(
        "LIMIT",
        "a node that is told of no coordinator sends little",
        f"{GATEWAY}/known/permits.py",
        "return max(1, self._nodes) / (ALONE_SHARE * per_s)",
        "return 1 / per_s",
        DEALING,
    ),
    Breakage(
        "LIMIT",
        "a refusal without a limit ends none",
        "mulleinreach/platform/dialect.py",
        "tells_limit = REQUEST_ID in headers and not self.was_refused(status, headers)",
        "tells_limit = True",
        "mulleinreach/platform/tests/test_notices.py",
    ),
    Breakage(
        "LIMIT",
        "an earlier word that comes late changes nothing",
        f"{GATEWAY}/known/limits.py",
        "if before is not None and before.at >= heard.at:",
        "if False:",
        f"{LIMITS_APART} -k late",
    ),
    Breakage(
        "LIMIT",
        "a limit that has sunk ends earlier permits",
        f"{GATEWAY}/known/permits.py",
        "if self.limits.limit_per_s(upstream_id) < held.limit_per_s:",
        "if False:",
        f"{DEALING} -k sinks",
    ),
]
