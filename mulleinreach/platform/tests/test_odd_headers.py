"""Numbers in callers' headers that aren't numbers count as absent."""

from __future__ import annotations

import pytest

from mulleinreach.platform.dialect import DEADLINE_MS, TOKEN_USAGE, PlatformDialect

ODD_NUMBERS = ["nan", "inf", "-inf", "1e400", "9" * 4000, "1_0", "1e999999", "٣", "0x10", ""]


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_odd_deadline_counts_as_absent(text):
    assert PlatformDialect().read_request({DEADLINE_MS: text}).deadline_s is None


@pytest.mark.parametrize("text", [*ODD_NUMBERS, "-1", "1e308"])
def test_odd_token_usage_counts_as_absent(text):
    read = PlatformDialect().read_request({TOKEN_USAGE: f"{text},{text}"})
    assert (read.prompt_tokens, read.answer_tokens) == (None, None)
