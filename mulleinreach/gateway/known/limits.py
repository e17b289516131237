"""How many requests a second upstreams in need take from all nodes together."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.upstreams import UpstreamDirectory

# Seconds for which it is told that a limit has ended: longer than a node goes without a
# coordinator that tells it.
ENDED_TOLD_S = 5.0
# Seconds for which the limit of an upstream that is on no list is kept: an outage of the store
# may take its row away for a while.
UNLISTED_KEPT_S = 60.0

# An upstream that takes nothing is sent a request now and then: its answer tells when that ends.
LEAST_PER_S = 0.2
# Seconds for which a permit counts. A shorter time loses permits of nodes with few requests; with
# a longer one more of them may be spent in one moment.
SHORTEST_PERMIT_S, LONGEST_PERMIT_S = 1.0, 4.0
# Within these bounds a permit counts until the limit has allowed so many more.
PERMITS_OUT = 3.0


def bearable_per_s(limit_per_s: float) -> float:
    """Return how many requests a second to send under a limit.

    Examples
    ========

    >>> bearable_per_s(2.1), bearable_per_s(0.0)
    (2.1, 0.2)
    """
    return max(limit_per_s, LEAST_PER_S)


def permit_s(limit_per_s: float) -> float:
    """Return for how long a permit counts.

    Examples
    ========

    >>> permit_s(0.5), permit_s(1.5), permit_s(30.0)
    (4.0, 2.0, 1.0)
    """
    out_s = PERMITS_OUT / bearable_per_s(limit_per_s)
    return min(LONGEST_PERMIT_S, max(SHORTEST_PERMIT_S, out_s))


@dataclass(frozen=True)
class NamedLimit:
    """What an upstream named last, as far as its teller knows.

    Parameters
    ==========

    per_s : requests a second from all nodes together; infinite if it names no limit any more.
    ago_s : how long ago the answer came.
    """

    upstream_id: str
    per_s: float
    ago_s: float = 0.0


@dataclass(frozen=True)
class _Heard:
    per_s: float
    at: float


class LimitBook:
    """Keeps the newest word on each upstream's limit, of its own answers and of other nodes."""

    def __init__(self, directory: UpstreamDirectory, clock: Clock, log: EventLog):
        self._directory = directory
        self._clock = clock
        self._log = log
        # By the id of a start: a later one has named nothing.
        self._heard: dict[str, _Heard] = {}
        # What the coordinator told last.
        self._told: dict[str, float] = {}

    def take(self, upstream_id: str, per_s: float) -> None:
        """Take what an answer says of the requests that its upstream takes a second.

        Parameters
        ==========

        per_s : infinite if it names no limit.
        """
        if self._heard or math.isfinite(per_s):
            self._note(upstream_id, _Heard(per_s, self._clock.now()))

    def take_reported(self, named: Iterable[NamedLimit]) -> None:
        """Take what another node knows."""
        now = self._clock.now()
        for limit in named:
            self._note(limit.upstream_id, _Heard(limit.per_s, now - limit.ago_s))

    def take_told(self, named: Iterable[NamedLimit], asked_at: float) -> None:
        """Take all that the coordinator knows.

        Parameters
        ==========

        asked_at : a moment before which that can't have been told.
        """
        self._told = {limit.upstream_id: limit.per_s for limit in named}
        for limit in named:
            self._note(limit.upstream_id, _Heard(limit.per_s, asked_at - limit.ago_s))

    def _note(self, upstream_id: str, heard: _Heard) -> None:
        before = self._heard.get(upstream_id)
        if before is not None and before.at >= heard.at:
            return
        if before is None and math.isinf(heard.per_s):
            return
        self._heard[upstream_id] = heard
        if before is None or before.per_s != heard.per_s:
            self._log.event("upstream_limit", upstream=upstream_id, per_s=heard.per_s)

    def limit_per_s(self, upstream_id: str) -> float:
        """Return how many requests a second an upstream takes; infinite without a limit."""
        heard = self._heard.get(upstream_id)
        return math.inf if heard is None else heard.per_s

    @property
    def has_any(self) -> bool:
        """Whether any upstream has a limit, or had one lately."""
        return bool(self._heard)

    def is_limited(self, upstream_id: str) -> bool:
        """Whether an upstream bounds the requests that it takes."""
        return math.isfinite(self.limit_per_s(upstream_id))

    def limits(self) -> dict[str, float]:
        """Return the limits in force, by upstream."""
        self._forget()
        return {u: heard.per_s for u, heard in self._heard.items() if math.isfinite(heard.per_s)}

    def named(self) -> tuple[NamedLimit, ...]:
        """Return what this node knows, limits that ended lately included."""
        self._forget()
        now = self._clock.now()
        return tuple(NamedLimit(u, h.per_s, now - h.at) for u, h in sorted(self._heard.items()))

    def untold(self, includes_told: bool) -> tuple[NamedLimit, ...]:
        """Return what the coordinator should know and hasn't told.

        Parameters
        ==========

        includes_told : whether the coordinator is another one than told it.
        """
        if not self._heard:
            return ()
        return tuple(
            limit
            for limit in self.named()
            if includes_told or self._told.get(limit.upstream_id, math.inf) != limit.per_s
        )

    def _forget(self) -> None:
        """Forget limits that ended, and those of upstreams that are gone."""
        now = self._clock.now()
        self._heard = {u: h for u, h in self._heard.items() if now - h.at < self._kept_s(u, h)}

    def _kept_s(self, upstream_id: str, heard: _Heard) -> float:
        if math.isinf(heard.per_s):
            return ENDED_TOLD_S
        return math.inf if self._directory.get(upstream_id) is not None else UNLISTED_KEPT_S
