"""One request of a caller, and how one attempt at it ended."""

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

    path : the API path, sent on as it is.
    body, fields : the request as it came, and parsed.
    affinity : what should stay on one replica; empty for no preference.
    deadline : monotonic seconds after which the caller has no use for the answer.
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
        """Whether the caller wants the answer as a stream."""
        return bool(self.fields.get("stream"))


class End(enum.StrEnum):
    """How an attempt ended.

    Explanation
    ===========

    ``NOT_SENT`` and ``REFUSED`` are the two ways to know that it didn't run.
    ``LOST`` is a failure whose replica is known to be no longer whole.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    MOVED = "moved"


@dataclass(frozen=True)
class AttemptResult:
    """The end of one attempt, and why."""

    result: End
    reason: str

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request in this attempt."""
        return self.result not in (End.NOT_SENT, End.REFUSED)

    @property
    def is_failure(self) -> bool:
        """Whether the attempt neither completed nor was moved on purpose."""
        return self.result not in (End.DONE, End.MOVED)


@dataclass(frozen=True)
class CompleteResponse:
    """A complete answer of an upstream."""

    status: int
    content_type: str
    body: bytes


class CallerDisconnected(Exception):
    """The caller has hung up; nobody waits for the answer any more."""


class Sink(Protocol):
    """Where the events of a streamed answer go."""

    async def write(self, data: bytes) -> None:
        """Deliver bytes to the caller; the first call sends the head.

        Raises :class:`CallerDisconnected` if the caller can't be written to any more.
        """


@dataclass
class AttemptHistory:
    """The attempts of one request so far."""

    count: int = 0
    may_have_run: bool = False
    results: list[AttemptResult] = field(default_factory=list)
    failed_replicas: set[str] = field(default_factory=set)

    def note(self, replica: str, result: AttemptResult) -> None:
        """Add the end of an attempt."""
        self.results.append(result)
        self.may_have_run = self.may_have_run or result.may_have_run
        if result.result is not End.MOVED:
            self.failed_replicas.add(replica)
