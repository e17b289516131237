"""An event loop whose clock includes the time in which the machine is suspended."""

from __future__ import annotations

import asyncio
import time

# Falls back to CLOCK_MONOTONIC on systems without CLOCK_BOOTTIME.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Includes suspended time in timers and in timestamps of the loop.

    Explanation
    ===========

    The clock of the default loop stops while a machine is suspended. After it resumes, a node
    would still treat expired leases, stale evidence and timed-out callers as current. On this
    loop they have aged, and overdue timers fire at once. The selector still waits on the default
    clock, so the loop notices the suspension with its next timer; a node has one every 0.1 s.

    Examples
    ========

    >>> loop = SuspendAwareEventLoop()
    >>> before = loop.time()
    >>> before <= time.clock_gettime(_BOOT_CLOCK)
    True
    >>> loop.close()
    """

    def time(self) -> float:
        """Return the seconds since boot, including suspended time."""
        return time.clock_gettime(_BOOT_CLOCK)


def suspended_s() -> float:
    """Return the total suspended time since boot, in seconds."""
    return time.clock_gettime(_BOOT_CLOCK) - time.monotonic()
