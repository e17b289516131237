"""Carries out moves of hosts from one model to another, and keeps count of them.

Explanation
===========

A move is seen in the list only when the new groups are being formed, some seconds after it
was decided. Until then its domain's targets are those of the move, and other domains count
on it.
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
from mulleinreach.gateway.model import EngineProfile, Service

# A model has to be crowded for so long before hosts move to it: a group that is under repair
# is back by then.
MIN_WANTED_S = 1.5
# Hosts of a model that others have just moved to stay for so long: bursts last that long, and
# a domain that moves there and back serves less than one that stays.
MOVE_COOLDOWN_S = 10.0
# A retiring group ends within 3.5 s, joins from staged weights take 1 to 2 s, opening 0.3 s.
MOVE_TIMEOUT_S = 8.0


@dataclass(frozen=True)
class _PendingMove:
    """A move that was begun, and until when it is waited for."""

    move: Move
    until: float

    def is_over(self, view: DomainView | None, now: float) -> bool:
        """Whether the new groups are being formed, or won't be."""
        if view is None or now > self.until:
            return True
        return view.groups.get(self.move.to_model, 0) >= self.move.count


class HostRebalancer:
    """Decides how many groups each domain should have, and begins moves where they pay.

    Parameters
    ==========

    tolerates_hall_loss : whether the loss of a whole hall is to be borne.
    may_begin : whether orders can be given for a while. A move that is cut short by an outage
        of the store leaves hosts that serve nobody until it is back.
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
        """Return how many groups of each model each domain should have.

        Parameters
        ==========

        demand : what requests of each model hold or wait for; empty while that is unknown.
        """
        engine = service.engine
        planned = self._with_pending_moves(views)
        workload = self._work(engine, planned, demand)
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
            self._start_move(move)
            planned = self._with_pending_moves(views)
            workload = self._work(engine, planned, demand)
            targets = allocate(planned, engine, workload)
        return targets

    def _work(
        self, engine: EngineProfile, planned: list[DomainView], demand: dict[str, float]
    ) -> Workload:
        """Return what the models have to bear, with a hall in reserve where one may be lost."""
        max_hall_groups = max_groups_per_hall(planned) if self._tolerates_hall_loss else {}
        return Workload(engine.slots, demand, self._crowded, max_hall_groups)

    def end_term(self) -> None:
        """Forget moves under way, whose groups serve on."""
        self._pending_moves.clear()
        self._wanted_since.clear()

    def _next_move(
        self,
        planned: list[DomainView],
        targets: dict[str, dict[str, int]],
        engine: EngineProfile,
        workload: Workload,
    ) -> Move | None:
        """Return a move that can begin at once and has been wanted for long enough."""
        now = self._clock.now()
        cooling_down = {model for model, at in self._moved_at.items() if now - at < MOVE_COOLDOWN_S}
        repaired = [_with_repairs(view, targets[view.name], engine) for view in planned]
        resting = [view for view in repaired if view.name not in self._pending_moves]
        move = next_move(repaired, resting, engine, workload, cooling_down)
        wanted = set() if move is None or not move.is_ready else {move.to_model}
        self._wanted_since = {model: self._wanted_since.get(model, now) for model in wanted}
        if not wanted or now - self._wanted_since[move.to_model] < MIN_WANTED_S:
            return None
        return move

    def _with_pending_moves(self, views: list[DomainView]) -> list[DomainView]:
        """Return domains as they will be once the moves under way are done."""
        now = self._clock.now()
        known = {view.name: view for view in views}
        self._pending_moves = {
            domain: underway
            for domain, underway in self._pending_moves.items()
            if not underway.is_over(known.get(domain), now)
        }
        return [self._with_pending_move(view) for view in views]

    def _with_pending_move(self, view: DomainView) -> DomainView:
        underway = self._pending_moves.get(view.name)
        if underway is None:
            return view
        move = underway.move
        ended = {group.place for group in move.ended}
        serving = tuple(group for group in view.serving if group.place not in ended)
        given = len(view.serving) - len(serving)
        groups = {
            **view.groups,
            move.from_model: view.groups.get(move.from_model, 0) - given,
            move.to_model: move.count,
        }
        return replace(view, groups=groups, serving=serving)

    def _start_move(self, move: Move) -> None:
        self._pending_moves[move.domain] = _PendingMove(move, self._clock.now() + MOVE_TIMEOUT_S)
        self._moved_at[move.to_model] = self._clock.now()
        for group in move.ended:
            name, epoch = group.place
            head = self._hosts.head_of(group.place)
            if head is None:
                continue
            self._hosts.begin_retiring(group.place, head.id, yields_hosts=True)
            self._log.event(
                "group_retiring", group=name, epoch=epoch, why=f"hosts move to {move.to_model}"
            )


def _with_repairs(view: DomainView, targets: dict[str, int], engine: EngineProfile) -> DomainView:
    """Return a domain with the groups that its free hosts are about to form."""
    groups = Counter(view.groups)
    groups.update(plan.model for plan in plan_groups(view, engine.models, targets))
    return replace(view, groups=dict(groups))
