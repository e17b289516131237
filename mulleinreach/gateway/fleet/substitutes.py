"""What can take the place of a group's members, or of the group."""

from __future__ import annotations

import asyncio
import math

from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.fleet.placement import Placement
from mulleinreach.gateway.model import EngineModel
from mulleinreach.gateway.state.announced_ends import AnnouncedEnds
from mulleinreach.gateway.state.groups import Group, open_heads
from mulleinreach.gateway.upstream import Upstream, UpstreamState


class Substitutes:
    """Spare hosts for the members of a group, and other groups for its requests."""

    def __init__(
        self,
        hosts: HostRegistry,
        operator: GroupOperator,
        placement: Placement,
        announced_ends: AnnouncedEnds,
    ):
        self._hosts = hosts
        self._operator = operator
        self._placement = placement
        self._announced_ends = announced_ends

    def draining_members(self, group: Group) -> list[Upstream]:
        """Return the members that have announced their ends."""
        return [m for m in group.members.values() if m.state is UpstreamState.DRAINING]

    def count(self, group: Group, model: EngineModel) -> int:
        """Return how many spare hosts could become members."""
        return len(self._placement.spares(group, model))

    def suffice(self, group: Group, model: EngineModel, leaving: list[Upstream]) -> bool:
        """Whether there are members to replace and enough spare hosts for them."""
        return bool(leaving) and self.count(group, model) >= len(leaving)

    def outlast(self, key: tuple[str, int], group: Group, model: EngineModel) -> bool:
        """Whether a member has announced its end, and another group of the model lasts longer."""
        if not self._announced_ends.is_announced(key):
            return False
        due = self._announced_ends.due_groups()
        if key not in due:
            return False
        others = self._hosts.usable(group.head.service)
        return any(
            self._hosts.retirements.get((head.group, head.epoch)) is None
            and due.get((head.group, head.epoch), math.inf) > due[key]
            for head in open_heads(others)
            if head.model == model.name
        )

    def has_lost_leaving_member(self, key: tuple[str, int]) -> bool:
        """Whether a member has left as it had announced, so that it isn't listed again."""
        return self._announced_ends.has_left(key)

    async def probe(self, group: Group, model: EngineModel) -> None:
        """Probe the hosts that could replace slow members, to learn whether they are slow."""
        if group.head is None:
            return
        spares = [self._hosts.get(host.id) for host in self._placement.spares(group, model)]
        await asyncio.gather(*(self._operator.probe(spare) for spare in spares))
