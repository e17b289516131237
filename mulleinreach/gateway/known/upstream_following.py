"""Follows the list of upstreams, and dates what is known of it.

Explanation
===========

Changes come from the store, or from the coordinator that reads it for all. Upstreams that
the list lost in an outage of the store are kept for a while, since those that live are back.

A store that was restored lists upstreams as they were when its copy was taken. What they wrote
since is written again, and upstreams that have gone meanwhile lapse once more; until then the
list adds to what is known, and contradicts none of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.reading import (
    CHECK_S,
    LONG_WAIT_S,
    TRIAL_WAIT_S,
    ReadingTurn,
    SourceState,
    wait_for_coordinator,
)
from mulleinreach.gateway.known.told_changes import tell_change, tell_whole_list
from mulleinreach.gateway.known.upstreams import ListChange, UpstreamDirectory
from mulleinreach.gateway.ports import HistoryLost, Unavailable, UpstreamSource, UpstreamsRead
from mulleinreach.gateway.revision import era_of, format_revision
from mulleinreach.gateway.upstream import Upstream, upstream_name

# A change of the list ends the wait for it, so that one that is so much older than a call
# which was answered would have been told. The store's answers take 4 ms.
CHANGE_TOLD_S = 0.1
# Changes that come together are read together. While a group is being formed or repaired,
# each of its steps waits for a host's row; at other times the bound on leaving upstreams
# (2 s and more) leaves room. With 0.04 s throughout, half of all calls of a day with 9 lost
# groups were reads of the list.
URGENT_BATCH_S = 0.04
BATCH_S = 0.25
# Rows lapse while the store is away, since their upstreams can't renew them. Those
# that live are back about two seconds after its return; what is still missing then
# is gone.
OUTAGE_S = 1.5
REINSTATED_S = 2.2
# By then an upstream that has gone, and that a restored store lists again, has missed three
# heartbeats and is off the list; one heartbeat is for the way.
DOUBTED_HEARTBEATS = 4
# How long a coordinator's word holds that it keeps removed upstreams: until its next reports
# (0.2 s each) have come, one of them late.
TOLD_TO_KEEP_S = 0.5
NEVER = float("-inf")


class UpstreamFollower:
    """Keeps an :class:`UpstreamDirectory` up to date.

    Parameters
    ==========

    reads_always : whether this node reads for the others.
    on_change : called after each answer that changed the list.
    is_urgent : whether somebody waits for a change.
    turn : when a node reads for itself.
    heartbeat_s : how often upstreams write their rows.
    """

    def __init__(
        self,
        source: UpstreamSource,
        directory: UpstreamDirectory,
        clock: Clock,
        log: EventLog,
        reads_always: Callable[[], bool],
        on_change: Callable[[], None],
        is_urgent: Callable[[], bool],
        turn: ReadingTurn,
        heartbeat_s: float,
    ):
        self._source = source
        self._directory = directory
        self._clock = clock
        self._log = log
        self._state = SourceState("upstream_list", log, reads_always)
        self._reads_always = reads_always
        self._on_change = on_change
        self._is_urgent = is_urgent
        self._turn = turn
        self._unusable: dict[str, str] = {}
        self._waiting_since: float | None = None
        self._must_read_all = True
        self._keeps_removed_until = NEVER
        self._failed_at = NEVER
        self._doubt_s = DOUBTED_HEARTBEATS * heartbeat_s
        self._doubted_until = NEVER
        # Whether this node has read a list that it doubts, and has to read it again.
        self._has_doubted = False
        self.was_read = asyncio.Event()
        self.heard_at = NEVER

    def list_age_s(self) -> float:
        """Return the age of what the list shows."""
        return self._clock.now() - self.heard_at

    def take_whole(self, whole: ListChange, heard_at: float) -> None:
        """Take the coordinator's whole list, unless this node has one of its own."""
        if self._directory.revision is not None:
            return
        tell_whole_list(self._log, self._directory, whole.revision, whole.upstreams)
        self._directory.replace_all(whole.revision, whole.upstreams, self._clock.now())
        self._must_read_all = False
        self.was_read.set()
        self.heard_at = max(self.heard_at, heard_at)
        self._on_change()

    def take_passed(self, changes: list[ListChange], revision: int, heard_at: float) -> None:
        """Take the coordinator's changes of the list, and its evidence of their age."""
        own = self._directory.revision
        if own is None:
            return
        news = [change for change in changes if change.revision > own]
        self._look_for_outage()
        self._look_for_restore(revision)
        for change in news:
            tell_change(self._log, self._directory, change)
            self._directory.apply(change, self._clock.now(), self.keeps_removed())
        if revision > self._directory.revision:
            self._directory.revision = revision
        self.heard_at = max(self.heard_at, heard_at)
        if news:
            self._on_change()

    async def follow(self) -> None:
        """Read for ever, as far as changes aren't passed on."""
        await wait_for_coordinator(self.was_read, self._turn, self._reads_always)
        while True:
            self._drop_kept()
            if self._must_read():
                if await self.read_once():
                    await self._batch()
            else:
                await asyncio.sleep(CHECK_S)

    async def _batch(self) -> None:
        """Let changes come together, as long as nobody waits for one."""
        until = self._clock.now() + BATCH_S
        await asyncio.sleep(URGENT_BATCH_S)
        while not self._is_urgent() and self._clock.now() < until:
            await asyncio.sleep(URGENT_BATCH_S)

    def _must_read(self) -> bool:
        if self._reads_always() or self._is_doubt_over():
            return True
        return self._turn.is_due(self.list_age_s())

    def _is_doubt_over(self) -> bool:
        """Whether a list that was doubted has to be read once more."""
        return self._has_doubted and self._clock.now() >= self._doubted_until

    def confirm(self, asked_at: float) -> None:
        """Take in that the store answered another call that was sent at ``asked_at``.

        A wait that was under way then, and still is, would have told of a change.
        """
        if self._waiting_since is not None and self._waiting_since < asked_at:
            self.heard_at = max(self.heard_at, asked_at - CHANGE_TOLD_S)

    def note_store_failed(self) -> None:
        """Note that the store has just failed to answer another call."""
        self._failed_at = self._clock.now()

    def _look_for_outage(self) -> None:
        """Keep removed upstreams for a while if this is the first news after an outage.

        News that is merely late shows no outage: the store must have failed us since, or
        while the coordinator's last wait was still under way.
        """
        has_failed = self._failed_at > self.heard_at - LONG_WAIT_S > NEVER
        if has_failed and self.list_age_s() > OUTAGE_S:
            self._keeps_removed_until = self._clock.now() + REINSTATED_S

    def _wait_s(self) -> float:
        """Return how long to wait for a change: until the list has to be looked at anyway."""
        now, wait_s = self._clock.now(), self._state.wait_s()
        looks_at = [self._keeps_removed_until]
        if self._has_doubted:
            looks_at.append(self._doubted_until)
        return min([wait_s, *(max(at - now, TRIAL_WAIT_S) for at in looks_at if at > now)])

    def _look_for_restore(self, revision: int) -> None:
        """Doubt the list for a while if the store was restored since this node's revision."""
        own = self._directory.revision
        if era_of(revision) <= era_of(own):
            return
        now = self._clock.now()
        self._doubted_until = now + self._doubt_s
        self._keeps_removed_until = max(self._keeps_removed_until, now + REINSTATED_S)
        self._log.event(
            "list_restored", revision=format_revision(revision), known=format_revision(own)
        )

    def _reconcile(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return what to take of a whole list: all of it, unless it is in doubt."""
        self._has_doubted = self._clock.now() < self._doubted_until
        return self._directory.reconcile(upstreams) if self._has_doubted else upstreams

    def take_outage(self, keeps_removed: bool) -> None:
        """Take the coordinator's word that it keeps upstreams that are off the list."""
        if keeps_removed:
            until = self._clock.now() + TOLD_TO_KEEP_S
            self._keeps_removed_until = max(self._keeps_removed_until, until)

    def keeps_removed(self) -> bool:
        """Whether the store was away so lately that upstreams off the list may be back."""
        return self._clock.now() < self._keeps_removed_until

    def _drop_kept(self) -> None:
        if self.keeps_removed() or self.list_age_s() > OUTAGE_S:
            return
        dropped = self._directory.drop_kept()
        if dropped:
            self._log.event("lapsed_upstreams_dropped", count=dropped)
            self._on_change()

    async def read_once(self) -> bool:
        """Read, or wait for a change, and take in the answer; returns whether it told any."""
        if self._must_read_all or self._is_doubt_over():
            return await self.read_anew()
        asked_at, wait_s = self._clock.now(), self._wait_s()
        self._waiting_since = asked_at
        result = await self._source.wait(self._directory.revision, wait_s)
        self._waiting_since = None
        if isinstance(result, Unavailable):
            self._note_failure(result)
        elif isinstance(result, HistoryLost):
            self._must_read_all = True
        else:
            has_changes = bool(result.upstreams or result.removed)
            if not has_changes and self._clock.now() - asked_at >= wait_s:
                # The store would have answered sooner if anything had changed meanwhile.
                asked_at += wait_s
            self._take(result, False, asked_at)
            return has_changes
        return False

    async def read_anew(self) -> bool:
        """Read the whole list now, beside a wait that may be under way.

        Returns whether the store has answered.
        """
        asked_at = self._clock.now()
        result = await self._source.read()
        if isinstance(result, Unavailable):
            self._note_failure(result)
            return False
        self._take(result, is_full=True, asked_at=asked_at)
        return True

    @property
    def unusable_count(self) -> int:
        """How many rows name no upstream, as this node read them itself."""
        return len(self._unusable)

    def _tell_unusable(self, result: UpstreamsRead, is_full: bool) -> None:
        """Log rows that name no upstream, each when it comes or when its reason changes."""
        read = {row.name: row.why for row in result.unusable}
        for name, why in read.items():
            if self._unusable.get(name) != why:
                self._log.event("row_unusable", row=name, why=why)
        known = {} if is_full else self._unusable
        usable = {upstream_name(upstream.id) for upstream in result.upstreams} | set(result.removed)
        self._unusable = {n: why for n, why in known.items() if n not in usable} | read

    def _note_failure(self, failure: Unavailable) -> None:
        self._failed_at = self._clock.now()
        self._state.lost(failure.reason)

    def _take(self, result: UpstreamsRead, is_full: bool, asked_at: float) -> None:
        self._state.answered()
        own = self._directory.revision
        if own is not None and result.revision < own:
            # A wait that began before a newer read; the next one continues from that.
            self._log.event(
                "answer_put_aside",
                dependency="upstream_list",
                why="it is older",
                revision=format_revision(result.revision),
                known=format_revision(own),
            )
            return
        self._must_read_all = False
        self.was_read.set()
        self._look_for_outage()
        if own is not None:
            self._look_for_restore(result.revision)
        self._tell_unusable(result, is_full)
        self.heard_at = max(self.heard_at, asked_at)
        now, keeps_removed = self._clock.now(), self.keeps_removed()
        if is_full:
            upstreams = self._reconcile(result.upstreams)
            tell_whole_list(self._log, self._directory, result.revision, upstreams)
            self._directory.replace_all(result.revision, upstreams, now, keeps_removed)
        else:
            change = ListChange(result.revision, result.upstreams, result.removed)
            tell_change(self._log, self._directory, change)
            self._directory.apply(change, now, keeps_removed)
        if is_full or result.upstreams or result.removed:
            self._on_change()
