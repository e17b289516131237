"""Which upstreams may take a request now."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.known.cold import ColdUpstreams
from mulleinreach.gateway.known.eligibility import Eligibility, Exclusion, RequestConstraints
from mulleinreach.gateway.known.notices import Rest
from mulleinreach.gateway.known.permits import SendPermits
from mulleinreach.gateway.known.routing import Router
from mulleinreach.gateway.known.upstreams import (
    Head,
    UpstreamDirectory,
    open_heads,
    serves_model,
)
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.upstream import Upstream

# Seconds for which an upstream that failed a request is avoided: until its group's members
# were asked, and a new group stands (0.9 s). Worth 0.009 of a day's worth on a site where
# hosts hand out spoilt answers (ten days), and nothing measurable on another.
SUSPECT_DURATION_S = 1.0
# One refusal may come from a head that opens a moment later than it was told to.
MISDIRECTED_THRESHOLD = 2
MAX_REPORT_AGE_S = 1.0


class SuspectList:
    """Upstreams that failed a request lately; each is avoided for a while."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until: dict[str, float] = {}

    def add(self, upstream_id: str) -> None:
        """Avoid an upstream for a while."""
        self._until[upstream_id] = self._clock.now() + SUSPECT_DURATION_S

    def current(self) -> set[str]:
        """Return the upstreams to avoid now."""
        now = self._clock.now()
        self._until = {u: until for u, until in self._until.items() if until > now}
        return set(self._until)


class MisdirectedHeads:
    """Heads that say again and again that requests don't belong to them.

    Explanation
    ===========

    Such a head has left the group that it is thought to head. It gets nothing more
    until it is known to be open under another epoch, as each group that is formed
    anew has one of its own.
    """

    def __init__(self) -> None:
        self._refusals: dict[str, tuple[int, int]] = {}

    def note(self, upstream_id: str, epoch: int) -> None:
        """Note that a head refused a request as not meant for it."""
        known_epoch, count = self._refusals.get(upstream_id, (epoch, 0))
        self._refusals[upstream_id] = (epoch, count + 1 if epoch == known_epoch else 1)

    def is_closed(self, head: Head) -> bool:
        """Whether a head has refused so often that it can't be open under its epoch."""
        epoch, count = self._refusals.get(head.upstream.id, (head.epoch, 0))
        return epoch == head.epoch and count >= MISDIRECTED_THRESHOLD


@dataclass(frozen=True)
class ExclusionSummary:
    """Why a request finds no upstream.

    Parameters
    ==========

    listed : how many upstreams are listed that serve the request's model or service.
    tried : how many of them the request was sent to already.
    excluded : how many of them may not be sent the request, by the reason.
    evacuated_halls : the halls that are to be empty.
    """

    listed: int
    tried: int
    excluded: Mapping[Exclusion, int]
    evacuated_halls: tuple[str, ...]


@dataclass(frozen=True)
class PermitWait:
    """What came of a request's wait for a permit."""

    upstream_id: str
    is_granted: bool
    waited_s: float


class UpstreamChooser:
    """Chooses the upstream of a request among those that may take it."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        router: Router,
        suspects: SuspectList,
        eligibility: Eligibility,
        cold: ColdUpstreams,
        permits: SendPermits,
        clock: Clock,
    ):
        self._directory = directory
        self._router = router
        self._suspects = suspects
        self._eligibility = eligibility
        self._cold = cold
        self._permits = permits
        self._clock = clock
        self._coordinator_heads: list[Head] = []
        self._retiring: frozenset[str] = frozenset()
        self._reported_at = float("-inf")
        self._misdirected = MisdirectedHeads()
        # Each head as it was chosen last, by its upstream's id.
        self._last_chosen: dict[str, Head] = {}

    def set_coordinator_heads(
        self, coordinator_heads: list[Head], retiring: frozenset[str]
    ) -> None:
        """Take the heads that the coordinator sees open, ahead of this node's own list.

        Parameters
        ==========

        retiring : ids of heads that finish their work and take nothing new.
        """
        self._coordinator_heads = coordinator_heads
        self._retiring = retiring
        self._reported_at = self._clock.now()

    def coordinator_heads(self) -> list[Head]:
        """Return the heads that the coordinator told lately; older word counts no more."""
        return self._coordinator_heads if self._has_recent_report() else []

    def count_cold_heads(self, services: Iterable[Service]) -> int:
        """Return how many heads of these services are cold."""
        heads = [head.upstream for head in self.coordinator_heads()]
        return sum(
            len(self._cold.ids([head for head in heads if head.service == service.name], service))
            for service in services
        )

    def _has_recent_report(self) -> bool:
        return self._clock.now() - self._reported_at < MAX_REPORT_AGE_S

    def choose(
        self,
        constraints: RequestConstraints,
        headers: CallerHeaders,
        tried: set[str],
        avoided_halls: Collection[str] = (),
        respects_limits: bool = True,
    ) -> Upstream | None:
        """Return the best upstream that wasn't tried yet.

        Parameters
        ==========

        avoided_halls : halls whose upstreams are taken only if there are no others.
        respects_limits : ``False`` to learn where the request would go if no upstream had a limit.
        """
        service = constraints.service
        suspects = self._suspects.current()
        if service.engine is None:
            usable = [u for u in self._usable(service.name) if u.id not in tried]
            permitted = self._eligibility.permitted(usable, constraints, respects_limits)
            upstreams = [u for u in permitted if u.hall not in avoided_halls] or permitted
            cold = self._cold.ids(upstreams, service)
            return self._router.choose_plain(upstreams, suspects, cold)
        known = [h for h in self.heads(service.name, headers.model) if h.upstream.id not in tried]
        permitted = self._permitted(known, constraints, respects_limits)
        heads = [h for h in permitted if h.upstream.hall not in avoided_halls] or permitted
        cold = self._cold.ids([head.upstream for head in heads], service)
        tokens = headers.prompt_tokens or 0
        head = self._router.choose_head(heads, service.engine, tokens, suspects, cold)
        if head is None:
            return None
        self._last_chosen[head.upstream.id] = head
        return head.upstream

    async def wait_for_permit(
        self, constraints: RequestConstraints, headers: CallerHeaders
    ) -> PermitWait | None:
        """Ask for a permit if a request would go to an upstream with a limit.

        It waits for one if nothing but limits keeps it away from all upstreams; returns what
        came of that, ``None`` if it didn't wait.
        """
        if not self._permits.limits.has_any:
            return None
        resting = self.choose(constraints, headers, set(), respects_limits=False)
        if resting is None:
            return None
        self._permits.demand.note_request(resting.id)
        if self._permits.may_send(resting.id):
            return None
        if self.choose(constraints, headers, set()) is not None:
            self._permits.demand.note_diverted(resting.id)
            return None
        if self._permits.are_unavailable(resting.id):
            return None
        began_at = self._clock.now()
        await self._permits.wait(resting.id)
        is_granted = self._permits.may_send(resting.id)
        return PermitWait(resting.id, is_granted, self._clock.now() - began_at)

    def predicted_wait_s(self, constraints: RequestConstraints, upstream_id: str) -> float:
        """Return how long a request is predicted to wait for others at a head that was chosen.

        That is 0 at an upstream of a plain service, whose work nothing predicts.
        """
        head, engine = self._last_chosen.get(upstream_id), constraints.service.engine
        if head is None or engine is None:
            return 0.0
        return self._router.predicted_wait_ms(head, engine) / 1000

    def exclusion_summary(
        self, constraints: RequestConstraints, headers: CallerHeaders, tried: set[str]
    ) -> ExclusionSummary:
        """Return why :meth:`choose` finds nothing for a request."""
        listed = self._listed(constraints, headers)
        return ExclusionSummary(
            len(listed),
            sum(u.id in tried for u in listed),
            self._eligibility.count_excluded(listed, constraints),
            tuple(sorted(self._eligibility.evacuated_halls)),
        )

    def rest(self, constraints: RequestConstraints, headers: CallerHeaders) -> Rest | None:
        """Return the rest that ends first among the upstreams that could serve a request.

        ``None`` if none of them rests, or if another one may serve it now.
        """
        if self.choose(constraints, headers, set()) is not None:
            return None
        rests = [self._eligibility.rest(u) for u in self._listed(constraints, headers)]
        resting = [rest for rest in rests if rest is not None]
        return min(resting, key=lambda rest: rest.remaining_s, default=None)

    def _listed(self, constraints: RequestConstraints, headers: CallerHeaders) -> list[Upstream]:
        """Return the upstreams that serve a request's model or service, whether it may go there."""
        listed = self._directory.of_service(constraints.service.name)
        if constraints.service.engine is None:
            return listed
        return [u for u in listed if serves_model(u, headers.model)]

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Whether an upstream stands in a hall that is to be empty."""
        return upstream.hall in self._eligibility.evacuated_halls

    def note_misdirected(self, upstream_id: str) -> None:
        """Note that a head refused a request as not meant for it."""
        if upstream_id in self._last_chosen:
            self._misdirected.note(upstream_id, self._last_chosen[upstream_id].epoch)

    def note_sent(self, constraints: RequestConstraints, upstream: Upstream) -> None:
        """Note that a request is about to be sent."""
        self._cold.note_sent(upstream, constraints.service)
        self._permits.note_sent(upstream.id)

    def _permitted(
        self, heads: list[Head], constraints: RequestConstraints, respects_limits: bool
    ) -> list[Head]:
        upstreams = [head.upstream for head in heads]
        permitted = self._eligibility.permitted(upstreams, constraints, respects_limits)
        ids = {upstream.id for upstream in permitted}
        return [head for head in heads if head.upstream.id in ids]

    def heads(self, service: str, model: str | None) -> list[Head]:
        """Return the heads that serve a model."""
        usable = self._usable(service)
        heads = {head.upstream.id: head for head in open_heads(usable)}
        usable_ids = {u.id for u in usable}
        # The coordinator knows of a head's pace, and of its opening before others do.
        heads |= {h.upstream.id: h for h in self.coordinator_heads() if h.upstream.id in usable_ids}
        retiring = self._retiring if self._has_recent_report() else frozenset()
        return [
            head
            for head in heads.values()
            if head.upstream.id not in retiring
            and model in (None, head.model)
            and not self._misdirected.is_closed(head)
        ]

    def _usable(self, service: str) -> list[Upstream]:
        return self._eligibility.usable(self._directory.of_service(service))
