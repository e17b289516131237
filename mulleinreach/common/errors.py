"""Error codes, the execution status of a request, and the exception that carries both."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ExecutionStatus(enum.StrEnum):
    """Whether a request was executed by an upstream.

    Explanation
    ===========

    ``NOT_RUN`` guarantees that no byte of the request reached an upstream, or that the
    upstream rejected the request before it started. ``UNKNOWN`` is used when this can't
    be guaranteed and no complete response was received.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """Codes of the errors that callers and operators can receive."""

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
    ADDRESS_UNAVAILABLE = "address_unavailable"
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
    Code.ADDRESS_UNAVAILABLE: 503,
    Code.INTERNAL: 500,
}


@dataclass
class MulleinreachError(Exception):
    """An error as it is returned to a caller or an operator.

    Parameters
    ==========

    code : kind of the error.
    message : one sentence for people; names the invalid value.
    ran : whether the request was executed.
    retry_after_s : seconds to wait before a retry; ``None`` if a retry is not advised.

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
        """The HTTP status for the code."""
        return HTTP_STATUS[self.code]

    def to_json(self) -> dict:
        """Return the error as the JSON body of a response."""
        return {
            "error": {
                "code": str(self.code),
                "message": self.message,
                "ran": str(self.ran),
                "retry_after_s": self.retry_after_s,
            }
        }
