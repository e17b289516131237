"""Logs stay within their bounds and never hold the process up."""

import os
import subprocess
import sys

from absl import logging

from mulleinreach.common import RateLimitedEventLog

FLOOD_SCRIPT = """
import time
from absl import logging
from mulleinreach.common.log import EventLog, write_without_blocking
logging.set_verbosity(logging.INFO)
handler = write_without_blocking()
log = EventLog("n")
for number in range(30_000):
    log.event("flood", number=number, filling="x" * 200)
with open("{done}", "w") as file:
    file.write(str(handler.dropped))
"""


class FixedClock:
    """A clock that is set by hand."""

    time = 0.0

    def now(self):
        return self.time


def test_event_rate_is_limited_and_left_out_events_are_counted(monkeypatch):
    lines = []
    monkeypatch.setattr(logging, "info", lambda form, text: lines.append(text))
    clock = FixedClock()
    log = RateLimitedEventLog("n", clock, per_second=3)
    for _ in range(10):
        log.event("often")
    log.event("other")
    assert len(lines) == 4
    clock.time = 1.0
    log.event("often")
    assert lines[-1] == "event=often node=n left_out=7"


def test_full_pipe_drops_lines_without_blocking_the_process(tmp_path):
    done = tmp_path / "done"
    reading, writing = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-c", FLOOD_SCRIPT.format(done=done)],
        stdout=writing,
        stderr=subprocess.DEVNULL,
    )
    os.close(writing)
    try:
        # Nobody reads the pipe; the process gets through all the same.
        while not done.exists() or not done.read_text():
            assert process.poll() is None
        assert int(done.read_text()) > 0
    finally:
        process.kill()
        process.wait()
        os.close(reading)
