"""Requests that were lost in crashes of upstreams, as evidence for a prompt part they share."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from mulleinreach.gateway.state.upstream_ends import (
    SAME_FAILURE_WINDOW_S,
    ObservedRun,
    RunOutcome,
)

# Fewer crashes under different requests say nothing of what the requests share.
MIN_CRASHES = 3
# Where requests are repeated, two different ones suffice if they were lost in so many crashes.
MIN_REPEATED_CRASHES = 5
MIN_REPEATED_REQUESTS = 2
# Upstreams that end within this time count as one crash: they may have lost power together.
SAME_CRASH_WINDOW_S = 0.03


@dataclass(eq=False)
class Crash:
    """Upstreams that ended at one moment, and the requests that they lost."""

    at: float
    upstream_ids: set[str] = field(default_factory=set)
    lost: list[ObservedRun] = field(default_factory=list)
    # The part that is held for it; then it is evidence against nothing else.
    explained_by: int | None = None

    def includes(self, end: ObservedRun) -> bool:
        """Whether an upstream's end belongs to this crash."""
        distance_s = abs(end.at - self.at)
        if distance_s < SAME_CRASH_WINDOW_S:
            return True
        return distance_s < SAME_FAILURE_WINDOW_S and end.upstream_id in self.upstream_ids

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


@dataclass(slots=True, eq=False)
class LostRun:
    """A request with a part that was lost in a crash.

    Parameters
    ==========

    depth : the place of the part in the prompt, from 0.
    """

    crash: Crash
    run: ObservedRun
    depth: int


def has_enough_crashes(lost_runs: list[LostRun]) -> bool:
    """Whether requests that share a part were lost often enough to say something of it."""
    requests = len(select_witnesses(lost_runs))
    if requests >= MIN_CRASHES:
        return True
    crashes = len({lost.crash for lost in lost_runs})
    return requests >= MIN_REPEATED_REQUESTS and crashes >= MIN_REPEATED_CRASHES


def select_witnesses(lost_runs: Iterable[LostRun]) -> list[LostRun]:
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


def share_of_lost(lost_runs: list[LostRun]) -> float:
    """Return the share of a part's requests in all that its crashes lost.

    Below 1, since a few lost requests don't show that all requests have the part.
    """
    lost = sum(len(crash.lost) for crash in {lost.crash for lost in lost_runs})
    return len(lost_runs) / (lost + 1)


def innocence_chance(
    witnesses: list[LostRun], share: float, crashes: int, others_served: int
) -> float:
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
