"""The shares to which connected nodes are entitled."""

from __future__ import annotations

from collections.abc import Hashable, Mapping

from mulleinreach.gateway.coordination.share_accounts import MAX_TOTAL, TARGET_TOTAL

# The part of what is left that connected nodes have without needing it, if there is no room for
# the target. The rest is for nodes that need more; nodes that end take theirs along for a while.
EQUAL_PART = 0.6


def equal_part(nodes: int, room: float, others: float) -> float:
    """Return the share that each connected node has without needing it.

    Parameters
    ==========

    room : what may be charged to connected nodes.
    others : what is charged to all others.

    Examples
    ========

    >>> equal_part(3, 0.9, 0.0), equal_part(4, 0.5, 0.4)
    (0.25, 0.075)
    """
    has_room = TARGET_TOTAL + others <= MAX_TOTAL
    equal = TARGET_TOTAL if has_room else EQUAL_PART * (MAX_TOTAL - others)
    return max(0.0, min(room, equal)) / max(1, nodes)


def share_targets(
    part: float, room: float, used: Mapping[Hashable, float], needs: Mapping[Hashable, float]
) -> dict[Hashable, float]:
    """Return the shares of connected nodes: equal parts, and what is left for those that need more.

    Parameters
    ==========

    used : what each connected node has used.
    needs : what some of them need beside that.

    Examples
    ========

    >>> share_targets(0.25, 0.9, {"a": 0.25, "b": 0.0, "c": 0.0}, {"a": 0.125})
    {'a': 0.375, 'b': 0.25, 'c': 0.25}
    """
    extra = {holder: max(0.0, used[holder] + need - part) for holder, need in needs.items()}
    wanted = sum(extra.values())
    if not wanted:
        return dict.fromkeys(used, part)
    # What others have used beyond their part can't be given to anybody else.
    taken = sum(part if holder in needs else max(part, used[holder]) for holder in used)
    scale = min(1.0, max(0.0, room - taken) / wanted)
    return {holder: part + scale * extra.get(holder, 0.0) for holder in used}
