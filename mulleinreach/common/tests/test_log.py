"""Guards against unbounded logs, and against logging that blocks the process."""

import os
import subprocess
import sys

from absl import logging

from mulleinreach.common import RateLimitedEventLog
from mulleinreach.common.log import MAX_LINES_PER_REQUEST

FLOOD_SCRIPT = """
import time
from absl import logging
from mulleinreach.common.log import EventLog, install_queued_logging
logging.set_verbosity(logging.INFO)
handler = install_queued_logging()
log = EventLog("n")
for number in range(30_000):
    log.event("flood", number=number, filling="x" * 200)
with open("{done}", "w") as file:
    file.write(str(handler.dropped))
"""


class FixedClock:
    """A clock whose time is set by the test."""

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


# Guards against records in which a lost request has some of its lines, or none of its end.
def test_lines_of_one_request_are_left_out_together_but_for_its_end_without_an_answer(monkeypatch):
    lines = []
    monkeypatch.setattr(logging, "info", lambda form, text: lines.append(text))
    log = RateLimitedEventLog("n", FixedClock(), per_second=50, requests_per_second=10)
    for number in range(20):
        log.event("request_sent", id=f"r{number}")
    for number in range(20):
        log.event("send_failed", id=f"r{number}")
        log.event("request_unanswered", id=f"r{number}")
    written = {
        number: [line.split()[0] for line in lines if f"id=r{number} " in f"{line} "]
        for number in range(20)
    }
    whole = ["event=request_sent", "event=send_failed", "event=request_unanswered"]
    assert [written[number] for number in range(10)] == 10 * [whole]
    assert [written[number] for number in range(10, 20)] == 10 * [whole[-1:]]


def test_lines_of_one_request_are_bounded(monkeypatch):
    lines = []
    monkeypatch.setattr(logging, "info", lambda form, text: lines.append(text))
    log = RateLimitedEventLog("n", FixedClock())
    for _ in range(1000):
        log.event("retry_refused", id="r")
    assert len(lines) == MAX_LINES_PER_REQUEST


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
        # The process must finish although nothing reads the pipe.
        while not done.exists() or not done.read_text():
            assert process.poll() is None
        assert int(done.read_text()) > 0
    finally:
        process.kill()
        process.wait()
        os.close(reading)
