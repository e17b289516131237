"""Which requests end the upstreams that run them, as all nodes together have seen it."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.content import format_digest
from mulleinreach.gateway.upstream import Upstream

# Two ends right after a request had begun aren't chance: of some 200 requests that were cut at 13
# recorded ends, two besides the culprits had begun and been given nothing, each of them once.
BEGUN_ENDS = 2
# Where more requests than that had begun at an upstream that ended, its engine answers before it
# begins, and the beginning tells nothing. At most two had at recorded ends.
MOST_BEGINNING = 3
# Where it doesn't show whether a request had begun, each neighbour looks like the culprit. Sound
# ones are sent twice in a try; their callers ask once more.
ENDS = 3
# A stream that had events has shown that its upstream outlives its beginning, and most that lose
# several upstreams are neighbours of a culprit. One that has lost as many as a try may reach has
# nothing to lose.
ENDS_OF_ANY_KIND = 4
# Where upstreams end together that a request doesn't explain, their hall may be failing: its ends
# there within so many seconds count as one. The nodes' sightings of a moment are together by then.
APART_S = 1.0
# A culprit that comes once in some minutes is found by its second visit.
MEMORY_S = 600.0
# What ends upstreams today still does in an hour, unless somebody has mended the engine.
HOLD_S = 3600.0
# A lost hall ends the replicas of some hundred requests; older sightings give way to newer ones.
MOST_CONTENTS = 256
# As many as the lease's row holds beside the rest (1 kB).
MOST_HELD = 64
# A node tells each sighting in the reports of so many seconds, ten and more: some may be lost.
TELL_S = 1.0


class RunOutcome(enum.IntEnum):
    """What became of a run at an upstream.

    ``ENDED``: the upstream's process ended; it may not have begun the request.
    ``ENDED_BEGUN``: it ended after it had begun the request and before it gave anything.
    ``SERVED``: the answer came whole.
    ``ENDED_GIVING``: it ended after it had given a part of the answer.
    """

    ENDED = 1
    ENDED_BEGUN = 2
    SERVED = 3
    ENDED_GIVING = 4


@dataclass(frozen=True)
class Sighting:
    """What a node saw of one run.

    Parameters
    ==========

    id : drawn by the node that saw it, so that a doubled report counts once.
    content : digest of the request.
    upstream_id, hall : where it ran.
    ago_s : how long ago it was seen, when this was written.
    """

    id: int
    content: int
    upstream_id: str
    hall: str
    outcome: RunOutcome
    ago_s: float


@dataclass(frozen=True)
class _Seen:
    id: int
    upstream_id: str
    hall: str
    outcome: RunOutcome
    at: float
    is_own: bool

    def is_about(self, other: _Seen) -> bool:
        """Whether both are of one moment."""
        return abs(self.at - other.at) < APART_S


class CrashBook:
    """The sightings that this node knows of, and the requests that are held back for them.

    Parameters
    ==========

    on_held : called with each content that is held from now on.
    """

    def __init__(
        self, clock: Clock, log: EventLog, rng: random.Random, on_held: Callable[[int], None]
    ):
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_held = on_held
        self._seen: dict[int, list[_Seen]] = {}
        self._held_until: dict[int, float] = {}

    def is_held(self, content: int) -> bool:
        """Whether a request must not be sent any more."""
        return self._held_until.get(content, 0.0) > self._clock.now()

    def held(self) -> tuple[int, ...]:
        """Return the contents that are held."""
        now = self._clock.now()
        return tuple(content for content, until in self._held_until.items() if until > now)

    def take_held(self, contents: Iterable[int]) -> None:
        """Take the contents that another node, or the coordinator's row, tells as held."""
        for content in contents:
            if not self.is_held(content):
                self._hold(content, is_told=True)

    def note_end(self, content: int, upstream: Upstream, outcome: RunOutcome) -> None:
        """Note that an upstream's process ended while it had a request."""
        self._note_own(content, upstream, outcome)

    def note_served(self, content: int, upstream: Upstream) -> None:
        """Note that a request was served, which matters if upstreams ended under it before."""
        known = self._seen.get(content)
        if known and known[-1].outcome is not RunOutcome.SERVED:
            self._note_own(content, upstream, RunOutcome.SERVED)

    def _note_own(self, content: int, upstream: Upstream, outcome: RunOutcome) -> None:
        now, sighting_id = self._clock.now(), self._rng.getrandbits(64)
        seen = _Seen(sighting_id, upstream.id, upstream.hall, outcome, now, is_own=True)
        self._add(content, seen)

    def take(self, sightings: Iterable[Sighting]) -> None:
        """Take what another node saw."""
        now = self._clock.now()
        for told in sightings:
            known = self._seen.get(told.content, ())
            if not any(seen.id == told.id for seen in known):
                at = now - told.ago_s
                seen = _Seen(told.id, told.upstream_id, told.hall, told.outcome, at, is_own=False)
                self._add(told.content, seen)

    def own_sightings(self, includes_old: bool) -> list[Sighting]:
        """Return what this node saw itself, lately or ever."""
        now = self._clock.now()
        oldest = now - (MEMORY_S if includes_old else TELL_S)
        return [
            Sighting(seen.id, content, seen.upstream_id, seen.hall, seen.outcome, now - seen.at)
            for content, known in self._seen.items()
            for seen in known
            if seen.is_own and seen.at >= oldest
        ]

    def _add(self, content: int, seen: _Seen) -> None:
        self._forget_old()
        # The content that was seen last stands last.
        self._seen[content] = [*self._seen.pop(content, ()), seen]
        if len(self._seen) > MOST_CONTENTS:
            del self._seen[next(iter(self._seen))]
        self._judge(content)

    def _forget_old(self) -> None:
        oldest = self._clock.now() - MEMORY_S
        self._seen = {
            content: kept
            for content, known in self._seen.items()
            if (kept := [seen for seen in known if seen.at >= oldest])
        }

    def _judge(self, content: int) -> None:
        """Hold a request if upstreams end under it again and again."""
        known = self._seen[content]
        served_at = max(
            (seen.at for seen in known if seen.outcome is RunOutcome.SERVED),
            default=float("-inf"),
        )
        ends = [seen for seen in known if seen.at > served_at]
        begun = self._count_apart([seen for seen in ends if self._had_begun(seen)])
        early = [seen for seen in ends if seen.outcome is not RunOutcome.ENDED_GIVING]
        counts = (begun, self._count_apart(early), self._count_apart(ends))
        limits = (BEGUN_ENDS, ENDS, ENDS_OF_ANY_KIND)
        is_culprit = any(count >= limit for count, limit in zip(counts, limits, strict=True))
        if is_culprit and not self.is_held(content):
            self._hold(content, is_told=False, begun=begun, ends=counts[-1])

    def _had_begun(self, end: _Seen) -> bool:
        """Whether an upstream ended after it had begun a request, as few others there."""
        if end.outcome is not RunOutcome.ENDED_BEGUN:
            return False
        beginning = sum(
            any(
                seen.outcome is RunOutcome.ENDED_BEGUN
                and seen.upstream_id == end.upstream_id
                and seen.is_about(end)
                for seen in known
            )
            for known in self._seen.values()
        )
        return beginning <= MOST_BEGINNING

    def _count_apart(self, ends: list[_Seen]) -> int:
        """Return how many ends under one request a single failure doesn't explain."""
        counted: list[_Seen] = []
        for end in sorted(ends, key=lambda seen: seen.at):
            together = [other for other in counted if other.is_about(end)]
            is_counted = any(other.upstream_id == end.upstream_id for other in together)
            is_in_hall = any(other.hall == end.hall for other in together)
            if not is_counted and not (is_in_hall and self._is_failing(end, ends)):
                counted.append(end)
        return len(counted)

    def _is_failing(self, end: _Seen, explained: list[_Seen]) -> bool:
        """Whether upstreams of the same hall ended at about that time without the request."""
        explained_ids = {seen.upstream_id for seen in explained}
        return any(
            seen.hall == end.hall and seen.is_about(end) and seen.upstream_id not in explained_ids
            for known in self._seen.values()
            for seen in known
            if seen.outcome is not RunOutcome.SERVED
        )

    def _hold(self, content: int, **reasons: object) -> None:
        self._held_until.pop(content, None)
        self._held_until[content] = self._clock.now() + HOLD_S
        if len(self._held_until) > MOST_HELD:
            del self._held_until[next(iter(self._held_until))]
        self._log.event("content_held", content=format_digest(content), **reasons)
        self._on_held(content)
