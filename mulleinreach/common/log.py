"""Structured logging: one line of ``key=value`` pairs for each event."""

from __future__ import annotations

import atexit
import contextlib
import json
import logging as standard_logging
import logging.handlers as logging_handlers
import queue
import sys
from collections import Counter, OrderedDict
from typing import TextIO

from absl import logging

from mulleinreach.common.clock import Clock

MAX_LINES_PER_SECOND = 60
# Bounds the lines about requests: so many of them are followed, each for so many lines.
MAX_REQUESTS_PER_SECOND = 60
MAX_LINES_PER_REQUEST = 40
# More than a node has in flight.
MAX_TRACKED_REQUESTS = 8192
# Names the request that a line is about.
REQUEST_FIELD = "id"
# Logged for all requests, also for those whose other lines are left out.
UNANSWERED_EVENT = "request_unanswered"
MAX_QUEUED_LINES = 2000
FLUSH_TIMEOUT_S = 0.3


def format_value(value: object) -> str:
    """Format a value for a log line; text with spaces or special characters is quoted.

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
    """Logs the events of one node through ``absl.logging``."""

    def __init__(self, node: str):
        self._node = node

    def event(self, name: str, **fields: object) -> None:
        """Log the event ``name`` with its fields, in the given order."""
        pairs = [f"event={name}", f"node={self._node}"]
        pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
        logging.info("%s", " ".join(pairs))


class _RequestSampler:
    """Selects the requests whose lines are written, and bounds the lines of each."""

    def __init__(self, per_second: int):
        self._per_second = per_second
        self._second = -1
        self._admitted = 0
        # Lines that may still be written of each request, oldest request first.
        self._remaining: OrderedDict[str, int] = OrderedDict()

    def may_write(self, request_id: str, second: int) -> bool:
        """Whether a line of a request may be written; the first one decides on all others."""
        if request_id not in self._remaining:
            self._remaining[request_id] = MAX_LINES_PER_REQUEST if self._admits(second) else 0
            if len(self._remaining) > MAX_TRACKED_REQUESTS:
                self._remaining.popitem(last=False)
        if not self._remaining[request_id]:
            return False
        self._remaining[request_id] -= 1
        return True

    def _admits(self, second: int) -> bool:
        if second != self._second:
            self._second, self._admitted = second, 0
        self._admitted += 1
        return self._admitted <= self._per_second


class RateLimitedEventLog(EventLog):
    """Limits the lines that are logged per second.

    Explanation
    ===========

    All lines of one request are written, or none. Other lines, and those about requests that end
    without an answer, are limited by the name of their event. Suppressed events are counted; the
    next line of the same event has the count as ``left_out``.

    Parameters
    ==========

    clock : its monotonic time defines the seconds.
    per_second : maximum lines of one event name in a second.
    requests_per_second : maximum requests in a second of which lines are written.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        per_second: int = MAX_LINES_PER_SECOND,
        requests_per_second: int = MAX_REQUESTS_PER_SECOND,
    ):
        super().__init__(node)
        self._clock = clock
        self._per_second = per_second
        self._requests = _RequestSampler(requests_per_second)
        self._second = -1
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def event(self, name: str, **fields: object) -> None:
        """Log the event, unless a limit for this second is reached."""
        if not self._may_write(name, fields.get(REQUEST_FIELD)):
            self._left_out[name] += 1
            return
        left_out = self._left_out.pop(name, 0)
        if left_out:
            fields["left_out"] = left_out
        super().event(name, **fields)

    def _may_write(self, name: str, request_id: object) -> bool:
        second = int(self._clock.now())
        if isinstance(request_id, str) and request_id and name != UNANSWERED_EVENT:
            return self._requests.may_write(request_id, second)
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[name] += 1
        return self._written[name] <= self._per_second


class DroppingQueueHandler(logging_handlers.QueueHandler):
    """Passes lines to a writer thread; lines are dropped and counted if the queue is full."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
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
    """Flushes the queue at exit, but only for a bounded time if nothing reads the stream."""

    def stop(self) -> None:
        """Stop the thread, or abandon it after ``FLUSH_TIMEOUT_S`` seconds."""
        thread, self._thread = self._thread, None
        if thread is not None:
            self.enqueue_sentinel()
            thread.join(FLUSH_TIMEOUT_S)

    def enqueue_sentinel(self) -> None:
        """Signal the thread to stop, unless the queue is full."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(self._sentinel)


def install_queued_logging(stream: TextIO | None = None) -> DroppingQueueHandler:
    """Write all log lines to ``stream`` from a separate thread, so that logging never blocks."""
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
