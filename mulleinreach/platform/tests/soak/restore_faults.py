"""Takes the store back to a copy, and lets upstreams leave by their rows alone."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator
from dataclasses import replace

from mulleinreach.gateway.upstream import UpstreamState, upstream_name
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.platform.tests.soak.notice_faults import SERVES_ON_S
from mulleinreach.platform.tests.soak.records import Leaving
from mulleinreach.standins.gateway.restoring import write_hosts_again, write_others
from mulleinreach.standins.gateway.store import UPSTREAMS

# How old a copy is, how long the store is away, and when operators write again what it lacks.
COPY_AGE_S = (0.5, 6.0)
AWAY_S = (0.1, 3.0)
WRITTEN_AGAIN_S = (0.0, 0.3)
# What other users of the store write while a copy gets old: versions that are given out again.
OTHERS_WRITES = (0, 300)
# How long the store is left alone then, so that what nodes hear late is seen.
ALONE_S = (4.0, 10.0)
# Upstreams write again with their next heartbeat; the rows of those that are silent lapse after
# two more.
HEARTBEAT_S = 1.2


class RestoreFaults(Harmer):
    """Restores the store from copies, one at a time, beside upstreams that leave."""

    between_s = (0.5, 2.0)

    def __init__(self, *options):
        super().__init__(*options)
        self._is_restoring = False

    def _draw_faults(self) -> Iterator[Coroutine]:
        """Restore the store, unless that is under way, or let an upstream leave."""
        kind = self._rng.choice([self.restore, self.leave])
        if kind == self.restore and self._is_restoring:
            return
        self._report.note_fault(kind.__name__)
        yield kind()

    async def restore(self) -> None:
        """Take the store away, and bring it back from a copy."""
        self._is_restoring = True
        memory, store = self._world.memory, self._world.store
        copy = memory.copy()
        write_others(memory, self._rng.randint(*OTHERS_WRITES))
        await asyncio.sleep(self._rng.uniform(*COPY_AGE_S))
        with self._world.disturbed(None):
            store.status = 503
            await asyncio.sleep(self._rng.uniform(*AWAY_S))
            memory.restore(copy)
            store.status = None
            await asyncio.sleep(self._rng.uniform(*WRITTEN_AGAIN_S))
            self._world.write_operators_rows_again()
        await asyncio.sleep(self._rng.uniform(0, HEARTBEAT_S))
        self._write_upstreams_again()
        await asyncio.sleep(2 * HEARTBEAT_S)
        self._lapse_silent()
        await asyncio.sleep(self._rng.uniform(*ALONE_S))
        self._is_restoring = False

    def _write_upstreams_again(self) -> None:
        """Let upstreams that live write what the copy lacks."""
        write_hosts_again(self._world.fabric)
        memory = self._world.memory
        for name, upstream in self._world.plain_upstreams.items():
            is_silent = self._world.links[name].is_silent
            if not is_silent and memory.get(UPSTREAMS, name).value != upstream:
                memory.put(UPSTREAMS, name, upstream)

    def _lapse_silent(self) -> None:
        """Take the rows away that the copy brought back of upstreams that have ended."""
        hosts = {
            upstream_name(host.id) for host in self._world.fabric.hosts.values() if not host.is_dark
        }
        plain = {n for n in self._world.plain_upstreams if not self._world.links[n].is_silent}
        memory = self._world.memory
        for row in memory.rows(UPSTREAMS):
            is_elsewhere = any(each.runs(row.key) for each in self._world.replicas)
            if row.value is not None and row.key not in hosts | plain and not is_elsewhere:
                memory.put(UPSTREAMS, row.key, None)

    async def leave(self) -> None:
        """Let an upstream say in its row that it leaves, and end; another one starts."""
        if self._rng.random() < 0.5:
            await self._leave_host()
        else:
            await self._leave_plain()

    async def _leave_host(self) -> None:
        hosts = self._world.hosts_of(self._rng.choice(self._world.halls))
        if not hosts:
            return
        host = self._rng.choice(hosts)
        host.drain()
        self._note_leaving(host.id)
        await asyncio.sleep(self._rng.uniform(*SERVES_ON_S))
        await self._world.replace_host(host)

    async def _leave_plain(self) -> None:
        links, plain = self._world.links, self._world.plain_upstreams
        ready = [
            name
            for name, upstream in plain.items()
            if not links[name].is_silent and upstream.state is UpstreamState.READY
        ]
        if not ready:
            return
        name = self._rng.choice(ready)
        plain[name] = replace(plain[name], state=UpstreamState.DRAINING)
        self._world.memory.put(UPSTREAMS, name, plain[name])
        self._note_leaving(name)
        try:
            await asyncio.sleep(self._rng.uniform(*SERVES_ON_S))
        finally:
            # Also when the soak ends meanwhile, since nobody would take its place.
            links[name].is_silent = True
            self._world.memory.put(UPSTREAMS, name, None)
            await self._world.fill_hall(plain[name].hall)

    def _note_leaving(self, upstream_id: str) -> None:
        now = asyncio.get_running_loop().time()
        self._world.leavings.append(Leaving(upstream_id, now))

    def mend(self) -> None:
        """Write what a restore that was under way would have written."""
        self._world.write_operators_rows_again()
        self._write_upstreams_again()
        self._lapse_silent()
