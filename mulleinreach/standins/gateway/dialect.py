"""A dialect of plain header names."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.state.content import prompt_part_digests
from mulleinreach.gateway.upstream import Notice, upstream_name

REQUEST_ID = "X-Request-Id"
PRIORITY = "Request-Priority"
DEADLINE_MS = "X-Deadline-Ms"
MODEL = "X-Model"
SIGNATURE = "X-Signature"
REFUSED = "X-Refused"
LEAVING = "X-Leaving"
RETRY_AFTER = "Retry-After"
LIMIT = "X-Limit"
EXPECT = "X-Expect-Upstream"
ORGANISATION = "X-Organisation"
PROMPT_PARTS = "X-Prompt-Parts"


@dataclass(frozen=True)
class HeaderNames:
    """The headers that a stand-in of an upstream reads and writes."""

    request_id: str = REQUEST_ID
    signature: str = SIGNATURE
    refused: str = REFUSED
    expect: str = EXPECT


class PlainDialect:
    """Reads and writes the headers of the stand-ins."""

    ready_path = "/ready"

    def read_request(self, headers: CIMultiDictProxy[str]) -> CallerHeaders:
        """Return what a request's headers say."""
        deadline = headers.get(DEADLINE_MS)
        return CallerHeaders(
            request_id=headers.get(REQUEST_ID),
            deadline_s=None if deadline is None else float(deadline) / 1000,
            api_key=headers.get("Authorization"),
            model=headers.get(MODEL),
            prompt_tokens=100,
            answer_tokens=100,
            last_event_id=headers.get("Last-Event-Id"),
            prompt_parts=prompt_part_digests(read_part_ids(headers)),
        )

    def forward_headers(
        self,
        headers: CIMultiDictProxy[str],
        upstream_id: str,
        organisation: str | None,
        remaining_s: float,
        last_event_id: str | None,
        priority: int | None,
    ) -> CIMultiDict[str]:
        """Return the headers of the request to an upstream."""
        forwarded = CIMultiDict(headers)
        forwarded.popall("Authorization", None)
        forwarded[DEADLINE_MS] = str(int(remaining_s * 1000))
        forwarded[EXPECT] = upstream_name(upstream_id)
        if organisation is not None:
            forwarded[ORGANISATION] = organisation
        if priority is not None:
            forwarded[PRIORITY] = str(priority)
        if last_event_id is not None:
            forwarded["Last-Event-Id"] = last_event_id
        return forwarded

    def was_refused(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Whether the upstream didn't run the request."""
        return REFUSED in headers

    def read_notice(self, status: int, headers: CIMultiDictProxy[str]) -> Notice:
        """Return what an answer says of the upstream that gave it."""
        rest_s = float(headers.get(RETRY_AFTER, "0")) if status == 503 else 0.0
        default = None if self.was_refused(status, headers) else math.inf
        return Notice(LEAVING in headers, rest_s, read_limit(headers, default))

    def belongs_to(self, headers: CIMultiDictProxy[str], request_id: str | None) -> bool:
        """Whether an answer echoes the request's id."""
        return REFUSED in headers or headers.get(REQUEST_ID) == request_id

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Whether an answer carries a signature."""
        return SIGNATURE in headers

    def refusal_headers(self, request_id: str | None) -> CIMultiDict[str]:
        """Return the headers of an answer that the gateway makes itself."""
        return CIMultiDict({} if request_id is None else {REQUEST_ID: request_id})


def read_part_ids(headers: Mapping[str, str]) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    return [part for part in headers.get(PROMPT_PARTS, "").split(",") if part]


def read_limit(headers: Mapping[str, str], default: float | None) -> float | None:
    """Return how many requests a second an upstream takes, the default if it names no limit."""
    return float(headers[LIMIT]) if LIMIT in headers else default
