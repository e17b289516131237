"""Tracks the load of each upstream: this node's requests, and totals of all nodes."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mulleinreach.common import Clock

# A report includes an idle upstream for this long after its last progress.
PROGRESS_KEPT_S = 0.6
# Silence of an upstream without any progress yet: longer than the age of any request.
NO_PROGRESS_SILENT_S = 1000.0
# Older totals of other nodes are ignored; the coordinator normally sends them every 0.1 s.
MAX_TOTALS_AGE_S = 1.0


@dataclass(frozen=True)
class LoadReport:
    """The load of an upstream from one node, or from all nodes together.

    Parameters
    ==========

    running : requests in flight.
    pending_tokens : prompt tokens of requests without an event yet, except low-priority ones.
    silent_s : seconds since the upstream last sent a byte of any answer.
    oldest_s : age in seconds of the oldest request in flight; 0 without one.
    standing_back : requests without an event yet that were sent at the lowest priority.
    fixed : requests that may not be sent to another upstream, whatever happens to this one.
    """

    upstream_id: str
    running: int
    pending_tokens: int
    silent_s: float
    oldest_s: float = 0.0
    standing_back: int = 0
    fixed: int = 0

    @property
    def stalled_s(self) -> float:
        """Seconds for which the upstream has had requests in flight and sent no byte."""
        return min(self.silent_s, self.oldest_s)


def has_fixed_requests(load: LoadReport | None) -> bool:
    """Whether an upstream has requests that may not be sent to another upstream."""
    return load is not None and load.fixed > 0


class InFlightRequest:
    """One request in flight at an upstream.

    Parameters
    ==========

    stands_back : whether it has the lowest priority and waits for others; ``False`` once the
        upstream has sent bytes of its answer.
    is_fixed : whether it may not be sent to another upstream.
    """

    def __init__(
        self,
        tracker: LoadTracker,
        upstream_id: str,
        prompt_tokens: int,
        started_at: float,
        stands_back: bool = False,
        is_fixed: bool = False,
    ):
        self._tracker = tracker
        self.upstream_id = upstream_id
        # The engine processes low-priority prompts last, so other requests don't wait for them.
        self.pending_tokens = 0 if stands_back else prompt_tokens
        self.started_at = started_at
        self.stands_back = stands_back
        self.is_fixed = is_fixed
        self.is_finished = False

    def progress(self) -> None:
        """Note that the upstream sent bytes of the answer."""
        self._tracker.note_progress(self.upstream_id)
        self.pending_tokens = 0
        self.stands_back = False

    def finish(self) -> None:
        """Note that the request has ended; a second call does nothing."""
        if not self.is_finished:
            self.is_finished = True
            self._tracker.remove(self)


class LoadTracker:
    """Tracks this node's requests in flight and the latest totals of all nodes."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._in_flight: dict[str, list[InFlightRequest]] = {}
        self._others: dict[str, LoadReport] = {}
        self._totals_at = float("-inf")
        self._progress_at: dict[str, float] = {}

    def now(self) -> float:
        """Return the current time of the tracker's clock."""
        return self._clock.now()

    def start(
        self,
        upstream_id: str,
        prompt_tokens: int = 0,
        stands_back: bool = False,
        is_fixed: bool = False,
    ) -> InFlightRequest:
        """Register a request that is about to be sent.

        Parameters
        ==========

        stands_back : whether it is sent at the lowest priority, so that others don't wait for it.
        is_fixed : whether it may not be sent to another upstream.
        """
        request = InFlightRequest(
            self, upstream_id, prompt_tokens, self.now(), stands_back, is_fixed
        )
        self._in_flight.setdefault(upstream_id, []).append(request)
        return request

    def remove(self, request: InFlightRequest) -> None:
        """Remove a finished request."""
        in_flight = self._in_flight[request.upstream_id]
        in_flight.remove(request)
        if not in_flight:
            del self._in_flight[request.upstream_id]

    def note_progress(self, upstream_id: str) -> None:
        """Note that an upstream sent a byte of an answer."""
        self._progress_at[upstream_id] = self.now()

    def own_reports(self) -> list[LoadReport]:
        """Return this node's load on each upstream that is in use or made progress recently."""
        now = self.now()
        recent = {u: at for u, at in self._progress_at.items() if now - at < PROGRESS_KEPT_S}
        self._progress_at = recent | {
            u: at for u, at in self._progress_at.items() if u in self._in_flight
        }
        return [self.own_report(u, now) for u in {**recent, **self._in_flight}]

    def own_report(self, upstream_id: str, now: float) -> LoadReport:
        """Return this node's load on one upstream."""
        in_flight = self._in_flight.get(upstream_id, ())
        pending = sum(request.pending_tokens for request in in_flight)
        silent_s = now - self._progress_at.get(upstream_id, now - NO_PROGRESS_SILENT_S)
        oldest_s = max((now - request.started_at for request in in_flight), default=0.0)
        standing_back = sum(request.stands_back for request in in_flight)
        fixed = sum(request.is_fixed for request in in_flight)
        return LoadReport(
            upstream_id, len(in_flight), pending, silent_s, oldest_s, standing_back, fixed
        )

    def stalled_s(self, upstream_id: str) -> float:
        """Return for how many seconds this node's requests at an upstream have been stalled."""
        return self.own_report(upstream_id, self.now()).stalled_s

    def has_recent_totals(self) -> bool:
        """Whether the totals of all nodes are recent enough to be used."""
        return self.now() - self._totals_at <= MAX_TOTALS_AGE_S

    def stalled_s_all_nodes(self, upstream_id: str) -> float:
        """Return for how many seconds requests of all nodes at an upstream have been stalled.

        The totals are some tenths of a second old; a byte that this node received since then
        shows that the upstream isn't stalled.
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
        """Update the totals of all nodes, which include this node's earlier reports ``own``."""
        self._totals_at = self.now()
        own_running = {report.upstream_id: report for report in own}
        self._others = {
            total.upstream_id: _subtract(total, own_running.get(total.upstream_id))
            for total in totals
        }

    def running(self, upstream_id: str) -> int:
        """Return the known number of requests of all nodes in flight at an upstream."""
        others = self._others.get(upstream_id)
        own = len(self._in_flight.get(upstream_id, ()))
        return own + (others.running if others else 0)

    def running_ahead(self, upstream_id: str) -> int:
        """Return how many requests in flight are served before one that is sent now."""
        return max(0, self.running(upstream_id) - self.standing_back(upstream_id))

    def standing_back(self, upstream_id: str) -> int:
        """Return the known number of requests that wait at an upstream at the lowest priority."""
        others = self._others.get(upstream_id)
        own = sum(request.stands_back for request in self._in_flight.get(upstream_id, ()))
        return own + (others.standing_back if others else 0)

    def pending_tokens(self, upstream_id: str) -> int:
        """Return the known number of prompt tokens that an upstream has yet to process."""
        others = self._others.get(upstream_id)
        own = sum(request.pending_tokens for request in self._in_flight.get(upstream_id, ()))
        return own + (others.pending_tokens if others else 0)


def _subtract(total: LoadReport, own: LoadReport | None) -> LoadReport:
    """Return a total without one node's share of it."""
    if own is None:
        return total
    return replace(
        total,
        running=max(0, total.running - own.running),
        pending_tokens=max(0, total.pending_tokens - own.pending_tokens),
        standing_back=max(0, total.standing_back - own.standing_back),
        fixed=max(0, total.fixed - own.fixed),
    )
