"""The clocks: monotonic time for decisions, wall time for records."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Monotonic and wall time of a real process.

    Explanation
    ===========

    Decisions (leases, freshness, deadlines) use :meth:`now` only; records for
    people use :meth:`wall`. Both go through this class, so that a test can
    run whole nodes on a virtual loop.
    """

    def now(self) -> float:
        """Return monotonic seconds, on the running event loop's clock."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class VirtualClock(Clock):
    """Wall time derived from the loop's virtual time, the same on every run."""

    START = 1_790_000_000.0

    def wall(self) -> float:
        return self.START + self.now()
