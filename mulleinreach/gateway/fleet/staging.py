"""Plans which hosts load the weights of a second model in the background.

Explanation
===========

A host joins quickly with the model that it ran last and with a model whose weights are
staged on it. After its first group both are the same model. Staging a second one makes the
host a standby for that model too, without interrupting its work.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.gateway.fleet.planner import FreeHost
from mulleinreach.gateway.model import EngineModel


@dataclass(frozen=True)
class StageModel:
    """Load a model's weights on a host in the background."""

    host: str
    model: str


def plan_stagings(
    hosts: list[FreeHost], models: tuple[EngineModel, ...], need: dict[str, float]
) -> list[StageModel]:
    """Return which hosts should load which second model.

    Parameters
    ==========

    hosts : the hosts to consider; those that have not run a model yet are skipped.
    need : relative need of each model for hosts; the model with the greatest need is staged.

    Examples
    ========

    >>> models = (EngineModel("a", 4), EngineModel("b", 2))
    >>> hosts = [FreeHost("u", "a", ("a",)), FreeHost("v", "b", ("a",)), FreeHost("w")]
    >>> plan_stagings(hosts, models, {"a": 1.0, "b": 2.0})
    [StageModel(host='u', model='b')]
    """
    plans = []
    for host in hosts:
        others = [m.name for m in models if m.name != host.model]
        if host.model is None or not others or any(m in host.staged for m in others):
            continue
        plans.append(StageModel(host.id, max(others, key=lambda name: need.get(name, 0.0))))
    return plans
