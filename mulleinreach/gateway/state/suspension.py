"""Logs suspensions of the machine, and how stale they made the node's data."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import EventLog

# Bounds how long a resumed node runs before it detects the suspension.
CHECK_INTERVAL_S = 0.1
# Shorter suspensions have no more effect than a busy event loop.
MIN_LOGGED_SUSPENSION_S = 0.2


class SuspensionMonitor:
    """Detects and logs suspensions, by the growth of the machine's total suspended time.

    Parameters
    ==========

    suspended_s : returns the total time for which the machine has been suspended.
    describe : returns further fields for the log line, on the state of the node.
    """

    def __init__(
        self,
        suspended_s: Callable[[], float],
        describe: Callable[[], dict[str, object]],
        log: EventLog,
    ):
        self._suspended_s = suspended_s
        self._describe = describe
        self._log = log
        self._previous_s = suspended_s()

    async def run(self) -> None:
        """Check periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log a suspension since the previous check."""
        now_s = self._suspended_s()
        slept_s, self._previous_s = now_s - self._previous_s, now_s
        if slept_s >= MIN_LOGGED_SUSPENSION_S:
            self._log.event("node_woke", suspended_s=slept_s, **self._describe())
