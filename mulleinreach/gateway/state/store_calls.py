"""Counts a node's calls to the store, and throttles them during an outage of the store.

Explanation
===========

Every call is charged, refused ones included, and an outage affects all nodes at once. So while
the store doesn't answer, a node sends one call at a time as a probe. Any answer ends the
throttling of all its calls.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import Counter
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.ports import Unavailable

# One line a node in this time stays readable beside its decisions.
CALLS_LOG_INTERVAL_S = 10.0
# No other call is sent during a probe. Exceeds the timeout of a call, which is 1 s.
MAX_PROBE_S = 1.2
# Mean pause of the node that reads for all; its lease renewals aren't throttled.
READER_PAUSE_S = 1.0
# Mean pauses of a node without a coordinator, which has no other source of updates.
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 0.7
# Total rate of all followers. The first one that gets an answer replaces the coordinator.
MAX_PROBES_PER_S = 3.0
MIN_FOLLOWER_PAUSE_S = 0.4
# In a large deployment, each node still probes every few seconds.
MAX_FOLLOWER_PAUSE_S = 3.0
# The minimum avoids a busy loop on a remainder of a pause left by rounding.
MIN_SLEEP_S = 0.001
MAX_SLEEP_S = 0.2
# Relative jitter, so that nodes don't probe in step.
PAUSE_JITTER = 0.5


class StoreRole(enum.Enum):
    """The role of a node, which decides how often it probes the store."""

    READER = enum.auto()
    FOLLOWER = enum.auto()
    NO_COORDINATOR = enum.auto()


def pause_s(role: StoreRole, nodes: int, failures: int) -> float:
    """Return the mean pause in seconds after a call that failed.

    Parameters
    ==========

    nodes : the number of nodes.
    failures : how many calls in a row had no answer; at least 1.

    Examples
    ========

    >>> [pause_s(StoreRole.NO_COORDINATOR, 9, failures) for failures in (1, 2, 3)]
    [0.3, 0.6, 0.7]
    >>> pause_s(StoreRole.FOLLOWER, 200, 1)
    3.0
    """
    if role is StoreRole.READER:
        return READER_PAUSE_S
    if role is StoreRole.FOLLOWER:
        return min(max(MIN_FOLLOWER_PAUSE_S, nodes / MAX_PROBES_PER_S), MAX_FOLLOWER_PAUSE_S)
    return min(MIN_PAUSE_S * 2 ** min(failures - 1, 8), MAX_PAUSE_S)


class StoreCalls:
    """Counts and throttles the calls of one node.

    Parameters
    ==========

    mean_pause_s : returns the mean pause for a number of failures in a row.

    Examples
    ========

    >>> log = EventLog("a")
    >>> calls = StoreCalls(GatewayMetrics(), log, Clock(), random.Random(1), lambda failures: 1.0)
    >>> calls.count("lease_read", None)
    >>> calls.take_counts()
    {'lease_read.NoneType': 1}
    >>> calls.take_counts()
    {}
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        log: EventLog,
        clock: Clock,
        rng: random.Random,
        mean_pause_s: Callable[[int], float],
    ):
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._rng = rng
        self._mean_pause_s = mean_pause_s
        self._counts: Counter[str] = Counter()
        self._failures = 0
        self._failed_at = float("-inf")
        self._jitter = 1.0
        self._probed_at = float("-inf")
        self._answered = asyncio.Event()

    async def admit(self) -> None:
        """Wait until a call may be sent."""
        while self._failures and (remaining_s := self._remaining_s()) > 0:
            # The pause is recomputed: it becomes shorter if the coordinator is lost.
            sleep_s = min(max(remaining_s, MIN_SLEEP_S), MAX_SLEEP_S)
            try:
                async with asyncio.timeout(sleep_s):
                    await self._answered.wait()
            except TimeoutError:
                continue
        if self._failures:
            self._probed_at = self._clock.now()

    def _remaining_s(self) -> float:
        """Return the remaining wait before the next call during an outage."""
        pause_s = self._jitter * self._mean_pause_s(self._failures)
        next_at = max(self._failed_at + pause_s, self._probed_at + MAX_PROBE_S)
        return next_at - self._clock.now()

    def count(self, call: str, result: object) -> None:
        """Record a call by its name and the type of its result."""
        self._metrics.count_store_call(call, result)
        self._counts[f"{call}.{type(result).__name__}"] += 1
        if isinstance(result, Unavailable):
            self._failures += 1
            self._jitter = self._rng.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
            self._failed_at = self._clock.now()
            self._probed_at = float("-inf")
            self._answered.clear()
        else:
            self._failures = 0
            self._answered.set()

    def take_counts(self) -> dict[str, int]:
        """Return the counts since the previous call of this method, and reset them."""
        counts, self._counts = self._counts, Counter()
        return dict(sorted(counts.items()))

    async def log_counts(self) -> None:
        """Log the counts of each interval that had calls, until cancelled."""
        while True:
            await asyncio.sleep(CALLS_LOG_INTERVAL_S)
            counts = self.take_counts()
            if counts:
                self._log.event("store_calls", **counts)
