"""Decides whether, and at which upstream, a request is sent once more."""

from __future__ import annotations

import asyncio

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.request.active import ActiveExchange
from mulleinreach.gateway.request.budget import RetryDecision, WindowedRetryBudget
from mulleinreach.gateway.request.job import RelayJob
from mulleinreach.gateway.state.crashes import CrashTracker
from mulleinreach.gateway.state.eligibility import Exclusion
from mulleinreach.gateway.state.selection import UpstreamChooser
from mulleinreach.gateway.upstream import Upstream

MIN_REMAINING_S = 0.005
# Reasons for which a request isn't sent once more that may end within its time.
NO_UPSTREAM = "no upstream"
RETRY_BUDGET_SPENT = "retry budget"
RESUMABLE = (NO_UPSTREAM, RETRY_BUDGET_SPENT)
# How often a stream that waits to go on looks again; shares move between nodes as fast.
RESUME_POLL_S = 0.1
# A stream without an event for this time leaves its upstream if it can go on elsewhere; callers
# give up after two seconds or more.
PAUSE_LIMIT_S = 1.5
# Sends of a stream beyond the route's limit, one for each replica that ended in mid-stream. It no
# longer runs the request; one that is silent or lost to the coordinator may, and counts. So does
# one that ended right after the first event: the request may have crashed it.
MAX_EXTRA_RESUMES = 2


class SendPolicy:
    """The limits on the sends of a request: its deadline, its route, holds and the retry budget."""

    def __init__(
        self,
        chooser: UpstreamChooser,
        budget: WindowedRetryBudget,
        crashes: CrashTracker,
        metrics: GatewayMetrics,
        clock: Clock,
        log: EventLog,
    ):
        self._chooser = chooser
        self._budget = budget
        self._crashes = crashes
        self._metrics = metrics
        self._clock = clock
        self._log = log

    def next_upstream(self, job: RelayJob) -> Upstream | None:
        """Return the next upstream, or ``None`` if the request must not be sent again."""
        if job.deadline - self._clock.now() < MIN_REMAINING_S:
            return self._end_sends(job, "deadline")
        if job.sends >= self._max_sends(job):
            return self._end_sends(job, "attempts")
        if self.is_held(job):
            return self._end_sends(job, "held")
        upstream = self._chooser.choose(job.constraints, job.headers, job.tried, job.ended_halls)
        if upstream is None:
            self._log_shortage(job)
            return self._end_sends(job, NO_UPSTREAM)
        if job.sends > 0 and job.retry_charge is None and not self._take_retry(job):
            return self._end_sends(job, RETRY_BUDGET_SPENT)
        return upstream

    def _end_sends(self, job: RelayJob, reason: str) -> None:
        """Note why a request isn't sent once more."""
        job.not_resent = reason

    def may_leave(self, job: RelayJob, exchange: ActiveExchange, silent_s: float) -> bool:
        """Whether a stream that has begun leaves an upstream that has been silent for some time.

        Silence alone ends no request that can't go on elsewhere.
        """
        is_lost = exchange.upstream_id in self._chooser.lost
        return (is_lost or silent_s >= PAUSE_LIMIT_S) and self.reserve_move(job)

    def reserve_move(self, job: RelayJob) -> bool:
        """Whether a request can go on at another upstream; takes a retry for it."""
        if job.retry_charge is not None:
            return True
        if self.is_fixed(job) or self.is_held(job):
            return False
        upstream = self._chooser.choose(job.constraints, job.headers, job.tried, job.ended_halls)
        return upstream is not None and self._take_retry(job)

    def is_fixed(self, job: RelayJob) -> bool:
        """Whether a request that was sent may not be sent to another upstream."""
        return job.sends >= self._max_sends(job) or not job.admitted.route.is_repeatable

    def _max_sends(self, job: RelayJob) -> int:
        """Return the largest number of sends of a request."""
        limit = job.admitted.route.max_attempts
        if job.events_sent:
            limit += min(job.ended_runs, MAX_EXTRA_RESUMES)
        return limit

    def release(self, job: RelayJob) -> None:
        """Return what a request that is over has reserved."""
        if job.retry_charge is not None:
            job.retry_charge.note_arrived()
            job.retry_charge = None

    async def wait_to_resume(self, job: RelayJob) -> bool:
        """Wait until a stream that has begun may go on; returns ``False`` if it won't in its time.

        Other nodes may have the retry that it lacks, and another group may open. A stream that may
        have crashed an upstream doesn't wait for others.
        """
        waits_since = self._clock.now()
        while job.not_resent in RESUMABLE and not job.has_lost_upstream and not self.is_held(job):
            await asyncio.sleep(RESUME_POLL_S)
            if job.deadline - self._clock.now() < MIN_REMAINING_S:
                self._end_sends(job, "deadline")
                return False
            self._forget_ended_groups(job)
            if self.reserve_move(job):
                self._log_resumed(job, self._clock.now() - waits_since)
                job.not_resent = ""
                return True
        return False

    def _log_resumed(self, job: RelayJob, waited_s: float) -> None:
        self._log.event(
            "stream_resumed",
            id=job.headers.request_id,
            waited_for=job.not_resent,
            ms=round(waited_s * 1000),
        )

    def _forget_ended_groups(self, job: RelayJob) -> None:
        """Allow to send a request to a head once more that has left its group for another one."""
        service, model = job.constraints.service.name, job.headers.model
        job.tried -= self._chooser.later_heads(service, model, job.tried_epochs)

    def _take_retry(self, job: RelayJob) -> bool:
        """Take a retry from the service's budget; returns whether there was one left."""
        decision = self._budget.try_spend(job.service.name, job.headers.request_id)
        job.retry_charge = decision.charge
        # A stream that waits asks often; its first refusal was logged.
        if decision.is_granted or not job.not_resent:
            self._log_decision(job, decision)
        return decision.is_granted

    def _log_decision(self, job: RelayJob, decision: RetryDecision) -> None:
        if not decision.is_granted:
            self._metrics.count_refused_retry(job.service.name)
        self._log.event(
            "retry_granted" if decision.is_granted else "retry_refused",
            id=job.headers.request_id,
            service=job.service.name,
            retries=decision.retries,
            allowed=round(decision.allowed, 2),
            requests=decision.requests,
            share=round(decision.share, 4),
            share_age_s=round(decision.share_age_s, 2),
        )

    def _log_shortage(self, job: RelayJob) -> None:
        """Log why no upstream is available for a request."""
        shortage = self._chooser.exclusion_summary(job.constraints, job.headers, job.tried)
        engine = job.service.engine
        # The model's name comes from the caller; only a configured one is logged.
        model = engine.model(job.headers.model or "") if engine else None
        self._log.event(
            "no_upstream",
            id=job.headers.request_id,
            service=job.service.name,
            model=model.name if model else "",
            listed=shortage.listed,
            tried=shortage.tried,
            **{reason.value: shortage.excluded.get(reason, 0) for reason in Exclusion},
            evacuated_halls=",".join(shortage.evacuated_halls),
        )

    def is_held(self, job: RelayJob) -> bool:
        """Whether a request is held: not sent, since upstreams crash when they run it."""
        digests = (job.content, *job.headers.prompt_parts)
        return any(self._crashes.is_held(digest) for digest in digests)
