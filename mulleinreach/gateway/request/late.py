"""Reserves slots of the engines for requests that can still meet their objective.

Explanation
===========

After an outage, many callers retry at once. Their requests are late already and would
occupy all slots of the engines for as long as a stream lasts, so that new requests would
be late too. A late request therefore waits at its node, for a limited time, until the
head chosen for it has free slots.
"""

from __future__ import annotations

import asyncio
import random

from mulleinreach.common import Clock
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.state.eligibility import RequestConstraints
from mulleinreach.gateway.state.load import LoadTracker
from mulleinreach.gateway.state.selection import UpstreamChooser

# Longest wait of a late request: in seconds, and as a fraction of the caller's remaining time.
MAX_WAIT_S = 1.0
MAX_WAIT_FRACTION = 0.25
MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S = 0.03, 0.09
# Late requests are sent only while less than this fraction of a head's slots is in use.
MAX_LATE_SLOT_FRACTION = 0.6


class LateGate:
    """Delays late requests while the heads are nearly full."""

    def __init__(
        self, chooser: UpstreamChooser, loads: LoadTracker, clock: Clock, rng: random.Random
    ):
        self._chooser = chooser
        self._loads = loads
        self._clock = clock
        self._rng = rng

    async def wait(
        self, constraints: RequestConstraints, headers: CallerHeaders, remaining_s: float
    ) -> None:
        """Wait until a head has free slots, or the longest wait is over."""
        give_up_at = self._clock.now() + min(MAX_WAIT_S, MAX_WAIT_FRACTION * remaining_s)
        while self._clock.now() < give_up_at and self._is_full(constraints, headers):
            await asyncio.sleep(self._rng.uniform(MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S))

    def _is_full(self, constraints: RequestConstraints, headers: CallerHeaders) -> bool:
        """Whether the head chosen for a request is nearly full.

        Returns ``False`` if there is none, so that the request is refused without delay.
        """
        head = self._chooser.choose(constraints, headers, set())
        if head is None:
            return False
        return (
            self._loads.running(head.id)
            >= MAX_LATE_SLOT_FRACTION * constraints.service.engine.slots
        )
