"""Monitors groups: detects lost, slow and draining members, and dissolves broken groups."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.host_tasks import HostTasks
from mulleinreach.gateway.fleet.hosts import (
    MAX_NORMAL_PACE,
    HostRegistry,
    is_member,
    is_serving,
    is_standby,
)
from mulleinreach.gateway.fleet.retirements import RetirementReason
from mulleinreach.gateway.fleet.substitutes import Substitutes
from mulleinreach.gateway.model import EngineModel, EngineProfile
from mulleinreach.gateway.ports import Unavailable
from mulleinreach.gateway.state.groups import Group, open_heads
from mulleinreach.gateway.state.load import LoadReport, has_fixed_requests
from mulleinreach.gateway.upstream import MemberState, Upstream

SUSPECT_STALL_S = 0.3
MEMBER_CHECK_INTERVAL_S = 0.8
SLOW_PROBE_TIMEOUT_S = 0.5
LOST_CHECK_INTERVAL_S = 1.0
MAX_UNFINISHED_S = 4.0
# Requests may still arrive until all nodes know that the group is retiring.
MIN_RETIRING_S = 0.5
# A head's report is some tenths of a second old, so it may have to be asked again.
IDLE_CHECK_INTERVAL_S = 0.2
# Sound hosts may be silent for about a second.
MAX_SILENCE_S = 1.5
# A store outage may remove a host from the list until its next heartbeat.
MAX_HEAD_ABSENCE_S = 1.5
# These end when the members respond and the head is listed.
RECOVERABLE_REASONS = frozenset(
    {
        RetirementReason.MEMBER_SILENT,
        RetirementReason.MEMBER_UNHEARD,
        RetirementReason.HEAD_DELISTED,
    }
)


class GroupMonitor:
    """Checks the state of each group and acts on it.

    Parameters
    ==========

    loads : returns the load of each upstream, summed over all nodes.
    """

    def __init__(
        self,
        hosts: HostRegistry,
        operator: GroupOperator,
        substitutes: Substitutes,
        host_tasks: HostTasks,
        loads: Callable[[], list[LoadReport]],
        clock: Clock,
        log: EventLog,
    ):
        self._hosts = hosts
        self._operator = operator
        self._substitutes = substitutes
        self._host_tasks = host_tasks
        self._loads = loads
        self._clock = clock
        self._log = log
        self._retirements = hosts.retirements
        self._checked_at: dict[tuple[str, int], float] = {}
        self._idle_checked_at: dict[tuple[str, int], float] = {}
        self._rechecked_at: dict[str, float] = {}
        self._paces: dict[tuple[str, int], float] = {}
        self._unfinished_since: dict[tuple[str, int], float] = {}
        # Groups that are known to serve with draining members.
        self._kept: set[tuple[str, int]] = set()

    def pace(self, key: tuple[str, int]) -> float:
        """Return the pace of a group's slowest member, as of the latest probes."""
        return self._paces.get(key, 1.0)

    def check_group(
        self,
        engine: EngineProfile,
        key: tuple[str, int],
        group: Group,
        loads: dict[str, LoadReport],
    ) -> None:
        """Keep, open, probe, retire or dissolve a group."""
        if self._is_in_down_hall(group) or self._is_busy(group) or self._has_ended(key, group):
            return
        model = engine.model(group.model) if group.model else None
        if model is None or is_standby(group):
            return
        head = group.head
        if self._hosts.ended_for_s(key) is not None:
            is_intact = group.is_whole(model.size) and not self._hosts.has_lost_member(group)
            if not (is_intact and self._hosts.cancel_end(key)):
                self._spawn_dissolve(group, model, "a member is back that was not told to leave")
            return
        if head is None:
            self._check_headless(key, group, model, loads)
        elif is_serving(group):
            self._check_serving(key, group, model, loads.get(head.id))
        elif head.membership.state is MemberState.BROKEN:
            self._spawn_dissolve(group, model, "broken")
        elif self._is_ready(group, model):
            self._host_tasks.spawn(self._operator.open(group), group.members.values())
        elif self._is_stuck(key, group, model):
            self._spawn_dissolve(group, model, "forming did not complete")

    def _check_serving(
        self, key: tuple[str, int], group: Group, model: EngineModel, load: LoadReport | None
    ) -> None:
        """Keep, probe, retire or dissolve a group whose head is listed as serving."""
        if self._hosts.has_lost_member(group):
            self._check_with_lost(key, group, model, load)
            return
        is_silent = load is not None and load.stalled_s > SUSPECT_STALL_S
        is_missing = not (group.is_whole(model.size) or self._may_be_listed_again(key))
        if is_silent or is_missing:
            self._start_check(key, group, model, "silent" if is_silent else "member not listed")
        retirement = self._retirements.get(key)
        if retirement is not None and retirement.reason in RECOVERABLE_REASONS:
            self._retirements.end(key)
            self._log.event("group_serves_again", group=group.name, why=retirement.reason)
        elif retirement is not None:
            self._end_when_idle(key, group, model, group.head, load)
        elif not (is_silent or is_missing):
            self._retire_if_replaceable(key, group, model, load)

    def _may_be_listed_again(self, key: tuple[str, int]) -> bool:
        """Whether the members that a group lacks on the list may be listed again soon."""
        return self._hosts.is_in_grace_period() and not self._substitutes.has_lost_leaving_member(
            key
        )

    def _check_with_lost(
        self, key: tuple[str, int], group: Group, model: EngineModel, load: LoadReport | None
    ) -> None:
        """Keep, retire or dissolve a group some members of which don't respond."""
        if self._may_continue(group, model):
            return
        if self._makes_progress(group):
            if self._retirements.get(key) is None:
                self._begin_retiring(key, group.head, RetirementReason.MEMBER_UNHEARD)
            self._end_when_idle(key, group, model, group.head, load)
        elif not self._may_finish(key, group, load):
            self._spawn_dissolve(group, model, "a member is lost")

    def _retire_if_replaceable(
        self, key: tuple[str, int], group: Group, model: EngineModel, load: LoadReport | None
    ) -> None:
        """End a group with leaving or slow members, if other hosts or groups can replace it."""
        draining = self._substitutes.draining_members(group)
        has_substitutes = self._substitutes.suffice(group, model, draining)
        if has_substitutes or self._substitutes.outlast(key, group, model):
            self._begin_retiring(key, group.head, RetirementReason.MEMBER_DRAINS)
        elif self._substitutes.suffice(group, model, self._slow_members(key, group, model)):
            if has_fixed_requests(load):
                self._begin_retiring(key, group.head, RetirementReason.MEMBER_SLOW)
            else:
                self._spawn_dissolve(group, model, "a member is slow")
        elif draining:
            self._log_kept(key, group, model, draining)

    def _log_kept(
        self, key: tuple[str, int], group: Group, model: EngineModel, draining: list[Upstream]
    ) -> None:
        """Log once that a group with draining members goes on serving."""
        if key in self._kept:
            return
        self._kept.add(key)
        self._log.event(
            "group_kept",
            group=group.name,
            draining=",".join(member.id for member in draining),
            spares=self._substitutes.count(group, model),
        )

    def _begin_retiring(
        self, key: tuple[str, int], head: Upstream, reason: RetirementReason
    ) -> None:
        self._log.event("group_retiring", group=key[0], head=head.id, why=reason)
        self._retirements.begin(key, head, reason)

    def _is_briefly_silent(self, group: Group) -> bool:
        """Whether the lost members of a group may be sound hosts that go on soon."""
        return all(self._hosts.silent_s(m.id) <= MAX_SILENCE_S for m in group.members.values())

    def _may_continue(self, group: Group, model: EngineModel) -> bool:
        """Whether a group with lost members may only be silent, and no other can replace it.

        Its requests have nowhere else to go, and end if it is dissolved.
        """
        if not self._is_briefly_silent(group):
            return False
        others = self._hosts.usable(group.head.service)
        return not any(head.model == model.name for head in open_heads(others))

    def _may_finish(self, key: tuple[str, int], group: Group, load: LoadReport | None) -> bool:
        """Whether a group with lost members may only be silent, and has requests that can't leave.

        The others move as soon as it retires.
        """
        if not has_fixed_requests(load) or not self._is_briefly_silent(group):
            return False
        if self._retirements.get(key) is None:
            self._begin_retiring(key, group.head, RetirementReason.MEMBER_SILENT)
        return True

    def _end_when_idle(
        self,
        key: tuple[str, int],
        group: Group,
        model: EngineModel,
        head: Upstream,
        load: LoadReport | None,
    ) -> None:
        """Dissolve a retiring group when it is idle or its time is up."""
        now, retirement = self._clock.now(), self._retirements.get(key)
        is_idle = load is None or load.running == 0
        if now > retirement.ends_at:
            self._spawn_dissolve(group, model, "its time to retire is over")
        elif is_idle and now - retirement.began_at > MIN_RETIRING_S:
            self._start_idle_check(key, group, model, head)

    def _start_idle_check(
        self, key: tuple[str, int], group: Group, model: EngineModel, head: Upstream
    ) -> None:
        """Ask a head whether it is idle, at most once per ``IDLE_CHECK_INTERVAL_S``."""
        now = self._clock.now()
        if now - self._idle_checked_at.get(key, float("-inf")) > IDLE_CHECK_INTERVAL_S:
            self._idle_checked_at[key] = now
            self._host_tasks.spawn_probe(self._end_if_idle(key, group, model, head))

    async def _end_if_idle(
        self, key: tuple[str, int], group: Group, model: EngineModel, head: Upstream
    ) -> None:
        """Dissolve a retiring group unless its head reports that it has requests.

        They may be those of a node that can't report them to this one.
        """
        report = await self._operator.probe(head)
        if isinstance(report, Upstream) and self._hosts.reported_running(head.id):
            return
        if self._retirements.get(key) is not None and not self._is_busy(group):
            self._spawn_dissolve(group, model, "it has retired")

    def _is_stuck(self, key: tuple[str, int], group: Group, model: EngineModel) -> bool:
        """Whether a group that an earlier coordinator began to form will not get ready."""
        since = self._unfinished_since.setdefault(key, self._clock.now())
        if self._hosts.has_lost_member(group):
            return True
        if not group.is_whole(model.size):
            return not self._hosts.is_in_grace_period()
        return self._clock.now() - since > MAX_UNFINISHED_S

    def _check_headless(
        self,
        key: tuple[str, int],
        group: Group,
        model: EngineModel,
        loads: dict[str, LoadReport],
    ) -> None:
        """End a group whose head has not been listed for too long.

        The head may still run and be listed again with its next heartbeat.
        """
        head = self._hosts.head_of(key)
        if head is not None and not is_member(head, group):
            return
        if self._hosts.is_in_grace_period():
            return
        absent_s = MAX_HEAD_ABSENCE_S if head is None else self._hosts.delisted_for_s(head.id)
        if absent_s < MAX_HEAD_ABSENCE_S:
            return
        load = None if head is None else loads.get(head.id)
        if load is not None and load.stalled_s > SUSPECT_STALL_S:
            self._start_check(key, group, model, "silent")
        if self._retirements.get(key) is not None:
            self._end_when_idle(key, group, model, head, load)
        elif has_fixed_requests(load) and math.isfinite(absent_s):
            self._begin_retiring(key, head, RetirementReason.HEAD_DELISTED)
        else:
            self._spawn_dissolve(group, model, "the head is off the list")

    def _has_ended(self, key: tuple[str, int], group: Group) -> bool:
        """Whether a group was dissolved already and needs no further order for now."""
        if self._hosts.ended_for_s(key) is None:
            return False
        is_open = is_serving(group) and not self._hosts.is_lost(group.head.id)
        remaining = [
            m
            for m in group.members.values()
            if not self._hosts.is_lost(m.id) and not self._hosts.has_left(m.id, key)
        ]
        return not (self._hosts.may_retry_end(key) and (is_open or remaining))

    def _is_in_down_hall(self, group: Group) -> bool:
        return any(self._hosts.is_in_down_hall(member.id) for member in group.members.values())

    def _is_busy(self, group: Group) -> bool:
        return any(member.id in self._hosts.busy for member in group.members.values())

    def _is_ready(self, group: Group, model: EngineModel) -> bool:
        if not group.is_whole(model.size):
            return False
        return all(
            m.membership.state is MemberState.READY and not self._hosts.is_lost(m.id)
            for m in group.members.values()
        )

    def _slow_members(
        self, key: tuple[str, int], group: Group, model: EngineModel
    ) -> list[Upstream]:
        """Return the slow members of a group, and probe a slow group again."""
        if self.pace(key) <= MAX_NORMAL_PACE:
            return []
        self._start_check(key, group, model, "slow")
        return [m for m in group.members.values() if self._hosts.is_slow(m.id)]

    def _start_check(
        self, key: tuple[str, int], group: Group, model: EngineModel, why: str
    ) -> None:
        """Probe a group's members, at most once per ``MEMBER_CHECK_INTERVAL_S``."""
        now = self._clock.now()
        if now - self._checked_at.get(key, float("-inf")) < MEMBER_CHECK_INTERVAL_S:
            return
        self._checked_at[key] = now
        self._host_tasks.spawn_probe(self._check_members(group, model, why))

    async def _check_members(self, group: Group, model: EngineModel, why: str) -> None:
        members = self._members_ever_known(group)
        reports = await asyncio.gather(*(self._operator.probe(m) for m in members))
        if all(isinstance(report, Unavailable) for report in reports):
            # More likely this node is slow than all members are lost; retry with more time.
            reports = await asyncio.gather(
                *(self._operator.probe(m, SLOW_PROBE_TIMEOUT_S) for m in members)
            )
        lost = [m.id for m, r in zip(members, reports, strict=True) if isinstance(r, Unavailable)]
        moved = [
            m.id
            for m, r in zip(members, reports, strict=True)
            if isinstance(r, Upstream) and not is_member(r, group)
        ]
        if lost and not self._operator.reaches_hosts():
            return
        for member, report in zip(members, reports, strict=True):
            if isinstance(report, Unavailable):
                self._hosts.mark_lost(member.id, report.is_refused)
        key = (group.name, group.epoch)
        self._paces[key] = max((self._hosts.pace(m.id) for m in members), default=1.0)
        if self._paces[key] > MAX_NORMAL_PACE:
            await self._substitutes.probe(group, model)
        self._log.event(
            "group_checked",
            group=group.name,
            why=why,
            lost=",".join(lost),
            moved=",".join(moved),
            known=len(members),
            pace=self._paces[key],
        )
        is_incomplete = len(members) < model.size and not self._makes_progress(group)
        # The next pass decides on a group that has only lost members that are listed.
        unlisted = [host for host in lost if not self._hosts.is_listed(host)]
        is_broken = unlisted and not (
            self._may_continue(group, model) or self._makes_progress(group)
        )
        must_end = moved or is_incomplete or is_broken
        if must_end and not self._is_busy(group):
            self._spawn_dissolve(group, model, f"lost {lost} moved {moved}")
        self._host_tasks.wake.set()

    def _makes_progress(self, group: Group) -> bool:
        """Whether requests at a group's head progress, which shows that it is whole."""
        for load in self._loads():
            if group.head is not None and load.upstream_id == group.head.id:
                return load.running > 0 and load.silent_s < SUSPECT_STALL_S
        return False

    def _members_ever_known(self, group: Group) -> list[Upstream]:
        """Return a group's members, including those that left the list."""
        members = {m.id: m for m in group.members.values()}
        for host in self._hosts.ever_listed():
            if host.id not in members and is_member(host, group):
                members[host.id] = host
        return list(members.values())

    def _spawn_dissolve(self, group: Group, model: EngineModel, why: str) -> None:
        head = self._hosts.head_of((group.name, group.epoch))
        running = [load.running for load in self._loads() if head and load.upstream_id == head.id]
        self._log.event(
            "group_dissolving",
            group=group.name,
            model=model.name,
            why=why,
            running=sum(running),
            reported_running=self._hosts.reported_running(head.id) if head else None,
        )
        known = {m.membership.rank: m for m in self._members_ever_known(group) if m.membership}
        whole = Group(group.name, group.epoch, {**known, **group.members})
        if is_serving(group) and group.head.domain is not None:
            self._hosts.record_missing_group(group.head.domain, model.name)
        self._host_tasks.spawn(self._dissolve(whole), whole.members.values())

    async def _dissolve(self, group: Group) -> None:
        self._hosts.mark_ended(group, await self._operator.dissolve(group))

    def recheck_lost(self) -> None:
        """Probe lost hosts that are still listed."""
        now = self._clock.now()
        for host in self._hosts.individually_lost():
            known = self._hosts.get(host)
            if known is None or not self._hosts.is_listed(host):
                continue
            if self._hosts.is_in_down_hall(host):
                continue
            if now - self._rechecked_at.get(host, float("-inf")) > LOST_CHECK_INTERVAL_S:
                self._rechecked_at[host] = now
                self._host_tasks.spawn_probe(self._operator.probe(known))
