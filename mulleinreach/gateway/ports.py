"""What a gateway needs from the world around it, as protocols and typed messages.

Explanation
===========

The slices of the gateway own these protocols; an adapter implements them for one
platform. Nothing here knows how a platform spells its fields.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.gateway.model import Configuration, HandoverState
from mulleinreach.gateway.upstream import Notice, Upstream

# Results of reading a source. Revisions, and the versions of rows, are those that
# ``gateway.revision`` makes: of two, the greater is the later one, also after the store was
# restored.


@dataclass(frozen=True)
class Unavailable:
    """The platform gave no usable answer; nothing is known."""

    reason: str


@dataclass(frozen=True)
class HistoryLost:
    """The revision to continue from is too old; read everything anew."""


@dataclass(frozen=True)
class EvacuationRow:
    """An operator's request to send nothing more to the upstreams of a hall.

    Parameters
    ==========

    version : that of its row; 0 where there is no such request.
    """

    hall: str
    version: int


@dataclass(frozen=True)
class OperatorRows:
    """The versions of the rows that operators write, as they were read last.

    Parameters
    ==========

    configuration : the version of the configuration's row.
    evacuations : each hall of the deployment, and others with a request.
    """

    configuration: int
    evacuations: tuple[EvacuationRow, ...] = ()


@dataclass(frozen=True)
class ConfigurationRead:
    """The newest configuration at ``revision``; ``None`` when there is none, or no new one.

    Parameters
    ==========

    document : the configuration in a form that other nodes can decode.
    row_version : the version of its own row, ``None`` if the answer doesn't tell it.
    evacuations : the requests to empty halls that stand, or that came and went.
    is_whole : whether halls that aren't named have no request; else theirs haven't changed.
    """

    revision: int
    configuration: Configuration | None
    document: bytes = b""
    row_version: int | None = None
    evacuations: tuple[EvacuationRow, ...] = ()
    is_whole: bool = False


@dataclass(frozen=True)
class UnusableRow:
    """A row of the list that names no upstream to use; another writer may have left it.

    Parameters
    ==========

    name : under which it stands on the list.
    """

    name: str
    why: str


@dataclass(frozen=True)
class UpstreamsRead:
    """Upstreams that stand or changed at ``revision``.

    Parameters
    ==========

    removed : the names of those that are off the list, or whose rows name none any more.
    unusable : the rows among those that were read that name no upstream.
    """

    revision: int
    upstreams: list[Upstream]
    removed: list[str]
    unusable: list[UnusableRow] = field(default_factory=list)


class ConfigurationSource(Protocol):
    """Where the operator's configuration and requests to empty halls come from."""

    async def read(self) -> ConfigurationRead | Unavailable:
        """Return the newest configuration."""

    async def wait(
        self, revision: int, wait_s: float
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Return as soon as there is a change after ``revision``, or when the wait is over."""

    def decode(self, document: bytes) -> Configuration | None:
        """Return the configuration that another node has read, ``None`` if it is unreadable."""


class UpstreamSource(Protocol):
    """Where the list of upstreams comes from."""

    async def read(self) -> UpstreamsRead | Unavailable:
        """Return all upstreams."""

    async def wait(self, revision: int, wait_s: float) -> UpstreamsRead | HistoryLost | Unavailable:
        """Return the changes after ``revision`` as soon as there are any."""


# The lease of the coordinator.


@dataclass(frozen=True)
class LeaseRecord:
    """Who coordinates; ``token`` rises with each change of holder.

    ``secret`` is new with each holder: a node that names it has read the store.

    Parameters
    ==========

    era : that of the store when the record was written, as far as the holder knew.
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
    """The lease's row; ``version`` is 0 and ``record`` is ``None`` when it is absent.

    Parameters
    ==========

    era : that of the store, which may have been restored since the record was written.
    """

    version: int
    record: LeaseRecord | None
    era: int = 0


@dataclass(frozen=True)
class LeaseWritten:
    """The write was carried out."""

    version: int


@dataclass(frozen=True)
class LeaseConflict:
    """Somebody else wrote the row first."""


@dataclass(frozen=True)
class OperatorRowsChanged:
    """Nothing was written, since a row of the operators is not as it was said to be."""


class LeaseStore(Protocol):
    """A row that is written under a condition on its version."""

    async def read(self) -> LeaseRead | Unavailable:
        """Return the row."""

    async def write(
        self, version: int, record: LeaseRecord, unchanged: OperatorRows | None = None
    ) -> LeaseWritten | LeaseConflict | OperatorRowsChanged | Unavailable:
        """Replace the row if it still has ``version``.

        Parameters
        ==========

        unchanged : the operators' rows, which must still have their versions, too. A write
            that is done then proves that they have written nothing since.
        """


# Orders to engines.


@dataclass(frozen=True)
class Accepted:
    """The order was begun, or what it asks for holds already."""


@dataclass(frozen=True)
class Rejected:
    """The order was refused and had no effect."""

    status: int


@dataclass(frozen=True)
class NoAnswer:
    """It is not known whether the order was, or will be, carried out."""

    reason: str


@dataclass(frozen=True)
class Fenced:
    """The order was refused since the host has seen one of a later coordinator."""


OrderResult = Accepted | Rejected | NoAnswer | Fenced


class EngineOrders(Protocol):
    """Orders to one host of a model service.

    Each order carries the fencing token of the lease under which it is given. Engines
    that look at it refuse an order whose token is lower than one that they have seen.
    """

    def listen(self, on_notice: Callable[[Upstream, Notice], None]) -> None:
        """Have what hosts say of themselves in their answers told, too."""

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
        """Let a group that is ready serve."""

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Take the host out of a group at once."""

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Make the host load a model's weights beside what it does.

        They take the place of those that lie on the host; the model of its latest group
        stays as quick to join as before.
        """

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Ask the host itself for its state; ``Unavailable`` if it gives no answer."""


# The dialect that callers and upstreams speak.


@dataclass(frozen=True)
class CallerHeaders:
    """What a caller's headers say, each ``None`` where it is absent or unreadable."""

    request_id: str | None
    deadline_s: float | None
    api_key: str | None
    model: str | None
    prompt_tokens: int | None
    answer_tokens: int | None
    last_event_id: str | None


class Dialect(Protocol):
    """Names of headers and meanings of answers, towards callers and upstreams."""

    ready_path: str

    def read_request(self, headers: CIMultiDictProxy[str]) -> CallerHeaders:
        """Return what a request's headers say."""

    def forward_headers(
        self,
        headers: CIMultiDictProxy[str],
        upstream_id: str,
        organisation: str | None,
        remaining_s: float,
        last_event_id: str | None,
        priority: int | None,
    ) -> CIMultiDict[str]:
        """Return the headers of the request to an upstream."""

    def was_refused(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Whether the upstream says that it did not and won't run the request."""

    def read_notice(self, status: int, headers: CIMultiDictProxy[str]) -> Notice:
        """Return what an answer says of the upstream that gave it."""

    def belongs_to(self, headers: CIMultiDictProxy[str], request_id: str | None) -> bool:
        """Whether an answer is the one to the request of this id."""

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Whether an answer carries the upstream's signature."""

    def refusal_headers(self, request_id: str | None) -> CIMultiDict[str]:
        """Return the headers of an answer that the gateway makes itself."""


@dataclass(frozen=True)
class Ports:
    """All that an adapter provides."""

    configurations: ConfigurationSource
    upstreams: UpstreamSource
    lease: LeaseStore
    orders: EngineOrders
    dialect: Dialect
