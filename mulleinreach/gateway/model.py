"""The configuration of a gateway: routes, services, engines, organisations and limits."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService:
    """One destination of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go, and under which terms.

    Parameters
    ==========

    timeout_s : the longest time that a request is held.
    objective_s : the time to the answer (or its first event) that earns full credit.
    max_attempts : to how many upstreams one request may be sent.
    is_public : whether a request needs no API key.
    is_resumable : whether a stream may be continued at another replica.
    gap_objective_s : the longest pause between events that is in time.
    homes : the regions whose upstreams may serve it; ``None`` if any may.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    destinations: tuple[WeightedService, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_objective_s: float = 1.0
    homes: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.SAFE

    def pick_service(self, rng: random.Random) -> str:
        """Return a destination, drawn by weight."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        names = [d.service for d in self.destinations]
        return rng.choices(names, [d.weight for d in self.destinations])[0]


@dataclass(frozen=True)
class EngineModel:
    """A model that a service's hosts can serve in groups of ``size`` hosts."""

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 10.0
    warm_s: float = 1.0


@dataclass(frozen=True)
class EngineProfile:
    """The cost model of a service's engines; times are of a model with pace 1.

    Parameters
    ==========

    report_lag_s : how old the state is that a host's own report shows.
    """

    models: tuple[EngineModel, ...]
    slots: int = 8
    step_ms: float = 10.0
    per_sequence_ms: float = 0.5
    read_tokens_per_s: float = 10_000.0
    stride: int = 1
    formation_s: float = 0.3
    loads_per_s: float = 1.0
    max_concurrent_loads: int = 1
    report_lag_s: float = 0.2

    def model(self, name: str) -> EngineModel | None:
        """Return the model of this name."""
        return next((m for m in self.models if m.name == name), None)


@dataclass(frozen=True)
class Service:
    """Upstreams that answer the same requests; ``engine`` is set for model services.

    Parameters
    ==========

    cold_s : for how long an upstream is cold after a start during traffic.
    cold_per_s : the requests a second that a cold upstream bears; 0 if there is no bound.
    """

    name: str
    max_connections: int = 100
    engine: EngineProfile | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class RequestLimits:
    """Bounds on what a caller may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Organisation:
    """An owner of API keys; its priority goes before that of a route.

    Parameters
    ==========

    homes : the regions whose upstreams may serve it; ``None`` if any may.
    """

    name: str
    api_keys: frozenset[str]
    priority: int | None = None
    homes: frozenset[str] | None = None


@dataclass(frozen=True)
class Configuration:
    """One version of everything that an operator decides."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
    organisations: tuple[Organisation, ...] | None = None
    _routes_by_host: dict[str, list[Route]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _organisations_by_key: dict[str, Organisation] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)
        for organisation in self.organisations or ():
            for key in organisation.api_keys:
                self._organisations_by_key[key] = organisation

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``.

        Examples
        ========

        >>> route = Route("r", "h.example", "/a/", RouteKind.SAFE, 1, 1, 1, ())
        >>> Configuration(1, (route,)).match("h.example", "/a/b").name
        'r'
        >>> Configuration(1, (route,)).match("h.example", "/b/") is None
        True
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def organisation_for_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds an API key."""
        return self._organisations_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that aren't public need an API key."""
        return self.organisations is not None


@dataclass(frozen=True)
class CallerTimeout:
    """What nearly all callers of a route wait for at least when they first ask, in seconds."""

    route: str
    shortest_s: float


@dataclass(frozen=True)
class HeldContent:
    """A request that isn't sent, by its digest, and for how much longer."""

    content: int
    remaining_s: float


@dataclass(frozen=True)
class HandoverState:
    """What a coordinator has learnt and nodes that start should know.

    Parameters
    ==========

    first_waits : how long callers of each route wait.
    held : the requests that end the upstreams which run them.
    """

    first_waits: tuple[CallerTimeout, ...] = ()
    held: tuple[HeldContent, ...] = ()
