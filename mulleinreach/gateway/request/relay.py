"""Handles a caller's request: reads it, has it sent to upstreams and returns the answer."""

from __future__ import annotations

import asyncio
import random
from http import HTTPStatus

from aiohttp import web

from mulleinreach.common import Clock, EventLog
from mulleinreach.common.server.body import BodyRefusal, read_body
from mulleinreach.common.server.handler import announce_end, end_reason
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import RouteKind, Service
from mulleinreach.gateway.ports import CallerHeaders, Dialect
from mulleinreach.gateway.request.admission import RETRY_AFTER_S, Admission, Admitted, Denied
from mulleinreach.gateway.request.budget import WindowedRetryBudget
from mulleinreach.gateway.request.exchange import (
    Answered,
    Broken,
    Streaming,
)
from mulleinreach.gateway.request.intake import StopIntake
from mulleinreach.gateway.request.job import RelayJob, end_to_end_headers
from mulleinreach.gateway.request.late import LateGate
from mulleinreach.gateway.request.owed import EndedBy, OwedRequest, OwedRequests
from mulleinreach.gateway.request.refusals import Refusals
from mulleinreach.gateway.request.run_outcomes import RunOutcomeRecorder
from mulleinreach.gateway.request.send_policy import MIN_REMAINING_S, SendPolicy
from mulleinreach.gateway.request.sending import Sender
from mulleinreach.gateway.request.starting import StartGate
from mulleinreach.gateway.request.stream_forwarder import DEADLINE_REACHED, StreamForwarder
from mulleinreach.gateway.request.urgency import FirstWaitEstimator
from mulleinreach.gateway.state.content import content_digest
from mulleinreach.gateway.upstream import Upstream

# Jitter of Retry-After as a fraction of the upstream's rest, against simultaneous retries.
RETRY_SPREAD_RATIO = 1.0
# An upstream may be replaced before a longer rest is over.
MAX_RETRY_AFTER_S = 60.0


def _header_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's header fields."""
    return sum(len(name) + len(value) for name, value in request.raw_headers)


def _milliseconds_between(started_at: float, ended_at: float | None) -> int | None:
    return None if ended_at is None else round((ended_at - started_at) * 1000)


class Relay:
    """HTTP handler of callers' requests."""

    def __init__(
        self,
        admission: Admission,
        policy: SendPolicy,
        sender: Sender,
        outcomes: RunOutcomeRecorder,
        dialect: Dialect,
        budget: WindowedRetryBudget,
        first_waits: FirstWaitEstimator,
        start_gate: StartGate,
        late_gate: LateGate,
        metrics: GatewayMetrics,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ):
        self._admission = admission
        self._policy = policy
        self._sender = sender
        self._outcomes = outcomes
        self._dialect = dialect
        self._budget = budget
        self._first_waits = first_waits
        self._start_gate = start_gate
        self._late_gate = late_gate
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._rng = rng
        self._refusals = Refusals(dialect, metrics, log)
        self._streams = StreamForwarder(policy, clock, log)
        self._owed = OwedRequests(clock, log)
        self._intake = StopIntake(self._owed.oldest_s, clock, log)
        self.is_stopping = False

    @property
    def in_flight(self) -> int:
        """The number of requests that are owed an answer."""
        return len(self._owed)

    def begin_stopping(self, finish_by: float) -> None:
        """Take only requests that are answered by then, as far as this node knows."""
        self.is_stopping = True
        self._intake.begin_stopping(finish_by)

    def close_intake(self) -> None:
        """Take no more requests that may outlast this node, also of those that are being read."""
        self._intake.close()
        self._owed.end_unread(self._intake.finish_by)

    def end_requests(self) -> None:
        """Decide the answers to all requests; those that have begun to be answered go on."""
        self._owed.end_all()

    def log_cut(self) -> None:
        """Log the requests that are about to end without a whole answer."""
        self._owed.log_cut()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, with which its connection may end if the node is stopping."""
        headers = self._dialect.read_request(request.headers)
        try:
            async with self._owed.owe(headers.request_id) as owed:
                response = await self._answer(request, headers, owed)
        except ConnectionError as error:
            self._owed.log_unanswered(owed, EndedBy.CALLER, str(error))
            raise
        except asyncio.CancelledError:
            reason = end_reason(request)
            by = EndedBy.CALLER if reason is None else EndedBy.NODE
            self._owed.log_unanswered(owed, by, reason or "the connection was closed")
            raise
        except TimeoutError:
            if not owed.limit.expired():
                raise
            response = self._answer_ended(request, headers, owed)
        if self.is_stopping and not response.prepared:
            announce_end(request, response)
        return response

    def _answer_ended(
        self, request: web.BaseRequest, headers: CallerHeaders, owed: OwedRequest
    ) -> web.StreamResponse:
        """Return the answer to a request whose handling was ended since this node stops."""
        if owed.job is None:
            return self._refusals.stopping(headers)
        if owed.job.response is not None:
            return self._cut_stream(owed, owed.job.response)
        owed.job.may_have_run |= owed.job.is_unresolved
        return self._final_failure(owed.job)

    async def refuse_overload(self, request: web.BaseRequest) -> web.StreamResponse:
        """Refuse a request for which there is no memory; it has not run."""
        return self._refusals.lack_of_memory(self._dialect.read_request(request.headers))

    async def _answer(
        self, request: web.BaseRequest, headers: CallerHeaders, owed: OwedRequest
    ) -> web.StreamResponse:
        await self._start_gate.wait()
        path = request.raw_path.partition("?")[0]
        decision = self._admission.check(request.headers.get("Host", ""), path, headers)
        if isinstance(decision, Denied):
            return self._refusals.deny(headers, decision, self._admission.evidence_age_s())
        if _header_bytes(request) > decision.configuration.limits.header_bytes:
            return self._refusals.answer(headers, 431)
        route = decision.route
        timeout_s = self._timeout_s(headers, decision)
        owed.deadline = owed.started_at + timeout_s
        if not self._intake.may_take(route.name, owed.deadline):
            return self._refusals.stopping(headers)
        try:
            async with asyncio.timeout(timeout_s):
                body = await read_body(request, decision.configuration.limits.body_bytes)
        except TimeoutError:
            return self._refusals.answer(headers, 408)
        if body is BodyRefusal.TOO_LARGE:
            return self._refusals.answer(headers, 413)
        if body is BodyRefusal.MALFORMED:
            return self._refusals.answer(headers, 400)
        if body is BodyRefusal.NO_MEMORY:
            return self._refusals.lack_of_memory(headers)
        if not self._intake.may_take(route.name, owed.deadline):
            return self._refusals.stopping(headers)
        self._intake.log_taken(headers.request_id, route.name, owed.deadline)
        job = owed.job = self._make_job(
            request, headers, decision, body, owed.started_at, owed.deadline
        )
        if self._policy.is_held(job):
            return self._refusals.held(job)
        self._budget.count_request(job.service.name)
        await self._sender.wait_for_permit(job)
        try:
            if route.kind is RouteKind.STREAMING:
                response = await self._relay_stream(owed)
            else:
                response = await self._relay_plain(job)
        finally:
            self._policy.release(job)
        self._record_completion(job, response, owed.started_at)
        return response

    def _record_completion(
        self, job: RelayJob, response: web.StreamResponse, started_at: float
    ) -> None:
        elapsed_s = self._clock.now() - started_at
        kind = job.admitted.route.kind
        if response.status == HTTPStatus.OK:
            self._intake.times.note(job.admitted.route.name, elapsed_s)
        self._metrics.count_answer(kind, response.status, elapsed_s, job.sends)
        if job.first_event_at is not None:
            first_event_s = job.first_event_at - started_at
            self._metrics.observe_stream(kind, first_event_s, job.longest_pause_s)
            wait_s = job.caller_gives_up_at - started_at
            self._first_waits.note(job.admitted.route, wait_s, first_event_s)
        self._log.event(
            "request_answered",
            id=job.headers.request_id,
            route=job.admitted.route.name,
            version=job.admitted.configuration.version,
            status=response.status,
            upstream=job.upstream_id,
            sends=job.sends,
            events=job.events_sent,
            first_ms=_milliseconds_between(started_at, job.first_event_at),
            pause_ms=round(job.longest_pause_s * 1000) if job.first_event_at else None,
            framing=job.body_end.framing.value if job.body_end else None,
            reset=job.body_end.is_reset if job.body_end else None,
            ms=round(elapsed_s * 1000),
        )

    def _timeout_s(self, headers: CallerHeaders, admitted: Admitted) -> float:
        """Return how long a request may take in all."""
        route_timeout_s = admitted.route.timeout_s
        if headers.deadline_s is None:
            return route_timeout_s
        return min(headers.deadline_s, route_timeout_s)

    def _make_job(
        self,
        request: web.BaseRequest,
        headers: CallerHeaders,
        admitted: Admitted,
        body: bytes,
        started_at: float,
        deadline: float,
    ) -> RelayJob:
        route = admitted.route
        caller_timeout_s = route.timeout_s if headers.deadline_s is None else headers.deadline_s
        name = route.pick_service(self._rng)
        content = content_digest(
            request.method, route.host, request.raw_path, admitted.organisation or "", body
        )
        return RelayJob(
            request=request,
            headers=headers,
            admitted=admitted,
            service=admitted.configuration.services.get(name, Service(name)),
            body=body,
            content=content,
            started_at=started_at,
            deadline=deadline,
            caller_gives_up_at=started_at + caller_timeout_s,
            last_event_id=headers.last_event_id,
        )

    async def _relay_plain(self, job: RelayJob) -> web.StreamResponse:
        while (upstream := self._policy.next_upstream(job)) is not None:
            result = await self._sender.send_once(job, upstream)
            if isinstance(result, Answered):
                job.body_end = result.body_end
                if not self._is_retryable(job, result):
                    return self._forward(result)
                job.failure = result
            elif not self._sender.may_retry(job, result):
                break
        return self._final_failure(job)

    def _is_retryable(self, job: RelayJob, result: Answered) -> bool:
        """Whether a server error may be retried at another upstream."""
        return result.status >= 500 and job.admitted.route.is_repeatable

    async def _relay_stream(self, owed: OwedRequest) -> web.StreamResponse:
        job = owed.job
        response: web.StreamResponse | None = None
        if job.service.engine is not None and self._sender.is_late(job):
            self._sender.log_held_back(job)
            remaining_s = job.deadline - self._clock.now()
            await self._late_gate.wait(job.constraints, job.headers, remaining_s)
        while (upstream := await self._next_upstream(job)) is not None:
            exchange, ticket = self._sender.begin(job, upstream)
            try:
                result = await self._sender.open_stream(job, exchange, upstream, ticket)
                if isinstance(result, Streaming):
                    if response is None:
                        response = await self._begin_response(job, result)
                    is_whole = await self._streams.forward(job, result, exchange, ticket, response)
                    if is_whole and await self._outcomes.confirm_served(
                        job, upstream, exchange, result.body_end
                    ):
                        await response.write_eof()
                        return response
                    result = Broken("the stream was cut")
                    self._sender.suspect(upstream.id)
                    await self._outcomes.check_broken_stream(job, upstream, exchange)
            finally:
                self._sender.end(exchange, ticket)
            if isinstance(result, Answered):
                if response is None and not self._is_retryable(job, result):
                    return self._forward(result)
                job.failure = result
            elif not self._sender.may_retry(job, result):
                break
        if response is None:
            return self._final_failure(job)
        return self._cut_stream(owed, response)

    async def _next_upstream(self, job: RelayJob) -> Upstream | None:
        """Return where a stream goes on; one that has begun may wait for that within its time."""
        upstream = self._policy.next_upstream(job)
        while upstream is None and job.response is not None:
            if not await self._policy.wait_to_resume(job):
                return None
            upstream = self._policy.next_upstream(job)
        return upstream

    def _cut_stream(self, owed: OwedRequest, response: web.StreamResponse) -> web.StreamResponse:
        """End a stream without its end, so that its caller doesn't take it for whole."""
        is_over = owed.job.broken_by == DEADLINE_REACHED
        by = EndedBy.NODE if is_over or owed.limit.expired() else EndedBy.UPSTREAM
        self._owed.log_unanswered(owed, by, owed.job.broken_by)
        transport = owed.job.request.transport
        if transport is not None:
            transport.close()
        return response

    async def _begin_response(self, job: RelayJob, result: Streaming) -> web.StreamResponse:
        response = web.StreamResponse(
            status=result.status, headers=end_to_end_headers(result.headers)
        )
        response.enable_chunked_encoding()
        if self.is_stopping:
            announce_end(job.request, response)
        job.response = response
        await response.prepare(job.request)
        return response

    def _forward(self, result: Answered) -> web.Response:
        return web.Response(
            status=result.status, headers=end_to_end_headers(result.headers), body=result.body
        )

    def _final_failure(self, job: RelayJob) -> web.Response:
        """Return the error response to a request that isn't retried any more."""
        if job.failure is not None:
            return self._forward(job.failure)
        if not job.may_have_run:
            if self._policy.is_held(job):
                return self._refusals.held(job)
            return self._refusals.answer(job.headers, 503, self._retry_after_s(job))
        is_late = job.deadline - self._clock.now() < MIN_REMAINING_S
        return self._refusals.answer(job.headers, 504 if is_late else 502)

    def _retry_after_s(self, job: RelayJob) -> float:
        """Return the Retry-After for a request that has not run, in seconds."""
        rest = self._sender.rest(job)
        if rest is None:
            return RETRY_AFTER_S
        delay_s = rest.remaining_s + self._rng.uniform(0, RETRY_SPREAD_RATIO * rest.requested_s)
        return min(delay_s, MAX_RETRY_AFTER_S)
