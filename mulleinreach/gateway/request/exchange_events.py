"""What happens to the exchanges in flight when something is learned of their upstreams."""

from __future__ import annotations

from mulleinreach.common import EventLog
from mulleinreach.gateway.request.active import ActiveExchanges
from mulleinreach.gateway.state.content import format_digest


class ExchangeEvents:
    """Ends or moves exchanges in flight, and logs how many."""

    def __init__(self, active: ActiveExchanges, log: EventLog):
        self._active = active
        self._log = log

    def on_replaced(self, replaced_id: str, running_id: str) -> None:
        """Abort what was sent to a start that another one has replaced."""
        in_flight = self._active.count(replaced_id)
        ended = self._active.replace_start(replaced_id, running_id)
        self._log.event(
            "upstream_gone",
            upstream=replaced_id,
            running=running_id,
            in_flight=in_flight,
            ended=ended,
        )

    def on_lost(self, upstream_id: str) -> None:
        """Move what can go on elsewhere from an upstream that the coordinator found lost."""
        in_flight = self._active.count(upstream_id)
        moved = self._active.move(upstream_id)
        self._log.event("upstream_lost", upstream=upstream_id, in_flight=in_flight, moved=moved)

    def on_overdue(self, upstream_id: str) -> None:
        """Move what can go on elsewhere from an upstream that is overdue."""
        moved = self._active.move(upstream_id)
        if moved:
            self._log.event("requests_moved", upstream=upstream_id, moved=moved)

    def on_held(self, digest: int) -> None:
        """Abort the exchanges of a content or prompt part that is held from now on."""
        count = self._active.abort_held(digest)
        self._log.event("held_withdrawn", content=format_digest(digest), in_flight=count)
