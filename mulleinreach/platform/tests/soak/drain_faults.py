"""Planned ends of hosts, which announce them; others take their places."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator
from dataclasses import replace

from mulleinreach.gateway.upstream import UpstreamState
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.records import Leaving
from mulleinreach.standins.gateway.hosts import HostStandIn

# Longer than any request at the time of the announcement takes.
SERVES_ON_S = (8.0, 20.0)


class DrainFaults(Harmer):
    """Replaces hosts one after the other, as a rolling update of them does.

    Streams can't go on elsewhere meanwhile, so each one that a host's end breaks off shows.
    """

    between_s = (2.0, 5.0)

    async def harm_for_ever(self) -> None:
        """Begin ends of hosts every now and then."""
        options = replace(self._world.options, are_streams_resumable=False)
        self._world.change_options(options)
        await super().harm_for_ever()

    def _draw_faults(self) -> Iterator[Coroutine]:
        ready = [
            host
            for hall in self._world.halls
            for host in self._world.hosts_of(hall)
            if host.upstream.state is UpstreamState.READY
        ]
        if ready:
            self._report.note_fault("host_drains")
            yield self._drain(self._rng.choice(ready))

    async def _drain(self, host: HostStandIn) -> None:
        host.drain()
        now = asyncio.get_running_loop().time()
        self._world.leavings.append(Leaving(host.id, now))
        await asyncio.sleep(self._rng.uniform(*SERVES_ON_S))
        await self._world.replace_host(host)
