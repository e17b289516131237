"""One request of a caller on its way, and the headers that go along with it."""

from __future__ import annotations

from dataclasses import dataclass, field

from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from mulleinreach.gateway.known.eligibility import RequestConstraints
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.request.admission import Admitted
from mulleinreach.gateway.request.exchange import Answered

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
    """Return a message's headers without those that concern one connection only.

    Examples
    ========

    >>> headers = CIMultiDictProxy(CIMultiDict({"Connection": "x-own", "X-Own": "1", "A": "2"}))
    >>> dict(end_to_end_headers(headers))
    {'A': '2'}
    """
    named = {
        token.strip().casefold()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    dropped = _HOP_HEADERS | named
    return CIMultiDict((k, v) for k, v in headers.items() if k.casefold() not in dropped)


@dataclass
class RelayJob:
    """One request of a caller, with what has become of it so far.

    Parameters
    ==========

    content : digest of what is asked for; the same where a caller asks for it again.
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
    # Where upstreams ended before they gave anything. The next one may end for the same reason:
    # a hall that is failing, or the request, which an end in another hall then shows.
    ended_halls: set[str] = field(default_factory=set)
    sends: int = 0
    priority: int = 0
    may_have_run: bool = False
    failure: Answered | None = None
    last_event_id: str | None = None
    events_sent: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    # Whether a stream was left since nothing came; its replica may still run the request.
    has_stalled: bool = False
    # How many replicas broke the stream off after it had begun; they no longer run it.
    lost_runs: int = 0
    upstream_id: str = ""

    @property
    def constraints(self) -> RequestConstraints:
        """What decides on its upstreams."""
        return RequestConstraints(self.service, self.admitted.allowed_regions)

    def note_events(self, count: int, now: float) -> None:
        """Note that events were passed on to the caller."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now
        self.events_sent += count
