"""A plain service that fails first tries, and callers who come in bursts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Iterator

from mulleinreach.platform.tests.soak.callers import Callers
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

FAILING_S = (3.0, 12.0)
BURST_S = (1.0, 3.0)
BURST_FACTOR = 3.0


class FailureFaults(Harmer):
    """Lets nearly every request need a retry for some seconds, beside bursts of requests."""

    between_s = (4.0, 8.0)

    def __init__(self, world: SoakWorld, rng: random.Random, report: SoakReport, callers: Callers):
        super().__init__(world, rng, report)
        self._callers = callers

    def _draw_faults(self) -> Iterator[Coroutine]:
        self._report.note_fault("failing_first_tries")
        yield self._fail_first_tries()
        if self._rng.random() < 0.5:
            self._report.note_fault("burst")
            yield self._burst()

    async def _fail_first_tries(self) -> None:
        plain = self._world.plain
        plain.failing += 1
        try:
            await asyncio.sleep(self._rng.uniform(*FAILING_S))
        finally:
            plain.failing -= 1

    async def _burst(self) -> None:
        self._callers.rate_factor *= BURST_FACTOR
        try:
            await asyncio.sleep(self._rng.uniform(*BURST_S))
        finally:
            self._callers.rate_factor /= BURST_FACTOR
