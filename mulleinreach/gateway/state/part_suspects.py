"""Finds the prompt part that crashes the upstreams which begin to write on it.

Explanation
===========

A crash loses all requests in flight at its upstream, so parts that many requests share are in
most crashes. Two observations tell the part at fault from them:

- Its requests had just begun. In crash after crash one of them is among the youngest, although
  few of all lost requests have the part.
- It is never served. Requests without it are served, and none with it.

Both are expressed as the probability of the observations if the part were innocent: if its
requests were lost, and served, as often as their share in all lost requests makes likely. The
first works in an outage, when nothing is served; the second where replicas run few requests.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from mulleinreach.common import Clock
from mulleinreach.gateway.state.lost_runs import (
    MIN_CRASHES,
    Crash,
    LostRun,
    has_enough_crashes,
    innocence_chance,
    select_witnesses,
    share_of_lost,
)
from mulleinreach.gateway.state.upstream_ends import OBSERVATION_RETENTION_S, ObservedRun

# Largest probability of what was observed of a part that is held, if it were innocent. A part
# that was served until its first crash is more rarely at fault.
MAX_CHANCE_OF_KNOWN = 0.005
MAX_CHANCE_OF_NEW = 0.03
# Requests served before the crashes that count as evidence against a part which none of them
# had; not more, since parts may come into use just then.
MAX_SERVED_BEFORE = 20
# Time for other nodes to report what they lost in a crash.
LOSS_REPORT_DELAY_S = 0.25
# Time for other nodes to learn of a suspect, and to report that they served it.
SERVED_REPORT_DELAY_S = 0.4
MAX_TRACKED_PARTS = 256
# Parts that this node has served, the least recent are forgotten first.
MAX_SERVED_PARTS = 4096
MAX_CRASHES_PER_PART = 64
# More than a host runs; a lost hall is one crash of many hosts.
MAX_LOST_PER_CRASH = 512
# Covers the crashes of several minutes.
MAX_CRASHES = 128
# Published to all nodes while crashes go on.
MAX_SUSPECTS = 32


@dataclass(slots=True, eq=False)
class _PartRecord:
    """The crashes that lost requests with a part, and what is known of it since.

    Parameters
    ==========

    lost_at, served_at : when a request with it was last lost, and last served after a loss.
    is_known : whether any node has served requests with it, at any time.
    suspected_at : when it had been lost in enough crashes.
    served_count : how many requests had been served when all nodes knew of the suspicion.
    """

    crashes: list[Crash] = field(default_factory=list)
    lost_at: float = float("-inf")
    served_at: float = float("-inf")
    is_known: bool = False
    suspected_at: float | None = None
    served_count: int | None = None

    def lost_runs(self, part: int, until: float = float("inf")) -> list[LostRun]:
        """Return the requests lost in unexplained crashes since the part was last served."""
        return [
            LostRun(crash, run, run.parts.index(part))
            for crash in self.crashes
            if crash.explained_by is None and crash.at <= until
            for run in crash.lost
            if run.at > self.served_at and part in run.parts
        ]


def _is_suspect(part: int, record: _PartRecord) -> bool:
    """Whether different requests with a part were lost in enough unexplained crashes."""
    if len(record.crashes) < MIN_CRASHES:
        return False
    return has_enough_crashes(record.lost_runs(part))


@dataclass(frozen=True)
class Evidence:
    """What was observed of a part.

    Parameters
    ==========

    crashes : in how many crashes different requests with it were lost, of how many that happened
        meanwhile.
    is_enough : whether it was lost often enough.
    others_served : how many requests without it were served since, or before, too, if none
        with it ever was.
    chance : the probability of all this if the part is innocent.
    is_known : whether requests with it were served before.
    """

    part: int
    crashes: int
    of_crashes: int
    others_served: int
    chance: float
    depth: int
    is_known: bool
    is_enough: bool

    @property
    def is_proof(self) -> bool:
        """Whether the part is at fault."""
        max_chance = MAX_CHANCE_OF_KNOWN if self.is_known else MAX_CHANCE_OF_NEW
        return self.is_enough and self.chance <= max_chance


class PartSuspects:
    """Prompt parts of requests that were lost in crashes of upstreams."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # Ordered by the latest loss, the most recent part last.
        self._records: dict[int, _PartRecord] = {}
        self._suspects: list[int] = []
        self._served_parts: dict[int, None] = {}
        self._has_changed = False
        self._crashes: deque[Crash] = deque(maxlen=MAX_CRASHES)
        self._served_count = 0

    def note_end(self, end: ObservedRun) -> None:
        """Record a request that was lost when its upstream ended."""
        self._has_changed = True
        crash = self._crash_of(end)
        if len(crash.lost) < MAX_LOST_PER_CRASH:
            crash.lost.append(end)
        for part in end.parts:
            record = self._records.get(part)
            if record is None or not record.crashes or record.crashes[-1] is not crash:
                record = self._move_to_end(part)
                record.crashes.append(crash)
                del record.crashes[:-MAX_CRASHES_PER_PART]
            record.lost_at = max(record.lost_at, end.at)
        while len(self._records) > MAX_TRACKED_PARTS:
            del self._records[next(iter(self._records))]

    def _move_to_end(self, part: int) -> _PartRecord:
        """Return the record of a part that is lost now, a new one if there is none."""
        record = self._records.pop(part, None) or _PartRecord()
        self._records[part] = record
        return record

    def _crash_of(self, end: ObservedRun) -> Crash:
        """Return the crash that an end belongs to."""
        crash = self._find_crash(end)
        if crash is None:
            crash = Crash(end.at)
            self._crashes.append(crash)
        crash.upstream_ids.add(end.upstream_id)
        return crash

    def _find_crash(self, end: ObservedRun) -> Crash | None:
        for crash in reversed(self._crashes):
            if crash.includes(end):
                return crash
        return None

    def note_served(self, parts: Iterable[int], at: float) -> None:
        """Record that requests with these parts were served."""
        for part in parts:
            record = self._records.get(part)
            if record is not None:
                record.served_at = max(record.served_at, at)
                self._has_changed = True

    def note_own_served(self, parts: Iterable[int]) -> None:
        """Remember the parts of a request that this node served."""
        for part in parts:
            self._served_parts.pop(part, None)
            self._served_parts[part] = None
        while len(self._served_parts) > MAX_SERVED_PARTS:
            del self._served_parts[next(iter(self._served_parts))]

    def served_among(self, parts: Iterable[int]) -> tuple[int, ...]:
        """Return those of some parts that this node has served."""
        return tuple(part for part in parts if part in self._served_parts)

    def note_known(self, parts: Iterable[int]) -> None:
        """Record that another node served requests with these parts, at some time."""
        for part in parts:
            if part in self._records:
                self._records[part].is_known = True

    def count_served(self, count: int) -> None:
        """Record that some requests with prompt parts were served, whichever they are."""
        self._served_count += count

    def has_lost(self, part: int) -> bool:
        """Whether requests with a part were lost since it was last served."""
        record = self._records.get(part)
        return record is not None and record.lost_at > record.served_at

    def attribute_crashes(self, part: int) -> None:
        """Attribute the crashes of a part to it, since it is held; they count for no other part."""
        record = self._records.get(part)
        if record is None:
            return
        for crash in record.crashes:
            crash.explained_by = part
        self._has_changed = True

    def is_explained(self, end: ObservedRun) -> bool:
        """Whether the crash of an end is attributed to a part that is held."""
        crash = self._find_crash(end)
        return crash is not None and crash.explained_by is not None

    def suspects(self) -> tuple[int, ...]:
        """Return the parts of which every node should report that it served them."""
        self._update_suspects()
        return tuple(self._suspects)

    def _update_suspects(self) -> None:
        if not self._has_changed:
            return
        self._has_changed = False
        now = self._clock.now()
        self._suspects = []
        for part, record in self._records.items():
            oldest = now - OBSERVATION_RETENTION_S
            record.crashes = [crash for crash in record.crashes if crash.at >= oldest]
            if not _is_suspect(part, record):
                record.suspected_at = record.served_count = None
                continue
            if record.suspected_at is None:
                record.suspected_at = now
            self._suspects.append(part)
        del self._suspects[:-MAX_SUSPECTS]

    def _is_published(self, part: int) -> bool:
        """Whether all nodes have learned of a suspect, and have said what they served."""
        record = self._records[part]
        if self._clock.now() - record.suspected_at < SERVED_REPORT_DELAY_S:
            return False
        if record.served_count is None:
            record.served_count = self._served_count
        record.is_known |= part in self._served_parts
        return True

    def find_culprit(self) -> Evidence | None:
        """Return the evidence against the part at fault, the likeliest one if there are several."""
        self._update_suspects()
        evidence = [self._weigh(part) for part in self._suspects if self._is_published(part)]
        proven = [e for e in evidence if e.is_proof]
        if not proven:
            return None
        return min(proven, key=lambda evidence: (evidence.chance, -evidence.depth))

    def _weigh(self, part: int) -> Evidence:
        record = self._records[part]
        reported_until = self._clock.now() - LOSS_REPORT_DELAY_S
        lost_runs = record.lost_runs(part, reported_until)
        witnesses = select_witnesses(lost_runs)
        crashes = len(witnesses) + self._count_others(record, witnesses)
        served = self._served_count - record.served_count
        if not record.is_known:
            served += min(record.served_count, MAX_SERVED_BEFORE)
        chance = innocence_chance(witnesses, share_of_lost(lost_runs), crashes, served)
        depth = max((witness.depth for witness in witnesses), default=0)
        return Evidence(
            part,
            len(witnesses),
            crashes,
            served,
            chance,
            depth,
            record.is_known,
            has_enough_crashes(lost_runs),
        )

    def _count_others(self, record: _PartRecord, witnesses: list[LostRun]) -> int:
        """Return how many other crashes happened meanwhile that lost no request with the part."""
        times = [witness.crash.at for witness in witnesses]
        if not times:
            return 0
        affected = set(record.crashes)
        return sum(
            min(times) <= crash.at <= max(times)
            and crash.explained_by is None
            and crash not in affected
            for crash in self._crashes
        )
