"""What upstreams say of themselves in their answers to this node."""

from __future__ import annotations

from mulleinreach.common import EventLog
from mulleinreach.gateway.upstream import NOTHING_SAID, Notice, Upstream


class NoticeBook:
    """Takes the notices of all answers."""

    def __init__(self, log: EventLog):
        self._log = log

    def take(self, upstream: Upstream, notice: Notice) -> None:
        """Take what an answer says of the upstream that gave it."""
        if notice != NOTHING_SAID:
            self._log.event(
                "upstream_notice",
                upstream=upstream.id,
                leaving=notice.is_leaving,
                rest_s=notice.rest_s,
            )
