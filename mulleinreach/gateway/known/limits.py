"""How many requests a second upstreams in need take from all nodes together."""

from __future__ import annotations

import math

from mulleinreach.common import EventLog


class UpstreamLimits:
    """Keeps what upstreams said last of the requests that they take."""

    def __init__(self, log: EventLog):
        self._log = log
        # By the id of a start: a later one has named nothing.
        self._limits: dict[str, float] = {}

    def take(self, upstream_id: str, per_s: float) -> None:
        """Take what an upstream's answer says of the requests that it takes a second.

        Parameters
        ==========

        per_s : infinite if it names no limit.
        """
        if self._limits.get(upstream_id, math.inf) == per_s:
            return
        self._limits[upstream_id] = per_s
        self._log.event("upstream_limit", upstream=upstream_id, per_s=per_s)
