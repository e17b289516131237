"""What replicas say of themselves in their answers to orders and to questions for reports."""

from __future__ import annotations

import pytest

from mulleinreach.gateway.upstream import Notice
from mulleinreach.platform.notices import LEAVING, RETRY_AFTER, read_notice
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
    ],
)
def test_notices_are_read(status, headers, expected):
    assert read_notice(status, headers) == expected


def test_answers_to_orders_and_reports_are_told():
    async def test(orders, replica):
        told = []
        orders.listen(lambda host, notice: told.append((host.id, notice)))
        replica.headers = {LEAVING: "1", RETRY_AFTER: "3"}
        await orders.open(HOST, "g", 12, 3)
        await orders.report(HOST, 0.3)
        leaving = Notice(is_leaving=True)
        assert told == [(HOST.id, Notice(True, 3.0)), (HOST.id, leaving)]

    run_orders([503], test)
