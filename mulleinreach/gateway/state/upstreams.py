"""The list of upstreams that a node knows."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from mulleinreach.common import Address
from mulleinreach.gateway.upstream import Upstream, UpstreamState, start_time_ms, upstream_name


@dataclass(frozen=True)
class ListChange:
    """The upstreams that were added, changed or removed up to a revision of the store.

    Parameters
    ==========

    removed : the names of upstreams that were removed, whatever their incarnation.
    """

    revision: int
    upstreams: list[Upstream]
    removed: list[str]


@dataclass(frozen=True)
class LeavingMember:
    """A member of a group that leaves, or was removed from the list.

    Parameters
    ==========

    since : when it announced its end, or was removed if it announced none.
    is_announced : whether it announced its end.
    departed_at : when it was removed from the list, ``None`` if it is listed.
    """

    group_key: tuple[str, int]
    since: float
    is_announced: bool
    departed_at: float | None = None


NEVER = float("-inf")
# A group ends within this time after a member has left, or the member is listed again.
DEPARTED_MEMBER_RETENTION_S = 30.0
Value = TypeVar("Value")
# More than are replaced in an hour among 2,840 hosts. An upstream ends seconds after it announced
# that, and a copy of the store that lists it again is only seconds old.
MAX_REMEMBERED_IDS = 4096


class UpstreamDirectory:
    """The list of upstreams as this node last received it, and its recent changes.

    Explanation
    ===========

    A host's own report is applied only if it is newer than the latest change received for that
    host, since no later change might correct what an older report had overwritten.

    An upstream that restarts may keep its name, but each start has its own id. Changes arrive
    in order, so the start listed last is the running one, and earlier starts are dropped.

    An upstream known to be leaving stays marked as draining, since a late heartbeat or a
    restored store may list it as ready again.

    Parameters
    ==========

    on_replaced : called with the ids of a start and of the start that has replaced it.

    Examples
    ========

    >>> directory = UpstreamDirectory()
    >>> directory.replace_all(5, [], observed_at=1.0)
    >>> from mulleinreach.common import Address
    >>> host = Upstream("u", "s", Address("10.0.0.1", 80), "hall")
    >>> directory.apply(ListChange(7, [host], []), observed_at=2.0)
    >>> directory.apply_report(replace(host, pace=3.0), as_of=1.9)
    False
    >>> [change.revision for change in directory.changes_since(5)]
    [7]
    >>> directory.changes_since(4) is None
    True
    """

    MAX_CHANGES = 500

    def __init__(
        self, on_replaced: Callable[[str, str], None] = lambda replaced, running: None
    ) -> None:
        self._on_replaced = on_replaced
        self._by_id: dict[str, Upstream] = {}
        # The id of the running start, by upstream name.
        self._running: dict[str, str] = {}
        self._changed_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        # Removed upstreams that may be listed again, and since when.
        self._retained: dict[str, float] = {}
        # Ids of listed upstreams that are leaving.
        self._draining: set[str] = set()
        # Since when upstreams are known to be leaving, and ids of removed ones; oldest first.
        self._leaving: dict[str, float] = {}
        self._departed: dict[str, None] = {}
        self._departed_members: dict[str, LeavingMember] = {}
        # The addresses of all upstreams; ``None`` since the latest change of the list.
        self._addresses: frozenset[Address] | None = None
        self._changes: deque[ListChange] = deque()
        self._changes_from: int | None = None
        self.revision: int | None = None

    def replace_all(
        self,
        revision: int,
        upstreams: list[Upstream],
        observed_at: float,
        keeps_removed: bool = False,
    ) -> None:
        """Replace the list by a complete one."""
        upstreams = [self._with_leaving_state(u, observed_at) for u in upstreams]
        listed = {upstream_name(u.id) for u in upstreams}
        changed = [u for u in upstreams if self._by_id.get(u.id) != u]
        removed = [name for name in self._running if name not in listed]
        change = ListChange(revision, changed, removed)
        if self.revision is None:
            self._changes_from = revision
        else:
            self._record_change(change)
        self._apply_change(change, observed_at, keeps_removed)

    def apply(self, change: ListChange, observed_at: float, keeps_removed: bool = False) -> None:
        """Apply changes that follow the list's revision.

        Parameters
        ==========

        observed_at : when the answer with the change was received.
        keeps_removed : whether removed upstreams are retained until :meth:`drop_retained`
            removes those that were not listed again.
        """
        self._record_change(change)
        self._apply_change(change, observed_at, keeps_removed)

    def _apply_change(self, change: ListChange, observed_at: float, keeps_removed: bool) -> None:
        self._addresses = None
        for row in change.upstreams:
            upstream = self._with_leaving_state(row, observed_at)
            self._replace_start(upstream.id)
            self._by_id[upstream.id] = upstream
            if upstream.state is UpstreamState.DRAINING:
                self._draining.add(upstream.id)
            self._changed_at[upstream.id] = observed_at
            self._note_cold(upstream, observed_at)
            self._retained.pop(upstream.id, None)
            self._departed.pop(upstream.id, None)
            self._departed_members.pop(upstream.id, None)
        removed = [self._running[name] for name in change.removed if name in self._running]
        if keeps_removed:
            self._retained |= dict.fromkeys(removed, observed_at)
        else:
            for upstream_id in removed:
                self._depart(upstream_id, observed_at)
        self.revision = change.revision

    def reconcile(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams to use from a full list of a store that was restored.

        The rows may be older than what is known, and a row alone doesn't show whether its
        upstream has rewritten it since the restore. So known state is kept, and upstreams that
        were removed earlier are left out.
        """
        known = {name: self._by_id[running] for name, running in self._running.items()}
        pairs = [(upstream, known.get(upstream_name(upstream.id))) for upstream in upstreams]
        return [
            listed if before is None else _reconcile_row(before, listed)
            for listed, before in pairs
            if before is not None or listed.id not in self._departed
        ]

    def mark_leaving(self, upstream_id: str, observed_at: float) -> bool:
        """Mark an upstream as leaving, as it announced itself; returns whether that was unknown."""
        if upstream_id in self._leaving:
            return False
        _add_bounded(self._leaving, upstream_id, observed_at)
        if upstream_id in self._by_id:
            upstream = self._by_id[upstream_id]
            self._by_id[upstream_id] = self._with_leaving_state(upstream, observed_at)
            self._draining.add(upstream_id)
        return True

    def draining(self) -> list[Upstream]:
        """Return the listed upstreams that are leaving."""
        return [self._by_id[upstream_id] for upstream_id in self._draining]

    def leaving_since(self, upstream_id: str) -> float:
        """Return since when an upstream is known to be leaving; infinite if it isn't."""
        return self._leaving.get(upstream_id, float("inf"))

    def _with_leaving_state(self, upstream: Upstream, observed_at: float) -> Upstream:
        """Return an upstream as its row shows it, but draining if it is known to be leaving."""
        if upstream.state is UpstreamState.DRAINING and upstream.id not in self._leaving:
            _add_bounded(self._leaving, upstream.id, observed_at)
        if upstream.id not in self._leaving:
            return upstream
        return replace(upstream, state=UpstreamState.DRAINING)

    def _replace_start(self, upstream_id: str) -> None:
        """Drop the previous start of an upstream when another start is listed."""
        name = upstream_name(upstream_id)
        before = self._running.get(name)
        if before is not None and before != upstream_id:
            self._drop(before)
            self._on_replaced(before, upstream_id)
        self._running[name] = upstream_id

    def _note_cold(self, upstream: Upstream, observed_at: float) -> None:
        if upstream.cold_s > 0:
            self._cold_until[upstream.id] = observed_at + upstream.cold_s
        else:
            self._cold_until.pop(upstream.id, None)

    def drop_retained(self) -> int:
        """Remove the retained upstreams that were not listed again; returns how many."""
        kept = list(self._retained.items())
        for upstream_id, since in kept:
            self._depart(upstream_id, since)
        return len(kept)

    def _depart(self, upstream_id: str, since: float) -> None:
        """Drop an upstream that is no longer listed."""
        upstream = self._by_id.get(upstream_id)
        self._drop(upstream_id)
        _add_bounded(self._departed, upstream_id, None)
        oldest = since - DEPARTED_MEMBER_RETENTION_S
        members = {u: m for u, m in self._departed_members.items() if m.departed_at > oldest}
        if upstream is not None and upstream.group_key is not None:
            announced_at = self._leaving.get(upstream_id)
            is_announced = announced_at is not None
            leaves_since = announced_at if is_announced else since
            members[upstream_id] = LeavingMember(
                upstream.group_key, leaves_since, is_announced, departed_at=since
            )
        self._departed_members = members

    def draining_members(self) -> list[LeavingMember]:
        """Return the listed members of groups that have announced their ends."""
        return [
            LeavingMember(member.group_key, self.leaving_since(member.id), is_announced=True)
            for member in self.draining()
            if member.group_key is not None
        ]

    def departed_members(self) -> list[LeavingMember]:
        """Return the members of groups that were removed from the list recently."""
        return list(self._departed_members.values())

    def _drop(self, upstream_id: str) -> None:
        self._addresses = None
        self._by_id.pop(upstream_id, None)
        self._running.pop(upstream_name(upstream_id), None)
        self._changed_at.pop(upstream_id, None)
        self._cold_until.pop(upstream_id, None)
        self._retained.pop(upstream_id, None)
        self._draining.discard(upstream_id)

    def _record_change(self, change: ListChange) -> None:
        if change.upstreams or change.removed:
            self._changes.append(change)
        while len(self._changes) > self.MAX_CHANGES:
            self._changes_from = self._changes.popleft().revision

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return the changes after a revision, ``None`` if some were discarded."""
        if self._changes_from is None or revision < self._changes_from:
            return None
        return [change for change in self._changes if change.revision > revision]

    def whole(self) -> ListChange | None:
        """Return the full list as one change, ``None`` before the first list."""
        if self.revision is None:
            return None
        return ListChange(self.revision, list(self._by_id.values()), [])

    def apply_report(self, report: Upstream, as_of: float) -> bool:
        """Apply a listed host's own report, unless newer state is known.

        Parameters
        ==========

        as_of : when the host was in the reported state.

        Returns
        =======

        Whether the report was applied.
        """
        known = self._by_id.get(report.id)
        if known is None or as_of <= self._changed_at.get(report.id, NEVER):
            return False
        self._by_id[report.id] = replace(
            known,
            models=report.models,
            staged=report.staged,
            membership=report.membership,
            pace=report.pace,
        )
        self._changed_at[report.id] = as_of
        return True

    def get(self, upstream_id: str) -> Upstream | None:
        """Return a listed upstream, ``None`` if the id isn't listed."""
        return self._by_id.get(upstream_id)

    def is_leaving(self, upstream_id: str) -> bool:
        """Whether an upstream announced its end, or was removed from the list."""
        listed = self._by_id.get(upstream_id)
        return listed is None or listed.state is UpstreamState.DRAINING

    def is_replaced(self, upstream_id: str) -> bool:
        """Whether the list holds another start of the same upstream."""
        return self._running.get(upstream_name(upstream_id), upstream_id) != upstream_id

    def running(self, name: str) -> str | None:
        """Return the id of the listed start of an upstream, given its name."""
        return self._running.get(name)

    def cold_ids(self, now: float) -> frozenset[str]:
        """Return the ids of upstreams that are cold.

        Cold: recently started, with an empty cache, so the request rate is capped. The remaining
        time comes from the latest change of the upstream's row.
        """
        return frozenset(u for u, until in self._cold_until.items() if until > now)

    def ids(self) -> list[str]:
        """Return the ids of all upstreams."""
        return list(self._by_id)

    def addresses(self) -> frozenset[Address]:
        """Return the addresses of all upstreams."""
        if self._addresses is None:
            self._addresses = frozenset(u.address for u in self._by_id.values())
        return self._addresses

    def of_service(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service."""
        return [u for u in self._by_id.values() if u.service == service]

    def group_states(self) -> Counter[str]:
        """Return the number of groups by the state of their heads."""
        heads = [m for u in self._by_id.values() if (m := u.membership) and m.rank == 0]
        return Counter(str(head.state) for head in heads)

    def __len__(self) -> int:
        return len(self._by_id)


def _add_bounded(ids: dict[str, Value], upstream_id: str, value: Value) -> None:
    """Add an id with its value, and evict the oldest one beyond the limit."""
    ids[upstream_id] = value
    if len(ids) > MAX_REMEMBERED_IDS:
        del ids[next(iter(ids))]


def _reconcile_row(known: Upstream, listed: Upstream) -> Upstream:
    """Return the newer of a known upstream and its row in a store that may be outdated."""
    if (start_time_ms(listed.id) or 0) > (start_time_ms(known.id) or 0):
        return listed
    if listed.id == known.id and listed.state is UpstreamState.DRAINING:
        return replace(known, state=UpstreamState.DRAINING)
    return known
