"""Plans the groups of a fabric domain and the hosts that form them.

Explanation
===========

All members of a group are in one domain. Each domain also keeps a standby host per model,
with the model loaded, so that a lost member can be replaced without loading weights. The
functions depend only on the state of the domain, so a new coordinator makes the same plans.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.gateway.model import EngineModel

STANDBYS_PER_MODEL = 1
# Standbys are loaded for a missing group only if it lacks at most this many hosts: so few are back
# soon after a loss, and standbys for more would be missed by the groups that serve.
MAX_MISSING_HOSTS = 2
# Fraction of slots in use; models below it have equal need.
MIN_PLANNED_USAGE = 0.25
# Fraction of slots in use above which the loss of a group makes requests queue.
HIGH_USAGE = 0.7


@dataclass(frozen=True)
class FreeHost:
    """A host and the models that it can run, as input for plans.

    Parameters
    ==========

    model : the model of its last group since it started, which it joins most quickly.
    staged : the models whose weights are on the host.
    is_slow : whether the host reported that its work takes much longer than usual.
    cold_s : seconds for which the host stays cold, which means that it recently started with
        empty caches and its request rate is capped; 0 if it is warm.
    """

    id: str
    model: str | None = None
    staged: tuple[str, ...] = ()
    is_slow: bool = False
    cold_s: float = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the host is cold."""
        return self.cold_s > 0

    def holds(self, model: str) -> bool:
        """Whether the host can run a model without loading weights."""
        return self.model == model or model in self.staged


@dataclass(frozen=True)
class ServingGroup:
    """A group that serves requests; its key is its name and epoch."""

    model: str
    key: tuple[str, int]
    members: tuple[FreeHost, ...]


@dataclass(frozen=True)
class DomainView:
    """The state of one domain.

    Parameters
    ==========

    hosts : number of usable hosts in the domain.
    groups : number of groups of each model that serve or are being formed.
    loading : number of hosts that are being loaded as standbys of each model.
    usage : fraction of slots in use by model, over all domains of the service;
        empty before the first requests.
    serving : the serving groups that are not retiring for a move.
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
    """Load a model on a free host; plans with a low ``priority`` value go first."""

    host: str
    model: str
    priority: int
    needs_load: bool


def target_groups(view: DomainView, models: tuple[EngineModel, ...]) -> dict[str, int]:
    """Return how many groups of each model a domain should have.

    Explanation
    ===========

    Groups that serve or are being formed are kept. The remaining hosts form groups, each for
    the model with the greatest need, as long as enough hosts remain for standbys. A second
    group of a model that is nearly full takes precedence over the first of an idle model.

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
    """Return how many hosts to reserve for standbys when adding a group of a model.

    None are reserved for the first group, nor if the model's usage is high.
    """
    if targets[model.name] == 0 or view.usage.get(model.name, 0.0) > HIGH_USAGE:
        return 0
    return STANDBYS_PER_MODEL * len(targets)


def _need(view: DomainView, model: EngineModel) -> float:
    """Return the relative need of a model for groups.

    It is the square of the usage, since the loss of slots costs more when few are free.
    Before the first requests it is the configured share of the model per host of a group.
    """
    if not view.usage:
        return model.share / model.size
    return max(view.usage.get(model.name, 0.0), MIN_PLANNED_USAGE) ** 2


def target_standbys(
    view: DomainView, targets: dict[str, int], models: tuple[EngineModel, ...]
) -> dict[str, int]:
    """Return how many standbys of each model the domain should keep.

    Models with larger groups, which are more likely to lose a host, and with higher usage
    come first.

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
    # Standbys help models that have a group here or lack only a few hosts for one.
    candidates = [
        m for m in models if targets[m.name] or m.size - spare_hosts <= MAX_MISSING_HOSTS
    ] or list(models)
    by_priority = sorted(candidates, key=lambda m: -m.size * (_need(view, m) if view.usage else 1))
    for number in range(max(0, spare_hosts)):
        standbys[by_priority[number % len(by_priority)].name] += 1
    return standbys


def plan_groups(
    view: DomainView, models: tuple[EngineModel, ...], targets: dict[str, int]
) -> list[FormGroup]:
    """Return the groups that free hosts can form at once without loading weights."""
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
    """Return the members of a new group, the head first.

    The warmest host becomes the head, since only the head receives requests.
    """

    def member_order(host: FreeHost) -> tuple:
        return (host.is_slow, host.is_cold, host.model != model.name)

    chosen = sorted(holders, key=member_order)[: model.size]
    return sorted(chosen, key=lambda host: host.cold_s)


def plan_standbys(
    view: DomainView, models: tuple[EngineModel, ...], targets: dict[str, int]
) -> list[LoadStandby]:
    """Return which free hosts should load which model, for missing groups or as standbys."""
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
        models_to_load = [m for m in models if held[m.name] < wanted[m.name]]
        if not models_to_load:
            break
        model = _most_urgent(models_to_load, host, held, group_hosts)
        is_standby = held[model.name] >= group_hosts[model.name]
        priority = held[model.name] + (1000 if is_standby else 0)
        plans.append(
            LoadStandby(host.id, model.name, priority, needs_load=model.name not in host.staged)
        )
        held[model.name] += 1
        if host.model is not None:
            held[host.model] -= 1
    return plans


def _is_surplus(host: FreeHost, held: dict[str, int], wanted: dict[str, int]) -> bool:
    """Whether the domain has more hosts of a host's model than it needs."""
    if host.model is None or host.model not in held:
        return False
    return held[host.model] > wanted[host.model]


def _most_urgent(
    models_to_load: list[EngineModel],
    host: FreeHost,
    held: dict[str, int],
    group_hosts: dict[str, int],
) -> EngineModel:
    """Return the model to load: for groups before standbys, then staged models first."""

    def urgency(model: EngineModel) -> tuple:
        is_for_group = held[model.name] < group_hosts[model.name]
        return (not is_for_group, model.name not in host.staged, held[model.name] / model.size)

    return min(models_to_load, key=urgency)
