"""Allocates the hosts of a service to models, over all of its domains.

Explanation
===========

A model is *crowded* if so many of its slots are in use that requests often queue. While no
model is crowded, each domain keeps a group of each model. Otherwise free hosts go where they
reduce queueing most, and hosts of models with free slots move to crowded models.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from mulleinreach.gateway.fleet.planner import (
    HIGH_USAGE,
    STANDBYS_PER_MODEL,
    DomainView,
    ServingGroup,
    target_groups,
)
from mulleinreach.gateway.model import EngineModel, EngineProfile

# A second group may fail while the first is under repair.
RESERVE_GROUPS = 2
# Fractions of slots in use; the gap is a hysteresis against moves back and forth.
CROWDED_USAGE = 0.6
RELIEVED_USAGE = 0.45
# Fraction of the cost; a move interrupts service of its hosts for two to four seconds, so small
# gains do not pay.
MIN_MOVE_GAIN = 0.2
# What a move changes shows within some seconds.
MAX_CONCURRENT_MOVES = 3
# Queueing time grows faster than usage.
COST_EXPONENT = 3


@dataclass(frozen=True)
class Workload:
    """The demand for a service's models, and the reserve to keep for failures.

    Parameters
    ==========

    slots : slots per group.
    demand : slots that requests of each model hold or wait for; empty before the first ones.
    crowded : the models whose requests often queue.
    max_hall_groups : the groups of each model in the hall that has most of them; empty if the
        loss of a hall is not planned for.
    """

    slots: int
    demand: dict[str, float]
    crowded: frozenset[str] = frozenset()
    max_hall_groups: Mapping[str, int] = field(default_factory=dict)

    def reserve(self, model: str) -> int:
        """Return how many groups of a model may fail at the same time.

        Examples
        ========

        >>> workload = Workload(24, {}, max_hall_groups={"wide": 4, "narrow": 1})
        >>> workload.reserve("wide"), workload.reserve("narrow"), Workload(24, {}).reserve("wide")
        (4, 2, 2)
        """
        return max(RESERVE_GROUPS, self.max_hall_groups.get(model, 0))

    def usage_without_reserve(self, model: str, groups: int) -> float:
        """Return the fraction of a model's slots in use after the loss of the reserve.

        Examples
        ========

        >>> workload = Workload(24, {"wide": 24, "narrow": 192})
        >>> workload.usage_without_reserve("wide", 4), workload.usage_without_reserve("narrow", 10)
        (0.5, 1.0)
        """
        remaining = max(
            groups - self.reserve(model), groups / (1 + RESERVE_GROUPS), 1 / (1 + self.slots)
        )
        return self.demand.get(model, 0.0) / (self.slots * remaining)

    def cost(self, model: str, groups: int) -> float:
        """Return a relative measure of how long the requests of a model queue."""
        return (
            self.demand.get(model, 0.0) * self.usage_without_reserve(model, groups) ** COST_EXPONENT
        )

    def usage(self, model: str, groups: int) -> float:
        """Return the fraction of a model's slots in use."""
        return self.demand.get(model, 0.0) / (self.slots * max(1, groups))


@dataclass(frozen=True)
class Move:
    """Dissolve groups of one model in a domain and form groups of another model there.

    Parameters
    ==========

    ended : the groups to dissolve.
    count : the number of groups of ``to_model`` in the domain afterwards.
    is_ready : whether enough hosts have the weights of ``to_model`` already.
    """

    domain: str
    from_model: str
    to_model: str
    ended: tuple[ServingGroup, ...]
    count: int
    is_ready: bool


def total_groups(views: list[DomainView]) -> Counter[str]:
    """Return the number of groups of each model, serving or being formed, in all domains."""
    totals: Counter[str] = Counter()
    for view in views:
        totals.update(view.groups)
    return totals


def max_groups_per_hall(views: list[DomainView]) -> dict[str, int]:
    """Return the number of groups of each model in the hall with the most of them.

    Examples
    ========

    >>> views = [DomainView(n, 8, {"a": 1}, {}, (), hall=h) for n, h in ("dx", "ex", "fy")]
    >>> max_groups_per_hall(views)
    {'a': 2}
    """
    maxima: dict[str, int] = {}
    for groups in _groups_by_hall(views).values():
        for model, count in groups.items():
            maxima[model] = max(count, maxima.get(model, 0))
    return maxima


def _groups_by_hall(views: list[DomainView]) -> dict[str, Counter[str]]:
    halls: dict[str, Counter[str]] = {}
    for view in views:
        halls.setdefault(view.hall, Counter()).update(view.groups)
    return halls


def crowded_models(
    views: list[DomainView], workload: Workload, before: frozenset[str]
) -> frozenset[str]:
    """Return the models that are crowded.

    Parameters
    ==========

    before : the models that were crowded before; they stay so down to ``RELIEVED_USAGE``.

    Examples
    ========

    >>> views = [DomainView("d", 8, {"a": 1, "b": 2}, {}, ())]
    >>> sorted(crowded_models(views, Workload(10, {"a": 5, "b": 13}), frozenset()))
    ['b']
    >>> sorted(crowded_models(views, Workload(10, {"a": 5, "b": 8}), frozenset("ab")))
    ['a']
    """
    totals = total_groups(views)

    def is_crowded(model: str) -> bool:
        limit = RELIEVED_USAGE if model in before else CROWDED_USAGE
        return workload.usage(model, totals[model]) > limit

    return frozenset(filter(is_crowded, workload.demand))


def allocate(
    views: list[DomainView], engine: EngineProfile, workload: Workload
) -> dict[str, dict[str, int]]:
    """Return how many groups of each model each domain should have.

    Examples
    ========

    >>> models = (EngineModel("a", 4, share=0.5), EngineModel("b", 2, share=0.5))
    >>> engine = EngineProfile(models, slots=10)
    >>> views = [DomainView(name, 8, {"a": 1, "b": 1}, {}, ()) for name in ("e", "f", "g")]
    >>> views.append(DomainView("d", 8, {"b": 1}, {}, ()))
    >>> allocate(views, engine, Workload(10, {"a": 2, "b": 4}))["d"]
    {'a': 1, 'b': 1}
    >>> allocate(views, engine, Workload(10, {"a": 2, "b": 25}, frozenset("b")))["d"]
    {'a': 0, 'b': 3}
    """
    totals = total_groups(views)
    if not workload.crowded:
        return {view.name: target_groups(view, engine.models) for view in views}
    targets = {
        view.name: {m.name: view.groups.get(m.name, 0) for m in engine.models} for view in views
    }
    while choices := list(_candidate_groups(views, targets, engine, workload, totals)):
        _, domain, model = max(choices)
        targets[domain][model] += 1
        totals[model] += 1
    return targets


def _candidate_groups(
    views: list[DomainView],
    targets: dict[str, dict[str, int]],
    engine: EngineProfile,
    workload: Workload,
    totals: Counter[str],
) -> Iterator[tuple[tuple[int, float], str, str]]:
    """Yield the value, domain and model of each additional group that fits in a domain.

    The value is the number of groups that the model is short of its reserve, then the cost
    reduction per host.
    """
    for model in engine.models:
        count = totals[model.name]
        missing = max(0, workload.reserve(model.name) + 1 - count)
        gain = workload.cost(model.name, count) - workload.cost(model.name, count + 1)
        for view in views:
            domain_targets = targets[view.name]
            used = sum(domain_targets[m.name] * m.size for m in engine.models)
            if model.size <= view.hosts - used - _reserved_hosts(
                domain_targets, workload, model, count
            ):
                yield (missing, gain / model.size), view.name, model.name


def _reserved_hosts(
    domain_targets: dict[str, int], workload: Workload, model: EngineModel, count: int
) -> int:
    """Return how many hosts of a domain to reserve for standbys when adding a group."""
    if domain_targets[model.name] == 0 or workload.usage(model.name, count) > HIGH_USAGE:
        return 0
    return STANDBYS_PER_MODEL * len(domain_targets)


def next_move(
    views: list[DomainView],
    movable: list[DomainView],
    engine: EngineProfile,
    workload: Workload,
    cooling_down: Collection[str] = (),
) -> Move | None:
    """Return the best move, or ``None`` if none reduces the cost by ``MIN_MOVE_GAIN``.

    Parameters
    ==========

    movable : the domains in which a move may begin.
    cooling_down : models whose hosts move only to a model that is down to its reserve.

    Examples
    ========

    >>> from mulleinreach.gateway.fleet.planner import FreeHost
    >>> models = (EngineModel("a", 4), EngineModel("b", 2))
    >>> engine = EngineProfile(models, slots=10)
    >>> group = ServingGroup("a", ("g", 1), tuple(FreeHost(f"u{n}", "a") for n in range(4)))
    >>> views = [
    ...     DomainView(f"d{n}", 8, {"a": 1, "b": 1}, {}, (), {}, serving=(group,)) for n in range(6)
    ... ]
    >>> move = next_move(views, views, engine, Workload(10, {"a": 10, "b": 40}, frozenset("b")))
    >>> move.from_model, move.to_model, move.count, move.is_ready
    ('a', 'b', 2, False)
    >>> next_move(views, views, engine, Workload(10, {"a": 10, "b": 20})) is None
    True
    """
    totals = total_groups(views)
    by_hall = _groups_by_hall(views)
    cost_before = _cost(workload, engine, totals)
    best: tuple[tuple, Move] | None = None
    for view in movable:
        for move in _moves_in(view, engine, workload, totals):
            if move.from_model in cooling_down and totals[move.to_model] > workload.reserve(
                move.to_model
            ):
                continue
            after = totals.copy()
            after[move.from_model] -= len(move.ended)
            after[move.to_model] += move.count - view.groups.get(move.to_model, 0)
            cost_after = _cost(workload, engine, after)
            # Prefer halls with many groups of the source model, so that it stays in all halls.
            in_hall = by_hall[view.hall][move.from_model]
            rank = (move.is_ready, -cost_after, in_hall, view.name)
            if cost_after <= (1 - MIN_MOVE_GAIN) * cost_before and (best is None or rank > best[0]):
                best = (rank, move)
    return None if best is None else best[1]


def _cost(workload: Workload, engine: EngineProfile, totals: Counter[str]) -> float:
    return sum(workload.cost(model.name, totals[model.name]) for model in engine.models)


def _moves_in(
    view: DomainView, engine: EngineProfile, workload: Workload, totals: Counter[str]
) -> Iterator[Move]:
    """Yield the smallest possible moves of one domain to crowded models."""
    for target in engine.models:
        if target.name not in workload.crowded:
            continue
        for source in engine.models:
            # Each model keeps its reserve and one more group, even without requests.
            max_ended = totals[source.name] - workload.reserve(source.name) - 1
            if source is target or max_ended < 1:
                continue
            move = _smallest_move(view, source, target, max_ended)
            if move is not None:
                yield move


def _smallest_move(
    view: DomainView, source: EngineModel, target: EngineModel, max_ended: int
) -> Move | None:
    """Return the move that dissolves the fewest groups of ``source`` to form one of ``target``.

    Parameters
    ==========

    max_ended : how many groups of ``source`` may be dissolved.
    """
    candidates = [group for group in view.serving if group.model == source.name]
    candidates.sort(key=lambda group: -sum(host.holds(target.name) for host in group.members))
    hosts = list(view.free)
    for number, group in enumerate(candidates[:max_ended], 1):
        hosts += group.members
        formed = max(
            (len(hosts) - STANDBYS_PER_MODEL) // target.size, min(1, len(hosts) // target.size)
        )
        if formed:
            count = view.groups.get(target.name, 0) + formed
            is_ready = sum(host.holds(target.name) for host in hosts) >= formed * target.size
            ended = tuple(candidates[:number])
            return Move(view.name, source.name, target.name, ended, count, is_ready)
    return None
