"""Keeps the list of upstreams up to date, and tracks how current it is.

Explanation
===========

Changes come from the store, or from the coordinator, which reads the store for all nodes.
Upstreams whose rows expired during an outage of the store are retained for a while, because
those that are alive write their rows again.

A restored store lists upstreams as they were when its copy was taken. Live upstreams rewrite
their rows, and the rows of the others expire. Until then the list is untrusted: it may add to
what is known, but not contradict it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.ports import HistoryLost, Unavailable, UpstreamSource, UpstreamsRead
from mulleinreach.gateway.revision import era_of, format_revision
from mulleinreach.gateway.state.list_change_log import log_full_list, log_list_change
from mulleinreach.gateway.state.store_reading import (
    CHECK_INTERVAL_S,
    PROBE_WAIT_S,
    READER_WAIT_S,
    DirectReadSchedule,
    SourceState,
    wait_for_coordinator,
)
from mulleinreach.gateway.state.upstreams import ListChange, UpstreamDirectory
from mulleinreach.gateway.upstream import Upstream, upstream_name

# A pending long poll reports a change at most this long after the change.
CHANGE_DELIVERY_S = 0.1
# Pauses between reads, so that one read returns several changes; short if a change is urgent.
# While a group is formed or repaired, each step waits for a host's row; otherwise the bound on
# leaving upstreams (2 s or more) leaves room.
URGENT_BATCH_S = 0.04
BATCH_S = 0.25
# After a longer outage of the store, rows may have expired because upstreams couldn't renew them.
# Upstreams that live are listed again about two seconds after its return.
OUTAGE_S = 1.5
# Live upstreams write their rows again within this time after the store is back.
RELISTING_GRACE_S = 2.2
# Three missed heartbeats, after which a stopped upstream's row expires, and one for propagation.
UNTRUSTED_HEARTBEATS = 4
# How long the coordinator's retention flag is valid: two of its reports, one of them late.
RETENTION_NOTICE_TTL_S = 0.5
NEVER = float("-inf")


class UpstreamFollower:
    """Keeps an :class:`UpstreamDirectory` up to date.

    Parameters
    ==========

    is_reader : whether this node reads the store for the others.
    on_change : called after each answer that changed the list.
    is_urgent : whether an operation, such as forming a group, waits for a change of the list.
    schedule : when a node that isn't the reader reads the store directly.
    heartbeat_s : how often upstreams write their rows.
    """

    def __init__(
        self,
        source: UpstreamSource,
        directory: UpstreamDirectory,
        clock: Clock,
        log: EventLog,
        is_reader: Callable[[], bool],
        on_change: Callable[[], None],
        is_urgent: Callable[[], bool],
        schedule: DirectReadSchedule,
        heartbeat_s: float,
    ):
        self._source = source
        self._directory = directory
        self._clock = clock
        self._log = log
        self._state = SourceState("upstream_list", log, is_reader)
        self._is_reader = is_reader
        self._on_change = on_change
        self._is_urgent = is_urgent
        self._schedule = schedule
        self._unusable: dict[str, str] = {}
        self._waiting_since: float | None = None
        self._must_read_all = True
        self._keeps_removed_until = NEVER
        self._failed_at = NEVER
        self._untrusted_s = UNTRUSTED_HEARTBEATS * heartbeat_s
        self._untrusted_until = NEVER
        # Whether the last full read was made while the list was untrusted, so must be repeated.
        self._was_untrusted = False
        self.was_read = asyncio.Event()
        self.current_as_of = NEVER

    def list_age_s(self) -> float:
        """Return for how long the list hasn't been confirmed as current."""
        return self._clock.now() - self.current_as_of

    def take_coordinator_list(self, whole: ListChange, current_as_of: float) -> None:
        """Take the coordinator's full list, unless this node already has a list."""
        if self._directory.revision is not None:
            return
        log_full_list(self._log, self._directory, whole.revision, whole.upstreams)
        self._directory.replace_all(whole.revision, whole.upstreams, self._clock.now())
        self._must_read_all = False
        self.was_read.set()
        self.current_as_of = max(self.current_as_of, current_as_of)
        self._on_change()

    def merge_coordinator_changes(
        self, changes: list[ListChange], revision: int, current_as_of: float
    ) -> None:
        """Apply changes that the coordinator read, and the time as of which the list is current."""
        known_revision = self._directory.revision
        if known_revision is None:
            return
        new_changes = [change for change in changes if change.revision > known_revision]
        self._detect_outage()
        self._detect_restore(revision)
        for change in new_changes:
            log_list_change(self._log, self._directory, change)
            self._directory.apply(change, self._clock.now(), self.keeps_removed())
        if revision > self._directory.revision:
            self._directory.revision = revision
        self.current_as_of = max(self.current_as_of, current_as_of)
        if new_changes:
            self._on_change()

    async def follow(self) -> None:
        """Read the list whenever the coordinator's changes don't suffice, until cancelled."""
        await wait_for_coordinator(self.was_read, self._schedule, self._is_reader)
        while True:
            self._drop_retained()
            if self._must_read():
                if await self.read_once():
                    await self._wait_for_batch()
            else:
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _wait_for_batch(self) -> None:
        """Wait so that the next read returns several changes, less long if one is urgent."""
        until = self._clock.now() + BATCH_S
        await asyncio.sleep(URGENT_BATCH_S)
        while not self._is_urgent() and self._clock.now() < until:
            await asyncio.sleep(URGENT_BATCH_S)

    def _must_read(self) -> bool:
        if self._is_reader() or self._must_reread():
            return True
        return self._schedule.is_due(self.list_age_s())

    def _must_reread(self) -> bool:
        """Whether the list has to be read again because it was untrusted at the last read."""
        return self._was_untrusted and self._clock.now() >= self._untrusted_until

    def confirm(self, requested_at: float) -> None:
        """Note that the store answered another call, which was sent at ``requested_at``.

        A long poll that was pending then, and still is, would have reported a change.
        """
        if self._waiting_since is not None and self._waiting_since < requested_at:
            self.current_as_of = max(self.current_as_of, requested_at - CHANGE_DELIVERY_S)

    def note_store_failed(self) -> None:
        """Note that another call to the store has just failed."""
        self._failed_at = self._clock.now()

    def _detect_outage(self) -> None:
        """Retain removed upstreams for a while if this is the first answer after an outage.

        A late answer alone is no outage: a call must have failed since the last answer, or
        during the coordinator's last long poll before it.
        """
        has_failed = self._failed_at > self.current_as_of - READER_WAIT_S > NEVER
        if has_failed and self.list_age_s() > OUTAGE_S:
            self._keeps_removed_until = self._clock.now() + RELISTING_GRACE_S

    def _wait_s(self) -> float:
        """Return how long to wait for a change, at most until the next deadline of this class."""
        now, wait_s = self._clock.now(), self._state.wait_s()
        deadlines = [self._keeps_removed_until]
        if self._was_untrusted:
            deadlines.append(self._untrusted_until)
        return min([wait_s, *(max(at - now, PROBE_WAIT_S) for at in deadlines if at > now)])

    def _detect_restore(self, revision: int) -> None:
        """Treat the list as untrusted for a while if the store was restored since our revision."""
        known_revision = self._directory.revision
        if era_of(revision) <= era_of(known_revision):
            return
        now = self._clock.now()
        self._untrusted_until = now + self._untrusted_s
        self._keeps_removed_until = max(self._keeps_removed_until, now + RELISTING_GRACE_S)
        self._log.event(
            "list_restored",
            revision=format_revision(revision),
            known=format_revision(known_revision),
        )

    def _reconcile(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams to use of a full list: all, unless the list is untrusted."""
        self._was_untrusted = self._clock.now() < self._untrusted_until
        return self._directory.reconcile(upstreams) if self._was_untrusted else upstreams

    def note_coordinator_retention(self, keeps_removed: bool) -> None:
        """Note whether the coordinator retains upstreams that were removed from the list."""
        if keeps_removed:
            until = self._clock.now() + RETENTION_NOTICE_TTL_S
            self._keeps_removed_until = max(self._keeps_removed_until, until)

    def keeps_removed(self) -> bool:
        """Whether removed upstreams are retained, because an outage may have expired their rows."""
        return self._clock.now() < self._keeps_removed_until

    def _drop_retained(self) -> None:
        if self.keeps_removed() or self.list_age_s() > OUTAGE_S:
            return
        dropped = self._directory.drop_retained()
        if dropped:
            self._log.event("lapsed_upstreams_dropped", count=dropped)
            self._on_change()

    async def read_once(self) -> bool:
        """Read the list or wait for a change, and apply the answer.

        Returns whether there was a full list or a change.
        """
        if self._must_read_all or self._must_reread():
            return await self.read_now()
        requested_at, wait_s = self._clock.now(), self._wait_s()
        self._waiting_since = requested_at
        result = await self._source.wait(self._directory.revision, wait_s)
        self._waiting_since = None
        if isinstance(result, Unavailable):
            self._note_failure(result)
        elif isinstance(result, HistoryLost):
            self._must_read_all = True
        else:
            has_changes = bool(result.upstreams or result.removed)
            if not has_changes and self._clock.now() - requested_at >= wait_s:
                # The store answers a long poll early if anything changes.
                requested_at += wait_s
            self._apply_answer(result, False, requested_at)
            return has_changes
        return False

    async def read_now(self) -> bool:
        """Read the full list now, even if a long poll is pending.

        Returns whether the store answered.
        """
        requested_at = self._clock.now()
        result = await self._source.read()
        if isinstance(result, Unavailable):
            self._note_failure(result)
            return False
        self._apply_answer(result, is_full=True, requested_at=requested_at)
        return True

    @property
    def unusable_count(self) -> int:
        """The number of invalid upstream rows in this node's own reads of the store."""
        return len(self._unusable)

    def _log_unusable_rows(self, result: UpstreamsRead, is_full: bool) -> None:
        """Log each invalid upstream row when it appears and when its reason changes."""
        read = {row.name: row.reason for row in result.unusable}
        for name, why in read.items():
            if self._unusable.get(name) != why:
                self._log.event("row_unusable", row=name, why=why)
        known = {} if is_full else self._unusable
        usable = {upstream_name(upstream.id) for upstream in result.upstreams} | set(result.removed)
        self._unusable = {n: why for n, why in known.items() if n not in usable} | read

    def _note_failure(self, failure: Unavailable) -> None:
        self._failed_at = self._clock.now()
        self._state.record_failure(failure.reason)

    def _apply_answer(self, result: UpstreamsRead, is_full: bool, requested_at: float) -> None:
        self._state.record_answer()
        known_revision = self._directory.revision
        if known_revision is not None and result.revision < known_revision:
            # A long poll that began before a newer read; the next one starts at that revision.
            self._log.event(
                "answer_put_aside",
                dependency="upstream_list",
                why="older than the known revision",
                revision=format_revision(result.revision),
                known=format_revision(known_revision),
            )
            return
        self._must_read_all = False
        self.was_read.set()
        self._detect_outage()
        if known_revision is not None:
            self._detect_restore(result.revision)
        self._log_unusable_rows(result, is_full)
        self.current_as_of = max(self.current_as_of, requested_at)
        now, keeps_removed = self._clock.now(), self.keeps_removed()
        if is_full:
            upstreams = self._reconcile(result.upstreams)
            log_full_list(self._log, self._directory, result.revision, upstreams)
            self._directory.replace_all(result.revision, upstreams, now, keeps_removed)
        else:
            change = ListChange(result.revision, result.upstreams, result.removed)
            log_list_change(self._log, self._directory, change)
            self._directory.apply(change, now, keeps_removed)
        if is_full or result.upstreams or result.removed:
            self._on_change()
