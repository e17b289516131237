"""Reads what a replica says of itself in the headers of its answers, whatever they answer."""

from __future__ import annotations

from http import HTTPStatus

from multidict import CIMultiDictProxy

from mulleinreach.common.http_fields import retry_after_s
from mulleinreach.gateway.upstream import Notice

LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"


def read_notice(status: int, headers: CIMultiDictProxy[str]) -> Notice:
    """Return what an answer says of the replica that gave it.

    Only 503 speaks for the whole replica; 429, say, may concern one tenant.

    Examples
    ========

    >>> read_notice(503, {"Retry-After": "2.5", "Server-Leaving": "1"})
    Notice(is_leaving=True, rest_s=2.5)
    >>> read_notice(429, {"Retry-After": "2.5"})
    Notice(is_leaving=False, rest_s=0.0)
    """
    asks_for_rest = status == HTTPStatus.SERVICE_UNAVAILABLE
    return Notice(
        is_leaving=headers.get(LEAVING) == "1",
        rest_s=retry_after_s(headers.get(RETRY_AFTER)) if asks_for_rest else 0.0,
    )
