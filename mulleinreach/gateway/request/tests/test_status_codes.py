"""Only what has the status of a final response is an answer, over real sockets."""

from __future__ import annotations

import pytest

from mulleinreach.gateway.ports import NoAnswer, Unavailable
from mulleinreach.gateway.request.exchange import Answered, Broken
from mulleinreach.gateway.request.tests.fixed_answers import (
    FIELDS,
    order,
    read_report,
    read_row,
    send,
)

BODY = b"Content-Length: 2\r\n\r\nok"
BODILESS = ("204", "304")
# Outside of the classes of RFC 9110, section 15; 101 answers only who asks for an upgrade.
NO_STATUSES = ["000", "001", "099", "101", "600", "700", "999"]
FINAL_STATUSES = [200, 204, 205, 299, 304, 404, 499, 500, 503, 599]


def answer_with(status: str) -> bytes:
    """Return a whole response with a status."""
    body = b"\r\n" if status in BODILESS else BODY
    return b"HTTP/1.1 %s X\r\n" % status.encode() + FIELDS + body


# Guards against callers that get a status which is none, and against waiting for another answer.
@pytest.mark.parametrize("wants_stream", [False, True])
@pytest.mark.parametrize("status", NO_STATUSES)
def test_response_without_a_final_status_is_a_broken_answer(status, wants_stream):
    result = send(answer_with(status), wants_stream)
    assert isinstance(result, Broken)
    assert f"status {int(status)}" in result.reason


def test_whole_response_behind_one_without_a_final_status_is_no_answer():
    assert isinstance(send(answer_with("000") + answer_with("200")), Broken)


@pytest.mark.parametrize("status", ["100", "102", "103", "199"])
def test_informational_response_is_followed_by_the_answer(status):
    result = send(b"HTTP/1.1 %s X\r\n\r\n" % status.encode() + answer_with("200"))
    assert isinstance(result, Answered)
    assert (result.status, result.body) == (200, b"ok")


@pytest.mark.parametrize("status", FINAL_STATUSES)
def test_response_with_a_final_status_is_the_answer(status):
    result = send(answer_with(str(status)))
    assert isinstance(result, Answered)
    assert result.status == status


# Guards against an order that is taken for rejected though its host may have carried it out.
@pytest.mark.parametrize("status", NO_STATUSES)
def test_order_without_a_final_status_has_no_answer(status):
    result = order(answer_with(status))
    assert isinstance(result, NoAnswer)
    assert f"status {int(status)}" in result.reason


@pytest.mark.parametrize("status", NO_STATUSES)
def test_report_without_a_final_status_is_unavailable(status):
    result = read_report(answer_with(status))
    assert isinstance(result, Unavailable)
    assert f"status {int(status)}" in result.reason


@pytest.mark.parametrize("status", NO_STATUSES)
def test_store_without_a_final_status_is_unavailable(status):
    result = read_row(answer_with(status))
    assert isinstance(result, Unavailable)
    assert f"status {int(status)}" in result.reason
