"""What upstreams say of themselves in their answers to this node, for as long as it counts.

Explanation
===========

That an upstream wants rest concerns this node alone: another one may have sent it little. That
it leaves is true for everybody; the other nodes learn it from the list, or by an answer.
"""

from __future__ import annotations

from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Notice, Upstream


class NoticeBook:
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
        self._rests_until: dict[str, float] = {}

    def take(self, upstream: Upstream, notice: Notice) -> None:
        """Take what an answer says of the upstream that gave it."""
        is_news = notice.is_leaving and self._directory.note_leaving(upstream.id)
        if notice.rest_s:
            self._note_rest(upstream.id, notice.rest_s)
        if is_news or notice.rest_s:
            self._log.event(
                "upstream_notice",
                upstream=upstream.id,
                leaving=notice.is_leaving,
                rest_s=notice.rest_s,
            )
        if is_news:
            self._on_leaving()

    def _note_rest(self, upstream_id: str, rest_s: float) -> None:
        now = self._clock.now()
        # What was asked for before still holds, if it ends later.
        until = max(now + rest_s, self._rests_until.get(upstream_id, now))
        resting = {u: end for u, end in self._rests_until.items() if end > now}
        self._rests_until = {**resting, upstream_id: until}

    def rest_s(self, upstream_id: str) -> float:
        """Return for how much longer an upstream wants nothing from this node, or 0."""
        until = self._rests_until.get(upstream_id)
        return 0.0 if until is None else max(0.0, until - self._clock.now())

    def resting(self) -> list[str]:
        """Return the ids of the upstreams that want nothing from this node now."""
        return [u for u in self._rests_until if self.rest_s(u) > 0]
