"""What runs at each upstream: our own requests exactly, those of other nodes as told."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common import Clock


@dataclass(frozen=True)
class LoadReport:
    """The load that one node, or all nodes together, put on an upstream.

    Parameters
    ==========

    running : requests in flight.
    pending_tokens : prompt tokens of requests that have had no event yet.
    silent_s : time since the upstream last gave a byte while a request waited for one.
    """

    upstream_id: str
    running: int
    pending_tokens: int
    silent_s: float


class Ticket:
    """One request in flight at an upstream."""

    def __init__(self, book: LoadBook, upstream_id: str, prompt_tokens: int, started_at: float):
        self._book = book
        self.upstream_id = upstream_id
        self.pending_tokens = prompt_tokens
        self.progress_at = started_at
        self.is_finished = False

    def progress(self) -> None:
        """Note that the upstream gave bytes of the answer."""
        self.progress_at = self._book.now()
        self.pending_tokens = 0

    def finish(self) -> None:
        """The request is no longer in flight; a second call does nothing."""
        if not self.is_finished:
            self.is_finished = True
            self._book.remove(self)


class LoadBook:
    """The requests that this node has in flight, and the latest totals of all nodes."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._tickets: dict[str, list[Ticket]] = {}
        self._others: dict[str, LoadReport] = {}

    def now(self) -> float:
        """Return the time on the book's clock."""
        return self._clock.now()

    def start(self, upstream_id: str, prompt_tokens: int = 0) -> Ticket:
        """Note a request that is about to be sent."""
        ticket = Ticket(self, upstream_id, prompt_tokens, self.now())
        self._tickets.setdefault(upstream_id, []).append(ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Take a finished request out."""
        tickets = self._tickets[ticket.upstream_id]
        tickets.remove(ticket)
        if not tickets:
            del self._tickets[ticket.upstream_id]

    def own_reports(self) -> list[LoadReport]:
        """Return what this node has in flight."""
        now = self.now()
        reports = []
        for upstream_id, tickets in self._tickets.items():
            latest = max(ticket.progress_at for ticket in tickets)
            pending = sum(ticket.pending_tokens for ticket in tickets)
            reports.append(LoadReport(upstream_id, len(tickets), pending, now - latest))
        return reports

    def take_others(self, reports: list[LoadReport]) -> None:
        """Take the load that the other nodes put on upstreams."""
        self._others = {report.upstream_id: report for report in reports}

    def running(self, upstream_id: str) -> int:
        """Return the requests in flight at an upstream from all nodes, as known."""
        others = self._others.get(upstream_id)
        own = len(self._tickets.get(upstream_id, ()))
        return own + (others.running if others else 0)

    def pending_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens that wait at an upstream, as known."""
        others = self._others.get(upstream_id)
        own = sum(ticket.pending_tokens for ticket in self._tickets.get(upstream_id, ()))
        return own + (others.pending_tokens if others else 0)
