"""Reads what a replica says of itself in the headers of its answers, whatever they answer."""

from __future__ import annotations

import math
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
    """Return what an answer says of the replica that gave it.

    Only 503 speaks for the whole replica; 429, say, may concern one tenant. A 421 may come from
    another replica, which has the address now.

    Parameters
    ==========

    default_limit_per_s : what it means that the answer names no limit.

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
    """Return the limit that is named; one that can't be read doesn't tell that there is none."""
    if LIMIT not in headers:
        return default
    limit = read_number(headers[LIMIT])
    return limit if limit is not None and math.isfinite(limit) and limit >= 0 else None
