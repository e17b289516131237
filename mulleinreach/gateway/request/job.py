"""State of a caller's request, and the headers that are forwarded with it."""

from __future__ import annotations

from dataclasses import dataclass, field

from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.common.responses import BodyEnd
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.request.admission import Admitted
from mulleinreach.gateway.request.exchange import Answered
from mulleinreach.gateway.state.arrivals import SendCharge
from mulleinreach.gateway.state.eligibility import RequestConstraints

_HOP_HEADERS = frozenset(
    name.casefold()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Transfer-Encoding",
        "TE",
        "Trailer",
        "Upgrade",
        "Content-Length",
    )
)


def end_to_end_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return a message's headers without the hop-by-hop ones.

    Examples
    ========

    >>> headers = CIMultiDictProxy(CIMultiDict({"Connection": "x-own", "X-Own": "1", "A": "2"}))
    >>> dict(end_to_end_headers(headers))
    {'A': '2'}
    """
    connection_options = {
        token.strip().casefold()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    dropped = _HOP_HEADERS | connection_options
    return CIMultiDict((k, v) for k, v in headers.items() if k.casefold() not in dropped)


@dataclass
class RelayJob:
    """One request of a caller and the state of its sends.

    Parameters
    ==========

    content : digest of the request's content, which is the same for retries by the caller.
    """

    request: web.BaseRequest
    headers: CallerHeaders
    admitted: Admitted
    service: Service
    body: bytes
    content: int
    started_at: float
    deadline: float
    caller_gives_up_at: float
    tried: set[str] = field(default_factory=set)
    # The epochs of the groups whose heads were tried, by upstream id.
    tried_epochs: dict[str, int] = field(default_factory=dict)
    # Halls of upstreams that ended before they sent any data. The next send prefers another hall:
    # if the upstream there ends too, the request is the probable cause, not a failing hall.
    ended_halls: set[str] = field(default_factory=set)
    sends: int = 0
    # The retry that the budget has granted, until it is sent.
    retry_charge: SendCharge | None = None
    priority: int = 0
    may_have_run: bool = False
    # Whether nothing shows yet that the latest send has not run.
    is_unresolved: bool = False
    failure: Answered | None = None
    last_event_id: str | None = None
    events_sent: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    # Replicas whose processes have ended in mid-stream; they no longer run the request, and are
    # unlikely to have ended because of it.
    ended_runs: int = 0
    # Whether an upstream's process has ended while it ran the request, which may be the cause.
    has_lost_upstream: bool = False
    upstream_id: str = ""
    # Why the latest answer broke off, and why the request wasn't sent once more.
    broken_by: str = ""
    not_resent: str = ""
    # The answer of which a part was passed on.
    response: web.StreamResponse | None = None
    # How the body of the latest answer ended.
    body_end: BodyEnd | None = None

    @property
    def constraints(self) -> RequestConstraints:
        """Constraints on the choice of upstreams."""
        return RequestConstraints(self.service, self.admitted.allowed_regions)

    def note_events(self, count: int, now: float) -> None:
        """Record that events were forwarded to the caller."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now
        self.events_sent += count
