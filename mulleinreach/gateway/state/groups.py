"""The groups that hosts form, as the list of upstreams shows them."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.gateway.upstream import MemberState, Upstream, UpstreamState, model_of_group


@dataclass
class Group:
    """The hosts that are members of one group under one epoch, by rank."""

    name: str
    epoch: int
    members: dict[int, Upstream] = field(default_factory=dict)

    @property
    def head(self) -> Upstream | None:
        """The member that takes requests, if it is known."""
        return self.members.get(0)

    @property
    def model(self) -> str | None:
        """The model that the group runs."""
        for member in self.members.values():
            if member.models:
                return member.models[0]
        # Hosts report the model only while they serve.
        return model_of_group(self.name)

    def is_whole(self, size: int) -> bool:
        """Whether all ``size`` members are known."""
        return len(self.members) == size and all(rank in self.members for rank in range(size))


@dataclass(frozen=True)
class Head:
    """A group that takes requests, as the router sees it."""

    upstream: Upstream
    group: str
    epoch: int
    model: str
    pace: float = 1.0


def collect_groups(upstreams: list[Upstream]) -> dict[tuple[str, int], Group]:
    """Return the groups that hosts report as theirs, by name and epoch."""
    groups: dict[tuple[str, int], Group] = {}
    for upstream in upstreams:
        if upstream.group_key is None:
            continue
        group = groups.setdefault(upstream.group_key, Group(*upstream.group_key))
        group.members[upstream.membership.rank] = upstream
    return groups


def open_heads(upstreams: list[Upstream]) -> list[Head]:
    """Return the heads that are open and not draining."""
    heads = []
    for upstream in upstreams:
        membership = upstream.membership
        if membership is None or membership.rank != 0 or not upstream.models:
            continue
        if membership.state is MemberState.OPEN and upstream.state is UpstreamState.READY:
            heads.append(Head(upstream, membership.group, membership.epoch, upstream.models[0]))
    return heads


def serves_model(upstream: Upstream, model: str | None) -> bool:
    """Whether an upstream is the head of a group that runs a model; ``None`` means any model."""
    membership = upstream.membership
    is_head = membership is not None and membership.rank == 0
    return is_head and bool(upstream.models) and model in (None, *upstream.models)
