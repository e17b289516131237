"""Logs changes of the list of upstreams, one line per change."""

from __future__ import annotations

from mulleinreach.common import EventLog
from mulleinreach.gateway.revision import format_revision
from mulleinreach.gateway.state.upstreams import ListChange, UpstreamDirectory
from mulleinreach.gateway.upstream import Upstream, upstream_name

# Keeps lines short when a whole hall is added or removed.
MAX_LOGGED_IDS = 5


def log_list_change(log: EventLog, directory: UpstreamDirectory, change: ListChange) -> None:
    """Log a change before it is applied to the list, unless it changes no upstream."""
    known = {upstream.id: directory.get(upstream.id) for upstream in change.upstreams}
    new = [upstream_id for upstream_id, before in known.items() if before is None]
    changed = [u.id for u in change.upstreams if known[u.id] not in (None, u)]
    removed = [name for name in change.removed if directory.running(name) is not None]
    started_again = [u.id for u in change.upstreams if directory.is_replaced(u.id)]
    if not (new or changed or removed):
        return
    log.event(
        "upstreams_changed",
        revision=format_revision(change.revision),
        new=len(new),
        changed=len(changed),
        removed=len(removed),
        started_again=format_ids(started_again),
        first_new=format_ids(new),
        first_changed=format_ids(changed),
        first_removed=format_ids(removed),
    )


def log_full_list(
    log: EventLog, directory: UpstreamDirectory, revision: int, upstreams: list[Upstream]
) -> None:
    """Log the changes by a full list before it is applied."""
    listed = {upstream_name(upstream.id) for upstream in upstreams}
    removed = [name for name in map(upstream_name, directory.ids()) if name not in listed]
    log_list_change(log, directory, ListChange(revision, upstreams, removed))


def format_ids(ids: list[str]) -> str:
    """Return the first ids as text for a log line.

    Examples
    ========

    >>> format_ids(["a", "b"])
    'a,b'
    >>> format_ids(["a", "b", "c", "d", "e", "f"])
    'a,b,c,d,e...'
    """
    rest = "..." if len(ids) > MAX_LOGGED_IDS else ""
    return ",".join(ids[:MAX_LOGGED_IDS]) + rest
