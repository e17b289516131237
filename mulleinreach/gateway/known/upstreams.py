"""The upstreams that a node knows, and the groups that they form."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mulleinreach.gateway.upstream import (
    MemberState,
    Upstream,
    UpstreamState,
    model_of_group,
    start_time_ms,
    upstream_name,
)


@dataclass
class Group:
    """The hosts that stand in one group under one epoch, by rank."""

    name: str
    epoch: int
    members: dict[int, Upstream] = field(default_factory=dict)

    @property
    def head(self) -> Upstream | None:
        """The member that takes requests, if it is known."""
        return self.members.get(0)

    @property
    def model(self) -> str | None:
        """The model that the group runs."""
        for member in self.members.values():
            if member.models:
                return member.models[0]
        # Hosts tell the model only while they serve.
        return model_of_group(self.name)

    def is_whole(self, size: int) -> bool:
        """Whether all ``size`` members are known."""
        return len(self.members) == size and all(rank in self.members for rank in range(size))


@dataclass(frozen=True)
class Head:
    """A group that takes requests, as the router sees it."""

    upstream: Upstream
    group: str
    epoch: int
    model: str
    pace: float = 1.0


@dataclass(frozen=True)
class ListChange:
    """What changed in the list of upstreams, up to a revision of the store.

    Parameters
    ==========

    removed : the names of upstreams that are off the list, whichever their start.
    """

    revision: int
    upstreams: list[Upstream]
    removed: list[str]


NEVER = float("-inf")
# More upstreams than are replaced in an hour where there are 2,840 hosts; a leaving one ends within
# seconds, and a copy of the store that names it once more is some seconds old.
MAX_REMEMBERED_IDS = 4096


class UpstreamDirectory:
    """The list of upstreams as this node last heard it, and what changed in it lately.

    Explanation
    ===========

    A host's own report shows how it stood a while ago. It counts only where it is
    newer than the latest change that was heard of the host: no further change may
    come to correct what an older report had put in its place.

    An upstream that starts again may keep its name. The list is told in the order of its
    changes, so the start that it names last is the one that runs; an earlier one is gone
    at once, with all that is known of it.

    An upstream's word that it leaves outlives its rows: they lag, some never tell it, and a late
    heartbeat or a restored store may show a row once more that says the contrary.

    Parameters
    ==========

    on_replaced : called with the id of each start that a later one has replaced.

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

    def __init__(self, on_replaced: Callable[[str], None] = lambda upstream_id: None) -> None:
        self._on_replaced = on_replaced
        self._by_id: dict[str, Upstream] = {}
        # The id of the start that runs under each name.
        self._running: dict[str, str] = {}
        self._changed_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        self._retained: set[str] = set()
        # Ids in the order in which their upstreams said that they leave, and went off the list.
        self._leaving: dict[str, None] = {}
        self._departed: dict[str, None] = {}
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
        """Take a complete list."""
        upstreams = [self._with_leaving_state(u) for u in upstreams]
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
        """Take changes that follow on the list's revision.

        Parameters
        ==========

        observed_at : when the answer that tells the change came in.
        keeps_removed : upstreams that the change removes stay until
            :meth:`drop_retained`, unless they are listed again.
        """
        self._record_change(change)
        self._apply_change(change, observed_at, keeps_removed)

    def _apply_change(self, change: ListChange, observed_at: float, keeps_removed: bool) -> None:
        for upstream in map(self._with_leaving_state, change.upstreams):
            self._replace_start(upstream.id)
            self._by_id[upstream.id] = upstream
            self._changed_at[upstream.id] = observed_at
            self._note_cold(upstream, observed_at)
            self._retained.discard(upstream.id)
            self._departed.pop(upstream.id, None)
        removed = [self._running[name] for name in change.removed if name in self._running]
        if keeps_removed:
            self._retained.update(removed)
        else:
            for upstream_id in removed:
                self._drop(upstream_id)
                _add_bounded(self._departed, upstream_id)
        self.revision = change.revision

    def reconcile(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return which upstreams to take of a whole list that may be older than what is known.

        A restored store shows rows as they were before. Those that were written since are
        written again, but a row alone doesn't tell whether that has happened yet: what is known
        of an upstream stands, and one that had gone off the list stays off it.
        """
        known = {name: self._by_id[running] for name, running in self._running.items()}
        pairs = [(upstream, known.get(upstream_name(upstream.id))) for upstream in upstreams]
        return [
            listed if before is None else _reconcile_row(before, listed)
            for listed, before in pairs
            if before is not None or listed.id not in self._departed
        ]

    def mark_leaving(self, upstream_id: str) -> bool:
        """Note that an upstream says itself that it leaves; returns whether that is news."""
        if upstream_id in self._leaving:
            return False
        _add_bounded(self._leaving, upstream_id)
        if upstream_id in self._by_id:
            self._by_id[upstream_id] = self._with_leaving_state(self._by_id[upstream_id])
        return True

    def _with_leaving_state(self, upstream: Upstream) -> Upstream:
        """Return an upstream as its row tells it, but for its word that it leaves."""
        if upstream.state is UpstreamState.DRAINING:
            _add_bounded(self._leaving, upstream.id)
        if upstream.id not in self._leaving:
            return upstream
        return replace(upstream, state=UpstreamState.DRAINING)

    def _replace_start(self, upstream_id: str) -> None:
        """Drop an earlier start of an upstream that is listed again."""
        name = upstream_name(upstream_id)
        before = self._running.get(name)
        if before is not None and before != upstream_id:
            self._drop(before)
            self._on_replaced(before)
        self._running[name] = upstream_id

    def _note_cold(self, upstream: Upstream, observed_at: float) -> None:
        if upstream.cold_s > 0:
            self._cold_until[upstream.id] = observed_at + upstream.cold_s
        else:
            self._cold_until.pop(upstream.id, None)

    def drop_retained(self) -> int:
        """Remove the upstreams that were kept and not listed again; returns how many."""
        kept = list(self._retained)
        for upstream_id in kept:
            self._drop(upstream_id)
            _add_bounded(self._departed, upstream_id)
        return len(kept)

    def _drop(self, upstream_id: str) -> None:
        self._by_id.pop(upstream_id, None)
        self._running.pop(upstream_name(upstream_id), None)
        self._changed_at.pop(upstream_id, None)
        self._cold_until.pop(upstream_id, None)
        self._retained.discard(upstream_id)

    def _record_change(self, change: ListChange) -> None:
        if change.upstreams or change.removed:
            self._changes.append(change)
        while len(self._changes) > self.MAX_CHANGES:
            self._changes_from = self._changes.popleft().revision

    def changes_since(self, revision: int) -> list[ListChange] | None:
        """Return what changed after a revision, or ``None`` if that is too long ago."""
        if self._changes_from is None or revision < self._changes_from:
            return None
        return [change for change in self._changes if change.revision > revision]

    def whole(self) -> ListChange | None:
        """Return all upstreams as one change, ``None`` before the first list."""
        if self.revision is None:
            return None
        return ListChange(self.revision, list(self._by_id.values()), [])

    def apply_report(self, report: Upstream, as_of: float) -> bool:
        """Take what a listed host said of itself, unless something newer is known.

        Parameters
        ==========

        as_of : the moment that the report shows.

        Returns
        =======

        Whether the report was taken.
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
        """Return an upstream that is on the list."""
        return self._by_id.get(upstream_id)

    def is_replaced(self, upstream_id: str) -> bool:
        """Whether the list names another start of an upstream than this one."""
        return self._running.get(upstream_name(upstream_id), upstream_id) != upstream_id

    def running(self, name: str) -> str | None:
        """Return the id of the start that the list names for an upstream."""
        return self._running.get(name)

    def cold_ids(self, now: float) -> frozenset[str]:
        """Return the ids of upstreams that are cold, by the latest change of their rows."""
        return frozenset(u for u, until in self._cold_until.items() if until > now)

    def ids(self) -> list[str]:
        """Return the ids of all upstreams."""
        return list(self._by_id)

    def of_service(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service."""
        return [u for u in self._by_id.values() if u.service == service]

    def group_states(self) -> Counter[str]:
        """Return how many groups there are by the state of their heads."""
        heads = [m for u in self._by_id.values() if (m := u.membership) and m.rank == 0]
        return Counter(str(head.state) for head in heads)

    def __len__(self) -> int:
        return len(self._by_id)


def _add_bounded(ids: dict[str, None], upstream_id: str) -> None:
    """Add an id to those that are remembered in their order, and drop the oldest beyond a bound."""
    ids[upstream_id] = None
    if len(ids) > MAX_REMEMBERED_IDS:
        del ids[next(iter(ids))]


def _reconcile_row(known: Upstream, listed: Upstream) -> Upstream:
    """Return what holds of an upstream that is known, and listed by a store that may lag."""
    if (start_time_ms(listed.id) or 0) > (start_time_ms(known.id) or 0):
        return listed
    if listed.id == known.id and listed.state is UpstreamState.DRAINING:
        return replace(known, state=UpstreamState.DRAINING)
    return known


def collect_groups(upstreams: list[Upstream]) -> dict[tuple[str, int], Group]:
    """Return the groups that hosts say they stand in, by name and epoch."""
    groups: dict[tuple[str, int], Group] = {}
    for upstream in upstreams:
        if upstream.place is None:
            continue
        group = groups.setdefault(upstream.place, Group(*upstream.place))
        group.members[upstream.membership.rank] = upstream
    return groups


def open_heads(upstreams: list[Upstream]) -> list[Head]:
    """Return the heads that say they are open and that don't leave."""
    heads = []
    for upstream in upstreams:
        membership = upstream.membership
        if membership is None or membership.rank != 0 or not upstream.models:
            continue
        if membership.state is MemberState.OPEN and upstream.state is UpstreamState.READY:
            heads.append(Head(upstream, membership.group, membership.epoch, upstream.models[0]))
    return heads


def serves_model(upstream: Upstream, model: str | None) -> bool:
    """Whether an upstream is the head of a group that runs a model, or any if that is ``None``."""
    membership = upstream.membership
    is_head = membership is not None and membership.rank == 0
    return is_head and bool(upstream.models) and model in (None, *upstream.models)
