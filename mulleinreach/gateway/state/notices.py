"""Notices of upstreams in their responses: requests for rest, and announced leaving.

Explanation
===========

A request for rest asks for a pause in requests. It applies to this node only, since other nodes
may have sent that upstream little. Leaving concerns all nodes; the others learn of it from the
list or from a response of their own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Notice, Upstream


@dataclass(frozen=True)
class Rest:
    """The time for which an upstream wants no requests from this node.

    Parameters
    ==========

    requested_s : the whole duration that the upstream requested.
    """

    remaining_s: float
    requested_s: float


@dataclass(frozen=True)
class _RequestedRest:
    until: float
    rest_s: float


class NoticeTracker:
    """Tracks upstreams that requested rest, and marks leaving ones in the list.

    Parameters
    ==========

    on_leaving : called when an upstream first announces that it is leaving.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Clock,
        log: EventLog,
        on_leaving: Callable[[], None],
    ):
        self._directory = directory
        self._clock = clock
        self._log = log
        self._on_leaving = on_leaving
        # By the id of one start, since a request for rest doesn't outlast a restart.
        self._rests: dict[str, _RequestedRest] = {}

    def record(self, upstream: Upstream, notice: Notice) -> None:
        """Record the notice in an upstream's response."""
        now = self._clock.now()
        is_newly_leaving = notice.is_leaving and self._directory.mark_leaving(upstream.id, now)
        if notice.rest_s:
            self._note_rest(upstream.id, notice.rest_s)
        if is_newly_leaving or notice.rest_s:
            self._log.event(
                "upstream_notice",
                upstream=upstream.id,
                leaving=notice.is_leaving,
                rest_s=notice.rest_s,
            )
        if is_newly_leaving:
            self._on_leaving()

    def _note_rest(self, upstream_id: str, rest_s: float) -> None:
        now = self._clock.now()
        requested = _RequestedRest(now + rest_s, rest_s)
        resting = {u: rest for u, rest in self._rests.items() if rest.until > now}
        earlier = resting.get(upstream_id, requested)
        # An earlier request stays in force if it ends later.
        self._rests = {**resting, upstream_id: max(requested, earlier, key=lambda rest: rest.until)}

    def rest(self, upstream_id: str) -> Rest | None:
        """Return the rest that an upstream requested, ``None`` if there is none now."""
        if not self.is_resting(upstream_id):
            return None
        requested = self._rests[upstream_id]
        return Rest(requested.until - self._clock.now(), requested.rest_s)

    def is_resting(self, upstream_id: str) -> bool:
        """Whether an upstream is resting: it wants no requests from this node now."""
        requested = self._rests.get(upstream_id)
        return requested is not None and requested.until > self._clock.now()

    def resting(self) -> list[str]:
        """Return the ids of the resting upstreams."""
        return [u for u in self._rests if self.is_resting(u)]
