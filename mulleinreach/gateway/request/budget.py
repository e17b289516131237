"""The budget of second sends to a service, of which each node has its share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mulleinreach.common import Clock
from mulleinreach.gateway.deployment import DeploymentBounds

SAFETY_FACTOR = 0.7


class WindowedRetryBudget:
    """Allows second sends up to a share of the requests within a sliding window.

    Explanation
    ===========

    The operators' bound holds for all nodes together. A node uses its own
    requests for the ratio, and an equal part of the slack. ``SAFETY_FACTOR`` covers
    nodes that count different requests in their windows.
    """

    def __init__(self, bounds: DeploymentBounds, clock: Clock, node_count: Callable[[], int]):
        self._bounds = bounds
        self._clock = clock
        self._node_count = node_count
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def count_request(self, service: str) -> None:
        """Count one request of a caller."""
        self._recent(self._requests, service).append(self._clock.now())

    def try_spend(self, service: str) -> bool:
        """Take one second send from the budget, if there is one left."""
        requests = len(self._recent(self._requests, service))
        retries = self._recent(self._retries, service)
        slack = self._bounds.retry_slack / max(1, self._node_count())
        if len(retries) + 1 > SAFETY_FACTOR * (self._bounds.retry_ratio * requests + slack):
            return False
        retries.append(self._clock.now())
        return True

    def _recent(self, times_of: dict[str, deque[float]], service: str) -> deque[float]:
        times = times_of.setdefault(service, deque())
        oldest = self._clock.now() - self._bounds.retry_window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
