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
from collections.abc import Awaitable, Callable, Coroutine

from mulleinreach.common import Clock, EventLog, TaskGroup
from mulleinreach.gateway.fleet.formation import GroupOperator, LeaseLost, Outcome
from mulleinreach.gateway.fleet.hosts import SLOW_PACE, HostBook, is_serving
from mulleinreach.gateway.fleet.loads import LoadGate
from mulleinreach.gateway.fleet.planner import (
    DomainView,
    FormGroup,
    FreeHost,
    LoadStandby,
    plan_groups,
    plan_standbys,
)
from mulleinreach.gateway.following import ConfigurationInForce
from mulleinreach.gateway.load import LoadReport
from mulleinreach.gateway.messages import OpenHead
from mulleinreach.gateway.model import EngineModel, EngineProfile, Service
from mulleinreach.gateway.ports import Unavailable
from mulleinreach.gateway.upstreams import (
    Group,
    MemberState,
    Upstream,
    UpstreamState,
    collect_groups,
    open_heads,
)

TICK_S = 0.1
MIN_TICK_S = 0.03
READ_AGAIN_S = 0.1
SILENCE_SUSPECT_S = 0.3
CHECK_AGAIN_S = 0.8
SLOW_PROBE_TIMEOUT_S = 0.5
RECHECK_LOST_S = 1.0
QUICK_JOIN_S = 2.5
UNFINISHED_S = 4.0
# The list drops hosts at times while the store is down; a heartbeat brings them back.
HEAD_ABSENT_S = 1.5
# By then the list shows that a head has left its group.
END_SEEN_S = 1.0
LOAD_PATIENCE = 4.0
LOAD_PATIENCE_MIN_S = 30.0


class FleetController:
    """Keeps the groups of all model services.

    Parameters
    ==========

    loads : returns the load of all nodes together, for the first sign of trouble.
    is_first_holder : whether no other life of a node has coordinated before.
    read_anew : reads the whole list of hosts; what an earlier coordinator did last
        must be seen before anything is decided.
    """

    def __init__(
        self,
        hosts: HostBook,
        operator: GroupOperator,
        in_force: ConfigurationInForce,
        loads: Callable[[], list[LoadReport]],
        is_first_holder: Callable[[], bool],
        read_anew: Callable[[], Awaitable[bool]],
        clock: Clock,
        log: EventLog,
    ):
        self._hosts = hosts
        self._is_first_holder = is_first_holder
        self._read_anew = read_anew
        self._operator = operator
        self._in_force = in_force
        self._loads = loads
        self._clock = clock
        self._log = log
        self._gate = LoadGate(clock)
        self._tasks = TaskGroup()
        self._wake = asyncio.Event()
        self._checked_at: dict[tuple[str, int], float] = {}
        self._rechecked_at: dict[str, float] = {}
        self._group_paces: dict[tuple[str, int], float] = {}
        self._unfinished_since: dict[tuple[str, int], float] = {}

    def notify(self) -> None:
        """The list of hosts has changed."""
        self._operator.notify()
        self._wake.set()

    async def run(self) -> None:
        """Do the duty until cancelled."""
        self._hosts.busy.clear()
        self._gate.is_limited = not self._is_first_holder()
        try:
            while not await self._read_anew():
                await asyncio.sleep(READ_AGAIN_S)
            while True:
                for service in self._model_services():
                    self._look_at(service)
                await asyncio.sleep(MIN_TICK_S)
                self._wake.clear()
                try:
                    async with asyncio.timeout(TICK_S):
                        await self._wake.wait()
                except TimeoutError:
                    continue
        finally:
            await self._tasks.close()

    def _model_services(self) -> list[Service]:
        configuration = self._in_force.configuration
        if configuration is None:
            return []
        return [s for s in configuration.services.values() if s.engine and s.engine.models]

    def describe(self) -> tuple[list[OpenHead], list[str]]:
        """Return the heads that are open and the upstreams that are lost, for all nodes."""
        heads = []
        for service in self._model_services():
            for head in open_heads(self._hosts.usable(service.name)):
                pace = self._group_paces.get((head.group, head.epoch), 1.0)
                heads.append(OpenHead(head.upstream.id, head.group, head.epoch, head.model, pace))
        return heads, self._hosts.lost()

    # One look.

    def _look_at(self, service: Service) -> None:
        self._hosts.refresh(service.name)
        groups = collect_groups(self._hosts.listed(service.name))
        loads = {load.upstream_id: load for load in self._loads()}
        self._gate.is_limited |= bool(loads)
        for key, group in groups.items():
            self._look_at_group(service.engine, key, group, loads)
        self._recheck_lost()
        self._plan(service, groups)

    def _look_at_group(
        self,
        engine: EngineProfile,
        key: tuple[str, int],
        group: Group,
        loads: dict[str, LoadReport],
    ) -> None:
        if self._is_busy(group) or self._has_ended(key, group):
            return
        model = engine.model(group.model) if group.model else None
        if model is None or self._is_standby(group):
            return
        head = group.head
        if self._hosts.ended_for_s(key) is not None:
            is_intact = group.is_whole(model.size) and not self._has_known_loss(group)
            if not (is_intact and self._hosts.revive(key)):
                self._spawn_dissolve(group, model, "a member is back that was not told to leave")
            return
        if head is None:
            self._look_at_headless(key, group, model)
        elif is_serving(group):
            load = loads.get(head.id)
            is_silent = load is not None and load.stalled_s > SILENCE_SUSPECT_S
            is_missing = not group.is_whole(model.size)
            if self._has_known_loss(group):
                self._spawn_dissolve(group, model, "a member is lost")
            elif is_silent or is_missing:
                self._check(key, group, model, "silent" if is_silent else "member not listed")
            elif self._can_replace(group, model, self._draining(group)):
                self._spawn_dissolve(group, model, "a member drains")
            elif self._can_replace(group, model, self._slow(key, group, model)):
                self._spawn_dissolve(group, model, "a member is slow")
        elif head.membership.state is MemberState.BROKEN:
            self._spawn_dissolve(group, model, "broken")
        elif self._is_ready(group, model):
            self._spawn(self._open(group), group.members.values())
        elif self._is_stuck(key, group, model):
            self._spawn_dissolve(group, model, "it was left unfinished")

    def _is_stuck(self, key: tuple[str, int], group: Group, model: EngineModel) -> bool:
        """Whether a group that an earlier coordinator began will not be ready any more."""
        since = self._unfinished_since.setdefault(key, self._clock.now())
        if not group.is_whole(model.size) or self._has_known_loss(group):
            return True
        return self._clock.now() - since > UNFINISHED_S

    def _look_at_headless(self, key: tuple[str, int], group: Group, model: EngineModel) -> None:
        """End a group whose head is off the list: no node may send anything there.

        The head may run on all the same, and it may be back with its next heartbeat.
        """
        head = self._hosts.head_of(key)
        if head is not None and not _stands_in(head, group):
            return
        absent_s = HEAD_ABSENT_S if head is None else self._hosts.delisted_for_s(head.id)
        if absent_s >= HEAD_ABSENT_S:
            self._spawn_dissolve(group, model, "the head is off the list")

    def _has_ended(self, key: tuple[str, int], group: Group) -> bool:
        """Whether a group was ended already, and nobody is back who was not told so."""
        ended_s = self._hosts.ended_for_s(key)
        if ended_s is None:
            return False
        is_open = is_serving(group) and not self._hosts.is_lost(group.head.id)
        bound = [
            m
            for m in group.members.values()
            if not self._hosts.is_lost(m.id) and not self._hosts.has_left(m.id, key)
        ]
        return ended_s < END_SEEN_S or not (is_open or bound)

    def _is_busy(self, group: Group) -> bool:
        return any(member.id in self._hosts.busy for member in group.members.values())

    def _is_standby(self, group: Group) -> bool:
        """Whether this is a host that stands ready on its own; such a group is never opened."""
        return len(group.members) == 1 and not is_serving(group) and group.head is not None

    def _is_ready(self, group: Group, model: EngineModel) -> bool:
        if not group.is_whole(model.size):
            return False
        return all(
            m.membership.state is MemberState.READY and not self._hosts.is_lost(m.id)
            for m in group.members.values()
        )

    def _has_known_loss(self, group: Group) -> bool:
        return any(self._hosts.is_lost(m.id) for m in group.members.values())

    def _draining(self, group: Group) -> list[Upstream]:
        return [m for m in group.members.values() if m.state is UpstreamState.DRAINING]

    def _slow(self, key: tuple[str, int], group: Group, model: EngineModel) -> list[Upstream]:
        """Return the slow members of a group; one that was slow is asked again."""
        if self._group_paces.get(key, 1.0) <= SLOW_PACE:
            return []
        self._check(key, group, model, "slow")
        return [m for m in group.members.values() if self._hosts.is_slow(m.id)]

    def _can_replace(self, group: Group, model: EngineModel, leaving: list[Upstream]) -> bool:
        """Whether there are members to replace, and sound hosts ready to take their places."""
        if not leaving:
            return False
        return len(self._spares(group, model)) >= len(leaving)

    def _spares(self, group: Group, model: EngineModel) -> list[FreeHost]:
        """Return the sound free hosts of a group's domain that hold its model."""
        service, domain = group.head.service, group.head.domain
        usable = self._usable_by_domain(service).get(domain, [])
        free = self._free_hosts(usable, collect_groups(self._hosts.listed(service)))
        return [host for host in free if host.holds(model.name) and not host.is_slow]

    async def _probe_spares(self, group: Group, model: EngineModel) -> None:
        """Ask the hosts that could replace slow members whether they are slow too."""
        if group.head is None:
            return
        spares = [self._hosts.get(host.id) for host in self._spares(group, model)]
        await asyncio.gather(*(self._operator.probe(spare) for spare in spares))

    # Trouble.

    def _check(self, key: tuple[str, int], group: Group, model: EngineModel, why: str) -> None:
        """Ask a group's members for their state, at most once in a while."""
        now = self._clock.now()
        if now - self._checked_at.get(key, float("-inf")) < CHECK_AGAIN_S:
            return
        self._checked_at[key] = now
        self._tasks.spawn(self._check_members(group, model, why))

    async def _check_members(self, group: Group, model: EngineModel, why: str) -> None:
        members = self._members_ever_known(group)
        reports = await asyncio.gather(*(self._operator.probe(m) for m in members))
        if all(isinstance(report, Unavailable) for report in reports):
            # Rather this node is slow than all members lost at once; asked once more.
            reports = await asyncio.gather(
                *(self._operator.probe(m, SLOW_PROBE_TIMEOUT_S) for m in members)
            )
        lost = [m.id for m, r in zip(members, reports, strict=True) if isinstance(r, Unavailable)]
        moved = [
            m.id
            for m, r in zip(members, reports, strict=True)
            if isinstance(r, Upstream) and not _stands_in(r, group)
        ]
        for host in lost:
            self._hosts.mark_lost(host)
        key = (group.name, group.epoch)
        self._group_paces[key] = max((self._hosts.pace(m.id) for m in members), default=1.0)
        if self._group_paces[key] > SLOW_PACE:
            await self._probe_spares(group, model)
        self._log.event(
            "group_checked",
            group=group.name,
            why=why,
            lost=",".join(lost),
            moved=",".join(moved),
            known=len(members),
            pace=self._group_paces[key],
        )
        is_incomplete = len(members) < model.size and not self._makes_progress(group)
        if (lost or moved or is_incomplete) and not self._is_busy(group):
            self._spawn_dissolve(group, model, f"lost {lost} moved {moved}")
        self._wake.set()

    def _makes_progress(self, group: Group) -> bool:
        """Whether requests at a group's head go on, which shows that it is whole."""
        for load in self._loads():
            if group.head is not None and load.upstream_id == group.head.id:
                return load.running > 0 and load.silent_s < SILENCE_SUSPECT_S
        return False

    def _members_ever_known(self, group: Group) -> list[Upstream]:
        """Return a group's members, those too that are on the list no more."""
        members = {m.id: m for m in group.members.values()}
        for host in self._hosts.remembered():
            if host.id not in members and _stands_in(host, group):
                members[host.id] = host
        return list(members.values())

    def _spawn_dissolve(self, group: Group, model: EngineModel, why: str) -> None:
        self._log.event("group_dissolving", group=group.name, model=model.name, why=why)
        known = {m.membership.rank: m for m in self._members_ever_known(group) if m.membership}
        whole = Group(group.name, group.epoch, {**known, **group.members})
        self._spawn(self._dissolve(whole, model), whole.members.values())

    async def _dissolve(self, group: Group, model: EngineModel) -> None:
        self._hosts.mark_ended(group, await self._operator.dissolve(group))

    def _recheck_lost(self) -> None:
        """Ask lost hosts that are still listed whether they are back."""
        now = self._clock.now()
        for host in self._hosts.lost():
            known = self._hosts.get(host)
            if known is None or not self._hosts.is_listed(host):
                continue
            if now - self._rechecked_at.get(host, float("-inf")) > RECHECK_LOST_S:
                self._rechecked_at[host] = now
                self._tasks.spawn(self._operator.probe(known))

    # Planning.

    def _plan(self, service: Service, groups: dict[tuple[str, int], Group]) -> None:
        standbys: list[tuple[LoadStandby, str]] = []
        for domain, usable in sorted(self._usable_by_domain(service.name).items()):
            view = self._view(service, domain, usable, groups)
            formed = plan_groups(view, service.engine.models)
            for plan in formed:
                self._spawn_form(service.engine, plan)
            if not formed:
                standbys += [(p, domain) for p in plan_standbys(view, service.engine.models)]
        standbys.sort(key=lambda pair: pair[0].order)
        for plan, _ in standbys:
            self._start_standby(service.engine, plan)

    def _usable_by_domain(self, service: str) -> dict[str, list[Upstream]]:
        domains: dict[str, list[Upstream]] = {}
        for host in self._hosts.usable(service):
            if host.domain is not None:
                domains.setdefault(host.domain, []).append(host)
        return domains

    def _view(
        self,
        service: Service,
        domain: str,
        usable: list[Upstream],
        groups: dict[tuple[str, int], Group],
    ) -> DomainView:
        counts = {m.name: 0 for m in service.engine.models}
        loading = dict(counts)
        for group in groups.values():
            head = group.head
            if head is None or head.domain != domain or group.model not in counts:
                continue
            if is_serving(group) and not self._has_known_loss(group):
                counts[group.model] += 1
        for form in self._hosts.forming.values():
            if form.domain == domain and form.model in counts:
                (counts if form.is_group else loading)[form.model] += 1
        free = tuple(self._free_hosts(usable, groups))
        return DomainView(domain, len(usable), counts, loading, free)

    def _free_hosts(
        self, usable: list[Upstream], groups: dict[tuple[str, int], Group]
    ) -> list[FreeHost]:
        free = []
        for host in usable:
            if host.id not in self._hosts.busy and self._is_free(host, groups):
                model, is_slow = self._hosts.last_model(host.id), self._hosts.is_slow(host.id)
                free.append(FreeHost(host.id, model, host.staged, is_slow))
        return free

    def _is_free(self, host: Upstream, groups: dict[tuple[str, int], Group]) -> bool:
        membership = host.membership
        if membership is None:
            return True
        key = (membership.group, membership.epoch)
        if self._hosts.has_left(host.id, key):
            return True
        group = groups[key]
        # Members of a group are taken only once its head was told to leave: what is
        # known of the head may be old, and an order to open it may still be on its way.
        return self._is_standby(group) and membership.state is not MemberState.JOINING

    # Orders.

    def _spawn(self, duty: Coroutine, hosts) -> None:
        taken = {host.id for host in hosts}
        self._hosts.busy |= taken
        self._tasks.spawn(self._guarded(duty, taken))

    async def _guarded(self, duty: Coroutine, taken: set[str]) -> None:
        try:
            await duty
        except LeaseLost:
            self._log.event("order_withheld", why="the lease has ended")
        finally:
            self._hosts.busy -= taken
            self._wake.set()

    async def _open(self, group: Group) -> None:
        await self._operator.open(group)

    def _spawn_form(self, engine: EngineProfile, plan: FormGroup) -> None:
        members = [self._hosts.get(host) for host in plan.members]
        form = self._hosts.begin_forming(members[0].domain, plan.model, is_group=True)
        self._spawn(self._form(engine, plan, members, form), members)

    async def _form(
        self, engine: EngineProfile, plan: FormGroup, members: list[Upstream], form: int
    ) -> None:
        try:
            is_warm = all(self._hosts.last_model(m.id) == plan.model for m in members)
            model = engine.model(plan.model)
            patience_s = QUICK_JOIN_S if is_warm else QUICK_JOIN_S + 2 * model.warm_s
            group, is_ready = await self._operator.join_all(plan.model, members, patience_s)
            if not is_ready:
                await self._dissolve(group, model)
                return
            for member in members:
                self._hosts.note_model(member.id, plan.model)
            if await self._operator.open(group) is not Outcome.DONE:
                self._log.event("group_not_opened", group=group.name)
        finally:
            self._hosts.end_forming(form)

    def _start_standby(self, engine: EngineProfile, plan: LoadStandby) -> None:
        if plan.needs_load and not self._gate.may_begin(engine):
            return
        host = self._hosts.get(plan.host)
        if host is None:
            return
        if plan.needs_load:
            self._gate.begin()
        form = self._hosts.begin_forming(host.domain, plan.model, is_group=False)
        self._spawn(self._load_standby(engine, plan, host, form), [host])

    async def _load_standby(
        self, engine: EngineProfile, plan: LoadStandby, host: Upstream, form: int
    ) -> None:
        try:
            model = engine.model(plan.model)
            patience_s = max(LOAD_PATIENCE_MIN_S, LOAD_PATIENCE * model.load_s)
            _, is_ready = await self._operator.join_all(plan.model, [host], patience_s)
            if is_ready:
                self._hosts.note_model(host.id, plan.model)
        finally:
            if plan.needs_load:
                self._gate.end()
            self._hosts.end_forming(form)


def _stands_in(host: Upstream, group: Group) -> bool:
    """Whether a host says that it is a member of a group."""
    membership = host.membership
    return membership is not None and (membership.group, membership.epoch) == (
        group.name,
        group.epoch,
    )
