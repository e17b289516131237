"""Notices of replicas in the headers of their responses are parsed and published."""

from __future__ import annotations

import math

import pytest

from mulleinreach.gateway.upstream import Notice
from mulleinreach.platform.dialect import NOT_EXECUTED, REQUEST_ID, PlatformDialect
from mulleinreach.platform.notices import LEAVING, LIMIT, RETRY_AFTER, read_notice
from mulleinreach.platform.tests.test_orders import HOST, run_orders


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {}, Notice()),
        (200, {LEAVING: "1"}, Notice(is_leaving=True)),
        (503, {LEAVING: "1"}, Notice(is_leaving=True)),
        (200, {LEAVING: "0"}, Notice()),
        (200, {"Connection": "close"}, Notice()),
        (503, {RETRY_AFTER: "3"}, Notice(rest_s=3.0)),
        (503, {RETRY_AFTER: "0.25"}, Notice(rest_s=0.25)),
        (503, {}, Notice()),
        (500, {RETRY_AFTER: "3"}, Notice()),
        (503, {RETRY_AFTER: "Wed, 21 Oct 2026 07:28:00 GMT"}, Notice()),
        (503, {RETRY_AFTER: "nan"}, Notice()),
        (503, {RETRY_AFTER: "-3"}, Notice()),
        (200, {LIMIT: "2.1"}, Notice(limit_per_s=2.1)),
        (503, {LIMIT: "0"}, Notice(limit_per_s=0.0)),
        (200, {LIMIT: "many"}, Notice()),
        (200, {LIMIT: "nan"}, Notice()),
        (200, {LIMIT: "-1"}, Notice()),
        (200, {LIMIT: ""}, Notice()),
        (421, {LIMIT: "2.1"}, Notice()),
    ],
)
def test_notices_are_read(status, headers, expected):
    assert read_notice(status, headers) == expected


@pytest.mark.parametrize(
    ("status", "headers", "limit_per_s"),
    [
        (200, {REQUEST_ID: "r"}, math.inf),
        (500, {REQUEST_ID: "r"}, math.inf),
        (200, {}, None),
        (503, {REQUEST_ID: "r", NOT_EXECUTED: "1"}, None),
        (421, {REQUEST_ID: "r"}, None),
        (503, {REQUEST_ID: "r", NOT_EXECUTED: "1", LIMIT: "1.5"}, 1.5),
        (200, {REQUEST_ID: "r", LIMIT: "some"}, None),
    ],
)
def test_missing_limit_header_lifts_limit_only_if_request_was_run(status, headers, limit_per_s):
    assert PlatformDialect().read_notice(status, headers).limit_per_s == limit_per_s


def test_notices_in_answers_to_orders_and_reports_are_published():
    async def test(orders, replica):
        published = []
        orders.subscribe(lambda host, notice: published.append((host.id, notice)))
        replica.headers = {LEAVING: "1", RETRY_AFTER: "3"}
        await orders.open(HOST, "g", 12, 3)
        await orders.report(HOST, 0.3)
        leaving = Notice(is_leaving=True)
        assert published == [(HOST.id, Notice(True, 3.0)), (HOST.id, leaving)]

    run_orders([503], test)
