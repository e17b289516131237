"""Faults of single processes, hosts and of the store, one after the other and together."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from mulleinreach.platform.tests.soak.hall_faults import HallFaults
from mulleinreach.platform.tests.soak.processes import GRACE_S
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.gateway.hosts import HostStandIn

# Seconds after which a key that was taken away lets nothing run any more.
REVOKE_S = 5.0
# The shortest and the longest seconds of a fault, and between the beginnings of two.
FAULT_S = (0.5, 3.0)
BETWEEN_FAULTS_S = (0.1, 0.8)
# How many kinds of faults a seed has: few that meet often, up to all of them.
LEAST_KINDS, MOST_KINDS = 4, 18


class Faults:
    """Harms a world from outside of its gateways."""

    def __init__(self, world: SoakWorld, rng: random.Random, report: SoakReport):
        self._world = world
        self._rng = rng
        self._report = report
        self._halls = HallFaults(world, rng)

    async def harm_for_ever(self) -> None:
        """Begin a fault every now and then; some are under way at once.

        Each seed draws which kinds there are: where all are, the store is hardly ever
        up for long enough for gateways to be bound.
        """
        kinds = self._rng.sample(self._kinds(), self._rng.randint(LEAST_KINDS, MOST_KINDS))
        async with asyncio.TaskGroup() as group:
            while True:
                kind = self._rng.choice(kinds)
                self._report.note_fault(kind.__name__)
                group.create_task(kind())
                await asyncio.sleep(self._rng.uniform(*BETWEEN_FAULTS_S))

    def _kinds(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self.kill,
            self.pause,
            self.stop_as_planned,
            self.cut_store,
            self.store_down,
            self.lose_answers,
            self.lose_host,
            self.slow_host,
            self.delay_orders,
            self.reset_host,
            self.revoke,
            self.kill_all,
            self.settings_changed,
            self.forget_history,
            self._halls.evacuate,
            self._halls.evacuate_and_pause,
            self._halls.lose_hall,
            self._halls.turn_cold,
        ]

    async def mend(self) -> None:
        """Undo what is under way."""
        for gateway in self._world.gateways:
            gateway.store_link.mend()
            gateway.signal(signal.SIGCONT)
        self._world.store.status = None
        self._world.memory.loses = self._world.plain.loses_answers = False
        for host in self._world.fabric.hosts.values():
            host.pace, host.late_orders = 1.0, 0
        self._world.configure(["key-1", "key-2"])
        await self._halls.mend()

    async def _wait(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_S))

    async def kill(self) -> None:
        """Kill a gateway; it is started again later."""
        self._rng.choice(self._world.gateways).signal(signal.SIGKILL)
        await self._wait()
        self._world.restart_ended()

    async def kill_all(self) -> None:
        """Kill all gateways at once."""
        for gateway in self._world.gateways:
            gateway.signal(signal.SIGKILL)
        await self._wait()
        self._world.restart_ended()

    async def pause(self) -> None:
        """Freeze a gateway."""
        gateway = self._rng.choice(self._world.gateways)
        with self._world.disturbed(gateway.name):
            gateway.signal(signal.SIGSTOP)
            await self._wait()
            gateway.signal(signal.SIGCONT)

    async def stop_as_planned(self) -> None:
        """End a gateway with notice."""
        self._rng.choice(self._world.gateways).signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        self._world.restart_ended()

    async def cut_store(self) -> None:
        """Harm one gateway's link to the store; only the first two ways lose anything."""
        gateway = self._rng.choice(self._world.gateways)
        link = gateway.store_link
        how = self._rng.choice(["silent", "one way", "slow", "reset"])
        link.is_silent = how == "silent"
        link.is_one_way = how == "one way"
        link.delay_s = 0.3 if how == "slow" else 0.0
        if how == "reset":
            link.reset()
        if link.is_silent or link.is_one_way:
            with self._world.disturbed(gateway.name):
                await self._wait()
        else:
            await self._wait()
        link.mend()

    async def store_down(self) -> None:
        """Let the store refuse all calls."""
        with self._world.disturbed(None):
            self._world.store.status = 503
            await self._wait()
            self._world.store.status = None

    async def lose_answers(self) -> None:
        """Carry writes and orders out, and lose the answers."""
        self._world.memory.loses = True
        self._world.plain.loses_answers = True
        await self._wait()
        self._world.memory.loses = False
        self._world.plain.loses_answers = False

    def _some_host(self) -> HostStandIn | None:
        alive = [h for h in self._world.fabric.hosts.values() if not h.is_dark]
        return self._rng.choice(alive) if alive else None

    async def lose_host(self) -> None:
        """End a host for good; another one starts in its place."""
        host = self._some_host()
        if host is None:
            return
        self._world.end_host(host)
        await self._wait()
        await self._world.fill_hall(host.upstream.hall)

    async def slow_host(self) -> None:
        """Slow a host down, and its group with it."""
        host = self._some_host()
        if host is None:
            return
        host.pace = 6.0
        await self._wait()
        host.pace = 1.0

    async def delay_orders(self) -> None:
        """Let a host carry its next orders out late."""
        host = self._some_host()
        if host is not None:
            host.late_orders = self._rng.randint(1, 2)

    async def reset_host(self) -> None:
        """Break all connections to a host."""
        host = self._some_host()
        if host is not None:
            self._world.reset_host(host)

    async def settings_changed(self) -> None:
        """Tell a gateway to read its settings again."""
        self._rng.choice(self._world.gateways).signal(signal.SIGHUP)

    async def forget_history(self) -> None:
        """Let the store forget what changed before now."""
        memory = self._world.memory
        memory.history_from = memory.version

    async def revoke(self) -> None:
        """Take a key away, and give it back."""
        self._world.configure(["key-1"])
        await asyncio.sleep(self._rng.uniform(0.5, 2 * REVOKE_S))
        self._world.configure(["key-1", "key-2"])
