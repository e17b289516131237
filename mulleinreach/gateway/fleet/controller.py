"""The coordinator's control loop: forms groups, detects lost members and repairs groups.

Explanation
===========

Each pass derives its decisions from the host list and the hosts' own reports, so a new
coordinator can continue the work of the previous one. If all requests at a group's head
stall, the members of the group are probed. A coordinator that can't connect to any host decides
nothing: the hosts may be sound, and no order would arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from absl import logging

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.hub import RecentNode
from mulleinreach.gateway.coordination.reports import (
    OpenHead,
)
from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.group_monitor import GroupMonitor
from mulleinreach.gateway.fleet.hall_monitor import HallMonitor
from mulleinreach.gateway.fleet.host_tasks import HostTasks
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.fleet.placement import Placement
from mulleinreach.gateway.fleet.substitutes import Substitutes
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.state.announced_ends import AnnouncedEnds
from mulleinreach.gateway.state.configuration_follower import ConfigurationInForce
from mulleinreach.gateway.state.groups import Head, collect_groups, open_heads
from mulleinreach.gateway.state.load import LoadReport

MAX_PASS_INTERVAL_S = 0.1
MIN_PASS_INTERVAL_S = 0.03


@dataclass(frozen=True)
class FleetStatus:
    """The state of groups and hosts that the coordinator publishes to all nodes.

    Parameters
    ==========

    heads : the heads of groups that accept requests.
    lost : upstreams that do not respond, or whose hall is down.
    retiring : heads that finish their requests in flight and accept no new ones.
    vacating : those of them whose requests move at once where they can.
    """

    heads: list[OpenHead]
    lost: list[str]
    retiring: list[str]
    vacating: list[str]


class FleetController:
    """Manages the groups of all model services.

    Parameters
    ==========

    hall : the hall of this node.
    tolerates_hall_loss : whether capacity is planned for the loss of a whole hall.
    loads : returns the load of each upstream, summed over all nodes.
    nodes : returns the nodes that reported recently.
    is_first_holder : returns whether this term of the lease is the very first one.
    reread_hosts : rereads the whole host list from the store, including the last changes of
        an earlier coordinator; returns whether it succeeded.
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
        announced_ends: AnnouncedEnds,
        clock: Clock,
        log: EventLog,
    ):
        self._hosts = hosts
        self._clock = clock
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
            hosts,
            operator,
            Substitutes(hosts, operator, self._placement, announced_ends),
            self._host_tasks,
            loads,
            clock,
            log,
        )

    def notify(self) -> None:
        """Handle a change of the host list."""
        self._operator.notify()
        self._host_tasks.wake.set()

    async def run(self) -> None:
        """Run the control loop until cancelled."""
        self._placement.load_limiter.begin_term(self._is_first_holder())
        try:
            while not await self._reread_hosts():
                self._log.event("list_unread", why="the store gave no answer")
            self._hosts.begin_term(self._is_first_holder())
            while True:
                began_at = self._clock.now()
                if self._operator.reaches_hosts():
                    self._run_pass()
                # With thousands of hosts a pass takes long; reports and orders need as much time.
                await asyncio.sleep(max(MIN_PASS_INTERVAL_S, self._clock.now() - began_at))
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

    def _run_pass(self) -> None:
        self._attempt(lambda: self._hall_monitor.check_halls(self._open_heads()))
        for service in self._model_services():
            self._attempt(partial(self._check_service, service))

    def _attempt(self, check: Callable[[], None]) -> None:
        """Run a check; its failure is logged, so that it doesn't prevent the others."""
        try:
            check()
        except Exception as error:
            logging.error("event=check_failed error=%r", error, exc_info=error)

    def _model_services(self) -> list[Service]:
        configuration = self._in_force.configuration
        if configuration is None:
            return []
        return [s for s in configuration.services.values() if s.engine and s.engine.models]

    def _open_heads(self) -> list[Head]:
        """Return the open heads of all services, including those of lost hosts."""
        return [
            head
            for service in self._model_services()
            for head in open_heads(self._hosts.listed(service.name))
        ]

    def describe(self) -> FleetStatus:
        """Return the state of groups and hosts to publish to all nodes."""
        retirements = self._hosts.retirements.current()
        retiring = [retirement.head for retirement in retirements]
        vacating = [retirement.head for retirement in retirements if retirement.is_urgent]
        heads = []
        for service in self._model_services():
            for head in open_heads(self._hosts.usable(service.name)):
                if head.upstream.id in retiring:
                    continue
                pace = self._group_monitor.pace((head.group, head.epoch))
                heads.append(OpenHead(head.upstream.id, head.group, head.epoch, head.model, pace))
        return FleetStatus(heads, self._hosts.lost(), retiring, vacating)

    def _check_service(self, service: Service) -> None:
        self._hosts.refresh(service.name)
        groups = collect_groups(self._hosts.listed(service.name))
        loads = {load.upstream_id: load for load in self._loads()}
        self._placement.load_limiter.is_limited |= bool(loads)
        for key, group in groups.items():
            self._group_monitor.check_group(service.engine, key, group, loads)
        self._group_monitor.recheck_lost()
        self._placement.plan(service, groups, loads)
