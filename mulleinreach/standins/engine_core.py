"""The timing of a model engine: slots, prefill, decode and a prefix cache.

Explanation
===========

A request waits for a slot by priority, spends ``prefill_s_per_token`` for each
prompt token that isn't cached (one prompt at a time: prefill is bound by the
accelerators), then ``token_gap_s`` for each token. The prefix
cache holds blocks of ``BLOCK_CHARS`` characters of the prompt, least recently
used ones dropped. Batching slows tokens as slots fill.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from mulleinreach.standins.frames import CHARS_PER_TOKEN

BLOCK_CHARS = 64


@dataclass(frozen=True)
class EngineSpeed:
    """How fast an engine is; times in seconds."""

    slots: int = 16
    prefill_s_per_token: float = 0.0002
    token_gap_s: float = 0.01
    batch_slowdown: float = 0.5
    cache_blocks: int = 4096


def prefix_blocks(prompt: str) -> list[int]:
    """Return a hash for each whole block of the prompt, each covering all before it.

    Examples
    ========

    >>> len(prefix_blocks("x" * 130))
    2
    """
    hashes = []
    running = xxhash.xxh64()
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        running.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(running.intdigest())
    return hashes


class EngineCore:
    """Slots, queue and prefix cache of one engine."""

    def __init__(self, speed: EngineSpeed):
        self.speed = speed
        self.running = 0
        self.slow_factor = 1.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.cache_log: list[int] = []
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._order = itertools.count()
        self._prefill = asyncio.Lock()

    @property
    def waiting(self) -> int:
        """How many requests wait for a slot."""
        return sum(not entry[2].done() for entry in self._waiting)

    @property
    def kv_use(self) -> float:
        """Share of the slots in use, 0 to 1."""
        return self.running / self.speed.slots

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; a lower ``priority`` number goes first."""
        if self.running < self.speed.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give the slot to the next request that waits, or free it."""
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def take_cached_tokens(self, prompt: str) -> int:
        """Return how many prompt tokens are cached, and cache the rest of the prompt."""
        cached = 0
        matching = True
        for block in prefix_blocks(prompt):
            matching = matching and block in self.cache
            if matching:
                cached += 1
            if block not in self.cache:
                self.cache_log.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.speed.cache_blocks:
            self.cache.popitem(last=False)
        return cached * BLOCK_CHARS // CHARS_PER_TOKEN

    async def prefill(self, prompt: str) -> None:
        """Spend the time that the uncached part of the prompt takes."""
        async with self._prefill:
            tokens = len(prompt) // CHARS_PER_TOKEN - self.take_cached_tokens(prompt)
            await asyncio.sleep(tokens * self.speed.prefill_s_per_token * self.slow_factor)

    async def next_token(self, count: int = 1) -> None:
        """Spend the time that ``count`` tokens take at the present batch size."""
        load = 1 + self.speed.batch_slowdown * self.kv_use
        await asyncio.sleep(count * self.speed.token_gap_s * load * self.slow_factor)
