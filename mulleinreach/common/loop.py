"""An event loop whose time goes on while the machine is suspended."""

from __future__ import annotations

import asyncio
import time

# Systems without this clock have none that counts suspended time steadily.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Counts suspended time for every timer and for all that is dated by the loop.

    Explanation
    ===========

    The usual loop's clock stands still while a machine is suspended. A node would wake with a
    lease that it believes to hold, evidence that it believes to be young and callers that it
    believes to be waiting. On this loop all of them have aged, and timers that are due fire at
    once, as after a freeze of the process. The selector itself waits by the usual clock, so that
    a sleeping loop notices the jump with its next timer; a node has one each 0.1 s.

    Examples
    ========

    >>> loop = SuspendAwareEventLoop()
    >>> before = loop.time()
    >>> before <= time.clock_gettime(_BOOT_CLOCK)
    True
    >>> loop.close()
    """

    def time(self) -> float:
        """Return seconds since the machine was started, those in suspension too."""
        return time.clock_gettime(_BOOT_CLOCK)


def suspended_s() -> float:
    """Return how long the machine has been suspended in all, since it was started."""
    return time.clock_gettime(_BOOT_CLOCK) - time.monotonic()
