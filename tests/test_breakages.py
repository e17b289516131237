"""Each guard that is taken out to test the tests still stands where its list says."""

from pathlib import Path

import pytest

from benchmarks.breakages import BREAKAGES
from benchmarks.gateway_breakages import GATEWAY_BREAKAGES

REPOSITORY = Path(__file__).parent.parent


@pytest.mark.parametrize("breakage", BREAKAGES + GATEWAY_BREAKAGES, ids=lambda b: b.rule)
def test_guard_stands_once_in_its_file(breakage):
    assert (REPOSITORY / breakage.file).read_text().count(breakage.old) == 1


@pytest.mark.parametrize("breakage", BREAKAGES + GATEWAY_BREAKAGES, ids=lambda b: b.rule)
def test_guard_names_tests_that_are_there(breakage):
    assert (REPOSITORY / breakage.tests.split()[0]).is_file()
