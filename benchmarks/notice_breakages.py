"""The guards of what upstreams say of themselves in their answers."""

from __future__ import annotations

from benchmarks.breakage import Breakage

GATEWAY = "mulleinreach/gateway"
HEEDED = f"{GATEWAY}/request/tests/test_upstream_notices.py"
APART = f"{GATEWAY}/request/tests/test_notices_told_apart.py"

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
]
