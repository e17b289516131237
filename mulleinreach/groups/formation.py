"""Choosing the hosts of a new replica.

Explanation
===========

A replica stands within one fabric domain. Among the domains with enough free
hosts the one is taken that gives the lowest sum of: the share of the service's
replicas that it already holds (so that a rack or hall doesn't end the service),
and the hosts that would be left over in pieces that no service's replicas fit.
Within the domain, whole racks go first, so that losing a rack ends few groups.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import ServiceIntent

DOMAIN_SPREAD_WEIGHT = 4.0
HALL_SPREAD_WEIGHT = 2.0
SPARE_SHORTFALL_WEIGHT = 2.0


@dataclass(frozen=True)
class DomainCandidate:
    """A domain that was considered; ``cost`` is ``None`` where it has too few hosts."""

    domain: str
    free: int
    cost: float | None
    hosts: tuple[str, ...] = ()

    def explain(self) -> str:
        """Return the choice in a few words."""
        if self.cost is None:
            return f"{self.domain}: {self.free} free, too few"
        return f"{self.domain}: {self.free} free, cost {self.cost:.2f}"


@dataclass(frozen=True)
class Placement:
    """The hosts of a new replica, and all that was weighed."""

    domain: str
    hosts: tuple[str, ...]
    considered: tuple[DomainCandidate, ...]


@dataclass(frozen=True)
class Shortage:
    """No domain can hold the replica; ``needed`` is how many hosts the best one lacks."""

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
    """Return the hosts where the service's replicas may stand, by domain."""
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
    possible = [choice for choice in considered if choice.cost is not None]
    if not possible:
        most = max((choice.free for choice in considered), default=0)
        return Shortage(service.hosts_per_replica - most, considered)
    best = min(possible, key=lambda choice: (choice.cost, choice.domain))
    return Placement(best.domain, best.hosts, considered)


def _evaluate_domain(
    view: FleetView, service: ServiceIntent, domain: str, free: list[HostView]
) -> DomainCandidate:
    size = service.hosts_per_replica
    if len(free) < size:
        return DomainCandidate(domain, len(free), None)
    own = view.groups_of(service.name)
    in_domain = sum(group.domain == domain for group in own)
    hall = free[0].host.hall
    in_hall = sum(_hall_of(view, group.head) == hall for group in own)
    spread = DOMAIN_SPREAD_WEIGHT * in_domain + HALL_SPREAD_WEIGHT * in_hall
    sizes = [s.hosts_per_replica for s in view.config.intent.services if s.kind == "model"]
    fragments = unusable_hosts(len(free) - size, sizes) - unusable_hosts(len(free), sizes)
    wanted = spare_hosts_per_domain(view)
    needed = max(0.0, wanted - (len(free) - size)) - max(0.0, wanted - len(free))
    cost = spread / max(1, service.replicas) + fragments + SPARE_SHORTFALL_WEIGHT * needed / size
    return DomainCandidate(domain, len(free), cost, pick_hosts(free, size))


def spare_hosts_per_domain(view: FleetView) -> float:
    """Return how many hosts a domain keeps free if each has its share of what is left over.

    A spare helps only in its own domain, so what the intent leaves over is best
    spread over all of them.
    """
    services = [s for s in view.config.intent.services if s.kind == "model"]
    wanted = sum(s.hosts_per_replica * s.replicas for s in services)
    domains = {h.host.domain for h in view.hosts.values()}
    return max(0, len(view.hosts) - wanted) / max(1, len(domains))


def _hall_of(view: FleetView, host: str) -> str:
    known = view.hosts.get(host)
    return known.host.hall if known else ""


def pick_hosts(free: list[HostView], size: int) -> tuple[str, ...]:
    """Return ``size`` of the hosts, touching as few racks as is easily had."""
    per_rack = Counter(view.host.rack for view in free)

    def rack_order(view: HostView) -> tuple:
        count = per_rack[view.host.rack]
        # The smallest rack that holds the whole replica first, then the largest.
        fits = count >= size
        return (not fits, count if fits else -count, view.host.rack, view.name)

    return tuple(view.name for view in sorted(free, key=rack_order)[:size])
