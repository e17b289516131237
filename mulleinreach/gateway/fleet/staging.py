"""Decides which hosts should load a second model beside their work.

Explanation
===========

A host is quick to join a group of the model that it ran last, and of the one whose weights
lie on it. After it has joined its first group both are the same model; loading another one
then takes no time from its work, and makes the host a standby for that one too.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.gateway.fleet.planner import FreeHost
from mulleinreach.gateway.model import EngineModel


@dataclass(frozen=True)
class StageModel:
    """Load a model's weights on a host beside its work."""

    host: str
    model: str


def plan_stagings(
    hosts: list[FreeHost], models: tuple[EngineModel, ...], need: dict[str, float]
) -> list[StageModel]:
    """Return which hosts should load which second model.

    Parameters
    ==========

    hosts : hosts that have joined a group, on their own or with others.
    need : how much each model needs hosts; the neediest one is loaded.

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
