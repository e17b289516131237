"""Requests that crash each replica that runs them, and come again and again."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Coroutine, Iterator

from mulleinreach.platform.tests.soak.callers import Callers
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.replicas import ReplicaProcess
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

# A replica that has crashed is back after so many seconds, under another name.
BACK_AFTER_S = 2.5
POLL_S = 0.02


class CrashCause(enum.StrEnum):
    """By what requests crash the replicas that run them."""

    NONE = "none"
    # One request, which comes again and again.
    REQUEST = "request"
    # A part of their prompts, which many requests share; no two of them are alike.
    PART = "part"


class CrashFaults(Harmer):
    """Sends the requests that crash domains of hosts, and brings crashed domains back.

    Parameters
    ==========

    cause : by what requests crash domains.
    """

    between_s = (0.8, 1.2)

    def __init__(
        self,
        world: SoakWorld,
        rng: random.Random,
        report: SoakReport,
        callers: Callers,
        cause: CrashCause,
    ):
        super().__init__(world, rng, report)
        self._callers = callers
        self._cause = cause

    async def harm_for_ever(self) -> None:
        """Send the request now and then, and watch the domains."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().harm_for_ever())
            group.create_task(self._watch())

    def _draw_faults(self) -> Iterator[Coroutine]:
        gateway = self._rng.choice(self._world.gateways)
        if self._cause is CrashCause.PART:
            self._report.note_fault("crashing_part")
            yield self._callers.call_with_fatal_part(gateway)
        else:
            self._report.note_fault("crashing_request")
            yield self._callers.call_fatally(gateway)

    async def _watch(self) -> None:
        """Note each crash, and bring the domain back."""
        known: set[ReplicaProcess] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                for domain in self._world.replicas:
                    if domain not in known and not domain.is_running():
                        known.add(domain)
                        self._report.note_fault("crash")
                        self._world.domain_crashes.append(asyncio.get_running_loop().time())
                        group.create_task(self._bring_back(domain))
                await asyncio.sleep(POLL_S)

    async def _bring_back(self, domain: ReplicaProcess) -> None:
        try:
            await asyncio.sleep(BACK_AFTER_S)
        finally:
            # Also when the soak ends meanwhile, since callers wait until they are served again.
            self._world.replace_domain(domain)
