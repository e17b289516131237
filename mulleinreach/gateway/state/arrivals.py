"""Counts what may arrive at upstreams within a window, where a bound concerns arrivals.

What is sent to an upstream that stands still arrives when it goes on, even if the sender has closed
the connection meanwhile. So a send counts from its decision until one window after it has arrived.
"""

from __future__ import annotations

from mulleinreach.common import Clock

# A closed connection may hold an unread request for this long; sound upstreams stand still for
# about a second.
MAX_UNREAD_S = 1.5
# Sends that are over are dropped once a window holds so many, or twice those that still count.
MIN_FULL = 64


class SendCharge:
    """One send that is counted, until it has arrived and its window is over."""

    def __init__(self, clock: Clock, window_s: float):
        self._clock = clock
        self._window_s = window_s
        self._counts_until = float("inf")

    def note_arrived(self) -> None:
        """Note that the send has arrived by now, or never will."""
        self._end(self._clock.now())

    def note_abandoned(self) -> None:
        """Note that this node has left the connection; the upstream may not have read it yet.

        Does nothing after :meth:`note_arrived`.
        """
        self._end(self._clock.now() + MAX_UNREAD_S)

    def _end(self, arrived_by: float) -> None:
        if self.is_open:
            self._counts_until = arrived_by + self._window_s

    @property
    def is_open(self) -> bool:
        """Whether the send may still arrive."""
        return self._counts_until == float("inf")

    @property
    def counts(self) -> bool:
        """Whether the send may have arrived within the last window, or may still arrive."""
        return self._clock.now() < self._counts_until


class ArrivalWindow:
    """The sends that may arrive in a window that includes the present.

    Examples
    ========

    >>> class SettableClock(Clock):
    ...     time = 0.0
    ...     def now(self):
    ...         return self.time
    >>> clock = SettableClock()
    >>> window = ArrivalWindow(clock, window_s=10.0)
    >>> charge = window.add()
    >>> clock.time = 60.0
    >>> len(window)
    1
    >>> charge.note_arrived()
    >>> clock.time = 70.0
    >>> len(window)
    0
    """

    def __init__(self, clock: Clock, window_s: float):
        self._clock = clock
        self._window_s = window_s
        self._charges: list[SendCharge] = []
        self._full_at = MIN_FULL

    def __len__(self) -> int:
        self._charges = [charge for charge in self._charges if charge.counts]
        return len(self._charges)

    def add(self) -> SendCharge:
        """Count a send that is about to begin."""
        if len(self._charges) >= self._full_at:
            self._full_at = max(MIN_FULL, 2 * len(self))
        charge = SendCharge(self._clock, self._window_s)
        self._charges.append(charge)
        return charge
