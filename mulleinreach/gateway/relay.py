"""Takes a caller's request, sends it to upstreams and gives back the answer."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.active import ActiveExchange, ActiveExchanges
from mulleinreach.gateway.admission import RETRY_AFTER_S, Admission, Admitted, Denied
from mulleinreach.gateway.budget import WindowedRetryBudget
from mulleinreach.gateway.choosing import SuspectList, UpstreamChooser
from mulleinreach.gateway.events import EventSplitter
from mulleinreach.gateway.exchange import (
    AnswerCut,
    Answered,
    Broken,
    ExchangeResult,
    NotSent,
    OutgoingRequest,
    Refused,
    Streaming,
    UpstreamClient,
)
from mulleinreach.gateway.load import LoadBook, Ticket
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import RouteKind, Service
from mulleinreach.gateway.ports import CallerHeaders, Dialect
from mulleinreach.gateway.upstreams import Upstream

MIN_REMAINING_S = 0.005
SILENCE_STEP_S = 0.4
SILENCE_LIMIT_S = 1.3
# Streams that lost their replica may be sent once more than the route allows:
# a replica that was cut off no longer runs the request.
EXTRA_RESUMES = 2
_HOP_HEADERS = frozenset(
    name.casefold()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Transfer-Encoding",
        "TE",
        "Trailer",
        "Upgrade",
        "Content-Length",
    )
)


def end_to_end_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return a message's headers without those that concern one connection only.

    Examples
    ========

    >>> headers = CIMultiDictProxy(CIMultiDict({"Connection": "x-own", "X-Own": "1", "A": "2"}))
    >>> dict(end_to_end_headers(headers))
    {'A': '2'}
    """
    named = {
        token.strip().casefold()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    dropped = _HOP_HEADERS | named
    return CIMultiDict((k, v) for k, v in headers.items() if k.casefold() not in dropped)


def _header_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's header fields."""
    return sum(len(name) + len(value) for name, value in request.raw_headers)


@dataclass
class _Job:
    """One request of a caller, with what has become of it so far."""

    request: web.BaseRequest
    headers: CallerHeaders
    admitted: Admitted
    service: Service
    body: bytes
    caller_deadline: float
    deadline: float
    tried: set[str]
    sends: int = 0
    may_have_run: bool = False
    failure: Answered | None = None
    last_event_id: str | None = None
    events_sent: int = 0
    upstream_id: str = ""


class Relay:
    """The handler of callers' requests."""

    def __init__(
        self,
        admission: Admission,
        chooser: UpstreamChooser,
        client: UpstreamClient,
        dialect: Dialect,
        loads: LoadBook,
        active: ActiveExchanges,
        suspects: SuspectList,
        budget: WindowedRetryBudget,
        metrics: GatewayMetrics,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ):
        self._admission = admission
        self._chooser = chooser
        self._client = client
        self._dialect = dialect
        self._loads = loads
        self._active = active
        self._suspects = suspects
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._rng = rng
        self.in_flight = 0
        self.is_stopping = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        started_at = self._clock.now()
        self.in_flight += 1
        try:
            response = await self._answer(request, started_at)
        finally:
            self.in_flight -= 1
        if self.is_stopping:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest, started_at: float) -> web.StreamResponse:
        headers = self._dialect.read_request(request.headers)
        path = request.raw_path.partition("?")[0]
        decision = self._admission.check(request.headers.get("Host", ""), path, headers)
        if isinstance(decision, Denied):
            self._metrics.count_denied(decision.status)
            self._log.event(
                "request_denied",
                id=headers.request_id,
                status=decision.status,
                why=decision.reason,
                evidence_age_s=self._admission.evidence_age_s(),
            )
            return self._own_answer(headers, decision.status, decision.retry_after_s)
        if _header_bytes(request) > decision.configuration.limits.header_bytes:
            return self._own_answer(headers, 431, None)
        body = await self._read_body(request, decision)
        if body is None:
            return self._own_answer(headers, 413, None)
        job = self._make_job(request, headers, decision, body, started_at)
        self._budget.count_request(job.service.name)
        if decision.route.kind is RouteKind.STREAMING:
            response = await self._relay_stream(job)
        else:
            response = await self._relay_plain(job)
        self._note(job, response, started_at)
        return response

    def _note(self, job: _Job, response: web.StreamResponse, started_at: float) -> None:
        elapsed_s = self._clock.now() - started_at
        kind = job.admitted.route.kind
        self._metrics.count_answer(kind, response.status, elapsed_s, job.sends)
        self._log.event(
            "request_answered",
            id=job.headers.request_id,
            route=job.admitted.route.name,
            version=job.admitted.configuration.version,
            status=response.status,
            upstream=job.upstream_id,
            sends=job.sends,
            events=job.events_sent,
            ms=round(elapsed_s * 1000),
        )

    async def _read_body(self, request: web.BaseRequest, admitted: Admitted) -> bytes | None:
        limit = admitted.configuration.limits.body_bytes
        if request.content_length is not None and request.content_length > limit:
            return None
        parts = []
        size = 0
        async for data in request.content.iter_any():
            parts.append(data)
            size += len(data)
            if size > limit:
                return None
        return b"".join(parts)

    def _make_job(
        self,
        request: web.BaseRequest,
        headers: CallerHeaders,
        admitted: Admitted,
        body: bytes,
        started_at: float,
    ) -> _Job:
        route = admitted.route
        caller_s = route.timeout_s if headers.deadline_s is None else headers.deadline_s
        name = route.pick_service(self._rng)
        return _Job(
            request=request,
            headers=headers,
            admitted=admitted,
            service=admitted.configuration.services.get(name, Service(name)),
            body=body,
            caller_deadline=started_at + caller_s,
            deadline=started_at + min(caller_s, route.timeout_s),
            tried=set(),
            last_event_id=headers.last_event_id,
        )

    # Requests with one whole answer.

    async def _relay_plain(self, job: _Job) -> web.StreamResponse:
        while (upstream := self._next_upstream(job)) is not None:
            result = await self._send_once(job, upstream, wants_stream=False)
            if isinstance(result, Answered):
                if not self._is_worth_repeating(job, result):
                    return self._pass_on(result)
                job.failure = result
            elif not self._may_continue(job, result):
                break
        return self._final_failure(job)

    def _is_worth_repeating(self, job: _Job, result: Answered) -> bool:
        """Whether a failure may be tried elsewhere."""
        return result.status >= 500 and job.admitted.route.is_repeatable

    def _may_continue(self, job: _Job, result: ExchangeResult) -> bool:
        """Whether the request may be sent again after an exchange without an answer."""
        if isinstance(result, NotSent | Refused):
            return True
        job.may_have_run = True
        return job.admitted.route.is_repeatable

    def _next_upstream(self, job: _Job) -> Upstream | None:
        """Return where to send the request next, or ``None`` if it is given up."""
        if job.deadline - self._clock.now() < MIN_REMAINING_S:
            return None
        limit = job.admitted.route.max_attempts
        if job.events_sent:
            limit += EXTRA_RESUMES
        if job.sends >= limit:
            return None
        upstream = self._chooser.choose(job.service, job.headers, job.tried)
        if upstream is None:
            return None
        if job.sends > 0 and not self._budget.try_spend(job.service.name):
            return None
        return upstream

    async def _send_once(self, job: _Job, upstream: Upstream, wants_stream: bool) -> ExchangeResult:
        """Send the request; a streaming result leaves the ticket to the caller."""
        exchange, ticket = self._begin(job, upstream)
        try:
            return await self._send(job, exchange, upstream, wants_stream)
        finally:
            ticket.finish()
            self._active.end(exchange)

    def _begin(self, job: _Job, upstream: Upstream) -> tuple[ActiveExchange, Ticket]:
        job.tried.add(upstream.id)
        job.sends += 1
        job.upstream_id = upstream.id
        self._log.event(
            "request_sent",
            id=job.headers.request_id,
            route=job.admitted.route.name,
            version=job.admitted.configuration.version,
            upstream=upstream.id,
            attempt=job.sends,
            running=self._loads.running(upstream.id),
            pending_tokens=self._loads.pending_tokens(upstream.id),
            after=job.last_event_id or "",
        )
        ticket = self._loads.start(upstream.id, job.headers.prompt_tokens or 0)
        return self._active.begin(upstream.id), ticket

    async def _send(
        self, job: _Job, exchange: ActiveExchange, upstream: Upstream, wants_stream: bool
    ) -> ExchangeResult:
        remaining_s = job.deadline - self._clock.now()
        request = self._outgoing(job, upstream, remaining_s)
        try:
            async with asyncio.timeout(self._patience_s(job, remaining_s)):
                result = await exchange.send(self._client, upstream, request, wants_stream)
        except TimeoutError:
            result = Broken("no answer in time")
        self._take_result(job, upstream, result)
        return result

    def _patience_s(self, job: _Job, remaining_s: float) -> float:
        """Return how long to wait for an answer before another upstream is tried."""
        route = job.admitted.route
        if route.kind is RouteKind.SAFE and job.sends < route.max_attempts:
            return min(remaining_s, max(3 * route.objective_s, remaining_s / 2))
        return remaining_s

    def _take_result(self, job: _Job, upstream: Upstream, result: ExchangeResult) -> None:
        if isinstance(result, NotSent):
            job.sends -= 1
        if isinstance(result, NotSent | Refused | Broken):
            self._suspects.add(upstream.id)
            self._metrics.count_failed_send(type(result).__name__)
            self._log.event(
                "send_failed",
                id=job.headers.request_id,
                upstream=upstream.id,
                outcome=type(result).__name__,
                why=getattr(result, "reason", getattr(result, "status", "")),
            )

    def _outgoing(self, job: _Job, upstream: Upstream, remaining_s: float) -> OutgoingRequest:
        headers = self._dialect.forward_headers(
            end_to_end_headers(job.request.headers),
            upstream.id,
            job.admitted.organisation,
            remaining_s,
            job.last_event_id,
            job.admitted.priority if job.service.engine else None,
        )
        return OutgoingRequest(
            job.request.method, job.request.raw_path, headers, job.body, job.headers.request_id
        )

    # Streams.

    async def _relay_stream(self, job: _Job) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        while (upstream := self._next_upstream(job)) is not None:
            exchange, ticket = self._begin(job, upstream)
            try:
                result = await self._open_stream(job, exchange, upstream, ticket)
                if isinstance(result, Streaming):
                    if response is None:
                        response = await self._begin_response(job, result)
                    if await self._copy_events(job, result, exchange, ticket, response):
                        await response.write_eof()
                        return response
                    result = Broken("the stream was cut")
                    self._suspects.add(upstream.id)
            finally:
                ticket.finish()
                self._active.end(exchange)
            if isinstance(result, Answered):
                if response is None and not self._is_worth_repeating(job, result):
                    return self._pass_on(result)
                job.failure = result
            elif not self._may_continue(job, result):
                break
        if response is None:
            return self._final_failure(job)
        self._log.event("stream_cut", id=job.headers.request_id, events=job.events_sent)
        job.request.transport.close()
        return response

    async def _open_stream(
        self, job: _Job, exchange: ActiveExchange, upstream: Upstream, ticket: Ticket
    ) -> ExchangeResult:
        """Send the request and wait for the head of the answer."""
        sending = asyncio.ensure_future(self._send(job, exchange, upstream, wants_stream=True))
        try:
            while True:
                done, _ = await asyncio.wait({sending}, timeout=SILENCE_STEP_S)
                if done:
                    return sending.result()
                if self._is_silent(upstream.id) and self._can_move(job):
                    exchange.withdraw()
        finally:
            sending.cancel()

    def _can_move(self, job: _Job) -> bool:
        """Whether a stream could be moved to another replica."""
        if not job.admitted.route.is_repeatable:
            return False
        return self._chooser.choose(job.service, job.headers, job.tried) is not None

    def _is_silent(self, upstream_id: str) -> bool:
        """Whether none of our requests at an upstream has had a byte for too long."""
        return self._loads.stalled_s(upstream_id) > SILENCE_LIMIT_S

    async def _begin_response(self, job: _Job, result: Streaming) -> web.StreamResponse:
        response = web.StreamResponse(
            status=result.status, headers=end_to_end_headers(result.headers)
        )
        response.enable_chunked_encoding()
        if self.is_stopping:
            response.force_close()
        await response.prepare(job.request)
        return response

    async def _copy_events(
        self,
        job: _Job,
        result: Streaming,
        exchange: ActiveExchange,
        ticket: Ticket,
        response: web.StreamResponse,
    ) -> bool:
        """Pass on whole events; returns whether the stream came to its sound end."""
        splitter = EventSplitter()
        try:
            async with asyncio.timeout(max(0, job.deadline - self._clock.now())):
                async for data in result.chunks():
                    ticket.progress()
                    await self._write_events(job, splitter, data, response)
        except (AnswerCut, TimeoutError) as error:
            self._log.event(
                "stream_broken",
                id=job.headers.request_id,
                upstream=exchange.upstream_id,
                after=job.last_event_id,
                why=str(error) or "deadline",
            )
            return False
        finally:
            result.close()
        return not exchange.is_withdrawn and not splitter.rest

    async def _write_events(
        self, job: _Job, splitter: EventSplitter, data: bytes, response: web.StreamResponse
    ) -> None:
        events = splitter.feed(data)
        if not events:
            return
        await response.write(b"".join(event.data for event in events))
        for event in events:
            if event.id is not None:
                job.last_event_id = event.id
        job.events_sent += len(events)

    # Answers.

    def _pass_on(self, result: Answered) -> web.Response:
        return web.Response(
            status=result.status, headers=end_to_end_headers(result.headers), body=result.body
        )

    def _final_failure(self, job: _Job) -> web.Response:
        """Return the answer to a request that is given up."""
        if job.failure is not None:
            return self._pass_on(job.failure)
        if not job.may_have_run:
            return self._own_answer(job.headers, 503, RETRY_AFTER_S)
        is_late = job.deadline - self._clock.now() < MIN_REMAINING_S
        return self._own_answer(job.headers, 504 if is_late else 502, None)

    def _own_answer(
        self, headers: CallerHeaders, status: int, retry_after_s: float | None
    ) -> web.Response:
        answer_headers = self._dialect.refuse_headers(headers.request_id)
        if retry_after_s is not None:
            answer_headers["Retry-After"] = f"{retry_after_s:g}"
        return web.Response(status=status, headers=answer_headers)
