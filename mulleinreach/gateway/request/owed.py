"""The requests that this node owes an answer."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import Iterator
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
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


@dataclass(eq=False)
class OwedRequest:
    """A request whose head was read and whose answer isn't complete."""

    request_id: str
    started_at: float
    job: RelayJob | None = None

    @property
    def phase(self) -> RequestPhase:
        """How far the request has come."""
        if self.job is None:
            return RequestPhase.READING
        if self.job.is_answering:
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

    @contextlib.contextmanager
    def owe(self, request_id: str) -> Iterator[OwedRequest]:
        """Hold a request as owed until its answer is decided."""
        request = OwedRequest(request_id, self._clock.now())
        self._requests.add(request)
        try:
            yield request
        finally:
            self._requests.discard(request)

    def log_cut(self) -> None:
        """Log the requests that are about to end without a whole answer."""
        for request in self._requests:
            self._log.event(
                "request_cut",
                id=request.request_id,
                phase=request.phase.value,
                upstream=request.job.upstream_id if request.job else "",
                ms=round((self._clock.now() - request.started_at) * 1000),
            )
