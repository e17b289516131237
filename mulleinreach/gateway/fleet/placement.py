"""Forms groups and standbys from the free hosts of each domain."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.fleet.formation import GroupOperator, JoinOutcome, Outcome
from mulleinreach.gateway.fleet.host_tasks import HostTasks
from mulleinreach.gateway.fleet.hosts import (
    HostRegistry,
    PendingFormation,
    is_serving,
    is_standby,
)
from mulleinreach.gateway.fleet.planner import (
    DomainView,
    FormGroup,
    FreeHost,
    LoadStandby,
    ServingGroup,
    plan_groups,
    plan_standbys,
    target_groups,
)
from mulleinreach.gateway.fleet.rebalancing import HostRebalancer
from mulleinreach.gateway.fleet.staging import StageModel, plan_stagings
from mulleinreach.gateway.fleet.usage import ModelUsage
from mulleinreach.gateway.fleet.weight_loads import WeightLoadLimiter
from mulleinreach.gateway.model import EngineModel, EngineProfile, Service
from mulleinreach.gateway.state.groups import Group, collect_groups, open_heads
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.upstream import MemberState, Upstream

QUICK_JOIN_TIMEOUT_S = 2.5
LOAD_TIMEOUT_FACTOR = 4.0
MIN_LOAD_TIMEOUT_S = 30.0
# Longer than a usual load, so that a host that cannot load a model gets few orders.
STAGE_RETRY_DELAY_S = 15.0
NEVER = float("-inf")


class Placement:
    """Turns the plan of each domain into tasks on its hosts.

    Parameters
    ==========

    tolerates_hall_loss : whether capacity is planned for the loss of a whole hall.
    evacuated_halls : returns the halls under evacuation, which should serve no requests.
    """

    def __init__(
        self,
        tolerates_hall_loss: bool,
        hosts: HostRegistry,
        operator: GroupOperator,
        host_tasks: HostTasks,
        evacuated_halls: Callable[[], frozenset[str]],
        clock: Clock,
        log: EventLog,
    ):
        self._tolerates_hall_loss = tolerates_hall_loss
        self._evacuated_halls = evacuated_halls
        self._hosts = hosts
        self._operator = operator
        self._host_tasks = host_tasks
        self._log = log
        self.load_limiter = WeightLoadLimiter(clock)
        self._clock = clock
        self._usage: dict[str, ModelUsage] = {}
        self._rebalancers: dict[str, HostRebalancer] = {}
        # Earliest time of the next order to load a second model, by host.
        self._stage_retry_at: dict[str, float] = {}

    def plan(
        self,
        service: Service,
        groups: dict[tuple[str, int], Group],
        loads: dict[str, LoadReport],
    ) -> None:
        """Start forming the planned groups, loading standbys and staging second models."""
        usage = self._usage.setdefault(service.name, ModelUsage(self._clock))
        usage.update(service.engine, open_heads(self._placeable_hosts(service.name)), loads)
        views = self._views(service, groups, usage.by_model())
        evacuated_halls = self._evacuated_halls()
        active_views = [view for view in views if view.hall not in evacuated_halls]
        targets = self._rebalancer(service.name).targets(service, active_views, usage.demand())
        standbys: list[LoadStandby] = []
        for view in active_views:
            if self._has_incomplete_groups(service.engine, view.name, groups):
                continue
            formed = plan_groups(view, service.engine.models, targets[view.name])
            for plan in formed:
                self._spawn_form(service.engine, plan)
            if not formed and not self._hosts.is_in_grace_period():
                standbys += plan_standbys(view, service.engine.models, targets[view.name])
        for plan in sorted(standbys, key=lambda plan: plan.priority):
            self._start_standby(service.engine, plan)
        self._stage_second_models(service, groups, usage.by_model())
        evacuated_views = [view for view in views if view.hall in evacuated_halls]
        self._form_in_evacuated(service, evacuated_views, groups)

    def end_term(self) -> None:
        """Cancel moves in progress, since no more orders can be sent."""
        for rebalancer in self._rebalancers.values():
            rebalancer.end_term()
        self._hosts.retirements.cancel_moves()

    def _placeable_hosts(self, service: str) -> list[Upstream]:
        """Return the usable hosts outside of evacuated halls."""
        evacuated_halls = self._evacuated_halls()
        return [host for host in self._hosts.usable(service) if host.hall not in evacuated_halls]

    def _form_in_evacuated(
        self,
        service: Service,
        views: list[DomainView],
        groups: dict[tuple[str, int], Group],
    ) -> None:
        """Form lost groups of evacuated halls again, without loads and after all other groups.

        They serve no requests until the evacuation ends.
        """
        models = service.engine.models
        for view in views:
            if self._hosts.forming or self._has_incomplete_groups(
                service.engine, view.name, groups
            ):
                return
            for plan in plan_groups(view, models, target_groups(view, models)):
                self._spawn_form(service.engine, plan)

    def _rebalancer(self, service: str) -> HostRebalancer:
        """Return the rebalancer of a service."""
        if service not in self._rebalancers:
            self._rebalancers[service] = HostRebalancer(
                self._tolerates_hall_loss,
                self._hosts,
                self._operator.is_lease_fresh,
                self._clock,
                self._log,
            )
        return self._rebalancers[service]

    def _stage_second_models(
        self, service: Service, groups: dict[tuple[str, int], Group], need: dict[str, float]
    ) -> None:
        """Have hosts load a second model: all hosts before the first request, then free ones."""
        usable = self._placeable_hosts(service.name)
        if self.load_limiter.is_limited:
            hosts = self._free_hosts(usable, groups)
        else:
            hosts = [self._to_free_host(host) for host in usable if host.id not in self._hosts.busy]
        for plan in plan_stagings(hosts, service.engine.models, need):
            host = self._hosts.get(plan.host)
            has_joined = host.membership and host.membership.state is not MemberState.JOINING
            may_ask = self._clock.now() >= self._stage_retry_at.get(plan.host, NEVER)
            if not (may_ask and has_joined):
                continue
            if not self.load_limiter.may_stage(service.engine):
                return
            self._stage_retry_at[plan.host] = math.inf
            self.load_limiter.begin()
            self._host_tasks.spawn(self._stage(service.engine, plan, host), [])

    async def _stage(self, engine: EngineProfile, plan: StageModel, host: Upstream) -> None:
        try:
            await self._operator.stage(host, plan.model, _load_timeout_s(engine, plan.model))
        finally:
            self.load_limiter.end()
            self._stage_retry_at[plan.host] = self._clock.now() + STAGE_RETRY_DELAY_S

    def _has_incomplete_groups(
        self, engine: EngineProfile, domain: str, groups: dict[tuple[str, int], Group]
    ) -> bool:
        """Whether a domain's groups lack members that may be listed again in the grace period."""
        if not self._hosts.is_in_grace_period():
            return False
        for group in groups.values():
            model = engine.model(group.model) if group.model else None
            if model is None or is_standby(group) or group.is_whole(model.size):
                continue
            if any(member.domain == domain for member in group.members.values()):
                return True
        return False

    def _usable_by_domain(self, service: str) -> dict[str, list[Upstream]]:
        domains: dict[str, list[Upstream]] = {}
        for host in self._hosts.usable(service):
            if host.domain is not None:
                domains.setdefault(host.domain, []).append(host)
        return domains

    def _views(
        self, service: Service, groups: dict[tuple[str, int], Group], usage: dict[str, float]
    ) -> list[DomainView]:
        """Return the domains with usable hosts, in order."""
        serving: dict[str, list[ServingGroup]] = defaultdict(list)
        for key, group in groups.items():
            if group.head is not None and self._counts_as_serving(key, group):
                members = tuple(self._to_free_host(member) for member in group.members.values())
                serving[group.head.domain].append(ServingGroup(group.model, key, members))
        forming: dict[str, list[PendingFormation]] = defaultdict(list)
        for pending in self._hosts.forming.values():
            forming[pending.domain].append(pending)
        return [
            self._view(service, domain, usable, groups, serving[domain], forming[domain], usage)
            for domain, usable in sorted(self._usable_by_domain(service.name).items())
        ]

    def _counts_as_serving(self, key: tuple[str, int], group: Group) -> bool:
        """Whether a group serves, is whole and keeps its hosts."""
        if self._hosts.retirements.yields_hosts(key) or not is_serving(group):
            return False
        return not self._hosts.has_lost_member(group)

    def _view(
        self,
        service: Service,
        domain: str,
        usable: list[Upstream],
        groups: dict[tuple[str, int], Group],
        serving_groups: list[ServingGroup],
        forming: list[PendingFormation],
        usage: dict[str, float],
    ) -> DomainView:
        counts = {m.name: 0 for m in service.engine.models}
        loading = dict(counts)
        serving = [group for group in serving_groups if group.model in counts]
        for group in serving:
            counts[group.model] += 1
        for pending in forming:
            if pending.model in counts:
                (counts if pending.is_group else loading)[pending.model] += 1
        free = tuple(self._free_hosts(usable, groups))
        hall = usable[0].hall
        return DomainView(domain, len(usable), counts, loading, free, usage, hall, tuple(serving))

    def _free_hosts(
        self, usable: list[Upstream], groups: dict[tuple[str, int], Group]
    ) -> list[FreeHost]:
        free = []
        for host in usable:
            if host.id not in self._hosts.busy and self._is_free(host, groups):
                free.append(self._to_free_host(host))
        return free

    def _to_free_host(self, host: Upstream) -> FreeHost:
        model, is_slow = self._hosts.last_model(host.id), self._hosts.is_slow(host.id)
        return FreeHost(host.id, model, host.staged, is_slow, self._hosts.cold_s(host.id))

    def _is_free(self, host: Upstream, groups: dict[tuple[str, int], Group]) -> bool:
        membership = host.membership
        if membership is None:
            return True
        if self._hosts.has_left(host.id, host.group_key):
            return True
        group = groups[host.group_key]
        # Members are free only after the head has left the group: its known state may be
        # stale, and an order to open may still be in flight.
        return is_standby(group) and membership.state is not MemberState.JOINING

    def spares(self, group: Group, model: EngineModel) -> list[FreeHost]:
        """Return the free hosts of a group's domain that hold its model and are not slow."""
        service, domain = group.head.service, group.head.domain
        usable = self._usable_by_domain(service).get(domain, [])
        free = self._free_hosts(usable, collect_groups(self._hosts.listed(service)))
        return [host for host in free if host.holds(model.name) and not host.is_slow]

    def _spawn_form(self, engine: EngineProfile, plan: FormGroup) -> None:
        members = [self._hosts.get(host) for host in plan.members]
        forming_id = self._hosts.begin_forming(members[0].domain, plan.model, is_group=True)
        self._host_tasks.spawn(self._form(engine, plan, members, forming_id), members)

    async def _form(
        self, engine: EngineProfile, plan: FormGroup, members: list[Upstream], forming_id: int
    ) -> None:
        try:
            is_warm = all(self._hosts.last_model(m.id) == plan.model for m in members)
            model = engine.model(plan.model)
            timeout_s = QUICK_JOIN_TIMEOUT_S if is_warm else QUICK_JOIN_TIMEOUT_S + 2 * model.warm_s
            group, outcome = await self._operator.join_all(plan.model, members, timeout_s)
            if outcome is JoinOutcome.NOT_READY:
                self._hosts.mark_ended(group, await self._operator.dissolve(group))
            if outcome is not JoinOutcome.READY:
                return
            for member in members:
                self._hosts.record_model(member.id, plan.model)
            if await self._operator.open(group) is Outcome.DONE:
                self._operator.record_repair(
                    self._hosts.pop_missing_s(members[0].domain, plan.model)
                )
            else:
                self._log.event("group_not_opened", group=group.name)
        finally:
            self._hosts.end_forming(forming_id)

    def _start_standby(self, engine: EngineProfile, plan: LoadStandby) -> None:
        if plan.needs_load and not self.load_limiter.may_begin(engine):
            return
        host = self._hosts.get(plan.host)
        if host is None:
            return
        if plan.needs_load:
            self.load_limiter.begin()
        forming_id = self._hosts.begin_forming(host.domain, plan.model, is_group=False)
        self._host_tasks.spawn(self._load_standby(engine, plan, host, forming_id), [host])

    async def _load_standby(
        self, engine: EngineProfile, plan: LoadStandby, host: Upstream, forming_id: int
    ) -> None:
        try:
            timeout_s = _load_timeout_s(engine, plan.model)
            _, outcome = await self._operator.join_all(plan.model, [host], timeout_s)
            if outcome is JoinOutcome.READY:
                self._hosts.record_model(host.id, plan.model)
        finally:
            if plan.needs_load:
                self.load_limiter.end()
            self._hosts.end_forming(forming_id)


def _load_timeout_s(engine: EngineProfile, model: str) -> float:
    """Return the timeout for loading a model on a host."""
    return max(MIN_LOAD_TIMEOUT_S, LOAD_TIMEOUT_FACTOR * engine.model(model).load_s)
