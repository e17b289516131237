"""Reports exchanged between the nodes and the coordinator."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinreach.common import Address
from mulleinreach.gateway.coordination.lease import Resignation, Successor
from mulleinreach.gateway.model import HeldContent
from mulleinreach.gateway.state.crashes import RunObservation
from mulleinreach.gateway.state.leased_share import HeldShare, ShareLease
from mulleinreach.gateway.state.limits import NamedLimit
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.state.permits import PermitCount
from mulleinreach.gateway.state.upstreams import ListChange


@dataclass(frozen=True)
class NodeReport:
    """A node's report to the coordinator: its load, and the versions of its data.

    Parameters
    ==========

    secret : the secret in the lease's row, without which the coordinator rejects the report.
    seq : sequence number of the report, which the coordinator's answer echoes.
    successor : set only in the notice of a new coordinator to the one that it replaces.
    hall : the hall of the node.
    sightings : observations of upstreams that ended while they ran a request.
    limits : upstreams' rate limits that the node knows and the coordinator hasn't reported.
    wanted : numbers of permits that the node requests, by upstream.
    tunnel_address : where the node opens tunnels to upstreams; empty if it can't or is stopping.
    served_count : the number of requests with prompt parts that the node has served.
    known_suspects : suspected prompt parts of requests that the node has served at some time.
    incarnation : a random number that each start of the node's process chooses.
    held_share : the node's share of bounds on all nodes together, and what it has used.
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
    tunnel_address: str = ""
    served_count: int = 0
    known_suspects: tuple[int, ...] = ()
    incarnation: int = 0
    held_share: HeldShare = HeldShare()


@dataclass(frozen=True)
class OpenHead:
    """The head of a group that the coordinator observed as open.

    Parameters
    ==========

    pace : how many times longer than usual its requests take.
    """

    upstream_id: str
    group: str
    epoch: int
    model: str
    pace: float = 1.0


@dataclass(frozen=True)
class Totals:
    """The part of the coordinator's reports that is the same for all nodes.

    Parameters
    ==========

    token : fencing token of the coordinator's lease.
    nodes : number of nodes, the coordinator included.
    loads : load of each upstream, summed over all nodes.
    heads : heads of the open groups; ``None`` if unchanged since last sent.
    lost : ids of upstreams that don't respond.
    configuration_age_s, list_age_s : time since the coordinator last verified each of them.
    resignation : set while the coordinator can't renew its lease and gives no orders.
    retiring : ids of heads that finish their requests and accept no new ones.
    is_store_unavailable : whether no node that reports to the coordinator can read the store.
    successor : the coordinator that has replaced this one, if any.
    keeps_removed : whether nodes keep upstreams that are missing from the store, since it was
        unavailable recently.
    evacuated : halls that operators have ordered to be emptied.
    operator_revision : the store's revision up to which ``evacuated`` is known.
    numbers : one above the highest node number; 0 if the node numbers are not valid.
    held : requests and prompt parts that are not sent any more, since they end the upstreams which
        run them; ``None`` if unchanged since last sent.
    limits : rate limits of upstreams, recently ended limits included; ``None`` if unchanged since
        last sent.
    suspects : prompt parts that may end upstreams, of which nodes report that they served them;
        ``None`` if unchanged since last sent.
    vacating : those of the retiring heads whose requests move at once where they can.
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
    suspects: tuple[int, ...] | None = None
    vacating: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class CoordinatorReport:
    """The coordinator's report to one node.

    Parameters
    ==========

    echoed_seq : sequence number of the node's report that this one answers.
    changes : changes of the upstream list since those that the node was sent before.
    is_list_unknown : whether the coordinator no longer has these changes, so that the node has to
        read the list from the store.
    configuration : the encoded newest configuration, if the node lacks it.
    whole_list : all upstreams, if the node has no list yet.
    number : the node's number, 0 for the coordinator; ``totals.numbers`` if none is assigned yet.
    permits : newly granted permits for requests to upstreams with a rate limit.
    tunnel_servers : the nodes that open tunnels for the receiver; ``None`` if unchanged since last
        sent.
    share : the receiver's share of bounds on all nodes together, leased by this report; ``None`` if
        it leases none, since the coordinator may have been replaced.
    """

    echoed_seq: int
    totals: Totals
    changes: list[ListChange] = field(default_factory=list)
    is_list_unknown: bool = False
    configuration: bytes = b""
    whole_list: ListChange | None = None
    number: int = 0
    permits: tuple[PermitCount, ...] = ()
    tunnel_servers: tuple[Address, ...] | None = None
    share: ShareLease | None = None
