"""Tracks the attempts in progress and aborts those that must not continue.

Explanation
===========

One periodic sweep over all attempts is cheaper than resetting a timer for each
chunk. It aborts an attempt if its upstream sends nothing for too long, its
replica is no longer whole, the request's deadline has passed, or the stream
must move because its replica's drain deadline is near.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.requests.call import AttemptOutcome, AttemptResult


@dataclass(eq=False)
class ActiveAttempt:
    """An attempt in progress; times in monotonic seconds."""

    request_id: str
    replica: str
    epoch: int
    deadline: float
    progress_at: float
    timeout: asyncio.Timeout
    has_begun: bool = False
    is_resumable: bool = False
    abort_result: AttemptResult | None = None

    def abort(self, result: AttemptResult) -> None:
        """Abort the attempt; a ``TimeoutError`` is raised in the task that runs it."""
        if self.abort_result is None:
            self.abort_result = result
            self.timeout.reschedule(asyncio.get_running_loop().time())


class ActiveAttempts:
    """The attempts in progress at this node."""

    def __init__(
        self,
        clock: Clock,
        is_whole: Callable[[str, int], bool],
        must_move: Callable[[str], bool],
        first_token_s: float,
        token_gap_s: float,
    ):
        self._clock = clock
        self.is_whole = is_whole
        self._must_move = must_move
        self._first_token_s = first_token_s
        self._token_gap_s = token_gap_s
        # A dict, since the iteration order of a set is not deterministic.
        self._attempts: dict[ActiveAttempt, None] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, attempt: ActiveAttempt) -> None:
        """Include an attempt in the sweeps."""
        self._attempts[attempt] = None

    def discard(self, attempt: ActiveAttempt) -> None:
        """Exclude an attempt from the sweeps."""
        self._attempts.pop(attempt, None)

    def sweep(self) -> None:
        """Abort the attempts that must not continue."""
        now = self._clock.now()
        for attempt in list(self._attempts):
            result = self._find_abort_result(attempt, now)
            if result is not None:
                attempt.abort(result)

    def _find_abort_result(self, attempt: ActiveAttempt, now: float) -> AttemptResult | None:
        if not self.is_whole(attempt.replica, attempt.epoch):
            return AttemptResult(AttemptOutcome.LOST, f"{attempt.replica} is no longer whole")
        if now > attempt.deadline:
            return AttemptResult(AttemptOutcome.FAILED, "the request's deadline has passed")
        silent_s = now - attempt.progress_at
        limit_s = self._token_gap_s if attempt.has_begun else self._first_token_s
        if silent_s > limit_s:
            return AttemptResult(
                AttemptOutcome.FAILED, f"{attempt.replica} was silent for {silent_s:.1f} s"
            )
        if attempt.is_resumable and self._must_move(attempt.replica):
            return AttemptResult(
                AttemptOutcome.MOVED, f"{attempt.replica} is draining, near its deadline"
            )
        return None
