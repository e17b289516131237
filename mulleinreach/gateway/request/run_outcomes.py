"""Finds out how runs at upstreams ended, and records it for the detection of crashes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from mulleinreach.common import Address, Clock, EventLog
from mulleinreach.common.responses import BodyEnd, BodyFraming
from mulleinreach.gateway.connectivity.process_state import ProcessState
from mulleinreach.gateway.request.active import ActiveExchange
from mulleinreach.gateway.request.job import RelayJob
from mulleinreach.gateway.state.content import format_digest
from mulleinreach.gateway.state.crashes import CrashTracker
from mulleinreach.gateway.state.selection import UpstreamChooser
from mulleinreach.gateway.state.upstream_ends import RunOutcome
from mulleinreach.gateway.upstream import Upstream

# A replica that ends sooner after the first event may have crashed under that very request, which
# must not go on to as many others as one that was hit by chance.
MIN_MIDSTREAM_S = 0.3


class RunOutcomeRecorder:
    """Tells runs that were served from those under which their upstream ended.

    Parameters
    ==========

    process_state : returns whether the process at an upstream's address runs.
    """

    def __init__(
        self,
        chooser: UpstreamChooser,
        crashes: CrashTracker,
        process_state: Callable[[Address], Awaitable[ProcessState]],
        clock: Clock,
        log: EventLog,
    ):
        self._chooser = chooser
        self._crashes = crashes
        self._process_state = process_state
        self._clock = clock
        self._log = log

    async def confirm_served(
        self, job: RelayJob, upstream: Upstream, exchange: ActiveExchange, body_end: BodyEnd
    ) -> bool:
        """Record that a request was served; returns whether its answer is complete.

        The system closes the connections of a process that ends, which looks like the end of a
        body without length. So such a body is complete only if its upstream hasn't ended, unless
        that was announced; and it counts as served only if the upstream is known to run.
        """
        state = ProcessState.RUNNING
        if body_end.framing is BodyFraming.CLOSE and not self._chooser.is_leaving(upstream):
            state = await self._process_state(upstream.address)
        if state is ProcessState.ENDED:
            exchange.has_upstream_ended = True
            self._record_end(job, upstream, RunOutcome.ENDED_GIVING, self._gave_for_s(exchange))
            return False
        if state is ProcessState.RUNNING:
            self._crashes.note_served(job.content, upstream, job.headers.prompt_parts)
        return True

    async def check_broken_stream(
        self, job: RelayJob, upstream: Upstream, exchange: ActiveExchange
    ) -> None:
        """Check whether the upstream of a stream that broke after its head has ended."""
        gave_for_s = self._gave_for_s(exchange)
        if exchange.is_cut_by_upstream:
            has_body = exchange.has_received_body
            outcome = RunOutcome.ENDED_GIVING if has_body else RunOutcome.ENDED_BEGUN
            has_ended = await self.check_ended(job, upstream, outcome, gave_for_s)
            exchange.has_upstream_ended = has_ended
        is_midstream = gave_for_s >= MIN_MIDSTREAM_S
        job.ended_runs += exchange.has_upstream_ended and is_midstream

    async def check_ended(
        self, job: RelayJob, upstream: Upstream, outcome: RunOutcome, gave_for_s: float = 0.0
    ) -> bool:
        """Check whether an upstream that closed a request's connection has ended, and record it.

        Parameters
        ==========

        outcome : outcome of the run that is recorded if the upstream has ended.
        gave_for_s : for how long the run had sent parts of the response.
        """
        if await self._process_state(upstream.address) is not ProcessState.ENDED:
            return False
        self._record_end(job, upstream, outcome, gave_for_s)
        return True

    def _gave_for_s(self, exchange: ActiveExchange) -> float:
        """Return for how long a run has sent parts of the response."""
        if exchange.body_began_at is None:
            return 0.0
        return self._clock.now() - exchange.body_began_at

    def _record_end(
        self, job: RelayJob, upstream: Upstream, outcome: RunOutcome, gave_for_s: float
    ) -> None:
        """Record that an upstream's process ended while it ran a request."""
        job.has_lost_upstream = True
        if outcome is not RunOutcome.ENDED_GIVING:
            job.ended_halls.add(upstream.hall)
        self._log.event(
            "upstream_ended",
            id=job.headers.request_id,
            content=format_digest(job.content),
            upstream=upstream.id,
            hall=upstream.hall,
            outcome=outcome.name.lower(),
            parts=",".join(format_digest(part) for part in job.headers.prompt_parts),
        )
        self._crashes.note_end(job.content, upstream, outcome, job.headers.prompt_parts, gave_for_s)
