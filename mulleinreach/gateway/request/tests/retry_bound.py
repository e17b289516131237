"""The operators' bound on the retries of a service, summed over all nodes, as a test's oracle."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from mulleinreach.gateway.deployment import DeploymentBounds


@dataclass
class RetryRecord:
    """When callers sent requests for a service, and when retries of them were sent.

    Parameters
    ==========

    requests_at, retries_at : times in seconds, in ascending order.
    """

    requests_at: list[float] = field(default_factory=list)
    retries_at: list[float] = field(default_factory=list)

    def most_retries(self, window_s: float) -> int:
        """Return the largest number of retries in any window."""
        return max((self._retries(at, window_s) for at in self.retries_at), default=0)

    def max_excess(self, bounds: DeploymentBounds) -> float:
        """Return by how many retries the worst window exceeds the bound; negative if none does.

        A window counts the requests of itself, of the window before it, or of the one half a
        window before it, whichever has the most.
        """
        return max((self._excess(at, bounds) for at in self.retries_at), default=float("-inf"))

    def max_use(self, bounds: DeploymentBounds) -> float:
        """Return the largest part of what a window allows that its retries use."""
        return max(
            (
                self._retries(at, bounds.retry_window_s) / self._allowed(at, bounds)
                for at in self.retries_at
            ),
            default=0.0,
        )

    def _excess(self, begin: float, bounds: DeploymentBounds) -> float:
        return self._retries(begin, bounds.retry_window_s) - self._allowed(begin, bounds)

    def _allowed(self, begin: float, bounds: DeploymentBounds) -> float:
        """Return how many retries the window that begins then allows."""
        window_s = bounds.retry_window_s
        begins = (begin, begin - window_s / 2, begin - window_s)
        requests = max(_count(self.requests_at, at, window_s) for at in begins)
        return bounds.retry_ratio * requests + bounds.retry_slack

    def _retries(self, begin: float, window_s: float) -> int:
        return _count(self.retries_at, begin, window_s)


def _count(times: list[float], begin: float, window_s: float) -> int:
    """Return how many of the sorted times lie in a window."""
    return bisect_left(times, begin + window_s) - bisect_left(times, begin)
