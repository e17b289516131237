"""What upstreams say of themselves in their answers to this node, for as long as it counts.

Explanation
===========

That an upstream wants rest concerns this node alone: another one may have sent it little. That
it leaves is true for everybody; the other nodes learn it from the list, or by an answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Notice, Upstream


@dataclass(frozen=True)
class Rest:
    """The time for which an upstream wants nothing from this node.

    Parameters
    ==========

    requested_s : how long it was to be when it was asked for.
    """

    remaining_s: float
    requested_s: float


@dataclass(frozen=True)
class _RequestedRest:
    until: float
    rest_s: float


class NoticeTracker:
    """Keeps for how long upstreams want nothing, and tells the list which of them leave.

    Parameters
    ==========

    on_leaving : called when an upstream has said for the first time that it leaves.
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
        # By the id of a start: a later one has asked for nothing.
        self._rests: dict[str, _RequestedRest] = {}

    def record(self, upstream: Upstream, notice: Notice) -> None:
        """Take what an answer says of the upstream that gave it."""
        is_newly_leaving = notice.is_leaving and self._directory.mark_leaving(upstream.id)
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
        # What was asked for before still holds, if it ends later.
        self._rests = {**resting, upstream_id: max(requested, earlier, key=lambda rest: rest.until)}

    def rest(self, upstream_id: str) -> Rest | None:
        """Return the rest that an upstream has requested this node for, ``None`` if that is over."""
        if not self.is_resting(upstream_id):
            return None
        requested = self._rests[upstream_id]
        return Rest(requested.until - self._clock.now(), requested.rest_s)

    def is_resting(self, upstream_id: str) -> bool:
        """Whether an upstream wants nothing from this node now."""
        requested = self._rests.get(upstream_id)
        return requested is not None and requested.until > self._clock.now()

    def resting(self) -> list[str]:
        """Return the ids of the upstreams that want nothing from this node now."""
        return [u for u in self._rests if self.is_resting(u)]
