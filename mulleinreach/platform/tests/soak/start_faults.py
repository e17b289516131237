"""Hosts that crash and start again under the name that they had."""

from __future__ import annotations

import asyncio
import random
import time

from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.gateway.hosts import HostStandIn

BETWEEN_S = (0.4, 2.0)
# Before the list has noticed, and after a heartbeat.
DOWN_S = (0.05, 2.0)
# How far a host's time of day may be set back meanwhile.
SET_BACK_MS = 60_000


class StartFaults:
    """Lets hosts start again."""

    def __init__(self, world: SoakWorld, rng: random.Random, report: SoakReport):
        self._world = world
        self._rng = rng
        self._report = report

    async def harm_for_ever(self) -> None:
        """Let a host crash every now and then, or all of a hall in one moment."""
        async with asyncio.TaskGroup() as group:
            while True:
                hosts = self._world.hosts_of(self._rng.choice(self._world.halls))
                count = len(hosts) if self._rng.random() < 0.1 else min(1, len(hosts))
                for host in self._rng.sample(hosts, count):
                    self._report.faults["start_again"] += 1
                    group.create_task(self._start_again(host))
                await asyncio.sleep(self._rng.uniform(*BETWEEN_S))

    async def _start_again(self, host: HostStandIn) -> None:
        self._world.crash_host(host)
        try:
            await asyncio.sleep(self._rng.uniform(*DOWN_S))
        finally:
            # Also when the soak ends meanwhile, since nobody would take its row away.
            set_back_ms = self._rng.choice([0, 0, SET_BACK_MS])
            self._world.start_again(host, round(time.time() * 1000) - set_back_ms)
