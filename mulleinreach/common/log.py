"""Structured logs: one line of ``key=value`` pairs for each event."""

from __future__ import annotations

import atexit
import contextlib
import json
import logging as standard_logging
import logging.handlers as logging_handlers
import queue
import sys
from typing import TextIO

from absl import logging

from mulleinreach.common.clock import Clock

MAX_LINES_PER_SECOND = 60
MAX_QUEUED_LINES = 2000
FLUSH_TIMEOUT_S = 0.3


def format_value(value: object) -> str:
    """Return a value as it stands in a log line; quoted if it has a space.

    Examples
    ========

    >>> format_value("a b")
    '"a b"'
    >>> format_value(1.5)
    '1.5'
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text == "" or any(c in text for c in ' "=\n'):
        return json.dumps(text, ensure_ascii=False)
    return text


class EventLog:
    """Writes events of one node through ``absl.logging``."""

    def __init__(self, node: str):
        self._node = node

    def event(self, name: str, **fields: object) -> None:
        """Log the event ``name`` with its fields, in the order given."""
        pairs = [f"event={name}", f"node={self._node}"]
        pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
        logging.info("%s", " ".join(pairs))


class RateLimitedEventLog(EventLog):
    """Writes each kind of event at most so many times a second.

    Explanation
    ===========

    What was left out is counted, and told by the next line of the same kind.

    Parameters
    ==========

    clock : its monotonic time tells the seconds.
    """

    def __init__(self, node: str, clock: Clock, per_second: int = MAX_LINES_PER_SECOND):
        super().__init__(node)
        self._clock = clock
        self._per_second = per_second
        self._second: dict[str, int] = {}
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def event(self, name: str, **fields: object) -> None:
        """Log the event, unless there were too many of its kind within this second."""
        second = int(self._clock.now())
        if self._second.get(name) != second:
            self._second[name] = second
            self._written[name] = 0
        if self._written[name] >= self._per_second:
            self._left_out[name] = self._left_out.get(name, 0) + 1
            return
        self._written[name] += 1
        left_out = self._left_out.pop(name, 0)
        if left_out:
            fields["left_out"] = left_out
        super().event(name, **fields)


class DroppingQueueHandler(logging_handlers.QueueHandler):
    """Hands lines to a thread that writes; a full queue loses lines and counts them."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Put a line into the queue, or drop it."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped and not self.queue.full():
            text = f"event=log_lines_dropped count={self.dropped}"
            self.dropped = 0
            self.enqueue(standard_logging.makeLogRecord({"msg": text, "levelname": "WARNING"}))


class _TimedStopListener(logging_handlers.QueueListener):
    """Writes what is left at the end, but doesn't wait for a reader that is gone."""

    def stop(self) -> None:
        """End the thread, or leave it behind after ``FLUSH_TIMEOUT_S`` seconds."""
        thread, self._thread = self._thread, None
        if thread is not None:
            self.enqueue_sentinel()
            thread.join(FLUSH_TIMEOUT_S)

    def enqueue_sentinel(self) -> None:
        """Tell the thread to end, even if lines have to be dropped for it."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(self._sentinel)


def install_queued_logging(stream: TextIO | None = None) -> DroppingQueueHandler:
    """Let all log lines go to ``stream`` by way of a thread, so that no writer waits."""
    writer = standard_logging.StreamHandler(stream or sys.stdout)
    writer.setFormatter(
        standard_logging.Formatter("%(levelname).1s%(asctime)s.%(msecs)03d %(message)s", "%H:%M:%S")
    )
    handler = DroppingQueueHandler(queue.Queue(MAX_QUEUED_LINES))
    root = standard_logging.getLogger()
    root.handlers = [handler]
    root.setLevel(standard_logging.INFO)
    logging.get_absl_logger().handlers = []
    logging.get_absl_logger().propagate = True
    listener = _TimedStopListener(handler.queue, writer)
    atexit.register(listener.stop)
    listener.start()
    return handler
