"""Requests to model services, and the results of their attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol

from mulleinreach.intents import OrganisationIntent, ServiceIntent
from mulleinreach.requests.journal import RequestTrace


@dataclass
class ModelCall:
    """A request to a model service.

    Parameters
    ==========

    path : the API path, forwarded unchanged.
    body, fields : the request body as received, and parsed.
    affinity : requests with the same key prefer the same replica; empty for none.
    deadline : when the request times out, in monotonic seconds.
    once_only : whether it may run at most once.
    """

    request_id: str
    path: str
    body: bytes
    fields: dict
    service: ServiceIntent
    organisation: OrganisationIntent
    affinity: str
    deadline: float
    once_only: bool
    trace: RequestTrace

    @property
    def is_streamed(self) -> bool:
        """Whether the caller requested a streamed response."""
        return bool(self.fields.get("stream"))


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.

    Explanation
    ===========

    After ``NOT_SENT`` or ``REFUSED`` the request is known not to have run.
    ``LOST`` : the replica is known not to be whole.
    ``MOVED`` : the stream was moved off a draining replica.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    MOVED = "moved"


@dataclass(frozen=True)
class AttemptResult:
    """The outcome of one attempt, and its reason."""

    outcome: AttemptOutcome
    reason: str

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request in this attempt."""
        return self.outcome not in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)

    @property
    def is_failure(self) -> bool:
        """Whether the attempt neither completed nor was moved off a draining replica."""
        return self.outcome not in (AttemptOutcome.DONE, AttemptOutcome.MOVED)


@dataclass(frozen=True)
class CompleteResponse:
    """A complete, not streamed, response of an upstream."""

    status: int
    content_type: str
    body: bytes


class CallerDisconnected(Exception):
    """The caller closed the connection before the response was complete."""


class Sink(Protocol):
    """Receives the events of a streamed response."""

    async def write(self, data: bytes) -> None:
        """Write bytes to the caller; the first call sends the status and headers.

        Raises :class:`CallerDisconnected` if the connection is closed.
        """


@dataclass
class AttemptHistory:
    """The attempts of one request so far."""

    count: int = 0
    may_have_run: bool = False
    results: list[AttemptResult] = field(default_factory=list)
    failed_replicas: set[str] = field(default_factory=set)

    def note(self, replica: str, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        self.results.append(result)
        self.may_have_run = self.may_have_run or result.may_have_run
        if result.outcome is not AttemptOutcome.MOVED:
            self.failed_replicas.add(replica)
