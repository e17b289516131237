"""Decides which groups a fabric domain should have, and which hosts form them.

Explanation
===========

A group stands within one domain. Beside its groups a domain keeps one host for
each model as a standby, with the model loaded: a group that loses a member is
formed anew from its survivors and the standby in well under a second, where a
host without the weights takes many. Everything here is a function of what is
known of the domain, so that a new coordinator decides as the one before.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.gateway.model import EngineModel

# Hosts a model. Standbys are worth 0.14 and 0.20 of a day's worth on two sites of 48 hosts
# that lose one in three seconds (ten days each, with and without).
STANDBYS_PER_MODEL = 1
# How many hosts may still be missing to a group that is worth waiting for: so few are back
# soon after a loss, and standbys for more would be missed by the groups that callers have.
MAX_MISSING_HOSTS = 2
# Below this share of places in use, models don't differ in what they need. Above the second
# one, the loss of a group makes requests wait. Planning by usage is worth 0.014 of a day's
# worth on a site whose groups are lost in turn (ten days), and nothing measurable on another.
MIN_PLANNED_USAGE = 0.25
HIGH_USAGE = 0.7


@dataclass(frozen=True)
class FreeHost:
    """A host that stands in no group that serves or is being formed.

    Parameters
    ==========

    model : the model of its last group in this life; a join with it is quickest.
    staged : the models whose weights lie on the host.
    is_slow : whether the host reported that its work takes much longer than usual.
    cold_s : for how much longer it bears few requests a second; 0 if it is warm.
    """

    id: str
    model: str | None = None
    staged: tuple[str, ...] = ()
    is_slow: bool = False
    cold_s: float = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the host bears only few requests a second for now."""
        return self.cold_s > 0

    def holds(self, model: str) -> bool:
        """Whether the host can run a model without a load."""
        return self.model == model or model in self.staged


@dataclass(frozen=True)
class ServingGroup:
    """A group that takes requests, by its name and epoch."""

    model: str
    place: tuple[str, int]
    members: tuple[FreeHost, ...]


@dataclass(frozen=True)
class DomainView:
    """What is known of one domain.

    Parameters
    ==========

    hosts : how many hosts of the domain can be used in all.
    groups : serving or forming groups of each model.
    loading : hosts of each model that are being loaded as standbys.
    usage : the share of places in use, by model, over all domains of the service;
        empty before the first requests.
    serving : the groups that serve and are to go on.
    """

    name: str
    hosts: int
    groups: dict[str, int]
    loading: dict[str, int]
    free: tuple[FreeHost, ...]
    usage: dict[str, float] = field(default_factory=dict)
    hall: str = ""
    serving: tuple[ServingGroup, ...] = ()


@dataclass(frozen=True)
class FormGroup:
    """Form a group of these hosts, the first one as its head."""

    model: str
    members: tuple[str, ...]


@dataclass(frozen=True)
class LoadStandby:
    """Load a model on a free host; low ``order`` goes first when loads are scarce."""

    host: str
    model: str
    order: int
    needs_load: bool


def target_groups(view: DomainView, models: tuple[EngineModel, ...]) -> dict[str, int]:
    """Return how many groups of each model a domain should have.

    Explanation
    ===========

    The groups that serve or are being formed stay. The hosts that are left make a group
    of each model that has none, and more as long as standbys remain; each time for the
    model that needs it most. Where one model's places are nearly all in use and another's
    are mostly free, a second group of the first goes before the only one of the other.

    Examples
    ========

    >>> models = (EngineModel("a", 4, share=0.67), EngineModel("b", 2, share=0.33))
    >>> target_groups(DomainView("d", 8, {}, {}, ()), models)
    {'a': 1, 'b': 1}
    >>> target_groups(DomainView("d", 5, {"b": 1}, {}, (), {"a": 0.2, "b": 0.9}), models)
    {'a': 0, 'b': 2}
    """
    targets = {model.name: view.groups.get(model.name, 0) for model in models}
    spare_hosts = view.hosts - sum(targets[model.name] * model.size for model in models)
    while fitting := [
        model
        for model in models
        if model.size <= spare_hosts - _reserved_hosts(view, targets, model)
    ]:
        neediest = max(fitting, key=lambda m: _need(view, m) / (targets[m.name] + 0.5))
        targets[neediest.name] += 1
        spare_hosts -= neediest.size
    return targets


def _reserved_hosts(view: DomainView, targets: dict[str, int], model: EngineModel) -> int:
    """Return how many hosts a further group of a model has to leave for standbys.

    Hosts serve better than they wait: none where nearly all places of the model are taken.
    """
    if targets[model.name] == 0 or view.usage.get(model.name, 0.0) > HIGH_USAGE:
        return 0
    return STANDBYS_PER_MODEL * len(targets)


def _need(view: DomainView, model: EngineModel) -> float:
    """Return how much a model needs groups, against others.

    A place that is lost hurts the more, the fewer of the others are free; hence the
    square. Before the first requests the configuration's share of the work decides.
    """
    if not view.usage:
        return model.share / model.size
    return max(view.usage.get(model.name, 0.0), MIN_PLANNED_USAGE) ** 2


def target_standbys(
    view: DomainView, targets: dict[str, int], models: tuple[EngineModel, ...]
) -> dict[str, int]:
    """Return how many standbys of each model remain beside the groups.

    The larger a model's groups, the likelier the next lost host was in one; and the
    fewer of its places are free, the more its loss hurts.

    Examples
    ========

    >>> models = (EngineModel("a", 4), EngineModel("b", 2))
    >>> target_standbys(DomainView("d", 9, {}, {}, ()), {"a": 1, "b": 1}, models)
    {'a': 2, 'b': 1}
    >>> view = DomainView("d", 7, {}, {}, (), {"a": 0.2, "b": 0.5})
    >>> target_standbys(view, {"a": 1, "b": 1}, models)
    {'a': 0, 'b': 1}
    """
    spare_hosts = view.hosts - sum(targets[model.name] * model.size for model in models)
    standbys = {model.name: 0 for model in models}
    # A standby is of use to groups of its own domain, and to one that lacks a host or two.
    served = [
        m for m in models if targets[m.name] or m.size - spare_hosts <= MAX_MISSING_HOSTS
    ] or list(models)
    by_worth = sorted(served, key=lambda m: -m.size * (_need(view, m) if view.usage else 1))
    for number in range(max(0, spare_hosts)):
        standbys[by_worth[number % len(by_worth)].name] += 1
    return standbys


def plan_groups(
    view: DomainView, models: tuple[EngineModel, ...], targets: dict[str, int]
) -> list[FormGroup]:
    """Return the groups that can be formed at once from free hosts that hold the model."""
    free = list(view.free)
    plans = []
    for model in sorted(models, key=lambda m: -_need(view, m) / (view.groups.get(m.name, 0) + 0.5)):
        missing = targets[model.name] - view.groups.get(model.name, 0)
        for _ in range(missing):
            holders = [host for host in free if host.holds(model.name)]
            if len(holders) < model.size:
                break
            chosen = _choose_members(holders, model)
            plans.append(FormGroup(model.name, tuple(host.id for host in chosen)))
            free = [host for host in free if host not in chosen]
    return plans


def _choose_members(holders: list[FreeHost], model: EngineModel) -> list[FreeHost]:
    """Return the hosts that a group is formed of, the first one as its head.

    Requests reach the head alone, so a cold host does less harm as another member.
    """

    def member_order(host: FreeHost) -> tuple:
        return (host.is_slow, host.is_cold, host.model != model.name)

    chosen = sorted(holders, key=member_order)[: model.size]
    return sorted(chosen, key=lambda host: host.cold_s)


def plan_standbys(
    view: DomainView, models: tuple[EngineModel, ...], targets: dict[str, int]
) -> list[LoadStandby]:
    """Return which free hosts should load or warm up which model."""
    standbys = target_standbys(view, targets, models)
    wanted = {m.name: targets[m.name] * m.size + standbys[m.name] for m in models}
    held = {
        m.name: view.groups.get(m.name, 0) * m.size
        + view.loading.get(m.name, 0)
        + sum(host.model == m.name for host in view.free)
        for m in models
    }
    group_hosts = {m.name: targets[m.name] * m.size for m in models}
    plans = []
    idle = [host for host in view.free if host.model is None]
    surplus = [host for host in view.free if _is_surplus(host, held, wanted)]
    for host in idle + surplus:
        if host.model is not None and not _is_surplus(host, held, wanted):
            continue
        lacking = [m for m in models if held[m.name] < wanted[m.name]]
        if not lacking:
            break
        model = _most_urgent(lacking, host, held, group_hosts)
        is_standby = held[model.name] >= group_hosts[model.name]
        order = held[model.name] + (1000 if is_standby else 0)
        plans.append(
            LoadStandby(host.id, model.name, order, needs_load=model.name not in host.staged)
        )
        held[model.name] += 1
        if host.model is not None:
            held[host.model] -= 1
    return plans


def _is_surplus(host: FreeHost, held: dict[str, int], wanted: dict[str, int]) -> bool:
    """Whether a host holds a model of which the domain has more hosts than it can use."""
    if host.model is None or host.model not in held:
        return False
    return held[host.model] > wanted[host.model]


def _most_urgent(
    lacking: list[EngineModel], host: FreeHost, held: dict[str, int], group_hosts: dict[str, int]
) -> EngineModel:
    """Return the model to load: hosts of a group first, then what is staged already."""

    def urgency(model: EngineModel) -> tuple:
        is_for_group = held[model.name] < group_hosts[model.name]
        return (not is_for_group, model.name not in host.staged, held[model.name] / model.size)

    return min(lacking, key=urgency)
