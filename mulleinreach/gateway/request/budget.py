"""The retry budget of a service, of which each node has a share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.state.arrivals import MAX_UNREAD_S, ArrivalWindow, SendCharge
from mulleinreach.gateway.state.leased_share import LeasedShare

# Part of the ratio that a node uses; below 1, since nodes' windows differ.
RATIO_PART = 0.7
# The part of a new process while retries of the one before it may still arrive in the window.
NEW_PROCESS_RATIO_PART = 0.3


@dataclass(frozen=True)
class RetryDecision:
    """Whether one more retry may be sent, with the values that were compared.

    Parameters
    ==========

    charge : the retry to send; ``None`` if there is none left.
    retries : retries that may arrive in the current window, this one not included.
    allowed : retries that this node may send in a window.
    requests : callers' requests in the current window.
    share : this node's share of the slack.
    share_age_s : time since this node asked for its share, in seconds.
    """

    charge: SendCharge | None
    retries: int
    allowed: float
    requests: int
    share: float
    share_age_s: float

    @property
    def is_granted(self) -> bool:
        """Whether the retry may be sent."""
        return self.charge is not None


class WindowedRetryBudget:
    """Allows retries up to a fraction of the requests within a sliding window.

    Explanation
    ===========

    The configured bound holds for all nodes together. A node applies a part of the ratio to
    its own requests, for which it need not know of other nodes, and adds its share of the
    slack, which is 0 while no coordinator leases it one. Retries beyond the ratio's part are
    charged to the share. The bound concerns arrivals at upstreams, so a retry counts until a
    window after it has arrived.
    """

    def __init__(self, bounds: DeploymentBounds, clock: Clock, share: LeasedShare):
        self._bounds = bounds
        self._clock = clock
        self._share = share
        self._started_at = clock.now()
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, ArrivalWindow] = {}

    def count_request(self, service: str) -> None:
        """Count one request of a caller."""
        self._recent_requests(service).append(self._clock.now())

    def try_spend(self, service: str, request_id: str) -> RetryDecision:
        """Take one retry from the budget if there is one left."""
        requests = len(self._recent_requests(service))
        window = self._retries.setdefault(
            service, ArrivalWindow(self._clock, self._bounds.retry_window_s)
        )
        retries = len(window)
        of_requests = self._ratio_part() * self._bounds.retry_ratio * requests
        allowed = of_requests + self._share.slack
        left_of_requests = of_requests - (retries - self._share.use(service))
        share_part = 1.0 - min(1.0, max(0.0, left_of_requests))
        may_use_share = retries + 1 <= allowed and self._share.may_use(service, share_part)
        charge = window.add() if not share_part or may_use_share else None
        if charge is not None and share_part:
            self._share.charge(service, charge, share_part)
        self._note_decision(service, request_id, charge)
        return RetryDecision(
            charge=charge,
            retries=retries,
            allowed=allowed,
            requests=requests,
            share=self._share.fraction,
            share_age_s=self._share.age_s,
        )

    def _note_decision(self, service: str, request_id: str, charge: SendCharge | None) -> None:
        if charge is None:
            self._share.note_refused(service, request_id)
        else:
            self._share.note_granted(service, request_id)

    def _ratio_part(self) -> float:
        age_s = self._clock.now() - self._started_at
        is_new = age_s < self._bounds.retry_window_s + MAX_UNREAD_S
        return NEW_PROCESS_RATIO_PART if is_new else RATIO_PART

    def _recent_requests(self, service: str) -> deque[float]:
        times = self._requests.setdefault(service, deque())
        oldest = self._clock.now() - self._bounds.retry_window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
