"""The requests that this node owes an answer."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.common.log import UNANSWERED_EVENT
from mulleinreach.gateway.request.job import RelayJob


class RequestPhase(enum.Enum):
    """How far a request has come.

    ``READING``: its body isn't read whole. ``WAITING``: it was read, and not sent to any upstream.
    ``SENT``: an upstream may run it. ``ANSWERING``: a part of its answer was passed on.
    """

    READING = "reading"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERING = "answering"


class EndedBy(enum.StrEnum):
    """Who ended a request that gets no whole answer."""

    CALLER = "caller"
    NODE = "node"
    UPSTREAM = "upstream"


@dataclass(eq=False)
class OwedRequest:
    """A request whose head was read and whose answer isn't complete.

    Parameters
    ==========

    limit : ends the request's handling; the answer to it is decided then.
    deadline : when its time is over; known once its route is.
    """

    request_id: str
    started_at: float
    limit: asyncio.Timeout
    deadline: float = float("inf")
    job: RelayJob | None = None
    is_logged: bool = False

    def end(self) -> None:
        """End the request's handling."""
        self.limit.reschedule(asyncio.get_running_loop().time())

    @property
    def phase(self) -> RequestPhase:
        """How far the request has come."""
        if self.job is None:
            return RequestPhase.READING
        if self.job.response is not None:
            return RequestPhase.ANSWERING
        return RequestPhase.SENT if self.job.sends else RequestPhase.WAITING


class OwedRequests:
    """All requests that this node owes an answer."""

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self._requests: set[OwedRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextlib.asynccontextmanager
    async def owe(self, request_id: str) -> AsyncIterator[OwedRequest]:
        """Hold a request as owed; raises :class:`TimeoutError` if its handling is ended."""
        async with asyncio.timeout(None) as limit:
            request = OwedRequest(request_id, self._clock.now(), limit)
            self._requests.add(request)
            try:
                yield request
            finally:
                self._requests.discard(request)

    def oldest_s(self, route: str) -> float:
        """Return for how long the oldest request of a route has been owed an answer."""
        jobs = [request.job for request in self._requests if request.job is not None]
        started = [job.started_at for job in jobs if job.admitted.route.name == route]
        now = self._clock.now()
        return now - min(started, default=now)

    def end_unread(self, latest_deadline: float) -> None:
        """End the requests that aren't read whole and whose deadlines are later."""
        for request in self._requests:
            if request.phase is RequestPhase.READING and request.deadline > latest_deadline:
                request.end()

    def end_all(self) -> None:
        """End all requests, but for those of which a part of an answer was passed on."""
        for request in self._requests:
            if request.phase is not RequestPhase.ANSWERING:
                self._log_given_up(request)
                request.end()

    def log_cut(self) -> None:
        """Log the requests that are about to end without a whole answer."""
        for request in self._requests:
            self.log_unanswered(request, EndedBy.NODE, "the node stops")

    def log_unanswered(self, request: OwedRequest, by: EndedBy, why: str) -> None:
        """Log once that a request ends without a whole answer."""
        if request.is_logged:
            return
        request.is_logged = True
        job = request.job
        self._log.event(
            UNANSWERED_EVENT,
            id=request.request_id,
            phase=request.phase.value,
            by=by,
            why=why,
            route=job.admitted.route.name if job else "",
            version=job.admitted.configuration.version if job else "",
            upstream=job.upstream_id if job else "",
            sends=job.sends if job else 0,
            events=job.events_sent if job else 0,
            not_resent=job.not_resent if job else "",
            ms=self._age_ms(request),
            left_ms=round((request.deadline - self._clock.now()) * 1000) if job else "",
        )

    def _log_given_up(self, request: OwedRequest) -> None:
        self._log.event(
            "request_given_up",
            id=request.request_id,
            phase=request.phase.value,
            upstream=request.job.upstream_id if request.job else "",
            ms=self._age_ms(request),
        )

    def _age_ms(self, request: OwedRequest) -> int:
        return round((self._clock.now() - request.started_at) * 1000)
