"""Groups that end soon, since a member announces its end or has left the list."""

from __future__ import annotations

from mulleinreach.common import Clock
from mulleinreach.gateway.state.upstreams import LeavingMember, UpstreamDirectory


class AnnouncedEnds:
    """Tells which groups have a member that may end at any time.

    Explanation
    ===========

    A member of a group serves on for some time after it has announced its end, or after it was
    removed from the list, which is all that some of them announce. Each node learns of both from
    the list, so nothing of this depends on who is the coordinator.

    Parameters
    ==========

    notice_s : how long an upstream serves at least after its announcement is known.

    Examples
    ========

    >>> from types import SimpleNamespace
    >>> from mulleinreach.common import Address
    >>> from mulleinreach.gateway.upstream import Membership, MemberState, Upstream, UpstreamState
    >>> membership = Membership("g", 1, 2, MemberState.READY)
    >>> host = Upstream("u", "s", Address("10.0.0.1", 80), "hall", membership=membership)
    >>> directory = UpstreamDirectory()
    >>> directory.replace_all(1, [host], observed_at=0.0)
    >>> ends = AnnouncedEnds(directory, 2.0, SimpleNamespace(now=lambda: 5.0))
    >>> ends.due_groups()
    {}
    >>> directory.mark_leaving("u", observed_at=1.0)
    True
    >>> ends.due_groups()
    {('g', 1): 1.0}
    """

    def __init__(self, directory: UpstreamDirectory, notice_s: float, clock: Clock):
        self._directory = directory
        self._notice_s = notice_s
        self._clock = clock

    def due_groups(self) -> dict[tuple[str, int], float]:
        """Return the groups that may end at any time, with the first announcement in each."""
        latest = self._clock.now() - self._notice_s
        due: dict[tuple[str, int], float] = {}
        for member in self._leaving_members():
            if member.since <= latest:
                due[member.group_key] = min(member.since, due.get(member.group_key, member.since))
        return due

    def is_announced(self, key: tuple[str, int]) -> bool:
        """Whether a member of a group has announced its end, listed or not."""
        return any(each.is_announced for each in self._leaving_members() if each.group_key == key)

    def has_left(self, key: tuple[str, int]) -> bool:
        """Whether a member of a group has left the list as it had announced."""
        members = [each for each in self._directory.departed_members() if each.group_key == key]
        return any(each.is_announced for each in members)

    def _leaving_members(self) -> list[LeavingMember]:
        return self._directory.draining_members() + self._directory.departed_members()
