"""What a node and its coordinator report to each other."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.gateway.coordination.lease import Resignation, Successor
from mulleinreach.gateway.known.crashes import RunObservation
from mulleinreach.gateway.known.limits import NamedLimit
from mulleinreach.gateway.known.load import LoadReport
from mulleinreach.gateway.known.permits import PermitCount
from mulleinreach.gateway.known.upstreams import ListChange
from mulleinreach.gateway.model import HeldContent


@dataclass(frozen=True)
class NodeReport:
    """What a node has in flight, and how far its list and its configuration go.

    Parameters
    ==========

    secret : what the row of the lease tells; a coordinator closes connections without its own.
    seq : the report's number, by which the answer names it.
    successor : told by a new coordinator to the one that it replaces.
    hall : the hall of the node.
    sightings : what the node saw of upstreams that end under requests.
    limits : what it knows of upstreams' limits and wasn't told by the coordinator.
    wanted : the permits that it has use for.
    """

    node: str
    loads: list[LoadReport]
    is_stopping: bool = False
    secret: str = ""
    seq: int = 0
    list_revision: int = 0
    configuration_version: int = 0
    successor: Successor | None = None
    hall: str = ""
    sightings: list[RunObservation] = field(default_factory=list)
    limits: tuple[NamedLimit, ...] = ()
    wanted: tuple[PermitCount, ...] = ()


@dataclass(frozen=True)
class OpenHead:
    """A group that the coordinator saw open."""

    upstream_id: str
    group: str
    epoch: int
    model: str
    pace: float = 1.0


@dataclass(frozen=True)
class Totals:
    """What the coordinator knows, the same for all nodes.

    Parameters
    ==========

    token : of the coordinator's lease.
    nodes : how many there are.
    loads : of all nodes together.
    heads : the open groups; ``None`` where they are as they were told last.
    lost : ids of upstreams that were found to give no answer.
    configuration_age_s, list_age_s : the age of the coordinator's evidence.
    resignation : its word that it gives no more orders, if it can't renew its lease.
    retiring : ids of heads that finish their work and take nothing new.
    is_store_unavailable : whether no node that reports to the coordinator can read the store.
    successor : the node that has replaced it, if one has.
    keeps_removed : whether the store was away, so that upstreams that it misses may be back soon.
    evacuated : the halls that are to be empty.
    operator_revision : the store's revision up to which ``evacuated`` is known.
    numbers : one above the highest number that a node has; 0 if the numbers don't hold.
    held : the requests that end the upstreams which run them; ``None`` where they are as they
        were told last.
    limits : of upstreams, those that ended lately included; ``None`` where they are as they were
        told last.
    """

    token: int
    nodes: int
    loads: list[LoadReport]
    heads: list[OpenHead] | None = None
    lost: list[str] = field(default_factory=list)
    configuration_version: int = 0
    configuration_age_s: float = 0.0
    list_revision: int = 0
    list_age_s: float = 0.0
    resignation: Resignation | None = None
    retiring: list[str] = field(default_factory=list)
    is_store_unavailable: bool = False
    successor: Successor | None = None
    keeps_removed: bool = False
    evacuated: list[str] = field(default_factory=list)
    operator_revision: int = 0
    numbers: int = 0
    held: tuple[HeldContent, ...] | None = None
    limits: tuple[NamedLimit, ...] | None = None


@dataclass(frozen=True)
class CoordinatorReport:
    """What one node is told.

    Parameters
    ==========

    echoed_seq : the number of the node's report that is answered.
    changes : those of the list of upstreams, from what the node was sent before.
    is_list_unknown : whether they are left out, since the coordinator doesn't remember so far
        back; the node reads the list itself.
    configuration : the document of the newest one, if the node lacks that.
    whole_list : all upstreams, if the node has no list yet.
    number : the node's own among all that report to this coordinator, whose own one is 0; a
        node that has none yet is told ``totals.numbers``.
    permits : for requests to upstreams with a limit; each report gives out others.
    """

    echoed_seq: int
    totals: Totals
    changes: list[ListChange] = field(default_factory=list)
    is_list_unknown: bool = False
    configuration: bytes = b""
    whole_list: ListChange | None = None
    number: int = 0
    permits: tuple[PermitCount, ...] = ()
