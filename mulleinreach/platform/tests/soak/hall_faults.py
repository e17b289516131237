"""Faults of whole halls, and hosts that turn cold."""

from __future__ import annotations

import asyncio
import random
import signal

from mulleinreach.platform.tests.soak.document import COLD_S
from mulleinreach.platform.tests.soak.processes import EVACUATION_S, GatewayProcess
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.gateway.hosts import HostStandIn

# Up to twice the bound, so that requests are looked at once it is over.
EMPTY_S = (0.5, 2 * EVACUATION_S)
LOST_S = (1.0, 4.0)
PAUSED_S = (0.5, 3.0)
# A host that turns cold tells it with its next row, a heartbeat later at most.
HEARTBEAT_S = 1.2


class HallFaults:
    """Empties halls, loses them, and lets hosts turn cold."""

    def __init__(self, world: SoakWorld, rng: random.Random):
        self._world = world
        self._rng = rng

    async def evacuate(self) -> None:
        """Empty a hall, unless one is empty; its hosts may be cold when it is taken back."""
        hall = self._rng.choice(self._world.halls)
        if self._world.evacuated_halls():
            return
        self._world.evacuate(hall)
        await asyncio.sleep(self._rng.uniform(*EMPTY_S))
        if self._rng.random() < 0.5:
            await self._take_back_cold(hall)
        else:
            self._world.take_back(hall)

    async def _take_back_cold(self, hall: str) -> None:
        async with asyncio.TaskGroup() as group:
            for host in self._world.hosts_of(hall):
                group.create_task(self._be_cold(host))
            await asyncio.sleep(self._rng.uniform(0.0, HEARTBEAT_S))
            self._world.take_back(hall)

    async def evacuate_and_pause(self) -> None:
        """Freeze a gateway for a part of the time for which a hall is empty."""
        gateway = self._rng.choice(self._world.gateways)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.evacuate())
            group.create_task(self._pause(gateway))

    async def _pause(self, gateway: GatewayProcess) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, EVACUATION_S))
        with self._world.disturbed(gateway.name):
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(*PAUSED_S))
            gateway.signal(signal.SIGCONT)

    async def lose_hall(self) -> None:
        """Lose a hall, unless one is lost; all of it is back at once, with cold hosts."""
        hall = self._rng.choice(self._world.halls)
        if self._world.lost_halls:
            return
        self._world.lose_hall(hall)
        await asyncio.sleep(self._rng.uniform(*LOST_S))
        await self._world.return_hall(hall)

    async def turn_cold(self) -> None:
        """Let the hosts of a group, or of a whole hall, turn cold."""
        hosts = self._world.hosts_of(self._rng.choice(self._world.halls))
        count = self._rng.choice([4, len(hosts)])
        async with asyncio.TaskGroup() as group:
            for host in self._rng.sample(hosts, min(count, len(hosts))):
                group.create_task(self._be_cold(host))

    async def _be_cold(self, host: HostStandIn) -> None:
        """Be cold at once, tell it later, and tell at last that it is over."""
        host.turn_cold(COLD_S, is_told=False)
        told_after_s = self._rng.uniform(0.0, HEARTBEAT_S)
        await asyncio.sleep(told_after_s)
        host.list_again()
        await asyncio.sleep(COLD_S - told_after_s)
        host.list_again()

    async def mend(self) -> None:
        """Let every hall be there and open."""
        for hall in self._world.evacuated_halls():
            self._world.take_back(hall)
        for hall in list(self._world.lost_halls):
            await self._world.return_hall(hall)
        for hall in self._world.halls:
            await self._world.fill_hall(hall)
