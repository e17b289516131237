"""All hosts of a stand-in deployment, and the checks of what must always hold."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from mulleinreach.common import TaskGroup
from mulleinreach.gateway.ports import Fenced, NoAnswer, OrderResult, Unavailable
from mulleinreach.gateway.upstream import MemberState, Upstream, upstream_name
from mulleinreach.standins.gateway.dialect import HeaderNames
from mulleinreach.standins.gateway.hosts import LATE_ORDER_S, ORDER_S, HostStandIn, HostTimes
from mulleinreach.standins.gateway.standings import FabricChecks, Standing
from mulleinreach.standins.gateway.store import MemoryStore

ORDER_TIMEOUT_S = 0.4


def abort(transport: asyncio.Transport) -> None:
    """End a connection, whose peer may see a close instead of a reset."""
    transport.abort()


class Fabric:
    """All hosts, the orders to them, and the checks of what must always hold.

    Parameters
    ==========

    reset_connection : resets a connection, given its transport at the host.

    Explanation
    ===========

    Knob: ``requires_fence`` has hosts refuse orders whose token is lower than one that
    they have seen. ``orders_by_token`` tells which hosts were given orders under each.
    """

    def __init__(
        self,
        store: MemoryStore,
        seed: int = 1,
        names: HeaderNames | None = None,
        reset_connection: Callable[[asyncio.BaseTransport], None] = abort,
    ):
        self.store = store
        self.reset_connection = reset_connection
        self._names = names or HeaderNames()
        self.checks = FabricChecks()
        self.requires_fence = False
        self.orders_by_token: dict[int, list[str]] = {}
        self.hosts: dict[str, HostStandIn] = {}
        self._rng = random.Random(seed)
        self._tasks = TaskGroup()

    def add(self, upstream: Upstream, times: HostTimes, cold_s: float = 0.0) -> HostStandIn:
        """Add a host, which may come cold, and list it."""
        host = HostStandIn(self, upstream, times, self._names)
        self.hosts[host.id] = host
        host.turn_cold(cold_s, is_told=False)
        host.note_told_cold()
        host.list_again()
        return host

    def is_whole(self, standing: Standing) -> bool:
        """Whether all members still stand in the group."""
        for member in standing.members:
            host = self.hosts[member]
            other = host.standing
            if host.is_dark or host.is_paused or other is None:
                return False
            if (other.group, other.epoch) != (standing.group, standing.epoch):
                return False
        return True

    def pace(self, standing: Standing) -> float:
        """Return the pace of a group's slowest member."""
        return max(self.hosts[member].pace for member in standing.members)

    def check_join(self, host_id: str, group: str, epoch: int) -> None:
        """No host joins another group while the head of its own serves."""
        own = self.hosts[host_id].standing
        if own is None:
            return
        head = self.hosts[own.members[0]]
        head_standing = head.standing
        if head.is_dark or head_standing is None:
            return
        is_own = (head_standing.group, head_standing.epoch) == (own.group, own.epoch)
        if is_own and head_standing.state in (MemberState.OPEN, MemberState.CLOSING):
            self.checks.broken.append(f"{host_id} joined {group} while {own.group} serves")

    def check_start(self, standing: Standing) -> None:
        """A request starts only where every member was ready under this epoch."""
        for member in standing.members:
            if (standing.group, standing.epoch, member) not in self.checks.ready:
                self.checks.broken.append(f"{standing.group} serves, {member} was never ready")

    # Orders and questions.

    async def join(
        self,
        host: Upstream,
        group: str,
        epoch: int,
        model: str,
        members: list[str],
        token: int,
    ) -> OrderResult:
        """Order a join."""
        return await self._order(host, token, lambda h: h.join(group, epoch, model, tuple(members)))

    async def open(self, head: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Order a head to serve."""
        return await self._order(head, token, lambda h: h.open(group, epoch))

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Order a member out of its group."""
        return await self._order(host, token, lambda h: h.leave(group, epoch))

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Order a load of weights."""
        return await self._order(host, token, lambda h: h.stage(model))

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Ask a host for its state."""
        await asyncio.sleep(ORDER_S)
        target = self.running(host.id)
        if target.is_dark:
            await asyncio.sleep(timeout_s)
            return Unavailable("no answer")
        try:
            async with asyncio.timeout(timeout_s):
                await target.wait_for_pause()
        except TimeoutError:
            return Unavailable("no answer")
        return target.report() if target.id == host.id else Unavailable("started again")

    async def _order(self, host: Upstream, token: int, action) -> OrderResult:
        self.orders_by_token.setdefault(token, []).append(host.id)
        await asyncio.sleep(ORDER_S)
        target = self.running(host.id)
        if target.is_dark:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return NoAnswer("no answer")
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await target.wait_for_pause()
        except TimeoutError:
            self._tasks.spawn(self._carry_out_after_pause(target, token, action))
            return NoAnswer("no answer yet")
        target.ordered_at.append(asyncio.get_running_loop().time())
        if target.rests_from_orders_s:
            return NoAnswer("status 503")
        if target.late_orders > 0:
            target.late_orders -= 1
            self._tasks.spawn(self._carry_out_late(target, token, action))
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return NoAnswer("no answer yet")
        return self._carry_out(target, token, action)

    def running(self, host_id: str) -> HostStandIn:
        """Return the process that answers for a host: its latest start."""
        name = upstream_name(host_id)
        return [h for h in self.hosts.values() if upstream_name(h.id) == name][-1]

    def _carry_out(self, target: HostStandIn, token: int, action) -> OrderResult:
        if self.requires_fence and not target.admit(token):
            return Fenced()
        return action(target)

    async def _carry_out_late(self, target: HostStandIn, token: int, action) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_ORDER_S))
        if not target.is_dark:
            self._carry_out(target, token, action)

    async def _carry_out_after_pause(self, target: HostStandIn, token: int, action) -> None:
        await target.wait_for_pause()
        if not target.is_dark:
            self._carry_out(target, token, action)

    async def close(self) -> None:
        """End what runs."""
        await self._tasks.close()
        for host in self.hosts.values():
            await host.close()
