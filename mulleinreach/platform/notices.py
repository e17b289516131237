"""Reads the notices that replicas put into the headers of any response."""

from __future__ import annotations

from http import HTTPStatus

from multidict import CIMultiDictProxy

from mulleinreach.common.http_fields import read_number, retry_after_s
from mulleinreach.gateway.upstream import Notice

LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"


def read_notice(
    status: int, headers: CIMultiDictProxy[str], default_limit_per_s: float | None = None
) -> Notice:
    """Return the notice in a response's headers.

    ``Retry-After`` counts only with status 503, which concerns the whole replica; 429 may concern
    a single tenant. The limit is ignored with 421, which may come from another replica that has
    taken over the address.

    Parameters
    ==========

    default_limit_per_s : the limit if the response has no limit header.

    Examples
    ========

    >>> read_notice(503, {"Retry-After": "2.5", "Server-Leaving": "1"})
    Notice(is_leaving=True, rest_s=2.5, limit_per_s=None)
    >>> read_notice(429, {"Retry-After": "2.5", "Server-Limit": "1.5"})
    Notice(is_leaving=False, rest_s=0.0, limit_per_s=1.5)
    """
    asks_for_rest = status == HTTPStatus.SERVICE_UNAVAILABLE
    is_from_replica = status != HTTPStatus.MISDIRECTED_REQUEST
    return Notice(
        is_leaving=headers.get(LEAVING) == "1",
        rest_s=retry_after_s(headers.get(RETRY_AFTER)) if asks_for_rest else 0.0,
        limit_per_s=_limit_per_s(headers, default_limit_per_s) if is_from_replica else None,
    )


def _limit_per_s(headers: CIMultiDictProxy[str], default: float | None) -> float | None:
    """Return the limit in requests per second, ``None`` if the header is invalid."""
    if LIMIT not in headers:
        return default
    limit = read_number(headers[LIMIT])
    return limit if limit is not None and limit >= 0 else None
