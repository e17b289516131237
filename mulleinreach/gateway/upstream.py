"""The upstreams that take requests, and how their groups are named."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from mulleinreach.common import Address

# Stands between name and start in an upstream's id, and in no name.
START_SEPARATOR = "@"


class UpstreamState(enum.StrEnum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(enum.StrEnum):
    """The state of one host's membership in a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True)
class Membership:
    """The group that a host stands in; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream, as the list or the host itself tells it.

    Parameters
    ==========

    id : a new one at each start, see :func:`incarnation_id`.
    models : the names of the models that it runs.
    staged : the names of the models whose weights lie on the host.
    domain : the fabric domain; ``None`` for plain services.
    pace : how many times longer than usual its work takes, as it reported itself.
    cold_s : for how much longer it is cold, from when this was heard; 0 if it is warm.
    """

    id: str
    service: str
    address: Address
    hall: str
    state: UpstreamState = UpstreamState.READY
    slots: int = 1
    models: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    domain: str | None = None
    membership: Membership | None = None
    pace: float = 1.0
    cold_s: float = 0.0

    @property
    def place(self) -> tuple[str, int] | None:
        """The name and epoch of the group that the host stands in."""
        membership = self.membership
        return None if membership is None else (membership.group, membership.epoch)


@dataclass(frozen=True)
class Notice:
    """What an answer says of the upstream that gave it, whatever became of the request.

    Parameters
    ==========

    is_leaving : whether the upstream is about to end and should get nothing new.
    rest_s : for how long it wants nothing more from this node; 0 if it didn't ask for rest.
    limit_per_s : how many requests a second it takes from all nodes together, until it says
        something else; infinite if it sets no limit, ``None`` if the answer doesn't tell.
    """

    is_leaving: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None


EMPTY_NOTICE = Notice()


def incarnation_id(name: str, started_ms: int | None) -> str:
    """Return the id of one start of an upstream, which may keep its name across starts.

    Parameters
    ==========

    name : as it stands on the list.
    started_ms : when it started, in milliseconds since the Unix epoch, if it tells. Its clock may
        have been set back meanwhile, so that a later start may tell an earlier time.

    Examples
    ========

    >>> incarnation_id("u-1", 1_790_000_000_000)
    'u-1@1790000000000'
    >>> incarnation_id("u-1", None)
    'u-1'
    """
    return name if started_ms is None else f"{name}{START_SEPARATOR}{started_ms}"


def upstream_name(upstream_id: str) -> str:
    """Return the name of an upstream on the list, whichever start an id is of.

    Examples
    ========

    >>> upstream_name("u-1@1790000000000"), upstream_name("u-1")
    ('u-1', 'u-1')
    """
    return upstream_id.partition(START_SEPARATOR)[0]


def start_time_ms(upstream_id: str) -> int | None:
    """Return when the start of an id was, if it is known.

    Examples
    ========

    >>> start_time_ms("u-1@1790000000000"), start_time_ms("u-1")
    (1790000000000, None)
    """
    started_ms = upstream_id.partition(START_SEPARATOR)[2]
    return int(started_ms) if started_ms else None


def group_name(epoch: int, model: str) -> str:
    """Return the name of a group, by which any coordinator knows its model."""
    return f"g{epoch}.{model}"


def model_of_group(name: str) -> str | None:
    """Return the model that a group's name tells.

    Examples
    ========

    >>> model_of_group(group_name(7, "wide"))
    'wide'
    >>> model_of_group("another") is None
    True
    """
    return name.partition(".")[2] or None
