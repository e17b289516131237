"""Interfaces between the gateway and a platform, as protocols and typed messages.

Explanation
===========

An adapter implements these protocols for one platform. They don't depend on the names
that a platform gives to its fields and headers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.common import Network
from mulleinreach.gateway.model import Configuration, HandoverState
from mulleinreach.gateway.upstream import Notice, Upstream

# Results of reading a source. Revisions and row versions are built by ``gateway.revision``:
# the greater of two is the later one, also across a restore of the store.


@dataclass(frozen=True)
class Unavailable:
    """The call failed or gave an unusable answer, so its outcome is unknown.

    Parameters
    ==========

    is_refused : whether the connection was refused, so no process listens there.
    """

    reason: str
    is_refused: bool = False


@dataclass(frozen=True)
class HistoryLost:
    """The store has discarded the changes since a revision, so all rows must be read again."""


@dataclass(frozen=True)
class EvacuationRow:
    """An operator's request to evacuate a hall, so that its upstreams get no more requests.

    Parameters
    ==========

    version : the version of the request's row; 0 if the hall has no request.
    """

    hall: str
    version: int


@dataclass(frozen=True)
class OperatorRows:
    """The versions of the rows that operators write, as last read.

    Parameters
    ==========

    configuration : the version of the configuration's row.
    evacuations : one row for each hall of the deployment or with an evacuation request.
    """

    configuration: int
    evacuations: tuple[EvacuationRow, ...] = ()


@dataclass(frozen=True)
class ConfigurationRead:
    """The newest configuration at ``revision``; ``None`` if it is missing or unchanged.

    Parameters
    ==========

    document : the configuration, encoded for transfer to other nodes.
    row_version : the version of the configuration's row, ``None`` if it wasn't read.
    evacuations : the evacuation requests that were read.
    is_whole : whether ``evacuations`` is complete; otherwise it holds changes only.
    """

    revision: int
    configuration: Configuration | None
    document: bytes = b""
    row_version: int | None = None
    evacuations: tuple[EvacuationRow, ...] = ()
    is_whole: bool = False


@dataclass(frozen=True)
class UnusableRow:
    """A row of the upstream list that can't be parsed as an upstream.

    Parameters
    ==========

    name : the key of the row.
    reason : why it can't be parsed.
    """

    name: str
    reason: str


@dataclass(frozen=True)
class UpstreamsRead:
    """The upstreams at ``revision``, or those that changed up to it.

    Parameters
    ==========

    removed : the names of upstreams whose rows were removed or became unusable.
    unusable : the rows that can't be parsed as upstreams.
    """

    revision: int
    upstreams: list[Upstream]
    removed: list[str]
    unusable: list[UnusableRow] = field(default_factory=list)


class ConfigurationSource(Protocol):
    """Reads the operator's configuration and the evacuation requests."""

    async def read(self) -> ConfigurationRead | Unavailable:
        """Return the newest configuration."""

    async def wait(
        self, revision: int, wait_s: float
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Return the first change after ``revision``, or an unchanged read after the timeout."""

    def decode(self, document: bytes) -> Configuration | None:
        """Decode a configuration that another node has read; ``None`` if it is invalid."""


class UpstreamSource(Protocol):
    """Reads the list of upstreams."""

    async def read(self) -> UpstreamsRead | Unavailable:
        """Return all upstreams."""

    async def wait(self, revision: int, wait_s: float) -> UpstreamsRead | HistoryLost | Unavailable:
        """Return the first changes after ``revision``, or an empty read after the timeout."""


# The coordinator's lease.


@dataclass(frozen=True)
class LeaseRecord:
    """The record of the coordinator's lease.

    Parameters
    ==========

    holder : the id of the holder's process.
    address : where the holder accepts reports of the other nodes.
    token : the fencing token, which increases with each change of holder.
    renewal : how many times the holder has renewed the lease.
    secret : generated for each holder; a node that presents it has read the record.
    inheritance : the state that a coordinator hands over to its successors.
    era : the store's era when the record was written, as known to the holder.
    """

    holder: str
    address: str
    token: int
    renewal: int
    secret: str = ""
    inheritance: HandoverState = HandoverState()
    era: int = 0


@dataclass(frozen=True)
class LeaseRead:
    """The lease's row; if it is absent, ``version`` is 0 and ``record`` is ``None``.

    Parameters
    ==========

    era : the store's current era, which a restore may have increased since the write.
    """

    version: int
    record: LeaseRecord | None
    era: int = 0


@dataclass(frozen=True)
class LeaseWritten:
    """The lease's row was written."""

    version: int


@dataclass(frozen=True)
class LeaseConflict:
    """Nothing was written, since another node wrote the lease's row first."""


@dataclass(frozen=True)
class OperatorRowsChanged:
    """Nothing was written, since a row of the operators has another version than expected."""


class LeaseStore(Protocol):
    """Stores the lease in a row that is written by compare-and-set on its version."""

    async def read(self) -> LeaseRead | Unavailable:
        """Return the row."""

    async def write(
        self, version: int, record: LeaseRecord, unchanged: OperatorRows | None = None
    ) -> LeaseWritten | LeaseConflict | OperatorRowsChanged | Unavailable:
        """Replace the row if it still has ``version``.

        Parameters
        ==========

        unchanged : the operators' rows, which must also have the given versions. A
            successful write proves that operators have written nothing since these.
        """


# Orders to engines.


@dataclass(frozen=True)
class Accepted:
    """The host has begun the order, or was already in the requested state."""


@dataclass(frozen=True)
class Rejected:
    """The order was refused and had no effect."""

    status: int


@dataclass(frozen=True)
class NoAnswer:
    """The outcome of the order is unknown; it may still be carried out later."""

    reason: str


@dataclass(frozen=True)
class Fenced:
    """The order was refused, since the host has seen a higher fencing token."""


OrderResult = Accepted | Rejected | NoAnswer | Fenced


class EngineOrders(Protocol):
    """Sends orders to the hosts of a model service.

    Each order carries the fencing token of the coordinator's lease. Engines that check it
    refuse an order whose token is lower than the highest one that they have seen.
    """

    def subscribe(self, on_notice: Callable[[Upstream, Notice], None]) -> None:
        """Set the callback for the notices in the answers of hosts."""

    async def join(
        self,
        host: Upstream,
        group: str,
        epoch: int,
        model: str,
        members: list[str],
        token: int,
    ) -> OrderResult:
        """Make the host a member of a group; the first member is the head."""

    async def open(self, head: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Let a ready group serve requests."""

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Make the host leave a group immediately."""

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Make the host load a model's weights in the background.

        They replace the weights that were staged before. Joining a group of the host's
        latest model stays as fast as before.
        """

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Return the state that the host reports; ``Unavailable`` without an answer."""


# The headers of requests and answers.


@dataclass(frozen=True)
class CallerHeaders:
    """The parsed headers of a caller's request; ``None`` for absent or invalid ones.

    Parameters
    ==========

    prompt_parts : digests of the parts of the prompt that requests may share, in their order.
    """

    request_id: str | None
    deadline_s: float | None
    api_key: str | None
    model: str | None
    prompt_tokens: int | None
    answer_tokens: int | None
    last_event_id: str | None
    prompt_parts: tuple[int, ...] = ()


class Dialect(Protocol):
    """Translates the headers and status codes of a platform's callers and upstreams."""

    ready_path: str

    def read_request(self, headers: CIMultiDictProxy[str]) -> CallerHeaders:
        """Parse the headers of a caller's request."""

    def forward_headers(
        self,
        headers: CIMultiDictProxy[str],
        upstream_id: str,
        organisation: str | None,
        remaining_s: float,
        last_event_id: str | None,
        priority: int | None,
    ) -> CIMultiDict[str]:
        """Return the headers for the request to an upstream."""

    def was_refused(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Whether the upstream states that it has not run the request and won't run it."""

    def read_notice(self, status: int, headers: CIMultiDictProxy[str]) -> Notice:
        """Return the notice that an answer carries about its upstream."""

    def belongs_to(self, headers: CIMultiDictProxy[str], request_id: str | None) -> bool:
        """Whether an answer belongs to the request with this id."""

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Whether an answer carries the upstream's signature."""

    def refusal_headers(self, request_id: str | None) -> CIMultiDict[str]:
        """Return the headers for an error answer of the gateway itself."""


@dataclass(frozen=True)
class Ports:
    """The interfaces that a platform's adapter implements."""

    configurations: ConfigurationSource
    upstreams: UpstreamSource
    lease: LeaseStore
    orders: EngineOrders
    dialect: Dialect


# Creates the ports of one node.
MakePorts = Callable[[Network], Ports]
