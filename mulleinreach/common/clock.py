"""Clocks: monotonic time for decisions, wall-clock time for records."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Monotonic and wall time of a real process.

    Explanation
    ===========

    Decisions (leases, freshness, deadlines) use only :meth:`now`; timestamps for
    operators use :meth:`wall`. Tests replace this class to run nodes in virtual time.
    """

    def now(self) -> float:
        """Return the monotonic time of the running event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class VirtualClock(Clock):
    """Clock of tests: derives wall-clock time from the loop's virtual time."""

    START = 1_790_000_000.0

    def wall(self) -> float:
        return self.START + self.now()
