"""Finds the prompt part that crashes the upstreams which begin to write on it.

Explanation
===========

A crash loses all requests in flight at its upstream, so parts that many requests share are in
most crashes. Two observations tell the part at fault from them:

- Its requests had just begun. In crash after crash one of them is among the youngest, although
  few of all lost requests have the part.
- It is never served. Requests without it are served after its crashes, and none with it.

Both are expressed as the probability of the observations if the part were innocent: if its
requests were lost, and served, as often as their share in all lost requests makes likely. The
first works in an outage, when nothing is served; the second where replicas run few requests.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from mulleinreach.common import Clock
from mulleinreach.gateway.state.upstream_ends import (
    SAME_FAILURE_WINDOW_S,
    ObservedRun,
    RunOutcome,
)

# Fewer crashes under different requests say nothing of what the requests share.
MIN_CRASHES = 3
# Upstreams that end within this time count as one crash: they may have lost power together.
SAME_CRASH_WINDOW_S = 0.03
# Largest probability of what was observed of a part that is held, if it were innocent.
MAX_CHANCE = 0.01
# Time for other nodes to report what they lost in a crash.
LOSS_REPORT_DELAY_S = 0.25
# Time for other nodes to learn of a suspect, and to report that they served it.
SERVED_REPORT_DELAY_S = 0.4
MAX_TRACKED_PARTS = 256
MAX_ENDS_PER_PART = 64
# More than a host runs; a lost hall is one crash of many hosts.
MAX_LOST_PER_CRASH = 512
# Covers the crashes of several minutes.
MAX_CRASHES = 128
# Published to all nodes while crashes go on.
MAX_SUSPECTS = 32


@dataclass(eq=False)
class Crash:
    """Upstreams that ended at one moment, and the requests that they lost."""

    at: float
    upstream_ids: set[str] = field(default_factory=set)
    lost: list[ObservedRun] = field(default_factory=list)
    # The part that is held for it.
    explained_by: int | None = None

    def includes(self, end: ObservedRun) -> bool:
        """Whether an upstream's end belongs to this crash."""
        distance_s = abs(end.at - self.at)
        if end.upstream_id in self.upstream_ids:
            return distance_s < SAME_FAILURE_WINDOW_S
        return distance_s < SAME_CRASH_WINDOW_S

    def count_as_young(self, run: ObservedRun) -> int:
        """Return how many lost requests had begun to write as lately as a run, itself included."""
        if run.outcome is RunOutcome.ENDED:
            # It may have begun just then, unknown to its node.
            may_be_young = (RunOutcome.ENDED, RunOutcome.ENDED_BEGUN)
            return sum(other.outcome in may_be_young for other in self.lost)
        return sum(
            other.outcome is not RunOutcome.ENDED and other.gave_for_s <= run.gave_for_s
            for other in self.lost
        )


@dataclass(frozen=True)
class LostRun:
    """A request with a part that was lost in a crash.

    Parameters
    ==========

    depth : the place of the part in the prompt, from 0.
    """

    crash: Crash
    run: ObservedRun
    depth: int


@dataclass
class _PartRecord:
    """What is known of a part since it was last served."""

    lost: deque[LostRun] = field(default_factory=lambda: deque(maxlen=MAX_ENDS_PER_PART))
    served_at: float = float("-inf")
    # When it was first seen in enough crashes, and the count of served requests somewhat later.
    suspected_at: float | None = None
    served_count: int | None = None

    def forget_before(self, at: float) -> None:
        """Drop what was lost up to a moment."""
        self.served_at = max(self.served_at, at)
        kept = [lost for lost in self.lost if lost.run.at > self.served_at]
        self.lost.clear()
        self.lost.extend(kept)
        if len(_witnesses(self.unexplained())) < MIN_CRASHES:
            self.suspected_at = self.served_count = None

    def unexplained(self) -> list[LostRun]:
        """Return the lost runs in crashes for which no part is held."""
        return [lost for lost in self.lost if lost.crash.explained_by is None]


def _witnesses(lost_runs: Iterable[LostRun]) -> list[LostRun]:
    """Return one lost run for each crash, all of different requests.

    The youngest are preferred, since they say most.
    """
    chosen: dict[Crash, LostRun] = {}
    contents: set[int] = set()
    for lost in sorted(lost_runs, key=_youth):
        if lost.crash not in chosen and lost.run.content not in contents:
            chosen[lost.crash] = lost
            contents.add(lost.run.content)
    return list(chosen.values())


def _youth(lost: LostRun) -> tuple[bool, float, float]:
    """Return the sort key of a lost run by how lately it had begun to write."""
    run = lost.run
    return run.outcome is RunOutcome.ENDED, run.gave_for_s, run.at


@dataclass(frozen=True)
class Evidence:
    """What was observed of a part.

    Parameters
    ==========

    crashes : in how many crashes it was lost, of how many that happened meanwhile.
    others_served : how many requests without it were served since, and none with it.
    chance : the probability of all this if the part is innocent.
    """

    part: int
    crashes: int
    of_crashes: int
    others_served: int
    chance: float
    depth: int


class PartSuspects:
    """Prompt parts of requests that were lost in crashes of upstreams."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[int, _PartRecord] = {}
        self._crashes: deque[Crash] = deque(maxlen=MAX_CRASHES)
        self._served_count = 0

    def note_end(self, end: ObservedRun) -> None:
        """Record a request that was lost when its upstream ended."""
        crash = self._crash_of(end)
        if len(crash.lost) < MAX_LOST_PER_CRASH:
            crash.lost.append(end)
        for depth, part in enumerate(end.parts):
            record = self._records.pop(part, None) or _PartRecord()
            self._records[part] = record
            if end.at > record.served_at:
                record.lost.append(LostRun(crash, end, depth))
        while len(self._records) > MAX_TRACKED_PARTS:
            del self._records[next(iter(self._records))]

    def _crash_of(self, end: ObservedRun) -> Crash:
        """Return the crash that an end belongs to."""
        crash = next((c for c in reversed(self._crashes) if c.includes(end)), None)
        if crash is None:
            crash = Crash(end.at)
            self._crashes.append(crash)
        crash.upstream_ids.add(end.upstream_id)
        return crash

    def note_served(self, parts: Iterable[int], at: float) -> None:
        """Record that requests with these parts were served."""
        for part in parts:
            if part in self._records:
                self._records[part].forget_before(at)

    def count_served(self, count: int) -> None:
        """Record that some requests with prompt parts were served, whichever they are."""
        self._served_count += count

    def has_lost(self, part: int) -> bool:
        """Whether requests with a part were lost since it was last served."""
        record = self._records.get(part)
        return record is not None and bool(record.lost)

    def explain(self, end: ObservedRun, part: int) -> None:
        """Attribute the crash of an end to a part that is held."""
        self._crash_of(end).explained_by = part

    def suspects(self) -> tuple[int, ...]:
        """Return the parts of which every node should report that it served them."""
        return tuple(self._suspected()[-MAX_SUSPECTS:])

    def _suspected(self) -> list[int]:
        """Return the parts in enough unexplained crashes, those lost last at the end."""
        suspected = []
        for part, record in self._records.items():
            if len(record.lost) < MIN_CRASHES:
                continue
            if len(_witnesses(record.unexplained())) >= MIN_CRASHES:
                suspected.append(part)
                self._begin_watch(record)
        return suspected

    def _begin_watch(self, record: _PartRecord) -> None:
        now = self._clock.now()
        if record.suspected_at is None:
            record.suspected_at = now
        is_reported = now - record.suspected_at >= SERVED_REPORT_DELAY_S
        if record.served_count is None and is_reported:
            record.served_count = self._served_count

    def find_culprit(self) -> Evidence | None:
        """Return the evidence against the part at fault, the likeliest one if there are several.

        Its crashes are attributed to it and no longer count for other parts.
        """
        evidence = [self._weigh(part) for part in self._suspected()]
        proven = [e for e in evidence if e.crashes >= MIN_CRASHES and e.chance <= MAX_CHANCE]
        if not proven:
            return None
        culprit = min(proven, key=lambda evidence: (evidence.chance, -evidence.depth))
        for lost in self._records[culprit.part].lost:
            lost.crash.explained_by = culprit.part
        return culprit

    def _weigh(self, part: int) -> Evidence:
        record = self._records[part]
        reported_until = self._clock.now() - LOSS_REPORT_DELAY_S
        lost_runs = [lost for lost in record.unexplained() if lost.crash.at <= reported_until]
        witnesses = _witnesses(lost_runs)
        crashes = len(witnesses) + self._count_others(record, witnesses)
        served = self._served_count - (record.served_count or self._served_count)
        chance = _chance(witnesses, _share(lost_runs), crashes, served)
        depth = max((witness.depth for witness in witnesses), default=0)
        return Evidence(part, len(witnesses), crashes, served, chance, depth)

    def _count_others(self, record: _PartRecord, witnesses: list[LostRun]) -> int:
        """Return how many other crashes happened meanwhile that lost no request with the part."""
        times = [witness.crash.at for witness in witnesses]
        if not times:
            return 0
        affected = {lost.crash for lost in record.lost}
        return sum(
            min(times) <= crash.at <= max(times)
            and crash.explained_by is None
            and crash not in affected
            for crash in self._crashes
        )


def _share(lost_runs: list[LostRun]) -> float:
    """Return the share of a part's requests in all that its crashes lost.

    Below 1, since a few lost requests don't show that all requests have the part.
    """
    lost = sum(len(crash.lost) for crash in {lost.crash for lost in lost_runs})
    return len(lost_runs) / (lost + 1)


def _chance(witnesses: list[LostRun], share: float, crashes: int, others_served: int) -> float:
    """Return the probability of the observations of an innocent part.

    Explanation
    ===========

    Of the ``n`` lost requests as young as the witness, one has the part with the probability
    ``1 - (1 - share) ** n``. The crashes that have one can be chosen in several ways. A served
    request lacks the part with the probability ``1 - share``.
    """
    chance = math.comb(crashes, len(witnesses)) * (1 - share) ** others_served
    for lost in witnesses:
        chance *= 1 - (1 - share) ** lost.crash.count_as_young(lost.run)
    return min(1.0, chance)
