"""Settings of all tests."""

import pytest
from hypothesis import settings

# Every run must give the same verdict: examples come from a fixed seed.
settings.register_profile("repeatable", derandomize=True, deadline=None, max_examples=50)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def _quiet_logs():
    from absl import logging

    logging.set_verbosity(logging.FATAL)
