"""Sends a request to an upstream, and leaves it if it stays silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.model import RouteKind
from mulleinreach.gateway.ports import Dialect
from mulleinreach.gateway.request.active import ActiveExchange, ActiveExchanges
from mulleinreach.gateway.request.exchange import (
    Answered,
    Broken,
    ExchangeResult,
    NotSent,
    OutgoingRequest,
    Refused,
    UpstreamClient,
)
from mulleinreach.gateway.request.job import RelayJob, end_to_end_headers
from mulleinreach.gateway.request.run_outcomes import RunOutcomeRecorder
from mulleinreach.gateway.request.send_policy import SendPolicy
from mulleinreach.gateway.request.urgency import (
    FirstWaitEstimator,
    Lateness,
    engine_priority,
    would_miss_objective,
)
from mulleinreach.gateway.state.content import format_digest
from mulleinreach.gateway.state.load import InFlightRequest, LoadTracker
from mulleinreach.gateway.state.notices import Rest
from mulleinreach.gateway.state.selection import SuspectList, UpstreamChooser
from mulleinreach.gateway.state.upstream_ends import RunOutcome
from mulleinreach.gateway.upstream import Upstream

# How often a request that waits for response headers checks whether its upstream is silent.
SILENCE_CHECK_INTERVAL_S = 0.4
# After this time without data from an upstream, streams without response headers leave it if they
# can go on elsewhere. A group that lost a member is noticed within a second.
SILENCE_LIMIT_S = 1.3


class Sender:
    """Sends requests to upstreams and records the results.

    Parameters
    ==========

    client, direct_client : the latter never sends through another node.
    region : the region of this node.
    """

    def __init__(
        self,
        chooser: UpstreamChooser,
        policy: SendPolicy,
        client: UpstreamClient,
        direct_client: UpstreamClient,
        region: str | None,
        dialect: Dialect,
        loads: LoadTracker,
        active: ActiveExchanges,
        suspects: SuspectList,
        first_waits: FirstWaitEstimator,
        outcomes: RunOutcomeRecorder,
        metrics: GatewayMetrics,
        clock: Clock,
        log: EventLog,
    ):
        self._chooser = chooser
        self._policy = policy
        self._client = client
        self._direct_client = direct_client
        self._region = region
        self._dialect = dialect
        self._loads = loads
        self._active = active
        self._suspects = suspects
        self._first_waits = first_waits
        self._outcomes = outcomes
        self._metrics = metrics
        self._clock = clock
        self._log = log

    async def wait_for_permit(self, job: RelayJob) -> None:
        """Wait for a permit if only rate limits exclude all upstreams.

        Waits for at most one answer of the coordinator, and not at all while the coordinator
        reports that permits are exhausted.
        """
        awaited = await self._chooser.wait_for_permit(job.constraints, job.headers)
        if awaited is not None:
            self._log.event(
                "permit_awaited",
                id=job.headers.request_id,
                upstream=awaited.upstream_id,
                given=awaited.is_granted,
                ms=round(awaited.waited_s * 1000),
            )

    def may_retry(self, job: RelayJob, result: ExchangeResult) -> bool:
        """Whether the request may be retried after an exchange without an answer."""
        if isinstance(result, NotSent | Refused):
            return True
        job.may_have_run = True
        return job.admitted.route.is_repeatable

    async def send_once(self, job: RelayJob, upstream: Upstream) -> ExchangeResult:
        """Send a request and read the whole answer."""
        exchange, ticket = self.begin(job, upstream)
        patience_s = self._patience_s(job)
        try:
            result = await self._send_until(
                job, exchange, upstream, lambda: True, patience_s, wants_stream=False
            )
            if isinstance(result, Answered) and not await self._outcomes.confirm_served(
                job, upstream, exchange, result.body_end
            ):
                return Broken("the upstream ended with its answer")
            return result
        finally:
            self.end(exchange, ticket)

    def begin(self, job: RelayJob, upstream: Upstream) -> tuple[ActiveExchange, InFlightRequest]:
        """Register a request that is about to be sent; :meth:`end` has to be called after it."""
        job.tried.add(upstream.id)
        epoch = self._chooser.chosen_epoch(upstream.id)
        if epoch is not None:
            job.tried_epochs[upstream.id] = epoch
        job.sends += 1
        job.is_unresolved = True
        job.upstream_id = upstream.id
        lateness = self.lateness(job)
        wait_s = self._chooser.predicted_wait_s(job.constraints, upstream.id)
        stands_back = self._stands_back(job, lateness, wait_s)
        job.priority = self._priority(job, stands_back)
        self._log.event(
            "request_sent",
            id=job.headers.request_id,
            content=format_digest(job.content),
            route=job.admitted.route.name,
            version=job.admitted.configuration.version,
            upstream=upstream.id,
            attempt=job.sends,
            late=lateness.is_late,
            stands_back=stands_back,
            wait_ms=round(wait_s * 1000),
            caller_wait_ms=round(lateness.caller_wait_s * 1000),
            first_wait_ms=round(lateness.first_wait_s * 1000),
            running=self._loads.running(upstream.id),
            pending_tokens=self._loads.pending_tokens(upstream.id),
            priority=job.priority,
            after=job.last_event_id or "",
        )
        sent_charge = self._chooser.note_sent(job.constraints, upstream)
        if self._chooser.is_evacuated(upstream):
            self._metrics.count_evacuated_send(upstream.hall)
        # Without a stream there is no event that shows when the engine has admitted the request.
        is_deprioritized = stands_back and job.admitted.route.kind is RouteKind.STREAMING
        ticket = self._loads.start(
            upstream.id,
            job.headers.prompt_tokens or 0,
            is_deprioritized,
            self._policy.is_fixed(job),
        )
        charges = [charge for charge in (sent_charge, job.retry_charge) if charge is not None]
        job.retry_charge = None
        exchange = ActiveExchange(
            upstream.id,
            self._clock.wall(),
            job.content,
            job.headers.prompt_parts,
            charges,
            may_move=partial(self._policy.reserve_move, job),
        )
        self._active.begin(exchange)
        return exchange, ticket

    def end(self, exchange: ActiveExchange, ticket: InFlightRequest) -> None:
        """Remove an exchange that is over."""
        ticket.finish()
        self._active.end(exchange)

    def suspect(self, upstream_id: str) -> None:
        """Mark an upstream whose stream was cut as suspect."""
        self._suspects.add(upstream_id)

    def rest(self, job: RelayJob) -> Rest | None:
        """Return the rest (back-off) that ends first if all eligible upstreams are resting."""
        return self._chooser.rest(job.constraints, job.headers)

    async def open_stream(
        self, job: RelayJob, exchange: ActiveExchange, upstream: Upstream, ticket: InFlightRequest
    ) -> ExchangeResult:
        """Send the request and wait for the head of the answer."""

        def is_overdue() -> bool:
            return self._loads.stalled_s(upstream.id) > SILENCE_LIMIT_S

        return await self._send_until(
            job, exchange, upstream, is_overdue, SILENCE_CHECK_INTERVAL_S, wants_stream=True
        )

    async def _send_until(
        self,
        job: RelayJob,
        exchange: ActiveExchange,
        upstream: Upstream,
        is_overdue: Callable[[], bool],
        first_check_s: float,
        wants_stream: bool,
    ) -> ExchangeResult:
        """Send the request; leave its upstream once it is overdue or lost, if it can go on.

        Parameters
        ==========

        first_check_s : when it is looked at first; later every ``SILENCE_CHECK_INTERVAL_S``.
        """
        send_task = asyncio.ensure_future(self._send(job, exchange, upstream, wants_stream))
        check_s = first_check_s
        try:
            while True:
                done, _ = await asyncio.wait({send_task}, timeout=check_s)
                if done:
                    return send_task.result()
                check_s = SILENCE_CHECK_INTERVAL_S
                is_lost = upstream.id in self._chooser.lost
                if (is_lost or is_overdue()) and self._policy.reserve_move(job):
                    exchange.abort()
        finally:
            send_task.cancel()

    async def _send(
        self, job: RelayJob, exchange: ActiveExchange, upstream: Upstream, wants_stream: bool
    ) -> ExchangeResult:
        remaining_s = job.deadline - self._clock.now()
        request = self._build_request(job, upstream, remaining_s)
        try:
            async with asyncio.timeout(remaining_s):
                client = self._client_for(job)
                result = await exchange.send(client, upstream, request, wants_stream)
        except TimeoutError:
            result = Broken("no answer in time")
        if not isinstance(result, Broken) or result.is_closed:
            exchange.note_arrived()
        self._record_result(job, upstream, result)
        if isinstance(result, Broken) and result.is_closed:
            await self._outcomes.check_ended(job, upstream, RunOutcome.ENDED)
        return result

    def _client_for(self, job: RelayJob) -> UpstreamClient:
        """Return the client that sends a request.

        Nodes that open tunnels are in this node's region, and the body of a request that is
        restricted to other regions must not get to any of them.
        """
        allowed = job.constraints.allowed_regions
        if allowed is None or self._region in allowed:
            return self._client
        return self._direct_client

    def _patience_s(self, job: RelayJob) -> float:
        """Return how long to wait for an answer before another upstream is preferred."""
        route = job.admitted.route
        remaining_s = job.deadline - self._clock.now()
        if route.kind is RouteKind.SAFE and job.sends < route.max_attempts:
            return min(remaining_s, max(3 * route.objective_s, remaining_s / 2))
        return remaining_s

    def _record_result(self, job: RelayJob, upstream: Upstream, result: ExchangeResult) -> None:
        job.is_unresolved = not isinstance(result, NotSent | Refused)
        if isinstance(result, NotSent):
            job.sends -= 1
        if isinstance(result, NotSent | Refused | Broken):
            self._suspects.add(upstream.id)
            if isinstance(result, Refused) and result.status == HTTPStatus.MISDIRECTED_REQUEST:
                self._chooser.note_misdirected(upstream.id)
            self._metrics.count_failed_send(type(result).__name__)
            self._log.event(
                "send_failed",
                id=job.headers.request_id,
                content=format_digest(job.content),
                upstream=upstream.id,
                outcome=type(result).__name__,
                why=getattr(result, "reason", getattr(result, "status", "")),
            )

    def _stands_back(self, job: RelayJob, lateness: Lateness, wait_s: float) -> bool:
        """Whether a request stands back: gets the lowest priority, as it will miss its objective.

        A stream whose caller has received events never stands back. The predicted wait of a
        retry isn't considered, since its delay is due to the failed upstream.

        Parameters
        ==========

        wait_s : predicted wait in the upstream's queue.
        """
        if job.events_sent:
            return False
        if lateness.is_late or job.sends > 1:
            return lateness.is_late
        waited_s = self._clock.now() - job.started_at
        return would_miss_objective(job.admitted.route, job.admitted.priority, waited_s + wait_s)

    def _priority(self, job: RelayJob, stands_back: bool) -> int:
        return engine_priority(job.admitted.priority, stands_back, is_moved=job.events_sent > 0)

    def lateness(self, job: RelayJob) -> Lateness:
        """Return whether the answer would miss the route's objective, with the values compared."""
        wait_s = job.caller_gives_up_at - self._clock.now()
        return self._first_waits.lateness(job.admitted.route, wait_s)

    def is_late(self, job: RelayJob) -> bool:
        """Whether the answer would miss the route's objective."""
        return self.lateness(job).is_late

    def log_held_back(self, job: RelayJob) -> None:
        """Log that a late request waits at this node for a head with free slots, and why."""
        lateness = self.lateness(job)
        self._log.event(
            "request_held_back",
            id=job.headers.request_id,
            route=job.admitted.route.name,
            caller_wait_ms=round(lateness.caller_wait_s * 1000),
            first_wait_ms=round(lateness.first_wait_s * 1000),
            objective_ms=round(lateness.objective_s * 1000),
        )

    def _build_request(
        self, job: RelayJob, upstream: Upstream, remaining_s: float
    ) -> OutgoingRequest:
        headers = self._dialect.forward_headers(
            end_to_end_headers(job.request.headers),
            upstream.id,
            job.admitted.organisation,
            remaining_s,
            job.last_event_id,
            job.priority if job.service.engine else None,
        )
        return OutgoingRequest(
            job.request.method, job.request.raw_path, headers, job.body, job.headers.request_id
        )
