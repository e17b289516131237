"""The coordinator's duty: forms groups, notices lost members, and repairs.

Explanation
===========

Everything is decided anew from the list of hosts and their own reports, so that
a new coordinator goes on where the last one stopped. A head whose requests all
stand still is the first sign of a lost member, and it costs nothing; only then
are the group's members asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.hub import RecentNode
from mulleinreach.gateway.coordination.reports import (
    OpenHead,
)
from mulleinreach.gateway.fleet.duties import HostTasks
from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.halls import HallMonitor
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.fleet.placement import Placement
from mulleinreach.gateway.fleet.watch import GroupMonitor
from mulleinreach.gateway.known.following import ConfigurationInForce
from mulleinreach.gateway.known.load import LoadReport
from mulleinreach.gateway.known.upstreams import Head, collect_groups, open_heads
from mulleinreach.gateway.model import Service

MAX_PASS_INTERVAL_S = 0.1
MIN_PASS_INTERVAL_S = 0.03


@dataclass(frozen=True)
class FleetStatus:
    """What the coordinator tells of its fleet.

    Parameters
    ==========

    heads : the groups that take requests.
    lost : upstreams that give no answer, or whose hall gives none.
    retiring : heads that finish their work and take nothing new.
    """

    heads: list[OpenHead]
    lost: list[str]
    retiring: list[str]


class FleetController:
    """Keeps the groups of all model services.

    Parameters
    ==========

    hall : the hall of this node.
    tolerates_hall_loss : whether the loss of a whole hall is to be borne.
    loads : returns the load of all nodes together.
    nodes : returns the nodes that were heard lately.
    is_first_holder : whether no other life of a node has coordinated before.
    reread_hosts : reads the whole list of hosts; what an earlier coordinator did last
        must be seen before anything is decided.
    """

    def __init__(
        self,
        hall: str,
        tolerates_hall_loss: bool,
        hosts: HostRegistry,
        operator: GroupOperator,
        in_force: ConfigurationInForce,
        loads: Callable[[], list[LoadReport]],
        nodes: Callable[[], list[RecentNode]],
        is_first_holder: Callable[[], bool],
        reread_hosts: Callable[[], Awaitable[bool]],
        clock: Clock,
        log: EventLog,
    ):
        self._hosts = hosts
        self._log = log
        self._operator = operator
        self._in_force = in_force
        self._loads = loads
        self._is_first_holder = is_first_holder
        self._reread_hosts = reread_hosts
        self._host_tasks = HostTasks(hosts, log)
        self._placement = Placement(
            tolerates_hall_loss,
            hosts,
            operator,
            self._host_tasks,
            lambda: in_force.evacuations.halls,
            clock,
            log,
        )
        self._hall_monitor = HallMonitor(hall, hosts, operator, self._host_tasks, nodes, clock, log)
        self._group_monitor = GroupMonitor(
            hosts, operator, self._placement, self._host_tasks, loads, clock, log
        )

    def notify(self) -> None:
        """The list of hosts has changed."""
        self._operator.notify()
        self._host_tasks.wake.set()

    async def run(self) -> None:
        """Do the duty until cancelled."""
        self._placement.load_limiter.is_limited = not self._is_first_holder()
        try:
            while not await self._reread_hosts():
                self._log.event("list_unread", why="the store gave no answer")
            self._hosts.begin_term(self._is_first_holder())
            while True:
                self._hall_monitor.check_halls(self._open_heads())
                for service in self._model_services():
                    self._check_service(service)
                await asyncio.sleep(MIN_PASS_INTERVAL_S)
                self._host_tasks.wake.clear()
                try:
                    async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                        await self._host_tasks.wake.wait()
                except TimeoutError:
                    continue
        finally:
            self._placement.end_term()
            self._hall_monitor.end_term()
            await self._host_tasks.close()

    def _model_services(self) -> list[Service]:
        configuration = self._in_force.configuration
        if configuration is None:
            return []
        return [s for s in configuration.services.values() if s.engine and s.engine.models]

    def _open_heads(self) -> list[Head]:
        """Return the open groups of all services, those of lost hosts too."""
        return [
            head
            for service in self._model_services()
            for head in open_heads(self._hosts.listed(service.name))
        ]

    def describe(self) -> FleetStatus:
        """Return what all nodes should know of groups and hosts."""
        retiring = self._hosts.retiring_heads()
        heads = []
        for service in self._model_services():
            for head in open_heads(self._hosts.usable(service.name)):
                if head.upstream.id in retiring:
                    continue
                pace = self._group_monitor.pace((head.group, head.epoch))
                heads.append(OpenHead(head.upstream.id, head.group, head.epoch, head.model, pace))
        return FleetStatus(heads, self._hosts.lost(), retiring)

    def _check_service(self, service: Service) -> None:
        self._hosts.refresh(service.name)
        groups = collect_groups(self._hosts.listed(service.name))
        loads = {load.upstream_id: load for load in self._loads()}
        self._placement.load_limiter.is_limited |= bool(loads)
        for key, group in groups.items():
            self._group_monitor.check_group(service.engine, key, group, loads)
        self._group_monitor.recheck_lost()
        self._placement.plan(service, groups, loads)
