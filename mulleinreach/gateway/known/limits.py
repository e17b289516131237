"""How many requests a second upstreams in need take from all nodes together."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.upstreams import UpstreamDirectory

# Seconds for which it is told that a limit has ended: longer than a node goes without a
# coordinator that tells it.
ENDED_LIMIT_KEPT_S = 5.0
# Seconds for which the limit of an upstream that is on no list is kept: an outage of the store
# may take its row away for a while.
UNLISTED_LIMIT_KEPT_S = 60.0

# An upstream that takes nothing is sent a request now and then: its answer tells when that ends.
MIN_SEND_RATE_PER_S = 0.2
# Seconds for which a permit counts. A shorter time loses permits of nodes with few requests; with
# a longer one more of them may be spent in one moment.
MIN_PERMIT_LIFETIME_S, MAX_PERMIT_LIFETIME_S = 1.0, 4.0
# Within these bounds a permit counts until the limit has allowed so many more.
OUTSTANDING_PERMITS = 3.0


def send_rate_per_s(limit_per_s: float) -> float:
    """Return how many requests a second to send under a limit.

    Examples
    ========

    >>> send_rate_per_s(2.1), send_rate_per_s(0.0)
    (2.1, 0.2)
    """
    return max(limit_per_s, MIN_SEND_RATE_PER_S)


def permit_lifetime_s(limit_per_s: float) -> float:
    """Return for how long a permit counts.

    Examples
    ========

    >>> permit_lifetime_s(0.5), permit_lifetime_s(1.5), permit_lifetime_s(30.0)
    (4.0, 2.0, 1.0)
    """
    lifetime_s = OUTSTANDING_PERMITS / send_rate_per_s(limit_per_s)
    return min(MAX_PERMIT_LIFETIME_S, max(MIN_PERMIT_LIFETIME_S, lifetime_s))


@dataclass(frozen=True)
class NamedLimit:
    """What an upstream named last, as far as its teller knows.

    Parameters
    ==========

    per_s : requests a second from all nodes together; infinite if it names no limit any more.
    age_s : how long ago the answer came.
    """

    upstream_id: str
    per_s: float
    age_s: float = 0.0


@dataclass(frozen=True)
class _LimitObservation:
    per_s: float
    at: float


class LimitTracker:
    """Keeps the newest word on each upstream's limit, of its own answers and of other nodes."""

    def __init__(self, directory: UpstreamDirectory, clock: Clock, log: EventLog):
        self._directory = directory
        self._clock = clock
        self._log = log
        # By the id of a start: a later one has named nothing.
        self._observed: dict[str, _LimitObservation] = {}
        # What the coordinator told last.
        self._published: dict[str, float] = {}

    def take(self, upstream_id: str, per_s: float) -> None:
        """Take what an answer says of the requests that its upstream takes a second.

        Parameters
        ==========

        per_s : infinite if it names no limit.
        """
        if self._observed or math.isfinite(per_s):
            self._record(upstream_id, _LimitObservation(per_s, self._clock.now()))

    def merge_reported(self, named: Iterable[NamedLimit]) -> None:
        """Take what another node knows."""
        now = self._clock.now()
        for limit in named:
            self._record(limit.upstream_id, _LimitObservation(limit.per_s, now - limit.age_s))

    def merge_published(self, named: Iterable[NamedLimit], asked_at: float) -> None:
        """Take all that the coordinator knows.

        Parameters
        ==========

        asked_at : a moment before which that can't have been told.
        """
        self._published = {limit.upstream_id: limit.per_s for limit in named}
        for limit in named:
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
        """Return how many requests a second an upstream takes; infinite without a limit."""
        observed_limit = self._observed.get(upstream_id)
        return math.inf if observed_limit is None else observed_limit.per_s

    @property
    def has_any(self) -> bool:
        """Whether any upstream has a limit, or had one lately."""
        return bool(self._observed)

    def is_limited(self, upstream_id: str) -> bool:
        """Whether an upstream bounds the requests that it takes."""
        return math.isfinite(self.limit_per_s(upstream_id))

    def limits(self) -> dict[str, float]:
        """Return the limits in force, by upstream."""
        self._drop_expired()
        return {
            u: observed_limit.per_s
            for u, observed_limit in self._observed.items()
            if math.isfinite(observed_limit.per_s)
        }

    def named(self) -> tuple[NamedLimit, ...]:
        """Return what this node knows, limits that ended lately included."""
        self._drop_expired()
        now = self._clock.now()
        return tuple(NamedLimit(u, h.per_s, now - h.at) for u, h in sorted(self._observed.items()))

    def unpublished(self, includes_published: bool) -> tuple[NamedLimit, ...]:
        """Return what the coordinator should know and hasn't told.

        Parameters
        ==========

        includes_published : whether the coordinator is another one than told it.
        """
        if not self._observed:
            return ()
        return tuple(
            limit
            for limit in self.named()
            if includes_published or self._published.get(limit.upstream_id, math.inf) != limit.per_s
        )

    def _drop_expired(self) -> None:
        """Forget limits that ended, and those of upstreams that are gone."""
        now = self._clock.now()
        self._observed = {
            u: h for u, h in self._observed.items() if now - h.at < self._kept_s(u, h)
        }

    def _kept_s(self, upstream_id: str, observed_limit: _LimitObservation) -> float:
        if math.isinf(observed_limit.per_s):
            return ENDED_LIMIT_KEPT_S
        return math.inf if self._directory.get(upstream_id) is not None else UNLISTED_LIMIT_KEPT_S
