"""Chooses the upstream that a request is sent to."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.model import Service
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.state.announced_ends import AnnouncedEnds
from mulleinreach.gateway.state.arrivals import SendCharge
from mulleinreach.gateway.state.cold import ColdUpstreams
from mulleinreach.gateway.state.eligibility import Eligibility, Exclusion, RequestConstraints
from mulleinreach.gateway.state.groups import Head, open_heads, serves_model
from mulleinreach.gateway.state.notices import Rest
from mulleinreach.gateway.state.permits import SendPermits
from mulleinreach.gateway.state.routing import Router
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import Upstream

# Enough to check the members of the upstream's group and to form a new group.
SUSPECT_DURATION_S = 1.0
# A single refusal may come from a head that is about to open.
MISDIRECTED_THRESHOLD = 2
MAX_REPORT_AGE_S = 1.0


class SuspectList:
    """Upstreams that recently failed a request and are avoided for a short time."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until: dict[str, float] = {}

    def add(self, upstream_id: str) -> None:
        """Avoid an upstream for ``SUSPECT_DURATION_S``."""
        self._until[upstream_id] = self._clock.now() + SUSPECT_DURATION_S

    def current(self) -> set[str]:
        """Return the ids of the upstreams to avoid now."""
        now = self._clock.now()
        self._until = {u: until for u, until in self._until.items() if until > now}
        return set(self._until)


class MisdirectedHeads:
    """Heads that repeatedly refuse requests as misdirected.

    Explanation
    ===========

    Such a head has left the group that the router sends to. It gets no requests until it is open
    under another epoch, which each new group has.
    """

    def __init__(self) -> None:
        self._refusals: dict[str, tuple[int, int]] = {}

    def note(self, upstream_id: str, epoch: int) -> None:
        """Count a refusal of a head under an epoch."""
        known_epoch, count = self._refusals.get(upstream_id, (epoch, 0))
        self._refusals[upstream_id] = (epoch, count + 1 if epoch == known_epoch else 1)

    def is_closed(self, head: Head) -> bool:
        """Whether a head has refused too often to be still open under its epoch."""
        epoch, count = self._refusals.get(head.upstream.id, (head.epoch, 0))
        return epoch == head.epoch and count >= MISDIRECTED_THRESHOLD


@dataclass(frozen=True)
class ExclusionSummary:
    """Why no upstream is available for a request.

    Parameters
    ==========

    listed : number of listed upstreams that serve the request's model or service.
    tried : number of those to which the request was already sent.
    excluded : number of those that may not be sent the request, by reason.
    evacuated_halls : all evacuated halls.
    """

    listed: int
    tried: int
    excluded: Mapping[Exclusion, int]
    evacuated_halls: tuple[str, ...]


@dataclass(frozen=True)
class PermitWait:
    """The result of a request's wait for a permit."""

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
        announced_ends: AnnouncedEnds,
        clock: Clock,
    ):
        self._directory = directory
        self._router = router
        self._suspects = suspects
        self._eligibility = eligibility
        self._cold = cold
        self._permits = permits
        self._announced_ends = announced_ends
        self._clock = clock
        self._coordinator_heads: list[Head] = []
        self._retiring: frozenset[str] = frozenset()
        self._reported_at = float("-inf")
        self._misdirected = MisdirectedHeads()
        # The state of each head when it was last selected, by upstream id.
        self._last_chosen: dict[str, Head] = {}

    def set_coordinator_heads(self, heads: list[Head], retiring: frozenset[str]) -> None:
        """Set the open heads that the coordinator reports, which it learns of before this node.

        Parameters
        ==========

        retiring : ids of heads that finish their requests and accept no new ones.
        """
        self._coordinator_heads = heads
        self._retiring = retiring
        self._reported_at = self._clock.now()

    def coordinator_heads(self) -> list[Head]:
        """Return the open heads in the coordinator's latest report; none if it is outdated."""
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
        """Return the best upstream that wasn't tried yet, ``None`` if there is none.

        Parameters
        ==========

        tried : ids of upstreams to which the request was already sent.
        avoided_halls : halls whose upstreams are used only if there are no others.
        respects_limits : ``False`` to ignore the rate limits of upstreams.
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
        lasting = self._without_due(permitted)
        heads = [h for h in lasting if h.upstream.hall not in avoided_halls] or lasting
        cold = self._cold.ids([head.upstream for head in heads], service)
        tokens = headers.prompt_tokens or 0
        head = self._router.choose_head(heads, service.engine, tokens, suspects, cold)
        if head is None:
            return None
        self._last_chosen[head.upstream.id] = head
        return head.upstream

    def chosen_epoch(self, upstream_id: str) -> int | None:
        """Return the epoch of the group whose head was chosen last at an upstream."""
        head = self._last_chosen.get(upstream_id)
        return None if head is None else head.epoch

    def later_heads(self, service: str, model: str | None, epochs: Mapping[str, int]) -> set[str]:
        """Return the ids of upstreams that head later groups of a model now.

        Parameters
        ==========

        epochs : the epochs of the groups that they headed, by upstream id.
        """
        heads = self.heads(service, model)
        return {
            head.upstream.id
            for head in heads
            if head.epoch > epochs.get(head.upstream.id, head.epoch)
        }

    def _without_due(self, heads: list[Head]) -> list[Head]:
        """Return the heads whose groups last, or all if a member of each may end at any time."""
        due = self._announced_ends.due_groups()
        return [head for head in heads if (head.group, head.epoch) not in due] or heads

    async def wait_for_permit(
        self, constraints: RequestConstraints, headers: CallerHeaders
    ) -> PermitWait | None:
        """Request a permit if the best upstream for a request has a rate limit.

        Waits for the permit only if limits exclude all other upstreams too. Returns the result of
        the wait, ``None`` if there was none.
        """
        if not self._permits.limits.has_any:
            return None
        preferred = self.choose(constraints, headers, set(), respects_limits=False)
        if preferred is None:
            return None
        self._permits.demand.note_request(preferred.id)
        if self._permits.may_send(preferred.id):
            return None
        if self.choose(constraints, headers, set()) is not None:
            self._permits.demand.note_diverted(preferred.id)
            return None
        if self._permits.are_unavailable(preferred.id):
            return None
        began_at = self._clock.now()
        await self._permits.wait(preferred.id)
        is_granted = self._permits.may_send(preferred.id)
        return PermitWait(preferred.id, is_granted, self._clock.now() - began_at)

    def predicted_wait_s(self, constraints: RequestConstraints, upstream_id: str) -> float:
        """Return the predicted delay in seconds that requests ahead at a selected head cause.

        It is 0 for an upstream of a plain service, for which there is no prediction.
        """
        head, engine = self._last_chosen.get(upstream_id), constraints.service.engine
        if head is None or engine is None:
            return 0.0
        return self._router.predicted_wait_ms(head, engine) / 1000

    def exclusion_summary(
        self, constraints: RequestConstraints, headers: CallerHeaders, tried: set[str]
    ) -> ExclusionSummary:
        """Return why :meth:`choose` finds no upstream for a request."""
        listed = self._listed(constraints, headers)
        return ExclusionSummary(
            len(listed),
            sum(u.id in tried for u in listed),
            self._eligibility.count_excluded(listed, constraints),
            tuple(sorted(self._eligibility.evacuated_halls)),
        )

    def rest(self, constraints: RequestConstraints, headers: CallerHeaders) -> Rest | None:
        """Return the rest that ends first among the upstreams that could serve a request.

        A rest is a time for which an upstream accepts no requests. ``None`` if no upstream rests,
        or if another one may be sent the request now.
        """
        if self.choose(constraints, headers, set()) is not None:
            return None
        rests = [self._eligibility.rest(u) for u in self._listed(constraints, headers)]
        resting = [rest for rest in rests if rest is not None]
        return min(resting, key=lambda rest: rest.remaining_s, default=None)

    def _listed(self, constraints: RequestConstraints, headers: CallerHeaders) -> list[Upstream]:
        """Return all upstreams that serve a request's model or service, excluded ones too."""
        listed = self._directory.of_service(constraints.service.name)
        if constraints.service.engine is None:
            return listed
        return [u for u in listed if serves_model(u, headers.model)]

    @property
    def lost(self) -> Collection[str]:
        """The upstreams that don't respond, as the coordinator found."""
        return self._eligibility.lost

    def is_leaving(self, upstream: Upstream) -> bool:
        """Whether an upstream announced its end, or was removed from the list."""
        return self._directory.is_leaving(upstream.id)

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Whether an upstream is in an evacuated hall."""
        return upstream.hall in self._eligibility.evacuated_halls

    def note_misdirected(self, upstream_id: str) -> None:
        """Note that a head refused a request as misdirected."""
        if upstream_id in self._last_chosen:
            self._misdirected.note(upstream_id, self._last_chosen[upstream_id].epoch)

    def note_sent(self, constraints: RequestConstraints, upstream: Upstream) -> SendCharge | None:
        """Note that a request is about to be sent; returns what counts it until it arrives."""
        self._permits.note_sent(upstream.id)
        return self._cold.note_sent(upstream, constraints.service)

    def _permitted(
        self, heads: list[Head], constraints: RequestConstraints, respects_limits: bool
    ) -> list[Head]:
        upstreams = [head.upstream for head in heads]
        permitted = self._eligibility.permitted(upstreams, constraints, respects_limits)
        ids = {upstream.id for upstream in permitted}
        return [head for head in heads if head.upstream.id in ids]

    def heads(self, service: str, model: str | None) -> list[Head]:
        """Return the open heads that serve a model, or those of all models for ``None``."""
        usable = self._usable(service)
        heads = {head.upstream.id: head for head in open_heads(usable)}
        usable_ids = {u.id for u in usable}
        # The coordinator's report includes a head's slowdown factor, and newly opened heads.
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
