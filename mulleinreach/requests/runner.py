"""Runs requests to model services, with retries and resumed or moved streams.

Explanation
===========

A request that may run at most once is not retried if an earlier attempt may
have run it. Other retries spend the retry budget, unless nothing was sent or
the replica is known to be lost. A streamed response resumes at the next
position to be delivered, first on the same replica.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import aiohttp

from mulleinreach.admission import AdmissionQueue, Ticket
from mulleinreach.common import Clock, Code, EventLog, ExecutionStatus, MulleinreachError
from mulleinreach.requests.active import ActiveAttempt, ActiveAttempts
from mulleinreach.requests.answers import (
    build_resume_body,
    check_response_status,
    read_bounded,
    transfer_kv_cache,
)
from mulleinreach.requests.budget import RetryBudget
from mulleinreach.requests.call import (
    AttemptHistory,
    AttemptOutcome,
    AttemptResult,
    CompleteResponse,
    ModelCall,
    Sink,
)
from mulleinreach.requests.journal import RequestJournal
from mulleinreach.requests.slots import POLL_INTERVAL_S, RETRY_AFTER_S, ReplicaSlots
from mulleinreach.requests.stream import OrderedStream, StreamError
from mulleinreach.routing import Candidate, ReplicaTable, Router

MAX_ATTEMPTS = 4
# Weight of the latest duration in the moving average.
DURATION_SMOOTHING = 0.05

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
SENT_ERRORS = (aiohttp.ClientError, ConnectionError, OSError)


@dataclass
class RequestMetrics:
    """Counters of attempts and stream events, for the metrics endpoint."""

    attempts: int = 0
    retries: int = 0
    resumes: int = 0
    moves: int = 0
    foreign_events: int = 0
    duplicate_events: int = 0


class ModelRunner:
    """Runs requests to model services until they complete or fail."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        replicas: ReplicaTable,
        router: Router,
        queue: AdmissionQueue,
        active: ActiveAttempts,
        budget: RetryBudget,
        journal: RequestJournal,
        clock: Clock,
        log: EventLog,
        answer_bytes: int,
        resume_bytes: int,
    ):
        self._session = session
        self._replicas = replicas
        self._slots = ReplicaSlots(replicas, router, queue, journal, clock)
        self._active = active
        self._budget = budget
        self._journal = journal
        self._clock = clock
        self._log = log
        self._answer_bytes = answer_bytes
        self._resume_bytes = resume_bytes
        self._mean_duration_s: dict[str, float] = {}
        self.metrics = RequestMetrics()

    async def stream(self, call: ModelCall, sink: Sink) -> None:
        """Deliver a complete streamed response, or raise; no event is delivered twice."""
        stream = OrderedStream(call.request_id, self._resume_bytes)
        attempts = AttemptHistory()
        self._budget.earn()
        candidate: Candidate | None = None
        try:
            while not stream.is_done:
                previous, candidate = (
                    candidate,
                    await self._next_candidate(call, attempts, candidate, stream),
                )
                with self._slots.hold(call, candidate) as slot:
                    if attempts.results and attempts.results[-1].outcome is AttemptOutcome.MOVED:
                        await self._transfer_kv_cache(call, previous, candidate)
                    slot.result = await self._try_stream(call, candidate, attempts, stream, sink)
                self._handle_attempt_result(call, candidate, attempts, slot.result, stream)
        finally:
            self.metrics.foreign_events += stream.counts.foreign
            self.metrics.duplicate_events += stream.counts.duplicates

    async def complete(self, call: ModelCall) -> CompleteResponse:
        """Return the complete response, or raise."""
        attempts = AttemptHistory()
        self._budget.earn()
        candidate: Candidate | None = None
        while True:
            candidate = await self._next_candidate(call, attempts, candidate, None)
            attempt_started_at = self._clock.now()
            with self._slots.hold(call, candidate) as slot:
                slot.result, answer = await self._try_complete(call, candidate, attempts)
            self._handle_attempt_result(call, candidate, attempts, slot.result, None)
            if answer is not None:
                self._record_duration(call.service.name, self._clock.now() - attempt_started_at)
                return answer

    def _record_duration(self, service: str, seconds: float) -> None:
        """Update the mean duration of complete responses, used for admission."""
        mean_s = self._mean_duration_s.get(service, seconds)
        self._mean_duration_s[service] = mean_s + DURATION_SMOOTHING * (seconds - mean_s)

    # Choosing the replica of the next attempt.

    async def _next_candidate(
        self,
        call: ModelCall,
        attempts: AttemptHistory,
        previous: Candidate | None,
        stream: OrderedStream | None,
    ) -> Candidate:
        attempts.count += 1
        if previous is not None and self._can_resume_on(previous, attempts, stream):
            self._replicas.note_sent(previous.replica)
            self._journal.note(call.trace, f"resume on {previous.replica}, which has the stream")
            return previous
        ticket = Ticket(
            call.service.name,
            call.organisation.name,
            call.organisation.weight,
            call.organisation.priority,
            call.deadline,
            0.0 if call.is_streamed else self._mean_duration_s.get(call.service.name, 0.0),
        )
        try:
            candidate = await self._slots.enter(ticket, call, attempts)
        except MulleinreachError as error:
            raise self._final_error(call, attempts, error) from None
        if self._clock.now() - call.trace.started_at > POLL_INTERVAL_S:
            self._journal.note(call.trace, "left the queue")
        return candidate

    def _can_resume_on(
        self, previous: Candidate, attempts: AttemptHistory, stream: OrderedStream | None
    ) -> bool:
        """Whether to resume the stream once on the same replica, if it is whole."""
        if (
            stream is None
            or stream.next_position == 0
            or attempts.results[-1].outcome is not AttemptOutcome.FAILED
        ):
            return False
        if sum(result.outcome is AttemptOutcome.FAILED for result in attempts.results) > 1:
            return False
        return self._active.is_whole(previous.replica, previous.epoch)

    # A single attempt.

    def _headers(self, call: ModelCall, candidate: Candidate, attempt: int) -> dict[str, str]:
        return {
            "content-type": "application/json",
            "x-request-id": call.request_id,
            "x-attempt": str(attempt),
            "x-replica": candidate.replica,
            "x-group-epoch": str(candidate.epoch),
            "x-priority": str(call.organisation.priority),
        }

    async def _try_stream(
        self,
        call: ModelCall,
        candidate: Candidate,
        attempts: AttemptHistory,
        stream: OrderedStream,
        sink: Sink,
    ) -> AttemptResult:
        headers = self._headers(call, candidate, attempts.count)
        body = call.body
        if stream.next_position > 0:
            last = f"{call.request_id}/{attempts.count}:{stream.next_position - 1}"
            headers["last-event-id"] = last
            body = build_resume_body(call, stream)
            self.metrics.resumes += 1
        stream.begin_attempt(attempts.count)

        async def relay(response: aiohttp.ClientResponse, active: ActiveAttempt) -> AttemptResult:
            loop = asyncio.get_running_loop()
            async for chunk in response.content.iter_any():
                active.progress_at = loop.time()
                active.has_begun = True
                ready = stream.feed(chunk)
                if ready:
                    await sink.write(ready)
                if stream.is_done:
                    return AttemptResult(AttemptOutcome.DONE, "complete")
            return AttemptResult(
                AttemptOutcome.FAILED, f"the stream ended at position {stream.next_position}"
            )

        resumable = not call.once_only
        return await self._attempt(call, candidate, headers, body, relay, resumable)

    async def _try_complete(
        self, call: ModelCall, candidate: Candidate, attempts: AttemptHistory
    ) -> tuple[AttemptResult, CompleteResponse | None]:
        headers = self._headers(call, candidate, attempts.count)
        expected_id = f"{call.request_id}/{attempts.count}"
        answers: list[CompleteResponse] = []

        async def read(response: aiohttp.ClientResponse, active: ActiveAttempt) -> AttemptResult:
            body = await read_bounded(response, self._answer_bytes)
            if response.headers.get("x-request-id") != expected_id:
                self.metrics.foreign_events += 1
                return AttemptResult(AttemptOutcome.FAILED, "the answer is to another request")
            try:
                json.loads(body)
            except ValueError:
                return AttemptResult(AttemptOutcome.FAILED, "the answer is not JSON")
            answers.append(CompleteResponse(200, "application/json", body))
            return AttemptResult(AttemptOutcome.DONE, "complete")

        result = await self._attempt(call, candidate, headers, call.body, read, resumable=False)
        return result, answers[0] if answers else None

    async def _attempt(
        self, call, candidate, headers, body, consume, resumable: bool
    ) -> AttemptResult:
        """Send the request once and read the response with ``consume``."""
        self.metrics.attempts += 1
        timeout = asyncio.timeout(None)
        active = ActiveAttempt(
            call.request_id,
            candidate.replica,
            candidate.epoch,
            call.deadline,
            self._clock.now(),
            timeout,
            is_resumable=resumable,
        )
        self._active.add(active)
        try:
            async with timeout:
                url = candidate.address.url + call.path
                async with self._session.post(url, data=body, headers=headers) as response:
                    result = check_response_status(response)
                    return result or await consume(response, active)
        except NOT_SENT_ERRORS as error:
            return AttemptResult(
                AttemptOutcome.NOT_SENT, f"{candidate.replica} was not reached: {error}"
            )
        except TimeoutError as error:
            # Raised by the sweep; caught before OSError, its base class.
            return active.abort_result or AttemptResult(
                AttemptOutcome.FAILED, f"timed out: {error}"
            )
        except (*SENT_ERRORS, StreamError) as error:
            return AttemptResult(AttemptOutcome.FAILED, f"{type(error).__name__}: {error}")
        finally:
            self._active.discard(active)

    # Retry decisions and final errors.

    def _handle_attempt_result(
        self,
        call: ModelCall,
        candidate: Candidate,
        attempts: AttemptHistory,
        result: AttemptResult,
        stream: OrderedStream | None,
    ) -> None:
        """Record the result; raise the final error unless another attempt may follow."""
        failed = result.is_failure
        self._journal.note(
            call.trace, f"attempt {attempts.count} ended: {result.outcome}, {result.reason}"
        )
        if not failed:
            if result.outcome is AttemptOutcome.MOVED:
                attempts.note(candidate.replica, result)
            return
        attempts.note(candidate.replica, result)
        self._log.event(
            "attempt_failed",
            request=call.request_id,
            replica=candidate.replica,
            end=str(result.outcome),
            reason=result.reason,
        )
        refusal = self._retry_refusal(call, attempts, result, stream)
        if refusal is not None:
            self._journal.note(call.trace, f"not retried: {refusal}")
            raise self._final_error(call, attempts, None, f"{result.reason}; {refusal}")
        self.metrics.retries += 1

    def _retry_refusal(
        self,
        call: ModelCall,
        attempts: AttemptHistory,
        result: AttemptResult,
        stream: OrderedStream | None,
    ) -> str | None:
        if attempts.count >= MAX_ATTEMPTS:
            return f"{attempts.count} attempts were made"
        if self._clock.now() >= call.deadline:
            return "the request's deadline has passed"
        if result.outcome is AttemptOutcome.NOT_SENT:
            return None
        if call.once_only and result.may_have_run:
            return "the request may run at most once"
        if stream is not None and stream.next_position and stream.delivered_text() is None:
            return "the delivered text is too long to resume on another replica"
        if result.outcome is AttemptOutcome.LOST:
            return None
        if not self._budget.try_spend():
            return "the retry budget is spent"
        return None

    def _final_error(
        self,
        call: ModelCall,
        attempts: AttemptHistory,
        error: MulleinreachError | None,
        reason: str = "",
    ) -> MulleinreachError:
        """Return the caller's error, with whether the request may have run."""
        if error is None:
            expired = self._clock.now() >= call.deadline
            code = Code.DEADLINE_EXCEEDED if expired else Code.UPSTREAM_FAILED
            error = MulleinreachError(code, reason, retry_after_s=RETRY_AFTER_S)
        error.ran = ExecutionStatus.UNKNOWN if attempts.may_have_run else ExecutionStatus.NOT_RUN
        if error.ran is ExecutionStatus.UNKNOWN and call.once_only:
            error.retry_after_s = None
        self._journal.note(call.trace, f"responded with {error.code}, {error.ran}: {error.message}")
        return error

    async def _transfer_kv_cache(
        self, call: ModelCall, source: Candidate | None, target: Candidate
    ) -> None:
        """Try to copy the KV cache of a moving stream; the stream moves without it otherwise."""
        if source is None:
            return
        self.metrics.moves += 1
        is_moved = await transfer_kv_cache(
            self._session, source.address, target.address, call.request_id
        )
        how = "with" if is_moved else "without"
        note = f"moved from {source.replica} to {target.replica} {how} its KV cache"
        self._journal.note(call.trace, note)
