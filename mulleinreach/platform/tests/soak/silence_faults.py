"""Hosts that fall silent for about a second and go on, while the configuration changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Iterator
from dataclasses import replace

from mulleinreach.platform.tests.soak.document import DocumentOptions
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

SILENT_S = (1.0, 1.3)
# Which part of the hosts falls silent at once.
SHARES = (1.0, 0.6)
# How far the time between two silences may be off.
SPREAD_S = 0.5
# Before the silence.
CHANGED_S = 0.6
IDLE_TIMEOUTS_MS = (10_000, 15_000, 20_000)
STREAM_TIMEOUTS_MS = (7_000, 8_000, 9_000)


class SilenceFaults(Harmer):
    """Stops processes of hosts, and continues them.

    Parameters
    ==========

    every_s : between two silences, in seconds.
    """

    def __init__(self, world: SoakWorld, rng: random.Random, report: SoakReport, every_s: float):
        super().__init__(world, rng, report)
        self.between_s = (every_s - SPREAD_S, every_s + SPREAD_S)

    def _draw_faults(self) -> Iterator[Coroutine]:
        self._report.note_fault("silence")
        yield self._change_and_silence()

    async def _change_and_silence(self) -> None:
        self._world.change_options(self._other_options(self._world.options))
        await asyncio.sleep(CHANGED_S)
        replicas = self._world.replicas
        count = round(self._rng.choice(SHARES) * len(replicas))
        chosen = self._rng.sample(replicas, count)
        try:
            for replica in chosen:
                replica.stop()
            await asyncio.sleep(self._rng.uniform(*SILENT_S))
        finally:
            for replica in chosen:
                replica.go_on()

    def _other_options(self, options: DocumentOptions) -> DocumentOptions:
        kind = self._rng.choice(("idle", "timeout", "route"))
        if kind == "idle":
            return replace(options, idle_timeout_ms=self._rng.choice(IDLE_TIMEOUTS_MS))
        if kind == "timeout":
            return replace(options, stream_timeout_ms=self._rng.choice(STREAM_TIMEOUTS_MS))
        return replace(options, has_extra_route=not options.has_extra_route)
