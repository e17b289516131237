"""An event loop for servers on machines that may be suspended."""

from __future__ import annotations

import asyncio
import time

# Falls back to CLOCK_MONOTONIC on systems without CLOCK_BOOTTIME.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Connections that a listener accepts in one turn. Their descriptors are open for some turns before
# any of them can be closed again.
ACCEPT_BATCH = 16


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Includes suspended time in timers and timestamps; accepts few connections at once.

    Explanation
    ===========

    The clock of the default loop stops while a machine is suspended. After it resumes, a node
    would still treat expired leases, stale evidence and timed-out callers as current. On this
    loop they have aged, and overdue timers fire at once. The selector still waits on the default
    clock, so the loop notices the suspension with its next timer; a node has one every 0.1 s.

    asyncio accepts as many connections in one turn as the listener's backlog holds.

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

    def _accept_connection(
        self, protocol_factory, sock, sslcontext=None, server=None, backlog=ACCEPT_BATCH, *timeouts
    ):
        batch = min(backlog, ACCEPT_BATCH)
        return super()._accept_connection(
            protocol_factory, sock, sslcontext, server, batch, *timeouts
        )


def suspended_s() -> float:
    """Return the total suspended time since boot, in seconds."""
    return time.clock_gettime(_BOOT_CLOCK) - time.monotonic()
