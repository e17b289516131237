"""Rows of the table for hosts and groups.

Explanation
===========

A group is the set of hosts that form one replica, under an epoch. All rows of
a change are written in one transaction, conditional on the versions it was
decided from, so that no host can be in two groups.
"""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass, replace

from mulleinreach.stores import ABSENT, Row

HOSTS_PREFIX = "state/hosts/"
GROUPS_PREFIX = "state/groups/"


class HostUse(enum.StrEnum):
    """What the table says that a host is for."""

    FREE = "free"
    MEMBER = "member"
    STOPPING = "stopping"


class GroupState(enum.StrEnum):
    """The life of a group; ``DRAINING`` gets no new work."""

    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True)
class HostRecord:
    """A host's row.

    Parameters
    ==========

    epoch : of the latest order to it; the next order has a higher one.
    incarnation : the engine process that the order is meant for.
    unresolved : copies of orders sent to an engine that doesn't check epochs
        and may still arrive.
    copies : how many copies of the present order may have been sent; 0 once
        the only one is known to have arrived.
    sender : epoch of the lease under which the latest copy is sent.
    """

    name: str
    version: int = ABSENT
    use: HostUse = HostUse.FREE
    replica: str = ""
    epoch: int = 0
    incarnation: int = 0
    order_id: str = ""
    unresolved: int = 0
    copies: int = 0
    sender: int = 0

    @classmethod
    def from_row(cls, row: Row) -> HostRecord:
        """Read a row; an absent one is a free host."""
        name = row.key.removeprefix(HOSTS_PREFIX)
        value = dict(row.value or {})
        value["use"] = HostUse(value.get("use", HostUse.FREE))
        return cls(name=name, version=row.version, **value)

    @property
    def key(self) -> str:
        """The key of the row."""
        return HOSTS_PREFIX + self.name

    def to_value(self) -> dict:
        """Return the row's value."""
        value = asdict(self)
        del value["name"], value["version"]
        return value

    def with_order(self, action: str, **changes) -> HostRecord:
        """Return this row with a new order in it."""
        changed = replace(self, **changes)
        order_id = f"{changed.replica}@{changed.epoch}/{action}"
        return replace(changed, order_id=order_id)


@dataclass(frozen=True)
class GroupRecord:
    """A group's row; ``hosts[0]`` is the head, which callers' requests go to."""

    replica: str
    service: str
    epoch: int
    domain: str
    hosts: tuple[str, ...]
    model: str
    model_version: str
    adapters: tuple[str, ...]
    state: GroupState
    why: str
    since: float
    version: int = ABSENT

    @classmethod
    def from_row(cls, row: Row) -> GroupRecord:
        """Read a row that exists."""
        value = dict(row.value)
        value["hosts"] = tuple(value["hosts"])
        value["adapters"] = tuple(value["adapters"])
        value["state"] = GroupState(value["state"])
        return cls(replica=row.key.removeprefix(GROUPS_PREFIX), version=row.version, **value)

    @property
    def key(self) -> str:
        """The key of the row."""
        return GROUPS_PREFIX + self.replica

    @property
    def head(self) -> str:
        """The host that takes the replica's requests."""
        return self.hosts[0]

    def to_value(self) -> dict:
        """Return the row's value."""
        value = asdict(self)
        del value["replica"], value["version"]
        return value
