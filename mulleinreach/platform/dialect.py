"""HTTP headers that the platform uses between callers, gateway and replicas."""

from __future__ import annotations

import math
from http import HTTPStatus

from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.common.http_fields import bearer_key, keys_of_pairs, read_count, read_number
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.state.content import prompt_part_digests
from mulleinreach.gateway.upstream import Notice, upstream_name
from mulleinreach.platform.notices import read_notice
from mulleinreach.platform.orders import EXPECT_INSTANCE

REQUEST_ID = "X-Mulleinreach-Request-Id"
DEADLINE_MS = "X-Mulleinreach-Deadline-Ms"
TENANT = "X-Mulleinreach-Tenant"
PRIORITY = "X-Mulleinreach-Request-Priority"
MODEL = "X-Mulleinreach-Model"
TOKEN_USAGE = "X-Mulleinreach-Token-Usage"
PROMPT_PREFIX = "X-Mulleinreach-Prompt-Prefix"
SIGNATURE = "X-Mulleinreach-Server-Signature"
NOT_EXECUTED = "X-Mulleinreach-Not-Executed"
LAST_EVENT_ID = "Last-Event-Id"
# Removed from callers' requests; the gateway sets its own values.
_GATEWAY_HEADERS = (DEADLINE_MS, TENANT, PRIORITY, EXPECT_INSTANCE, "Authorization")


class PlatformDialect:
    """Reads the headers of callers and replicas, and builds those that the gateway sends."""

    ready_path = "/mulleinreach/ready"

    def read_request(self, headers: CIMultiDictProxy[str]) -> CallerHeaders:
        """Return the values of a caller's request headers.

        Examples
        ========

        >>> headers = CIMultiDict({DEADLINE_MS: "8000", "Authorization": "Bearer k"})
        >>> read = PlatformDialect().read_request(headers)
        >>> read.deadline_s, read.api_key
        (8.0, 'k')
        """
        deadline_ms = read_number(headers.get(DEADLINE_MS))
        prompt, _, answer = headers.get(TOKEN_USAGE, "").partition(",")
        return CallerHeaders(
            request_id=headers.get(REQUEST_ID),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            api_key=bearer_key(headers.get("Authorization", "")),
            model=headers.get(MODEL),
            prompt_tokens=read_count(prompt.strip()),
            answer_tokens=read_count(answer.strip()),
            last_event_id=headers.get(LAST_EVENT_ID),
            prompt_parts=prompt_part_digests(keys_of_pairs(headers.get(PROMPT_PREFIX, ""))),
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
        """Return the headers of the request to a replica."""
        forwarded = CIMultiDict(headers)
        for name in _GATEWAY_HEADERS:
            forwarded.popall(name, None)
        forwarded[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
        forwarded[EXPECT_INSTANCE] = upstream_name(upstream_id)
        if organisation is not None:
            forwarded[TENANT] = organisation
        if last_event_id is not None:
            forwarded[LAST_EVENT_ID] = last_event_id
        if priority is not None:
            forwarded[PRIORITY] = str(min(9, max(0, priority)))
        return forwarded

    def was_refused(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Whether the replica reports that it didn't execute the request."""
        return NOT_EXECUTED in headers or status == HTTPStatus.MISDIRECTED_REQUEST

    def read_notice(self, status: int, headers: CIMultiDictProxy[str]) -> Notice:
        """Return the notice in a response's headers.

        A missing limit header lifts the limit only if the request was executed.
        """
        absent_means_unlimited = REQUEST_ID in headers and not self.was_refused(status, headers)
        return read_notice(status, headers, math.inf if absent_means_unlimited else None)

    def belongs_to(self, headers: CIMultiDictProxy[str], request_id: str | None) -> bool:
        """Whether a response echoes the request's id."""
        return request_id is None or headers.get(REQUEST_ID) == request_id

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Whether a response carries the replica's signature."""
        return SIGNATURE in headers

    def refusal_headers(self, request_id: str | None) -> CIMultiDict[str]:
        """Return the headers of a response that the gateway itself generates."""
        return CIMultiDict({} if request_id is None else {REQUEST_ID: request_id})
