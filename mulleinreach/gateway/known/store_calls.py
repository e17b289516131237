"""Counts a node's calls to the store, and spaces them while it gives no answers.

Explanation
===========

Each call has its price, refused ones included, and all nodes miss the store at once.
So while a node gets no answers, one call at a time finds out whether the store is back,
and whichever it is, its answer lets all others go on.
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

# One line a node in this time tells which calls it made, and stays readable beside its decisions.
CALLS_LOG_INTERVAL_S = 10.0
# No other call is tried while one is under way that may still show that the store is back:
# calls time out after a second.
MAX_PROBE_S = 1.2
# The node that reads for all renews its lease in the meantime, which isn't spaced here and
# lets its reads go on with its first answer.
READER_PAUSE_S = 1.0
# A node that has no coordinator serves from what it knows, or nothing: it asks soon at
# first. At the longest pause, a second of an outage costs a call and a half a node.
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 0.7
# Nodes that meet at a coordinator ask by turns, so many a second together: the first one
# that gets an answer replaces it, and the others hear of that. With this figure an outage
# costs 9 nodes at most twice a calm time's calls; with a pause of 0.4 to 1 s for each node,
# ten seconds of it cost 24 calls a node.
MAX_PROBES_PER_S = 3.0
MIN_FOLLOWER_PAUSE_S = 0.4
# However many they are, each finds out for itself within a few seconds.
MAX_FOLLOWER_PAUSE_S = 3.0
# A rest of a pause that rounding has left must not be waited for in vain.
MIN_SLEEP_S = 0.001
MAX_SLEEP_S = 0.2
# Pauses differ by this much either way, so that nodes don't ask in step.
PAUSE_JITTER = 0.5


class StoreRole(enum.Enum):
    """What a node needs the store for."""

    READER = enum.auto()
    FOLLOWER = enum.auto()
    NO_COORDINATOR = enum.auto()


def pause_s(role: StoreRole, nodes: int, failures: int) -> float:
    """Return the mean pause after a call without an answer.

    Parameters
    ==========

    nodes : how many nodes there are.
    failures : how many calls in a row had no answer; 1 at least.

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
    """The calls of one node.

    Parameters
    ==========

    mean_pause_s : returns the mean pause after so many failures in a row.

    Examples
    ========

    >>> log = EventLog("a")
    >>> calls = StoreCalls(GatewayMetrics(), log, Clock(), random.Random(1), lambda failures: 1.0)
    >>> calls.count("lease_read", None)
    >>> calls.take()
    {'lease_read.NoneType': 1}
    >>> calls.take()
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
        """Wait until a call may be made."""
        while self._failures and (remaining_s := self._remaining_s()) > 0:
            # The pause is worked out anew: it ends sooner once there is no coordinator.
            sleep_s = min(max(remaining_s, MIN_SLEEP_S), MAX_SLEEP_S)
            try:
                async with asyncio.timeout(sleep_s):
                    await self._answered.wait()
            except TimeoutError:
                continue
        if self._failures:
            self._probed_at = self._clock.now()

    def _remaining_s(self) -> float:
        """Return how long the next call has to wait while the store gives no answers."""
        pause_s = self._jitter * self._mean_pause_s(self._failures)
        next_at = max(self._failed_at + pause_s, self._probed_at + MAX_PROBE_S)
        return next_at - self._clock.now()

    def count(self, call: str, result: object) -> None:
        """Take in what came of a call, by its name and the type of its result."""
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

    def take(self) -> dict[str, int]:
        """Return the calls since this was asked last."""
        counts, self._counts = self._counts, Counter()
        return dict(sorted(counts.items()))

    async def tell(self) -> None:
        """Log the calls of each interval that had any, for ever."""
        while True:
            await asyncio.sleep(CALLS_LOG_INTERVAL_S)
            counts = self.take()
            if counts:
                self._log.event("store_calls", **counts)
