"""Rolling updates of hosts: each second a new one starts, and an old one announces its end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator

from mulleinreach.gateway.upstream import UpstreamState
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.records import Leaving
from mulleinreach.standins.gateway.hosts import HostStandIn

# A host serves for so long after its announcement, whether it has work or not.
SERVES_ON_S = (2.05, 10.0)
# For so long at most a host waits for the work of its group's head.
MAX_STAY_S = 10.0
WORK_CHECK_S = 0.05
# Left out of a release, so that each hall goes on having hosts which serve.
LEAST_READY = 4


class ReleaseFaults(Harmer):
    """Replaces hosts one after the other; each one waits for the work of its group."""

    between_s = (0.7, 1.3)

    def _draw_faults(self) -> Iterator[Coroutine]:
        ready = [
            [h for h in self._world.hosts_of(hall) if h.upstream.state is UpstreamState.READY]
            for hall in self._world.halls
        ]
        hosts = self._rng.choice(ready)
        if len(hosts) > LEAST_READY:
            self._report.note_fault("host_replaced")
            yield self._replace(self._rng.choice(hosts))

    async def _replace(self, host: HostStandIn) -> None:
        await self._world.add_host(host.upstream.hall)
        host.drain()
        began_at = asyncio.get_running_loop().time()
        self._world.leavings.append(Leaving(host.id, began_at))
        await asyncio.sleep(self._rng.uniform(*SERVES_ON_S))
        while self._has_work(host) and asyncio.get_running_loop().time() - began_at < MAX_STAY_S:
            await asyncio.sleep(WORK_CHECK_S)
        self._world.end_leaving_host(host)

    def _has_work(self, host: HostStandIn) -> bool:
        """Whether the head of a host's group answers requests."""
        if host.is_dark or host.standing is None:
            return False
        return self._world.fabric.hosts[host.standing.members[0]].running > 0
