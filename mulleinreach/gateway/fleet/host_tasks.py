"""Runs background tasks on hosts, and marks the hosts busy meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

from mulleinreach.common import EventLog, TaskGroup
from mulleinreach.gateway.fleet.formation import LeaseLost
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.upstream import Upstream


class HostTasks:
    """The running tasks; ``wake`` is set when one has ended or the host list has changed."""

    def __init__(self, hosts: HostRegistry, log: EventLog):
        self._hosts = hosts
        self._log = log
        self._tasks = TaskGroup()
        self.wake = asyncio.Event()

    def spawn(self, task: Coroutine, hosts: Iterable[Upstream]) -> None:
        """Run a task with exclusive use of these hosts."""
        host_ids = {host.id for host in hosts}
        self._hosts.busy |= host_ids
        self._tasks.spawn(self._run(task, host_ids))

    def spawn_probe(self, probe: Coroutine) -> None:
        """Run a read-only probe, which does not mark hosts busy."""
        self._tasks.spawn(probe)

    async def _run(self, task: Coroutine, host_ids: set[str]) -> None:
        try:
            await task
        except LeaseLost:
            self._log.event("order_withheld", why="the lease has ended")
        finally:
            self._hosts.busy -= host_ids
            self.wake.set()

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()
