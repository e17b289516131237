"""Bounds how fast clients may send the framing of chunked bodies.

A chunk takes as long to parse as hundreds of bytes of data, so that bodies in very small chunks
would keep the event loop busy.
"""

from __future__ import annotations

import asyncio

# For all connections together; the framing of usual chunks takes less than one in a hundred of it.
FRAMING_BYTES_PER_S = 500_000
# After a pause, the framing of a few bodies may come at once.
BURST_S = 2.0
# Framing in one read that is too little to wait for.
FREE_BYTES = 1024


class FramingThrottle:
    """Paces connections that send much framing, one after the other."""

    def __init__(self) -> None:
        self._next_at = -BURST_S

    def delay_s(self, framing_bytes: int) -> float:
        """Return how long not to read a connection that has sent so much framing."""
        if framing_bytes <= FREE_BYTES:
            return 0.0
        now = asyncio.get_running_loop().time()
        since = max(now - BURST_S, self._next_at)
        self._next_at = since + framing_bytes / FRAMING_BYTES_PER_S
        return max(0.0, self._next_at - now)
