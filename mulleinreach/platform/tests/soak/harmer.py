"""What brings faults of one kind about, now and then, for as long as a soak runs."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Coroutine, Iterable

from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld


class Harmer(ABC):
    """Begins faults at drawn times; they may overlap.

    Parameters
    ==========

    rng : draws for these faults alone, so that one kind doesn't change what others do.
    """

    # Seconds between two times at which faults begin.
    between_s = (0.3, 1.0)

    def __init__(self, world: SoakWorld, rng: random.Random, report: SoakReport):
        self._world = world
        self._rng = rng
        self._report = report

    async def harm_for_ever(self) -> None:
        """Begin faults every now and then."""
        async with asyncio.TaskGroup() as group:
            while True:
                for fault in self._draw_faults():
                    group.create_task(fault)
                await asyncio.sleep(self._rng.uniform(*self.between_s))

    @abstractmethod
    def _draw_faults(self) -> Iterable[Coroutine]:
        """Return the faults that begin now."""
