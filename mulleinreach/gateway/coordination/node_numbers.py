"""Assigns a number to each node, by which the nodes divide the rate of cold upstreams."""

from __future__ import annotations

import itertools
from collections.abc import Collection, Hashable

from mulleinreach.gateway.state.cold import NUMBER_VALID_S, RATE_WINDOW_S

# By then previous numbers have expired, with requests sent under them; 0.1 s is for clock skew.
RENUMBERING_INTERVAL_S = NUMBER_VALID_S + RATE_WINDOW_S + 0.1


class NodeNumbers:
    """The node numbers of one term; the coordinator's own number is 0.

    Parameters
    ==========

    begun_at : start of the term.

    Examples
    ========

    >>> numbers = NodeNumbers(0.0)
    >>> numbers.update(["a", "b"], 4.0)
    >>> numbers.number_of("a"), numbers.number_of("b"), numbers.count
    (1, 2, 3)
    >>> numbers.update(["b", "c"], 8.0)
    >>> numbers.number_of("b"), numbers.number_of("c"), numbers.number_of("a")
    (2, 1, 3)
    """

    def __init__(self, begun_at: float):
        self._changed_at = begun_at
        self._numbers: dict[Hashable, int] = {}
        # One above the highest number; 0 before the first assignment.
        self.count = 0

    def update(self, members: Collection[Hashable], now: float) -> None:
        """Renumber if the members have changed and the renumbering interval has passed."""
        is_same = self.count > 0 and self._numbers.keys() == set(members)
        if is_same or now - self._changed_at < RENUMBERING_INTERVAL_S:
            return
        kept = {member: n for member, n in self._numbers.items() if member in members}
        used = set(kept.values())
        free_numbers = (number for number in itertools.count(1) if number not in used)
        new_members = (member for member in members if member not in kept)
        self._numbers = kept | dict(zip(new_members, free_numbers, strict=False))
        self.count = 1 + max(self._numbers.values(), default=0)
        self._changed_at = now

    def number_of(self, member: Hashable) -> int:
        """Return a member's number; :attr:`count`, which no member has, if none is assigned."""
        return self._numbers.get(member, self.count)
