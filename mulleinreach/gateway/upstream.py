"""Upstreams, their membership in groups, and the formats of ids and group names."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from mulleinreach.common import Address

# Separates the name from the start time in an upstream's id; not allowed in names.
START_SEPARATOR = "@"


class UpstreamState(enum.StrEnum):
    """Whether an upstream accepts new requests."""

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
    """A host's membership in a group; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclass(frozen=True)
class Upstream:
    """One incarnation (one process start) of an upstream, as listed or self-reported.

    Parameters
    ==========

    id : unique for each start, see :func:`incarnation_id`.
    slots : how many requests it runs at the same time.
    models : the names of the models that it runs.
    staged : the names of the models whose weights are staged on the host.
    domain : the fabric domain; ``None`` for plain services.
    pace : its reported slowdown factor; 1 at normal speed.
    cold_s : how much longer it is cold, counted from the receipt of this state; 0 if warm.
    running : how many requests it reports to have, queued ones included; 0 if it doesn't say.
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
    running: int = field(default=0, compare=False)

    @property
    def group_key(self) -> tuple[str, int] | None:
        """The name and epoch of the group that the host is a member of."""
        membership = self.membership
        return None if membership is None else (membership.group, membership.epoch)


@dataclass(frozen=True)
class Notice:
    """The state that an upstream signals in the headers of an answer.

    Parameters
    ==========

    is_leaving : whether the upstream is shutting down and accepts no new requests.
    rest_s : how long this node must send it no requests (``Retry-After``); 0 for no rest.
    limit_per_s : its limit on requests per second from all nodes together, valid until the
        next one; infinite for no limit, ``None`` if the answer doesn't state it.
    """

    is_leaving: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None


EMPTY_NOTICE = Notice()


def incarnation_id(name: str, started_ms: int | None) -> str:
    """Return the id of one start of an upstream, whose name may stay the same across starts.

    Parameters
    ==========

    name : its name on the list.
    started_ms : its start time in milliseconds since the Unix epoch, ``None`` if unknown. It
        isn't monotonic, since the upstream's clock may have been set back between starts.

    Examples
    ========

    >>> incarnation_id("u-1", 1_790_000_000_000)
    'u-1@1790000000000'
    >>> incarnation_id("u-1", None)
    'u-1'
    """
    return name if started_ms is None else f"{name}{START_SEPARATOR}{started_ms}"


def upstream_name(upstream_id: str) -> str:
    """Return the name of an upstream on the list from the id of any of its starts.

    Examples
    ========

    >>> upstream_name("u-1@1790000000000"), upstream_name("u-1")
    ('u-1', 'u-1')
    """
    return upstream_id.partition(START_SEPARATOR)[0]


def start_time_ms(upstream_id: str) -> int | None:
    """Return the start time in an upstream's id in milliseconds, ``None`` if it has none.

    Examples
    ========

    >>> start_time_ms("u-1@1790000000000"), start_time_ms("u-1")
    (1790000000000, None)
    """
    started_ms = upstream_id.partition(START_SEPARATOR)[2]
    return int(started_ms) if started_ms else None


def group_name(epoch: int, model: str) -> str:
    """Return the name of a group, which contains its model."""
    return f"g{epoch}.{model}"


def model_of_group(name: str) -> str | None:
    """Return the model in a group's name, ``None`` if the name has another format.

    Examples
    ========

    >>> model_of_group(group_name(7, "wide"))
    'wide'
    >>> model_of_group("another") is None
    True
    """
    return name.partition(".")[2] or None
