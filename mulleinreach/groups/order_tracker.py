"""Tracks the orders sent to hosts until they are resolved.

Engines that check epochs refuse outdated orders. With other engines, a copy of
an order that was sent but not answered may still arrive at any later time, so
the host's row counts unresolved copies and is written before each copy is sent.
An answer resolves one copy; an engine status that shows the order as done
resolves a single copy; a new incarnation of the engine, or a host that the host
list reports as gone, resolves all. A host with unresolved copies isn't free.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from mulleinreach.groups.model import HostRecord, HostUse
from mulleinreach.groups.view import HostView
from mulleinreach.orders import OrderResult
from mulleinreach.stores import HostState


class OrderTracker:
    """Orders that this node has sent, and their answers, while it holds the lease."""

    def __init__(self) -> None:
        self._answered_copies: Counter[tuple[str, str]] = Counter()
        self._sent_at: dict[tuple[str, str], float] = {}

    def record_sent_order(self, record: HostRecord, now: float) -> None:
        """Record that a copy of the row's order is being sent."""
        self._sent_at[record.name, record.order_id] = now

    def sent_at(self, record: HostRecord) -> float | None:
        """Return the monotonic time at which the row's order was last sent, if ever."""
        return self._sent_at.get((record.name, record.order_id))

    def record_order_result(self, record: HostRecord, result: OrderResult) -> None:
        """Record the result of sending a copy of the row's order."""
        if result is OrderResult.NOT_SENT:
            # Nothing was sent, so the same copy can be sent without counting it again.
            self._sent_at.pop((record.name, record.order_id), None)
        elif result in (OrderResult.ACCEPTED, OrderResult.REFUSED):
            self._answered_copies[record.name, record.order_id] += 1

    def updated_record(self, view: HostView) -> HostRecord | None:
        """Return the host's row updated for resolved orders, or ``None`` if unchanged."""
        record = view.record
        if record.use is HostUse.FREE and record.unresolved == 0:
            return None
        if has_process_ended(view):
            # A member whose process restarted is handled by the repair of its group.
            if record.use is HostUse.MEMBER:
                return None
            return replace(record, use=HostUse.FREE, replica="", unresolved=0, copies=0)
        updated = self._resolve_copies(view)
        if updated.use is HostUse.STOPPING and is_stopped(view) and updated.unresolved == 0:
            updated = replace(updated, use=HostUse.FREE, replica="")
        return None if updated == record else updated

    def _resolve_copies(self, view: HostView) -> HostRecord:
        record = view.record
        key = (record.name, record.order_id)
        answered = min(self._answered_copies.pop(key, 0), record.unresolved)
        if record.copies == 1 and (answered or is_latest_order_done(view)):
            return replace(record, unresolved=max(0, record.unresolved - 1), copies=0)
        return replace(record, unresolved=record.unresolved - answered)


def has_process_ended(view: HostView) -> bool:
    """Whether the engine process that the row's order was meant for has ended."""
    if view.host.state is HostState.GONE:
        return True
    return view.report is not None and view.report.incarnation != view.record.incarnation


def is_latest_order_done(view: HostView) -> bool:
    """Whether the engine reports the row's order as the last one it carried out."""
    return view.report is not None and view.report.last_order == view.record.order_id


def is_stopped(view: HostView) -> bool:
    """Whether the engine is idle after the row's stop order or one with a later epoch."""
    report = view.report
    if report is None or report.state != "idle":
        return False
    return report.last_order == view.record.order_id or report.epoch >= view.record.epoch
