"""Error codes, what a request's outcome is, and the exception that carries them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ExecutionStatus(enum.StrEnum):
    """Whether a request was executed by an upstream.

    Explanation
    ===========

    ``NOT_RUN`` is a promise: no byte of the request reached an upstream, or the
    upstream itself refused it before it started. ``UNKNOWN`` is said whenever
    that promise can't be made and no complete answer was received.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """The code of each error that a caller or an operator can receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    CONFLICT = "conflict"
    PLAN_EXPIRED = "plan_expired"
    UNSATISFIABLE = "unsatisfiable"
    KEY_REUSED = "key_reused"
    ALREADY_CLAIMED = "already_claimed"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_REPLICA = "no_replica"
    STALE_CONFIGURATION = "stale_configuration"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_INVALID = "upstream_invalid"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    BAD_SETTINGS = "bad_settings"
    INTERNAL = "internal"


HTTP_STATUS = {
    Code.BAD_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.UNKNOWN_MODEL: 404,
    Code.CONFLICT: 409,
    Code.PLAN_EXPIRED: 409,
    Code.UNSATISFIABLE: 422,
    Code.KEY_REUSED: 422,
    Code.ALREADY_CLAIMED: 409,
    Code.RATE_LIMITED: 429,
    Code.CONCURRENCY_LIMITED: 429,
    Code.OVERLOADED: 503,
    Code.DEADLINE_EXCEEDED: 504,
    Code.NO_REPLICA: 503,
    Code.STALE_CONFIGURATION: 503,
    Code.UPSTREAM_FAILED: 502,
    Code.UPSTREAM_INVALID: 502,
    Code.PLATFORM_UNAVAILABLE: 503,
    Code.BAD_SETTINGS: 400,
    Code.INTERNAL: 500,
}


@dataclass
class MulleinreachError(Exception):
    """An error with a code, as it is told to a caller or an operator.

    Parameters
    ==========

    code : what went wrong, from a closed list.
    message : one sentence for a person; names the wrong value.
    ran : whether the request was executed.
    retry_after_s : seconds to wait before trying again; ``None`` advises against it.

    Examples
    ========

    >>> MulleinreachError(Code.NO_REPLICA, "no replica of 'm'", retry_after_s=1.0).http_status
    503
    """

    code: Code
    message: str
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"

    @property
    def http_status(self) -> int:
        """The HTTP status that goes with the code."""
        return HTTP_STATUS[self.code]

    def to_json(self) -> dict:
        """Return the one JSON shape in which every error is told."""
        return {
            "error": {
                "code": str(self.code),
                "message": self.message,
                "ran": str(self.ran),
                "retry_after_s": self.retry_after_s,
            }
        }
