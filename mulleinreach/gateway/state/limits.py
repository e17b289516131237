"""Tracks the rate limits that upstreams announce for the requests of all nodes together."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.state.upstreams import UpstreamDirectory

# Longer than a node goes without a coordinator, so that all nodes learn that the limit ended.
ENDED_LIMIT_KEPT_S = 5.0
# A store outage may remove the row of a running upstream for a while.
UNLISTED_LIMIT_KEPT_S = 60.0

# An upstream with a limit of 0 is still probed: its answers show when the limit ends.
MIN_SEND_RATE_PER_S = 0.2
# A short lifetime wastes permits of nodes with little traffic; a long one allows bursts.
MIN_PERMIT_LIFETIME_S, MAX_PERMIT_LIFETIME_S = 1.0, 4.0
# Permits per upstream that may be valid at once, within the bounds of their lifetime.
OUTSTANDING_PERMITS = 3.0


def send_rate_per_s(limit_per_s: float) -> float:
    """Return the rate at which requests may be sent under a limit, in requests per second.

    Examples
    ========

    >>> send_rate_per_s(2.1), send_rate_per_s(0.0)
    (2.1, 0.2)
    """
    return max(limit_per_s, MIN_SEND_RATE_PER_S)


def permit_lifetime_s(limit_per_s: float) -> float:
    """Return how long a permit is valid under a limit, in seconds.

    Examples
    ========

    >>> permit_lifetime_s(0.5), permit_lifetime_s(1.5), permit_lifetime_s(30.0)
    (4.0, 2.0, 1.0)
    """
    lifetime_s = OUTSTANDING_PERMITS / send_rate_per_s(limit_per_s)
    return min(MAX_PERMIT_LIFETIME_S, max(MIN_PERMIT_LIFETIME_S, lifetime_s))


@dataclass(frozen=True)
class NamedLimit:
    """The latest limit of an upstream that a node or the coordinator knows.

    Parameters
    ==========

    per_s : requests per second from all nodes together; infinite if the limit has ended.
    age_s : seconds since the answer that announced it.
    """

    upstream_id: str
    per_s: float
    age_s: float = 0.0


@dataclass(frozen=True)
class _LimitObservation:
    per_s: float
    at: float


class LimitTracker:
    """Keeps the newest limit of each upstream, from this node's answers and from other nodes."""

    def __init__(self, directory: UpstreamDirectory, clock: Clock, log: EventLog):
        self._directory = directory
        self._clock = clock
        self._log = log
        # By upstream id, which a restart changes: a restarted upstream has no limit yet.
        self._observed: dict[str, _LimitObservation] = {}
        # The limits in the coordinator's latest report.
        self._published: dict[str, float] = {}

    def record_answer(self, upstream_id: str, per_s: float) -> None:
        """Record the limit that an upstream's answer to this node announces.

        Parameters
        ==========

        per_s : requests per second; infinite if the answer announces no limit.
        """
        if self._observed or math.isfinite(per_s):
            self._record(upstream_id, _LimitObservation(per_s, self._clock.now()))

    def merge_reported(self, limits: Iterable[NamedLimit]) -> None:
        """Merge the limits that another node reports."""
        now = self._clock.now()
        for limit in limits:
            self._record(limit.upstream_id, _LimitObservation(limit.per_s, now - limit.age_s))

    def merge_published(self, limits: Iterable[NamedLimit], asked_at: float) -> None:
        """Merge all limits that the coordinator publishes.

        Parameters
        ==========

        asked_at : when this node asked for the report, which is no later than its creation.
        """
        self._published = {limit.upstream_id: limit.per_s for limit in limits}
        for limit in limits:
            self._record(limit.upstream_id, _LimitObservation(limit.per_s, asked_at - limit.age_s))

    def _record(self, upstream_id: str, observed_limit: _LimitObservation) -> None:
        before = self._observed.get(upstream_id)
        if before is not None and before.at >= observed_limit.at:
            return
        if before is None and math.isinf(observed_limit.per_s):
            return
        self._observed[upstream_id] = observed_limit
        if before is None or before.per_s != observed_limit.per_s:
            self._log.event("upstream_limit", upstream=upstream_id, per_s=observed_limit.per_s)

    def limit_per_s(self, upstream_id: str) -> float:
        """Return the limit of an upstream in requests per second; infinite if it has none."""
        observed_limit = self._observed.get(upstream_id)
        return math.inf if observed_limit is None else observed_limit.per_s

    @property
    def has_any(self) -> bool:
        """Whether any upstream has a limit or recently had one."""
        return bool(self._observed)

    def is_limited(self, upstream_id: str) -> bool:
        """Whether an upstream has a limit."""
        return math.isfinite(self.limit_per_s(upstream_id))

    def limits(self) -> dict[str, float]:
        """Return the limits in force, in requests per second by upstream id."""
        self._drop_expired()
        return {
            u: observed_limit.per_s
            for u, observed_limit in self._observed.items()
            if math.isfinite(observed_limit.per_s)
        }

    def known_limits(self) -> tuple[NamedLimit, ...]:
        """Return the limits that this node knows, including those that ended recently."""
        self._drop_expired()
        now = self._clock.now()
        return tuple(NamedLimit(u, h.per_s, now - h.at) for u, h in sorted(self._observed.items()))

    def unpublished(self, includes_published: bool) -> tuple[NamedLimit, ...]:
        """Return the limits to report to the coordinator.

        Parameters
        ==========

        includes_published : whether to return published limits too, for a new coordinator.
        """
        if not self._observed:
            return ()
        return tuple(
            limit
            for limit in self.known_limits()
            if includes_published or self._published.get(limit.upstream_id, math.inf) != limit.per_s
        )

    def _drop_expired(self) -> None:
        """Remove ended limits and those of unlisted upstreams once they are too old."""
        now = self._clock.now()
        self._observed = {
            u: h for u, h in self._observed.items() if now - h.at < self._kept_s(u, h)
        }

    def _kept_s(self, upstream_id: str, observed_limit: _LimitObservation) -> float:
        if math.isinf(observed_limit.per_s):
            return ENDED_LIMIT_KEPT_S
        return math.inf if self._directory.get(upstream_id) is not None else UNLISTED_LIMIT_KEPT_S
