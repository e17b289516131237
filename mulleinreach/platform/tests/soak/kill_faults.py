"""Gateways that are killed in series, and started again at once."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine, Iterator

from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.processes import GatewayProcess

# Another gateway is killed only while so many others run.
LEAST_RUNNING = 2


class KillFaults(Harmer):
    """Kills gateways one after the other."""

    between_s = (1.0, 2.5)

    def _draw_faults(self) -> Iterator[Coroutine]:
        serving = self._world.serving_gateways()
        if len(serving) > LEAST_RUNNING:
            self._report.note_fault("killed")
            yield self._kill(self._rng.choice(serving))

    async def _kill(self, gateway: GatewayProcess) -> None:
        gateway.signal(signal.SIGKILL)
        await asyncio.to_thread(gateway.process.wait)
        gateway.start()
