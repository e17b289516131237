"""Planned work at gateways: stops in series that overlap, signals and changed configurations."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine, Iterator
from dataclasses import replace

from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.processes import GRACE_S, GatewayProcess

IDLE_TIMEOUTS_MS = (10_000, 15_000, 20_000)
# Another gateway is asked to stop only while so many others run.
LEAST_RUNNING = 2
ENDED_CHECK_S = 0.05


class StopFaults(Harmer):
    """Stops gateways as planned, and starts them again once they have ended."""

    between_s = (1.0, 2.5)

    def _draw_faults(self) -> Iterator[Coroutine]:
        running = [g for g in self._world.gateways if g.is_running() and not g.is_stopping()]
        if len(running) > LEAST_RUNNING:
            self._report.note_fault("planned_stop")
            yield self._stop(self._rng.choice(running))
        if self._rng.random() < 0.5:
            self._report.note_fault("settings_changed")
            self._rng.choice(self._world.gateways).signal(signal.SIGHUP)
        if self._rng.random() < 0.5:
            self._report.note_fault("configuration")
            timeout_ms = self._rng.choice(IDLE_TIMEOUTS_MS)
            options = replace(self._world.options, idle_timeout_ms=timeout_ms)
            self._world.change_options(options)

    async def _stop(self, gateway: GatewayProcess) -> None:
        gateway.signal(signal.SIGTERM)
        until = asyncio.get_running_loop().time() + GRACE_S
        while gateway.is_running() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(ENDED_CHECK_S)
        gateway.signal(signal.SIGKILL)
        await asyncio.to_thread(gateway.process.wait)
        gateway.start()
