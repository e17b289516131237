"""Tells in the log when the machine was suspended, and what that has made old."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import EventLog

# How often it is looked. A loop that slept through a suspension notices by this timer, so it also
# bounds for how long a woken node may go on in ignorance.
CHECK_INTERVAL_S = 0.1
# Shorter ones change nothing that a busy moment wouldn't: reports come each 0.1 s.
MIN_LOGGED_SUSPENSION_S = 0.2


class SuspensionMonitor:
    """Compares how long the machine has been suspended in all with what it was before.

    Parameters
    ==========

    suspended_s : returns for how long the machine has been suspended in all.
    describe : returns the fields that tell what the node makes of it.
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
        """Look for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.look()

    def look(self) -> None:
        """Log a suspension since the last look."""
        now_s = self._suspended_s()
        slept_s, self._previous_s = now_s - self._previous_s, now_s
        if slept_s >= MIN_LOGGED_SUSPENSION_S:
            self._log.event("node_woke", suspended_s=slept_s, **self._describe())
