"""Hosts that crash and start again under the name that they had."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine, Iterator

from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.standins.gateway.hosts import HostStandIn

# Before the list has noticed, and after a heartbeat.
DOWN_S = (0.05, 2.0)
# How far a host's time of day may be set back meanwhile.
SET_BACK_MS = 60_000


class StartFaults(Harmer):
    """Lets hosts start again."""

    between_s = (0.4, 2.0)

    def _draw_faults(self) -> Iterator[Coroutine]:
        """Let a host crash, or all of a hall in one moment."""
        hosts = self._world.hosts_of(self._rng.choice(self._world.halls))
        count = len(hosts) if self._rng.random() < 0.1 else min(1, len(hosts))
        for host in self._rng.sample(hosts, count):
            self._report.note_fault("start_again")
            yield self._start_again(host)

    async def _start_again(self, host: HostStandIn) -> None:
        self._world.crash_host(host)
        try:
            await asyncio.sleep(self._rng.uniform(*DOWN_S))
        finally:
            # Also when the soak ends meanwhile, since nobody would take its row away.
            set_back_ms = self._rng.choice([0, 0, SET_BACK_MS])
            self._world.start_again(host, round(time.time() * 1000) - set_back_ms)
