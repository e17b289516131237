"""Decides over all domains of a service how many groups of which model there should be.

Explanation
===========

While no model is crowded, each domain keeps a group of each model. Once one is, what
counts is how much longer its requests wait: hosts go where they shorten that most, and
groups of a model that has places to spare give way to those of the crowded one.
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

# Groups of a model that may be lost at any moment: the others have to bear its work. Two,
# since a second one may fail while the first is under repair.
RESERVE_GROUPS = 2
# The share of places in use above which a model is crowded, and below which it is so no more.
# With one limit of 0.45, moves in bursts took groups that were missed when hosts were lost in
# turn (0.06 of a day's worth on one of two such days of 48 hosts). At 0.66, a fifth of the
# requests was late on a site of 162 hosts.
CROWDED_USAGE = 0.6
RELIEVED_USAGE = 0.45
# A move has to lower the cost by this share: meanwhile its hosts serve no caller for two to
# four seconds, so a smaller gain is lost on those who wait.
MIN_MOVE_GAIN = 0.2
# Moves under way at a time; each is followed by what it changes within some seconds.
MAX_CONCURRENT_MOVES = 3
# Callers hardly wait at half of the places and long at nearly all; a cube weighs them so.
COST_EXPONENT = 3


@dataclass(frozen=True)
class Workload:
    """The work of a service's models.

    Parameters
    ==========

    slots : places of a group.
    demand : demand that requests of each model hold or wait for; empty before the first ones.
    crowded : the models whose requests often wait, since so many of their places are in use.
    max_hall_groups : the groups of each model in the hall that has most of them; empty where no
        hall may be lost.
    """

    slots: int
    demand: dict[str, float]
    crowded: frozenset[str] = frozenset()
    max_hall_groups: Mapping[str, int] = field(default_factory=dict)

    def reserve(self, model: str) -> int:
        """Return how many groups of a model may be lost at any moment.

        Examples
        ========

        >>> workload = Workload(24, {}, max_hall_groups={"wide": 4, "narrow": 1})
        >>> workload.reserve("wide"), workload.reserve("narrow"), Workload(24, {}).reserve("wide")
        (4, 2, 2)
        """
        return max(RESERVE_GROUPS, self.max_hall_groups.get(model, 0))

    def usage_without_reserve(self, model: str, groups: int) -> float:
        """Return the share of a model's places in use once the reserve is lost.

        Examples
        ========

        >>> workload = Workload(24, {"wide": 24, "narrow": 192})
        >>> workload.usage_without_reserve("wide", 4), workload.usage_without_reserve("narrow", 10)
        (0.5, 1.0)
        """
        spared = max(
            groups - self.reserve(model), groups / (1 + RESERVE_GROUPS), 1 / (1 + self.slots)
        )
        return self.demand.get(model, 0.0) / (self.slots * spared)

    def cost(self, model: str, groups: int) -> float:
        """Return how much the requests of a model wait, in no unit."""
        return (
            self.demand.get(model, 0.0) * self.usage_without_reserve(model, groups) ** COST_EXPONENT
        )

    def usage(self, model: str, groups: int) -> float:
        """Return the share of a model's places in use."""
        return self.demand.get(model, 0.0) / (self.slots * max(1, groups))


@dataclass(frozen=True)
class Move:
    """End some groups of one model in a domain, and form groups of another there.

    Parameters
    ==========

    ended : the groups to be ended.
    count : how many groups of ``to_model`` the domain has after it.
    is_ready : whether enough hosts hold the other model already.
    """

    domain: str
    from_model: str
    to_model: str
    ended: tuple[ServingGroup, ...]
    count: int
    is_ready: bool


def total_groups(views: list[DomainView]) -> Counter[str]:
    """Return how many groups of each model all domains have or are about to have."""
    totals: Counter[str] = Counter()
    for view in views:
        totals.update(view.groups)
    return totals


def max_groups_per_hall(views: list[DomainView]) -> dict[str, int]:
    """Return how many groups of each model the hall has that has most of them.

    Examples
    ========

    >>> views = [DomainView(n, 8, {"a": 1}, {}, (), hall=h) for n, h in ("dx", "ex", "fy")]
    >>> max_groups_per_hall(views)
    {'a': 2}
    """
    fullest: dict[str, int] = {}
    for groups in _groups_by_hall(views).values():
        for model, count in groups.items():
            fullest[model] = max(count, fullest.get(model, 0))
    return fullest


def _groups_by_hall(views: list[DomainView]) -> dict[str, Counter[str]]:
    halls: dict[str, Counter[str]] = {}
    for view in views:
        halls.setdefault(view.hall, Counter()).update(view.groups)
    return halls


def crowded_models(
    views: list[DomainView], workload: Workload, before: frozenset[str]
) -> frozenset[str]:
    """Return the models that are crowded now.

    Parameters
    ==========

    before : the models that were crowded so far.

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
    """Yield what each further group that fits in a domain would bring.

    First counts how many groups its model lacks to the reserve, then the gain of each host.
    """
    for model in engine.models:
        count = totals[model.name]
        lacking = max(0, workload.reserve(model.name) + 1 - count)
        gain = workload.cost(model.name, count) - workload.cost(model.name, count + 1)
        for view in views:
            own = targets[view.name]
            used = sum(own[m.name] * m.size for m in engine.models)
            if model.size <= view.hosts - used - _reserved_hosts(own, workload, model, count):
                yield (lacking, gain / model.size), view.name, model.name


def _reserved_hosts(own: dict[str, int], workload: Workload, model: EngineModel, count: int) -> int:
    """Return how many hosts of a domain a further group of a model leaves for standbys."""
    if own[model.name] == 0 or workload.usage(model.name, count) > HIGH_USAGE:
        return 0
    return STANDBYS_PER_MODEL * len(own)


def next_move(
    views: list[DomainView],
    resting: list[DomainView],
    engine: EngineProfile,
    workload: Workload,
    cooling_down: Collection[str] = (),
) -> Move | None:
    """Return the move that lowers the cost most, if one is worth it.

    Parameters
    ==========

    resting : the domains in which a move may begin.
    cooling_down : models whose groups give way only to one that is down to its reserve.

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
    now = _cost(workload, engine, totals)
    best: tuple[tuple, Move] | None = None
    for view in resting:
        for move in _moves_in(view, engine, workload, totals):
            if move.from_model in cooling_down and totals[move.to_model] > workload.reserve(
                move.to_model
            ):
                continue
            after = totals.copy()
            after[move.from_model] -= len(move.ended)
            after[move.to_model] += move.count - view.groups.get(move.to_model, 0)
            then = _cost(workload, engine, after)
            # Groups of the model that gives way should remain in many halls.
            in_hall = by_hall[view.hall][move.from_model]
            rank = (move.is_ready, -then, in_hall, view.name)
            if then <= (1 - MIN_MOVE_GAIN) * now and (best is None or rank > best[0]):
                best = (rank, move)
    return None if best is None else best[1]


def _cost(workload: Workload, engine: EngineProfile, totals: Counter[str]) -> float:
    return sum(workload.cost(model.name, totals[model.name]) for model in engine.models)


def _moves_in(
    view: DomainView, engine: EngineProfile, workload: Workload, totals: Counter[str]
) -> Iterator[Move]:
    """Yield the smallest moves in one domain that help a crowded model."""
    for to in engine.models:
        if to.name not in workload.crowded:
            continue
        for giving in engine.models:
            # The last groups of a model stay, even if nobody asks for it at the moment.
            most = totals[giving.name] - workload.reserve(giving.name) - 1
            if giving is to or most < 1:
                continue
            move = _smallest_move(view, giving, to, most)
            if move is not None:
                yield move


def _smallest_move(
    view: DomainView, giving: EngineModel, to: EngineModel, most: int
) -> Move | None:
    """Return the move that ends the fewest groups of a model for a group of another one.

    Parameters
    ==========

    most : how many groups may be ended.
    """
    ending = [group for group in view.serving if group.model == giving.name]
    ending.sort(key=lambda group: -sum(host.holds(to.name) for host in group.members))
    hosts = list(view.free)
    for number, group in enumerate(ending[:most], 1):
        hosts += group.members
        formed = max((len(hosts) - STANDBYS_PER_MODEL) // to.size, min(1, len(hosts) // to.size))
        if formed:
            count = view.groups.get(to.name, 0) + formed
            is_ready = sum(host.holds(to.name) for host in hosts) >= formed * to.size
            ended = tuple(ending[:number])
            return Move(view.name, giving.name, to.name, ended, count, is_ready)
    return None
