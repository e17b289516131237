"""Placement of new replicas on free hosts.

All hosts of a replica are in one fabric domain. The domain with the lowest cost
is used. The cost grows with the share of the service's replicas that are in the
domain or its hall already (a failure there would stop them together), with the
free hosts that no set of replicas can use afterwards (fragmentation), and with
the spare hosts that the domain then lacks. Within the domain, few racks are
used, so that the failure of a rack breaks few groups.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import ServiceIntent

# Weights of the terms of a domain's cost, relative to one unusable host.
DOMAIN_SPREAD_WEIGHT = 4.0
HALL_SPREAD_WEIGHT = 2.0
SPARE_SHORTFALL_WEIGHT = 2.0


@dataclass(frozen=True)
class DomainCandidate:
    """A domain that was considered; ``cost`` is ``None`` if it has too few free hosts."""

    domain: str
    free: int
    cost: float | None
    hosts: tuple[str, ...] = ()

    def explain(self) -> str:
        """Return a short description for explanations."""
        if self.cost is None:
            return f"{self.domain}: {self.free} free, too few"
        return f"{self.domain}: {self.free} free, cost {self.cost:.2f}"


@dataclass(frozen=True)
class Placement:
    """The hosts for a new replica, and all domains that were considered."""

    domain: str
    hosts: tuple[str, ...]
    considered: tuple[DomainCandidate, ...]


@dataclass(frozen=True)
class Shortage:
    """No domain has enough free hosts; ``needed`` is how many more the best one needs."""

    needed: int
    considered: tuple[DomainCandidate, ...]


def unusable_hosts(free: int, sizes: list[int]) -> int:
    """Return how many of ``free`` hosts no set of replicas of ``sizes`` can use.

    Examples
    ========

    >>> unusable_hosts(7, [4])
    3
    >>> unusable_hosts(7, [4, 3])
    0
    """
    reachable = {0}
    for total in range(1, free + 1):
        if any(total - size in reachable for size in sizes):
            reachable.add(total)
    return free - max(reachable)


def allowed_hosts(service: ServiceIntent, hosts: list[HostView]) -> dict[str, list[HostView]]:
    """Return the hosts that the service's replicas may use, by domain."""
    by_domain: dict[str, list[HostView]] = defaultdict(list)
    for view in hosts:
        domain_fits = not service.domains or view.host.domain in service.domains
        hall_fits = not service.halls or view.host.hall in service.halls
        if view.host.domain and domain_fits and hall_fits:
            by_domain[view.host.domain].append(view)
    return dict(by_domain)


def place_replica(view: FleetView, service: ServiceIntent) -> Placement | Shortage:
    """Choose the hosts of one more replica of ``service``."""
    by_domain = allowed_hosts(service, view.free_hosts())
    considered = tuple(
        _evaluate_domain(view, service, domain, by_domain[domain]) for domain in sorted(by_domain)
    )
    possible = [candidate for candidate in considered if candidate.cost is not None]
    if not possible:
        max_free = max((candidate.free for candidate in considered), default=0)
        return Shortage(service.hosts_per_replica - max_free, considered)
    best = min(possible, key=lambda candidate: (candidate.cost, candidate.domain))
    return Placement(best.domain, best.hosts, considered)


def _evaluate_domain(
    view: FleetView, service: ServiceIntent, domain: str, free: list[HostView]
) -> DomainCandidate:
    size = service.hosts_per_replica
    if len(free) < size:
        return DomainCandidate(domain, len(free), None)
    own_groups = view.groups_of(service.name)
    in_domain = sum(group.domain == domain for group in own_groups)
    hall = free[0].host.hall
    in_hall = sum(_hall_of(view, group.head) == hall for group in own_groups)
    spread = DOMAIN_SPREAD_WEIGHT * in_domain + HALL_SPREAD_WEIGHT * in_hall
    sizes = [s.hosts_per_replica for s in view.config.intent.services if s.kind == "model"]
    fragments = unusable_hosts(len(free) - size, sizes) - unusable_hosts(len(free), sizes)
    wanted = spare_hosts_per_domain(view)
    spare_shortfall = max(0.0, wanted - (len(free) - size)) - max(0.0, wanted - len(free))
    cost = (
        spread / max(1, service.replicas)
        + fragments
        + SPARE_SHORTFALL_WEIGHT * spare_shortfall / size
    )
    return DomainCandidate(domain, len(free), cost, pick_hosts(free, size))


def spare_hosts_per_domain(view: FleetView) -> float:
    """Return the number of spare hosts per domain if they are spread evenly.

    Spares are the hosts that the intent doesn't need. A spare can only replace
    hosts of its own domain.
    """
    services = [s for s in view.config.intent.services if s.kind == "model"]
    wanted = sum(s.hosts_per_replica * s.replicas for s in services)
    domains = {h.host.domain for h in view.hosts.values()}
    return max(0, len(view.hosts) - wanted) / max(1, len(domains))


def _hall_of(view: FleetView, host: str) -> str:
    host_view = view.hosts.get(host)
    return host_view.host.hall if host_view else ""


def pick_hosts(free: list[HostView], size: int) -> tuple[str, ...]:
    """Return the names of ``size`` of the hosts, preferring few racks."""
    per_rack = Counter(view.host.rack for view in free)

    def rack_order(view: HostView) -> tuple:
        count = per_rack[view.host.rack]
        # Prefer the smallest rack that fits the whole replica, then the largest ones.
        fits = count >= size
        return (not fits, count if fits else -count, view.host.rack, view.name)

    return tuple(view.name for view in sorted(free, key=rack_order)[:size])
