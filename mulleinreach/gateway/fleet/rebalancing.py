"""Moves hosts from one model to another, and tracks the moves in progress.

Explanation
===========

The host list shows a move only some seconds after its start, when the new groups are being
formed. Until then plans assume that the move has succeeded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.fleet.allocation import (
    MAX_CONCURRENT_MOVES,
    Move,
    Workload,
    allocate,
    crowded_models,
    max_groups_per_hall,
    next_move,
)
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.fleet.planner import DomainView, plan_groups
from mulleinreach.gateway.fleet.retirements import RetirementReason
from mulleinreach.gateway.model import EngineProfile, Service

# Longer than the repair of a group, which may end the shortage without a move.
MIN_WANTED_S = 1.5
# Prevents moves back and forth: bursts last about as long, and a domain that moves to a model and
# back serves less than one that stays.
MOVE_COOLDOWN_S = 10.0
# Covers joining with staged weights and opening, after the groups have retired.
FORMING_TIMEOUT_S = 4.5


@dataclass(frozen=True)
class _PendingMove:
    """A move in progress and its deadline."""

    move: Move
    expires_at: float

    def is_over(self, view: DomainView | None, now: float) -> bool:
        """Whether the new groups are being formed, or the deadline has passed."""
        if view is None or now > self.expires_at:
            return True
        return view.groups.get(self.move.to_model, 0) >= self.move.count


class HostRebalancer:
    """Decides how many groups each domain should have, and starts worthwhile moves.

    Parameters
    ==========

    tolerates_hall_loss : whether capacity is planned for the loss of a whole hall.
    may_begin : returns whether the lease stays valid for a while. A move that is interrupted
        by a store outage leaves its hosts idle until the store recovers.
    """

    def __init__(
        self,
        tolerates_hall_loss: bool,
        hosts: HostRegistry,
        may_begin: Callable[[], bool],
        clock: Clock,
        log: EventLog,
    ):
        self._tolerates_hall_loss = tolerates_hall_loss
        self._hosts = hosts
        self._may_begin = may_begin
        self._clock = clock
        self._log = log
        self._pending_moves: dict[str, _PendingMove] = {}
        self._crowded: frozenset[str] = frozenset()
        self._wanted_since: dict[str, float] = {}
        self._moved_at: dict[str, float] = {}

    def targets(
        self, service: Service, views: list[DomainView], demand: dict[str, float]
    ) -> dict[str, dict[str, int]]:
        """Return the number of groups of each model that each domain should have.

        Parameters
        ==========

        demand : slots that requests of each model hold or wait for; empty while unknown.
        """
        engine = service.engine
        planned = self._with_pending_moves(views)
        workload = self._workload(engine, planned, demand)
        self._crowded = crowded_models(planned, workload, self._crowded)
        workload = replace(workload, crowded=self._crowded)
        targets = allocate(planned, engine, workload)
        if not self._crowded:
            self._wanted_since.clear()
            return targets
        while demand and self._may_begin() and len(self._pending_moves) < MAX_CONCURRENT_MOVES:
            move = self._next_move(planned, targets, engine, workload)
            if move is None:
                break
            self._start_move(service.name, move)
            planned = self._with_pending_moves(views)
            workload = self._workload(engine, planned, demand)
            targets = allocate(planned, engine, workload)
        return targets

    def _workload(
        self, engine: EngineProfile, planned: list[DomainView], demand: dict[str, float]
    ) -> Workload:
        """Return the workload, with the largest hall as reserve if its loss is planned for."""
        max_hall_groups = max_groups_per_hall(planned) if self._tolerates_hall_loss else {}
        return Workload(engine.slots, demand, self._crowded, max_hall_groups)

    def end_term(self) -> None:
        """Forget the moves in progress; their groups continue to serve."""
        self._pending_moves.clear()
        self._wanted_since.clear()

    def _next_move(
        self,
        planned: list[DomainView],
        targets: dict[str, dict[str, int]],
        engine: EngineProfile,
        workload: Workload,
    ) -> Move | None:
        """Return a move that is ready and has been wanted for at least ``MIN_WANTED_S``."""
        now = self._clock.now()
        cooling_down = {model for model, at in self._moved_at.items() if now - at < MOVE_COOLDOWN_S}
        repaired = [_with_repairs(view, targets[view.name], engine) for view in planned]
        movable = [view for view in repaired if view.name not in self._pending_moves]
        move = next_move(repaired, movable, engine, workload, cooling_down)
        wanted = set() if move is None or not move.is_ready else {move.to_model}
        self._wanted_since = {model: self._wanted_since.get(model, now) for model in wanted}
        if not wanted or now - self._wanted_since[move.to_model] < MIN_WANTED_S:
            return None
        return move

    def _with_pending_moves(self, views: list[DomainView]) -> list[DomainView]:
        """Return the domains as they will be after the moves in progress."""
        now = self._clock.now()
        known = {view.name: view for view in views}
        self._pending_moves = {
            domain: pending
            for domain, pending in self._pending_moves.items()
            if not pending.is_over(known.get(domain), now)
        }
        return [self._with_pending_move(view) for view in views]

    def _with_pending_move(self, view: DomainView) -> DomainView:
        pending = self._pending_moves.get(view.name)
        if pending is None:
            return view
        move = pending.move
        ended = {group.key for group in move.ended}
        serving = tuple(group for group in view.serving if group.key not in ended)
        ended_count = len(view.serving) - len(serving)
        groups = {
            **view.groups,
            move.from_model: view.groups.get(move.from_model, 0) - ended_count,
            move.to_model: move.count,
        }
        return replace(view, groups=groups, serving=serving)

    def _start_move(self, service: str, move: Move) -> None:
        timeout_s = self._hosts.retirements.max_duration_s(service) + FORMING_TIMEOUT_S
        self._pending_moves[move.domain] = _PendingMove(move, self._clock.now() + timeout_s)
        self._moved_at[move.to_model] = self._clock.now()
        for group in move.ended:
            name, epoch = group.key
            head = self._hosts.head_of(group.key)
            if head is None:
                continue
            reason = RetirementReason.HOSTS_MOVE
            self._hosts.retirements.begin(group.key, head, reason)
            self._log.event(
                "group_retiring", group=name, epoch=epoch, why=reason, to_model=move.to_model
            )


def _with_repairs(view: DomainView, targets: dict[str, int], engine: EngineProfile) -> DomainView:
    """Return a domain including the groups that its free hosts can form at once."""
    groups = Counter(view.groups)
    groups.update(plan.model for plan in plan_groups(view, engine.models, targets))
    return replace(view, groups=dict(groups))
