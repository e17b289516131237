"""Which requests end the upstreams that run them, as all nodes together have seen it."""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.content import format_digest
from mulleinreach.gateway.known.upstream_ends import (
    MAX_TRACKED_ENDS,
    OBSERVATION_RETENTION_S,
    ObservedRun,
    RunOutcome,
    UpstreamEnds,
)
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.upstream import Upstream

# Two ends right after a request had begun aren't chance: of some 200 requests that were cut at 13
# recorded ends, two besides the culprits had begun and been given nothing, each of them once.
MIN_ENDS_AFTER_BEGIN = 2
# Where more requests than that had begun at an upstream that ended, its engine answers before it
# begins, and the beginning tells nothing. At most two had at recorded ends.
MAX_BEGUN_REQUESTS = 3
# Where it doesn't show whether a request had begun, each neighbour looks like the culprit. Sound
# ones are sent twice in a try; their callers ask once more.
MIN_ENDS_BEFORE_OUTPUT = 3
# A stream that had events has shown that its upstream outlives its beginning, and most that lose
# several upstreams are neighbours of a culprit. One that has lost as many as a try may reach has
# nothing to lose.
MIN_ENDS_ANY_OUTCOME = 4
# What ends upstreams today still does in an hour, unless somebody has mended the engine.
HOLD_S = 3600.0
# A lost hall ends the replicas of some hundred requests; older sightings give way to newer ones.
MAX_TRACKED_CONTENTS = 256
# Four ends are enough to judge by; a sound request that many ask for is run at many upstreams.
MAX_RUNS_PER_CONTENT = 32
# As many as the lease's row holds beside the rest (1 kB).
MAX_HELD_CONTENTS = 64
# Sightings that are told again are known by their ids; a run that was served has one, too.
MAX_OBSERVATION_IDS = 2 * MAX_TRACKED_ENDS
# A node tells each sighting in the reports of so many seconds, ten and more: some may be lost.
REPORT_WINDOW_S = 1.0


@dataclass(frozen=True)
class RunObservation:
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


class CrashTracker:
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
        # The content that was seen last stands last.
        self._seen: dict[int, list[ObservedRun]] = {}
        self._ends = UpstreamEnds(clock)
        self._own: deque[ObservedRun] = deque(maxlen=MAX_TRACKED_CONTENTS)
        self._known_ids: dict[int, None] = {}
        self._held_until: dict[int, float] = {}

    def is_held(self, content: int) -> bool:
        """Whether a request must not be sent any more."""
        return self._held_until.get(content, 0.0) > self._clock.now()

    def held(self) -> tuple[HeldContent, ...]:
        """Return the contents that are held, and for how much longer."""
        now = self._clock.now()
        return tuple(
            HeldContent(content, until - now)
            for content, until in self._held_until.items()
            if until > now
        )

    def merge_held(self, contents: Iterable[HeldContent], as_of: float | None = None) -> None:
        """Take the contents that another node, or the coordinator's row, tells as held.

        Parameters
        ==========

        as_of : the moment from which their times count, now if it is left out. A moment before
            they were told makes them end earlier, never later than where they were decided.
        """
        told_at = self._clock.now() if as_of is None else as_of
        for held in contents:
            until = told_at + min(held.remaining_s, HOLD_S)
            if self.is_held(held.content):
                self._held_until[held.content] = max(until, self._held_until[held.content])
            elif until > self._clock.now():
                self._hold(held.content, until, is_told=True)

    def note_end(self, content: int, upstream: Upstream, outcome: RunOutcome) -> None:
        """Note that an upstream's process ended while it had a request."""
        seen_id, now = self._rng.getrandbits(64), self._clock.now()
        seen = ObservedRun(seen_id, content, upstream.id, upstream.hall, outcome, now)
        self._own.append(seen)
        self._add(seen)

    def note_served(self, content: int, upstream: Upstream) -> None:
        """Note that a request was served, which matters if upstreams ended under it before."""
        known = self._seen.get(content)
        if known and known[-1].outcome is not RunOutcome.SERVED:
            self.note_end(content, upstream, RunOutcome.SERVED)

    def take(self, sightings: Iterable[RunObservation]) -> None:
        """Take what another node saw, and may have told before."""
        now = self._clock.now()
        for observation in sightings:
            if observation.id in self._known_ids:
                continue
            at = now - observation.ago_s
            self._add(
                ObservedRun(
                    observation.id,
                    observation.content,
                    observation.upstream_id,
                    observation.hall,
                    observation.outcome,
                    at,
                )
            )

    def own_observations(self, includes_old: bool) -> list[RunObservation]:
        """Return what this node saw itself, lately or ever."""
        now = self._clock.now()
        oldest = now - (OBSERVATION_RETENTION_S if includes_old else REPORT_WINDOW_S)
        observation = itertools.takewhile(lambda seen: seen.at >= oldest, reversed(self._own))
        return [
            RunObservation(s.id, s.content, s.upstream_id, s.hall, s.outcome, now - s.at)
            for s in reversed(list(observation))
        ]

    def _add(self, seen: ObservedRun) -> None:
        self._known_ids[seen.id] = None
        if len(self._known_ids) > MAX_OBSERVATION_IDS:
            del self._known_ids[next(iter(self._known_ids))]
        oldest = self._clock.now() - OBSERVATION_RETENTION_S
        known = [other for other in self._seen.pop(seen.content, ()) if other.at >= oldest]
        self._seen[seen.content] = runs = [*known, seen][-MAX_RUNS_PER_CONTENT:]
        if len(self._seen) > MAX_TRACKED_CONTENTS:
            del self._seen[next(iter(self._seen))]
        if seen.outcome is RunOutcome.SERVED:
            return
        self._ends.add(seen)
        # Most requests at an upstream that ends have lost no other one.
        if len(runs) >= MIN_ENDS_AFTER_BEGIN:
            self._hold_if_culprit(seen.content)

    def _hold_if_culprit(self, content: int) -> None:
        """Hold a request if upstreams end under it again and again."""
        known = self._seen[content]
        served_at = max(
            (seen.at for seen in known if seen.outcome is RunOutcome.SERVED),
            default=float("-inf"),
        )
        ends = [seen for seen in known if seen.at > served_at]
        begun = self._count_independent([seen for seen in ends if self._had_begun(seen)])
        early = [seen for seen in ends if seen.outcome is not RunOutcome.ENDED_GIVING]
        counts = (begun, self._count_independent(early), self._count_independent(ends))
        limits = (MIN_ENDS_AFTER_BEGIN, MIN_ENDS_BEFORE_OUTPUT, MIN_ENDS_ANY_OUTCOME)
        is_culprit = any(count >= limit for count, limit in zip(counts, limits, strict=True))
        if is_culprit and not self.is_held(content):
            until = self._clock.now() + HOLD_S
            self._hold(content, until, is_told=False, begun=begun, ends=counts[-1])

    def _had_begun(self, end: ObservedRun) -> bool:
        """Whether an upstream ended after it had begun a request, as few others there."""
        if end.outcome is not RunOutcome.ENDED_BEGUN:
            return False
        return self._ends.count_begun(end, MAX_BEGUN_REQUESTS + 1) <= MAX_BEGUN_REQUESTS

    def _count_independent(self, ends: list[ObservedRun]) -> int:
        """Return how many ends under one request a single failure doesn't explain."""
        counted: list[ObservedRun] = []
        explained = {end.upstream_id for end in ends}
        for end in sorted(ends, key=lambda seen: seen.at):
            together = [other for other in counted if other.is_simultaneous_with(end)]
            is_counted = any(other.upstream_id == end.upstream_id for other in together)
            is_in_hall = any(other.hall == end.hall for other in together)
            if not is_counted and not (is_in_hall and self._ends.is_hall_failing(end, explained)):
                counted.append(end)
        return len(counted)

    def _hold(self, content: int, until: float, **reasons: object) -> None:
        self._held_until.pop(content, None)
        self._held_until[content] = until
        if len(self._held_until) > MAX_HELD_CONTENTS:
            del self._held_until[next(iter(self._held_until))]
        self._log.event("content_held", content=format_digest(content), **reasons)
        self._on_held(content)


def held_contents(contents: Iterable[int], times_s: Iterable[float]) -> tuple[HeldContent, ...]:
    """Return held requests from their digests and times; earlier releases don't tell the times.

    Examples
    ========

    >>> held_contents([7, 8], [60.0])
    (HeldContent(content=7, remaining_s=60.0), HeldContent(content=8, remaining_s=3600.0))
    """
    times = itertools.chain(times_s, itertools.repeat(HOLD_S))
    return tuple(HeldContent(content, s) for content, s in zip(contents, times, strict=False))
