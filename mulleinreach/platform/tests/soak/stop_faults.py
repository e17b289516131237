"""Planned work at gateways: stops in series that overlap, signals and changed configurations."""

from __future__ import annotations

import signal
from collections.abc import Coroutine, Iterator
from dataclasses import replace

from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.processes import GatewayProcess

IDLE_TIMEOUTS_MS = (10_000, 15_000, 20_000)
# Another gateway is asked to stop only while so many others run.
LEAST_RUNNING = 2


class StopFaults(Harmer):
    """Stops gateways as planned, and starts them again once they have ended."""

    between_s = (1.0, 2.5)

    def _draw_faults(self) -> Iterator[Coroutine]:
        serving = self._world.serving_gateways()
        if len(serving) > LEAST_RUNNING:
            self._report.note_fault("planned_stop")
            yield self._stop(self._rng.choice(serving))
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
        if not await gateway.end_stop():
            self._report.broken.append(f"{gateway.name} outlasts the grace of its stop")
        gateway.start()
