"""The attempts in progress, and what ends one from outside.

Explanation
===========

A single sweep over all attempts, a few times a second, costs less than a timer
for each chunk. It ends an attempt whose upstream is silent for too long, whose
replica is no longer whole, that is past its caller's deadline, or that must
move because its replica's drain is near its own deadline.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.requests.call import AttemptResult, End


@dataclass(eq=False)
class ActiveAttempt:
    """One attempt; times in monotonic seconds."""

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
        """End the attempt now; the task that runs it gets a ``TimeoutError``."""
        if self.abort_result is None:
            self.abort_result = result
            self.timeout.reschedule(asyncio.get_running_loop().time())


class ActiveAttempts:
    """All attempts of a node that are in progress."""

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
        # A dict keeps the order of arrival, so that a run can be repeated.
        self._attempts: dict[ActiveAttempt, None] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, attempt: ActiveAttempt) -> None:
        """Watch an attempt from now on."""
        self._attempts[attempt] = None

    def discard(self, attempt: ActiveAttempt) -> None:
        """Stop watching an attempt."""
        self._attempts.pop(attempt, None)

    def sweep(self) -> None:
        """End the attempts that have to end."""
        now = self._clock.now()
        for attempt in list(self._attempts):
            result = self._find_abort_result(attempt, now)
            if result is not None:
                attempt.abort(result)

    def _find_abort_result(self, attempt: ActiveAttempt, now: float) -> AttemptResult | None:
        if not self.is_whole(attempt.replica, attempt.epoch):
            return AttemptResult(End.LOST, f"{attempt.replica} is no longer whole")
        if now > attempt.deadline:
            return AttemptResult(End.FAILED, "the request's deadline passed")
        silent_s = now - attempt.progress_at
        limit_s = self._token_gap_s if attempt.has_begun else self._first_token_s
        if silent_s > limit_s:
            return AttemptResult(End.FAILED, f"{attempt.replica} was silent for {silent_s:.1f} s")
        if attempt.is_resumable and self._must_move(attempt.replica):
            return AttemptResult(End.MOVED, f"{attempt.replica} is draining, near its deadline")
        return None
