"""What runs at each upstream: our own requests exactly, those of other nodes as told."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mulleinreach.common import Clock

# For so long a report names an upstream that gave bytes and has no request in flight any more.
PROGRESS_KEPT_S = 0.6
# The silence of an upstream that has given no byte yet: so long that the age of its oldest
# request alone tells for how long it has stood still.
NO_PROGRESS_SILENT_S = 1000.0
# What other nodes had in flight is passed on each tenth of a second; older word than this
# says little.
MAX_TOTALS_AGE_S = 1.0


@dataclass(frozen=True)
class LoadReport:
    """The load that one node, or all nodes together, put on an upstream.

    Parameters
    ==========

    running : requests in flight.
    pending_tokens : prompt tokens of requests that have had no event yet and don't stand back.
    silent_s : time since the upstream last gave a byte of any answer.
    oldest_s : age of the oldest request in flight; 0 without one.
    standing_back : requests that have had no event yet and let others go first.
    """

    upstream_id: str
    running: int
    pending_tokens: int
    silent_s: float
    oldest_s: float = 0.0
    standing_back: int = 0

    @property
    def stalled_s(self) -> float:
        """For how long requests have waited there without a byte for any of them.

        A request that has just begun must not hide that others stand still.
        """
        return min(self.silent_s, self.oldest_s)


class InFlightRequest:
    """One request in flight at an upstream.

    Parameters
    ==========

    stands_back : whether it lets others go first; no longer so once it has had bytes.
    """

    def __init__(
        self,
        tracker: LoadTracker,
        upstream_id: str,
        prompt_tokens: int,
        started_at: float,
        stands_back: bool = False,
    ):
        self._tracker = tracker
        self.upstream_id = upstream_id
        # What stands back is read when nothing else waits, so nothing waits for it.
        self.pending_tokens = 0 if stands_back else prompt_tokens
        self.started_at = started_at
        self.stands_back = stands_back
        self.is_finished = False

    def progress(self) -> None:
        """Note that the upstream gave bytes of the answer."""
        self._tracker.note_progress(self.upstream_id)
        self.pending_tokens = 0
        self.stands_back = False

    def finish(self) -> None:
        """The request is no longer in flight; a second call does nothing."""
        if not self.is_finished:
            self.is_finished = True
            self._tracker.remove(self)


class LoadTracker:
    """The requests that this node has in flight, and the latest totals of all nodes."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._in_flight: dict[str, list[InFlightRequest]] = {}
        self._others: dict[str, LoadReport] = {}
        self._totals_at = float("-inf")
        self._progress_at: dict[str, float] = {}

    def now(self) -> float:
        """Return the time on the book's clock."""
        return self._clock.now()

    def start(
        self, upstream_id: str, prompt_tokens: int = 0, stands_back: bool = False
    ) -> InFlightRequest:
        """Note a request that is about to be sent.

        Parameters
        ==========

        stands_back : whether it goes with the lowest priority, so that others don't wait for it.
        """
        request = InFlightRequest(self, upstream_id, prompt_tokens, self.now(), stands_back)
        self._in_flight.setdefault(upstream_id, []).append(request)
        return request

    def remove(self, request: InFlightRequest) -> None:
        """Take a finished request out."""
        in_flight = self._in_flight[request.upstream_id]
        in_flight.remove(request)
        if not in_flight:
            del self._in_flight[request.upstream_id]

    def note_progress(self, upstream_id: str) -> None:
        """Note that an upstream gave a byte of an answer."""
        self._progress_at[upstream_id] = self.now()

    def own_reports(self) -> list[LoadReport]:
        """Return what this node has in flight, and who has answered lately."""
        now = self.now()
        recent = {u: at for u, at in self._progress_at.items() if now - at < PROGRESS_KEPT_S}
        self._progress_at = recent | {
            u: at for u, at in self._progress_at.items() if u in self._in_flight
        }
        return [self.own_report(u, now) for u in {**recent, **self._in_flight}]

    def own_report(self, upstream_id: str, now: float) -> LoadReport:
        """Return what this node has in flight at one upstream."""
        in_flight = self._in_flight.get(upstream_id, ())
        pending = sum(request.pending_tokens for request in in_flight)
        silent_s = now - self._progress_at.get(upstream_id, now - NO_PROGRESS_SILENT_S)
        oldest_s = max((now - request.started_at for request in in_flight), default=0.0)
        standing_back = sum(request.stands_back for request in in_flight)
        return LoadReport(upstream_id, len(in_flight), pending, silent_s, oldest_s, standing_back)

    def stalled_s(self, upstream_id: str) -> float:
        """Return for how long our requests at an upstream have stood still."""
        return self.own_report(upstream_id, self.now()).stalled_s

    def has_recent_totals(self) -> bool:
        """Whether the load that other nodes put on upstreams is known."""
        return self.now() - self._totals_at <= MAX_TOTALS_AGE_S

    def stalled_s_all_nodes(self, upstream_id: str) -> float:
        """Return for how long requests of all nodes at an upstream have stood still.

        What others saw is some tenths of a second old. A byte that came to this node
        since then shows that the upstream goes on.
        """
        now = self.now()
        own = self.own_report(upstream_id, now)
        others = self._others.get(upstream_id)
        if others is None or not self.has_recent_totals():
            return own.stalled_s
        totals_age_s = now - self._totals_at
        silent_s = min(own.silent_s, others.silent_s + totals_age_s)
        oldest_s = max(own.oldest_s, others.oldest_s + totals_age_s)
        return min(silent_s, oldest_s)

    def update_totals(self, totals: list[LoadReport], own: list[LoadReport]) -> None:
        """Take the load of all nodes, of which ``own`` is what this node had reported."""
        self._totals_at = self.now()
        own_running = {report.upstream_id: report for report in own}
        self._others = {
            total.upstream_id: _subtract(total, own_running.get(total.upstream_id))
            for total in totals
        }

    def running(self, upstream_id: str) -> int:
        """Return the requests in flight at an upstream from all nodes, as known."""
        others = self._others.get(upstream_id)
        own = len(self._in_flight.get(upstream_id, ()))
        return own + (others.running if others else 0)

    def running_ahead(self, upstream_id: str) -> int:
        """Return the requests in flight that one which is sent now has to wait for."""
        return max(0, self.running(upstream_id) - self.standing_back(upstream_id))

    def standing_back(self, upstream_id: str) -> int:
        """Return the requests at an upstream that let others go first, as known."""
        others = self._others.get(upstream_id)
        own = sum(request.stands_back for request in self._in_flight.get(upstream_id, ()))
        return own + (others.standing_back if others else 0)

    def pending_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens that wait at an upstream, as known."""
        others = self._others.get(upstream_id)
        own = sum(request.pending_tokens for request in self._in_flight.get(upstream_id, ()))
        return own + (others.pending_tokens if others else 0)


def _subtract(total: LoadReport, own: LoadReport | None) -> LoadReport:
    """Return a total less one node's part of it."""
    if own is None:
        return total
    return replace(
        total,
        running=max(0, total.running - own.running),
        pending_tokens=max(0, total.pending_tokens - own.pending_tokens),
        standing_back=max(0, total.standing_back - own.standing_back),
    )
