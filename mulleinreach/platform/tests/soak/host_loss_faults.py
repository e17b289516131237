"""Hosts that are lost without having announced it; others take their places."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator

from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.standins.gateway.hosts import HostStandIn

REPLACED_AFTER_S = 2.0


class HostLossFaults(Harmer):
    """Lets hosts fall silent for good, one after the other.

    Streams go on at other groups of their model, so each one that is cut shows.
    """

    between_s = (3.0, 6.0)

    def _draw_faults(self) -> Iterator[Coroutine]:
        hosts = [host for hall in self._world.halls for host in self._world.hosts_of(hall)]
        if hosts:
            self._report.note_fault("host_lost")
            yield self._lose(self._rng.choice(hosts))

    async def _lose(self, host: HostStandIn) -> None:
        self._world.end_host(host)
        await asyncio.sleep(REPLACED_AFTER_S)
        await self._world.fill_hall(host.upstream.hall)
