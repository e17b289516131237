"""Detects requests that crash the upstreams which run them, and holds them back.

Explanation
===========

Nodes report their observations to the coordinator, which combines those of all nodes and
publishes what is to be held. An end is the end of an upstream's process while it has a
request. A request is identified by the digest of its content, and by those of the parts of its
prompt: a part may crash upstreams in whichever request it is.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.state.content import format_digest
from mulleinreach.gateway.state.part_suspects import PartSuspects
from mulleinreach.gateway.state.upstream_ends import (
    MAX_TRACKED_ENDS,
    OBSERVATION_RETENTION_S,
    ObservedRun,
    RunOutcome,
    UpstreamEnds,
)
from mulleinreach.gateway.upstream import Upstream

# Ends after the request began and before any output, a state that other requests are rarely in.
MIN_ENDS_AFTER_BEGIN = 2
# If more requests had begun at an upstream that ended, its engine responds before it begins them,
# and the begun state doesn't show the culprit.
MAX_BEGUN_REQUESTS = 3
# Ends before any output, begun or not. Other requests in flight at the upstream look the same; a
# sound one is sent twice in one try, and its caller asks once more.
MIN_ENDS_BEFORE_OUTPUT = 3
# Ends of any kind. The limit is highest because a stream with output is rarely the culprit: most
# that lose several upstreams run beside one.
MIN_ENDS_ANY_OUTCOME = 4
# How long a content or part is held; a fix of the engine within this time is unlikely.
HOLD_S = 3600.0
# Holds the contents of a lost hall; beyond it those without recent observations are evicted.
MAX_TRACKED_CONTENTS = 256
# More than the ends that decide, for popular requests that run at many upstreams.
MAX_RUNS_PER_CONTENT = 32
# Fits into the lease's row, which is limited to 1 kB.
MAX_HELD_CONTENTS = 64
# Ids kept to discard duplicates, for ends and for served runs.
MAX_OBSERVATION_IDS = 2 * MAX_TRACKED_ENDS
# A node repeats an observation in all reports of this time, because reports may be lost.
REPORT_WINDOW_S = 1.0
# A node leaves the judgement of parts to a coordinator that it has heard of within this time.
MAX_COORDINATOR_SILENCE_S = 1.5
JUDGE_INTERVAL_S = 0.2
# Nodes that are replaced get new names; their counts are forgotten.
MAX_REPORTING_NODES = 1024


@dataclass(frozen=True)
class RunObservation:
    """A run that a node observed, as it reports it to other nodes.

    Parameters
    ==========

    id : a random number of the observing node, so that duplicate reports count once.
    content : the digest of the request.
    upstream_id, hall : the upstream that ran it, and its hall.
    ago_s : the age of the observation when the report was written.
    parts : digests of the prompt's shared parts; of a served run, those that were suspected.
    gave_for_s : for how long the run had sent parts of the response.
    """

    id: int
    content: int
    upstream_id: str
    hall: str
    outcome: RunOutcome
    ago_s: float
    parts: tuple[int, ...] = ()
    gave_for_s: float = 0.0


class CrashTracker:
    """Collects observations of runs, and holds back requests that repeatedly end upstreams.

    Parameters
    ==========

    on_held : called with the digest of each content or part when its hold begins.
    """

    def __init__(
        self, clock: Clock, log: EventLog, rng: random.Random, on_held: Callable[[int], None]
    ):
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_held = on_held
        # Ordered by the latest observation, the most recent content last.
        self._seen: dict[int, list[ObservedRun]] = {}
        self._ends = UpstreamEnds(clock)
        self._parts = PartSuspects(clock)
        # Suspected parts as the coordinator published them last.
        self._published_suspects: frozenset[int] = frozenset()
        self._coordinator_heard_at = float("-inf")
        self._judged_at = float("-inf")
        # Requests with prompt parts that this node has served, and those that others reported.
        self.served_count = 0
        self._reported_served: dict[str, int] = {}
        self._own: deque[ObservedRun] = deque(maxlen=MAX_TRACKED_CONTENTS)
        self._known_ids: dict[int, None] = {}
        self._held_until: dict[int, float] = {}

    def is_held(self, digest: int) -> bool:
        """Whether a content or part is held: no upstream must get a request with it."""
        return self._held_until.get(digest, 0.0) > self._clock.now()

    def held(self) -> tuple[HeldContent, ...]:
        """Return the held contents and parts with the remaining time of each hold."""
        self._judge_parts()
        now = self._clock.now()
        return tuple(
            HeldContent(content, until - now)
            for content, until in self._held_until.items()
            if until > now
        )

    def merge_held(self, contents: Iterable[HeldContent], as_of: float | None = None) -> None:
        """Merge the holds that another node, or the coordinator's row, reports.

        Parameters
        ==========

        as_of : the time from which the remaining times count, by default now. The time when the
            report was requested ensures that no hold ends later than at the reporting node.
        """
        dated_at = self._clock.now() if as_of is None else as_of
        for held in contents:
            until = dated_at + min(held.remaining_s, HOLD_S)
            if self.is_held(held.content):
                self._held_until[held.content] = max(until, self._held_until[held.content])
            elif until > self._clock.now():
                self._hold(held.content, until, is_told=True)

    def merge_suspects(self, suspects: Iterable[int]) -> None:
        """Record the suspected parts that another node publishes as the coordinator."""
        self._published_suspects = frozenset(suspects)

    def note_coordinator(self, asked_at: float) -> None:
        """Record that another node coordinates, which judges parts for all."""
        self._coordinator_heard_at = asked_at

    def suspects(self) -> tuple[int, ...]:
        """Return the parts of which nodes should report that they served them."""
        return self._parts.suspects()

    def known_suspects(self) -> tuple[int, ...]:
        """Return those of the published suspects that this node has served at some time."""
        return self._parts.served_among(self._published_suspects)

    def merge_known_suspects(self, parts: Iterable[int]) -> None:
        """Record that another node has served requests with these parts."""
        self._parts.note_known(parts)

    def merge_served_count(self, node: str, count: int) -> None:
        """Record how many requests another node has served since it started."""
        known = self._reported_served.pop(node, None)
        self._reported_served[node] = count
        if len(self._reported_served) > MAX_REPORTING_NODES:
            del self._reported_served[next(iter(self._reported_served))]
        if known is not None:
            self._parts.count_served(max(0, count - known))

    def note_end(
        self,
        content: int,
        upstream: Upstream,
        outcome: RunOutcome,
        parts: tuple[int, ...] = (),
        gave_for_s: float = 0.0,
    ) -> None:
        """Record that an upstream's process ended while it had a request.

        Parameters
        ==========

        parts : digests of the prompt's shared parts.
        gave_for_s : for how long the upstream had sent parts of the response.
        """
        self._observe(content, upstream, outcome, parts, gave_for_s)
        self._judge_parts()

    def note_served(self, content: int, upstream: Upstream, parts: tuple[int, ...] = ()) -> None:
        """Record that a request was served, if upstreams have ended under it or its parts."""
        if parts:
            self.served_count += 1
            self._parts.count_served(1)
            self._parts.note_own_served(parts)
        known = self._seen.get(content)
        is_suspect = bool(known) and known[-1].outcome is not RunOutcome.SERVED
        suspected = tuple(part for part in parts if self._is_suspected(part))
        if is_suspect or suspected:
            self._observe(content, upstream, RunOutcome.SERVED, suspected)
        self._judge_parts()

    def _is_suspected(self, part: int) -> bool:
        """Whether that a part was served says something, here or to the coordinator."""
        return part in self._published_suspects or self._parts.has_lost(part)

    def _observe(
        self,
        content: int,
        upstream: Upstream,
        outcome: RunOutcome,
        parts: tuple[int, ...],
        gave_for_s: float = 0.0,
    ) -> None:
        """Record an observation of this node, to be reported to the coordinator."""
        seen_id, now = self._rng.getrandbits(64), self._clock.now()
        seen = ObservedRun(
            seen_id, content, upstream.id, upstream.hall, outcome, now, parts, gave_for_s
        )
        self._own.append(seen)
        self._add(seen)

    def merge_observations(self, observations: Iterable[RunObservation]) -> None:
        """Merge the observations of another node, except those that are known."""
        now = self._clock.now()
        for observation in observations:
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
                    observation.parts,
                    observation.gave_for_s,
                )
            )

    def own_observations(self, includes_old: bool) -> list[RunObservation]:
        """Return this node's own observations, the recent ones or all that are retained."""
        now = self._clock.now()
        oldest = now - (OBSERVATION_RETENTION_S if includes_old else REPORT_WINDOW_S)
        recent = itertools.takewhile(lambda seen: seen.at >= oldest, reversed(self._own))
        return [_to_report(s, now) for s in reversed(list(recent))]

    def _add(self, seen: ObservedRun) -> None:
        self._known_ids[seen.id] = None
        if len(self._known_ids) > MAX_OBSERVATION_IDS:
            del self._known_ids[next(iter(self._known_ids))]
        if seen.outcome is RunOutcome.SERVED:
            self._parts.note_served(seen.parts, seen.at)
            if seen.content not in self._seen:
                return
        oldest = self._clock.now() - OBSERVATION_RETENTION_S
        known = [other for other in self._seen.pop(seen.content, ()) if other.at >= oldest]
        self._seen[seen.content] = runs = [*known, seen][-MAX_RUNS_PER_CONTENT:]
        if len(self._seen) > MAX_TRACKED_CONTENTS:
            del self._seen[next(iter(self._seen))]
        if seen.outcome is RunOutcome.SERVED:
            return
        self._ends.add(seen)
        self._add_to_parts(seen)
        # Skips the evaluation for most requests at a crashed upstream, which have a single run.
        if len(runs) >= MIN_ENDS_AFTER_BEGIN:
            self._hold_if_culprit(seen.content)

    def _add_to_parts(self, end: ObservedRun) -> None:
        self._parts.note_end(end)
        if not self._held_until:
            return
        for part in end.parts:
            if self.is_held(part):
                self._parts.attribute_crashes(part)

    def _judge_parts(self) -> None:
        """Hold parts that are proven to be at fault, unless a coordinator does it for all."""
        now = self._clock.now()
        is_led = now - self._coordinator_heard_at < MAX_COORDINATOR_SILENCE_S
        if is_led or now - self._judged_at < JUDGE_INTERVAL_S:
            return
        self._judged_at = now
        while (evidence := self._parts.find_culprit()) is not None:
            self._hold(
                evidence.part,
                now + HOLD_S,
                is_part=True,
                crashes=evidence.crashes,
                of_crashes=evidence.of_crashes,
                others_served=evidence.others_served,
                chance=f"{evidence.chance:.2g}",
            )

    def _hold_if_culprit(self, content: int) -> None:
        """Hold a request if enough upstreams ended while they had it since it was last served."""
        known = self._seen[content]
        served_at = max(
            (seen.at for seen in known if seen.outcome is RunOutcome.SERVED),
            default=float("-inf"),
        )
        ends = [seen for seen in known if seen.at > served_at]
        ends = [end for end in ends if not self._parts.is_explained(end)]
        begun = self._count_independent([seen for seen in ends if self._had_begun(seen)])
        early = [seen for seen in ends if seen.outcome is not RunOutcome.ENDED_GIVING]
        counts = (begun, self._count_independent(early), self._count_independent(ends))
        limits = (MIN_ENDS_AFTER_BEGIN, MIN_ENDS_BEFORE_OUTPUT, MIN_ENDS_ANY_OUTCOME)
        is_culprit = any(count >= limit for count, limit in zip(counts, limits, strict=True))
        if is_culprit and not self.is_held(content):
            until = self._clock.now() + HOLD_S
            self._hold(content, until, is_told=False, begun=begun, ends=counts[-1])

    def _had_begun(self, end: ObservedRun) -> bool:
        """Whether the request had begun at the upstream that ended, and few others there had."""
        if end.outcome is not RunOutcome.ENDED_BEGUN:
            return False
        return self._ends.count_begun(end, MAX_BEGUN_REQUESTS + 1) <= MAX_BEGUN_REQUESTS

    def _count_independent(self, ends: list[ObservedRun]) -> int:
        """Return the number of a request's ends, where ends by one failure count once."""
        counted: list[ObservedRun] = []
        explained = {end.upstream_id for end in ends}
        for end in sorted(ends, key=lambda seen: seen.at):
            together = [other for other in counted if other.is_simultaneous_with(end)]
            is_counted = any(other.upstream_id == end.upstream_id for other in together)
            shares_hall = any(other.hall == end.hall for other in together)
            if not is_counted and not (shares_hall and self._ends.is_hall_failing(end, explained)):
                counted.append(end)
        return len(counted)

    def _hold(self, digest: int, until: float, **reasons: object) -> None:
        self._held_until.pop(digest, None)
        self._held_until[digest] = until
        self._parts.attribute_crashes(digest)
        if len(self._held_until) > MAX_HELD_CONTENTS:
            del self._held_until[next(iter(self._held_until))]
        self._log.event("content_held", content=format_digest(digest), **reasons)
        self._on_held(digest)


def _to_report(run: ObservedRun, now: float) -> RunObservation:
    """Return an observed run with its age instead of its time."""
    return RunObservation(
        run.id,
        run.content,
        run.upstream_id,
        run.hall,
        run.outcome,
        now - run.at,
        run.parts,
        run.gave_for_s,
    )


def held_contents(contents: Iterable[int], times_s: Iterable[float]) -> tuple[HeldContent, ...]:
    """Return held contents from their digests and remaining times.

    Explanation
    ===========

    Earlier releases send no times; their holds last :data:`HOLD_S`.

    Examples
    ========

    >>> held_contents([7, 8], [60.0])
    (HeldContent(content=7, remaining_s=60.0), HeldContent(content=8, remaining_s=3600.0))
    """
    times = itertools.chain(times_s, itertools.repeat(HOLD_S))
    return tuple(HeldContent(content, s) for content, s in zip(contents, times, strict=False))
