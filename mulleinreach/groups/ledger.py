"""Follows the orders that were given to hosts until they are settled.

Explanation
===========

Engines that check epochs refuse an old order by themselves. For those that
don't, a copy of an order that was sent and not answered may arrive at any
later moment, so the host's row counts the copies that are unresolved, written
before each is sent. A host is free again only when none is left:

- the answer to a copy resolves it;
- its effect, seen in the engine's status, resolves it if it was the only copy;
- a new incarnation, or the host list's word that the host is gone, resolves all.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from mulleinreach.groups.model import HostRecord, HostUse
from mulleinreach.groups.view import HostView
from mulleinreach.orders import OrderResult
from mulleinreach.stores import HostState


class OrderTracker:
    """The answers that this holder of the duty has received."""

    def __init__(self) -> None:
        self._answered_copies: Counter[tuple[str, str]] = Counter()
        self._sent_at: dict[tuple[str, str], float] = {}

    def record_sent_order(self, record: HostRecord, now: float) -> None:
        """Note that a copy of the row's order is being sent."""
        self._sent_at[record.name, record.order_id] = now

    def sent_at(self, record: HostRecord) -> float | None:
        """Return when we last sent the row's order, if ever."""
        return self._sent_at.get((record.name, record.order_id))

    def record_order_result(self, record: HostRecord, result: OrderResult) -> None:
        """Note what became of a copy that we sent."""
        if result is OrderResult.NOT_SENT:
            # Nothing left this process, so the same copy may be sent again.
            self._sent_at.pop((record.name, record.order_id), None)
        elif result in (OrderResult.ACCEPTED, OrderResult.REFUSED):
            self._answered_copies[record.name, record.order_id] += 1

    def updated_record(self, view: HostView) -> HostRecord | None:
        """Return the host's row with what is settled by now, or ``None`` if nothing is."""
        record = view.record
        if record.use is HostUse.FREE and record.unresolved == 0:
            return None
        if has_process_ended(view):
            # A member whose process is new waits for its group's repair.
            if record.use is HostUse.MEMBER:
                return None
            return replace(record, use=HostUse.FREE, replica="", unresolved=0, copies=0)
        settled = self._resolve_copies(view)
        if settled.use is HostUse.STOPPING and is_stopped(view) and settled.unresolved == 0:
            settled = replace(settled, use=HostUse.FREE, replica="")
        return None if settled == record else settled

    def _resolve_copies(self, view: HostView) -> HostRecord:
        record = view.record
        key = (record.name, record.order_id)
        answered = min(self._answered_copies.pop(key, 0), record.unresolved)
        if record.copies == 1 and (answered or is_latest_order_done(view)):
            return replace(record, unresolved=max(0, record.unresolved - 1), copies=0)
        return replace(record, unresolved=record.unresolved - answered)


def has_process_ended(view: HostView) -> bool:
    """Whether the process that the row's orders were meant for has ended."""
    if view.host.state is HostState.GONE:
        return True
    return view.report is not None and view.report.incarnation != view.record.incarnation


def is_latest_order_done(view: HostView) -> bool:
    """Whether the engine says that the row's order is the last that it carried out."""
    return view.report is not None and view.report.last_order == view.record.order_id


def is_stopped(view: HostView) -> bool:
    """Whether the engine says that it has carried out a stop."""
    report = view.report
    if report is None or report.state != "idle":
        return False
    return report.last_order == view.record.order_id or report.epoch >= view.record.epoch
