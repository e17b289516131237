"""Runs duties on hosts, and marks the hosts busy meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

from mulleinreach.common import EventLog, TaskGroup
from mulleinreach.gateway.fleet.formation import LeaseLost
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.upstream import Upstream


class HostTasks:
    """The duties under way; ``wake`` is set when one has ended or the list has changed."""

    def __init__(self, hosts: HostRegistry, log: EventLog):
        self._hosts = hosts
        self._log = log
        self._tasks = TaskGroup()
        self.wake = asyncio.Event()

    def spawn(self, duty: Coroutine, hosts: Iterable[Upstream]) -> None:
        """Run a duty that no other one may disturb on these hosts."""
        host_ids = {host.id for host in hosts}
        self._hosts.busy |= host_ids
        self._tasks.spawn(self._run(duty, host_ids))

    def spawn_probe(self, question: Coroutine) -> None:
        """Ask hosts something, which disturbs no duty."""
        self._tasks.spawn(question)

    async def _run(self, duty: Coroutine, host_ids: set[str]) -> None:
        try:
            await duty
        except LeaseLost:
            self._log.event("order_withheld", why="the lease has ended")
        finally:
            self._hosts.busy -= host_ids
            self.wake.set()

    async def close(self) -> None:
        """End everything."""
        await self._tasks.close()
