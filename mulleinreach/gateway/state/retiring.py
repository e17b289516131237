"""Since when heads have been retiring, as this node knows it."""

from __future__ import annotations

from collections.abc import Collection

from mulleinreach.common import Clock

# A retiring head finishes most requests within this time; the others move, so that its hosts can
# be used again.
MOVE_AFTER_S = 3.5
# Requests that can't move at first may later, as the retry budget allows.
MOVE_INTERVAL_S = 1.0


class RetiringHeads:
    """Tells of which retiring heads the requests should move to other upstreams.

    Examples
    ========

    >>> from types import SimpleNamespace
    >>> clock = SimpleNamespace(now=lambda: clock.at, at=0.0)
    >>> heads = RetiringHeads(clock)
    >>> heads.update(["u", "v"], vacating=["v"])
    ['v']
    >>> clock.at = MOVE_AFTER_S
    >>> heads.update(["u"]), heads.update(["u"])
    (['u'], [])
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._move_at: dict[str, float] = {}

    def update(self, retiring: Collection[str], vacating: Collection[str] = ()) -> list[str]:
        """Take the heads that retire now; returns those whose requests should move now.

        Parameters
        ==========

        vacating : those of them whose requests need not wait for ``MOVE_AFTER_S``.
        """
        now = self._clock.now()
        first_move_at = {head: now if head in vacating else now + MOVE_AFTER_S for head in retiring}
        self._move_at = {head: self._move_at.get(head, first_move_at[head]) for head in retiring}
        overdue = [head for head, move_at in self._move_at.items() if move_at <= now]
        for head in overdue:
            self._move_at[head] = now + MOVE_INTERVAL_S
        return overdue
