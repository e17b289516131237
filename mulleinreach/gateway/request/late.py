"""Keeps places at the engines for requests that can still be in time.

Explanation
===========

After an outage, the requests that it delayed come back together, late already, and
would fill every place at the engines for as long as a stream lasts; the requests that
come then would be late too. So a request that is late waits at its node, for a while
at most, until a head with free places is drawn for it.
"""

from __future__ import annotations

import asyncio
import random

from mulleinreach.common import Clock
from mulleinreach.gateway.known.choosing import UpstreamChooser
from mulleinreach.gateway.known.eligibility import RequestConstraints
from mulleinreach.gateway.known.load import LoadTracker
from mulleinreach.gateway.ports import CallerHeaders

# Seconds, and the share of what is left of a caller's time, that a late request waits at most.
# Worth 0.014 of a day's worth on a site that weighs its worst seconds most (ten days), and
# nothing measurable on another.
MAX_WAIT_S = 1.0
MAX_WAIT_FRACTION = 0.25
MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S = 0.03, 0.09
# The share of a head's places that late requests may fill.
MAX_LATE_SLOT_FRACTION = 0.6


class LateGate:
    """Holds late requests back while heads are nearly full."""

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
        """Wait for a head with free places, or until the patience is over."""
        until = self._clock.now() + min(MAX_WAIT_S, MAX_WAIT_FRACTION * remaining_s)
        while self._clock.now() < until and self._is_full(constraints, headers):
            await asyncio.sleep(self._rng.uniform(MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S))

    def _is_full(self, constraints: RequestConstraints, headers: CallerHeaders) -> bool:
        """Whether the head that is drawn is nearly full; a model without heads has none to fill.

        A request that no head may take is refused sooner than it would be after a wait.
        """
        head = self._chooser.choose(constraints, headers, set())
        if head is None:
            return False
        return (
            self._loads.running(head.id)
            >= MAX_LATE_SLOT_FRACTION * constraints.service.engine.slots
        )
