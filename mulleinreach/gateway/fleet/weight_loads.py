"""Limits loads of model weights to the capacity of the weight store."""

from __future__ import annotations

from collections import deque

from mulleinreach.common import Clock
from mulleinreach.gateway.model import EngineProfile

RATE_WINDOW_S = 5.0
USABLE_RATE_SHARE = 0.85
# Usable in the first window of a term, beside what earlier coordinators may have begun.
NEW_TERM_RATE_SHARE = 0.1
# Share of the concurrent loads open to staging; the rest is reserved for missing groups.
STAGING_SLOT_SHARE = 0.5


class WeightLoadLimiter:
    """Limits the number and the rate of weight loads.

    Loads are not limited before the first request of a deployment. Once set, ``is_limited``
    stays set.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.is_limited = True
        self._begun: deque[float] = deque()
        self._running = 0
        # Until then loads count that earlier coordinators may have begun.
        self._shares_rate_until = float("-inf")

    def begin_term(self, is_first: bool) -> None:
        """Begin a coordinator's term, which knows nothing of the loads that others have begun.

        Parameters
        ==========

        is_first : whether no coordinator has had a term before.
        """
        self.is_limited = not is_first
        if self.is_limited:
            self._shares_rate_until = self._clock.now() + RATE_WINDOW_S

    def may_begin(self, profile: EngineProfile) -> bool:
        """Whether one more load may begin now."""
        if not self.is_limited:
            return True
        oldest = self._clock.now() - RATE_WINDOW_S
        while self._begun and self._begun[0] < oldest:
            self._begun.popleft()
        if self._running >= profile.max_concurrent_loads:
            return False
        return len(self._begun) + 1 <= profile.loads_per_s * RATE_WINDOW_S * self._rate_share()

    def _rate_share(self) -> float:
        is_shared = self._clock.now() < self._shares_rate_until
        return NEW_TERM_RATE_SHARE if is_shared else USABLE_RATE_SHARE

    def may_stage(self, profile: EngineProfile) -> bool:
        """Whether a load may begin that no request waits for."""
        if not self.is_limited:
            return True
        is_idle = self._running < STAGING_SLOT_SHARE * profile.max_concurrent_loads
        return is_idle and self.may_begin(profile)

    def begin(self) -> None:
        """Record the start of a load."""
        self._begun.append(self._clock.now())
        self._running += 1

    def end(self) -> None:
        """Record the end of a load, successful or not."""
        self._running -= 1
