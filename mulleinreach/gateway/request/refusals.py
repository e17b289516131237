"""Answers of the gateway itself to requests that it doesn't pass on."""

from __future__ import annotations

from http import HTTPStatus

from aiohttp import web

from mulleinreach.common import EventLog
from mulleinreach.common.server.bounds import OVERLOAD_RETRY_AFTER_S
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.ports import CallerHeaders, Dialect
from mulleinreach.gateway.request.admission import Denied
from mulleinreach.gateway.request.job import RelayJob
from mulleinreach.gateway.state.content import format_digest

# Value of Retry-After for a held request, which isn't sent since upstreams crash when they run it.
# The hold lasts an hour; callers that come back sooner cost no upstream anything.
HELD_RETRY_AFTER_S = 60.0
# Value of Retry-After while this node stops: others take the request at once.
STOP_RETRY_AFTER_S = 0.0


class Refusals:
    """Refuses requests, and notes why."""

    def __init__(self, dialect: Dialect, metrics: GatewayMetrics, log: EventLog):
        self._dialect = dialect
        self._metrics = metrics
        self._log = log

    def answer(
        self, headers: CallerHeaders, status: int, retry_after_s: float | None = None
    ) -> web.Response:
        """Return an answer without a body."""
        answer_headers = self._dialect.refusal_headers(headers.request_id)
        if retry_after_s is not None:
            answer_headers["Retry-After"] = f"{retry_after_s:g}"
        return web.Response(status=status, headers=answer_headers)

    def deny(self, headers: CallerHeaders, decision: Denied, evidence_age_s: float) -> web.Response:
        """Refuse a request that the configuration doesn't allow, or not yet."""
        self._metrics.count_denied(decision.status)
        self._log.event(
            "request_denied",
            id=headers.request_id,
            status=decision.status,
            why=decision.reason,
            evidence_age_s=evidence_age_s,
        )
        return self.answer(headers, decision.status, decision.retry_after_s)

    def lack_of_memory(self, headers: CallerHeaders) -> web.Response:
        """Refuse a request for which there is no memory; it has not run."""
        response = self._not_run(headers, "no memory", OVERLOAD_RETRY_AFTER_S)
        response.force_close()
        return response

    def stopping(self, headers: CallerHeaders) -> web.Response:
        """Refuse a request that may outlast this node."""
        return self._not_run(headers, "the node stops", STOP_RETRY_AFTER_S)

    def held(self, job: RelayJob) -> web.Response:
        """Refuse a held request, which isn't sent since upstreams crash when they run it."""
        content = format_digest(job.content)
        return self._not_run(
            job.headers, "upstreams end under it", HELD_RETRY_AFTER_S, content=content
        )

    def _not_run(
        self, headers: CallerHeaders, reason: str, retry_after_s: float, **fields: str
    ) -> web.Response:
        status = HTTPStatus.SERVICE_UNAVAILABLE.value
        self._metrics.count_denied(status)
        self._log.event(
            "request_denied", id=headers.request_id, **fields, status=status, why=reason
        )
        return self.answer(headers, status, retry_after_s)
