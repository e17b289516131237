"""The configuration of a gateway: routes, services, engines, organisations and limits."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field


class RouteKind(enum.StrEnum):
    """Whether requests on a route may be retried after they may have run."""

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
    """The destinations and policies of requests with one HTTP host and path prefix.

    Parameters
    ==========

    timeout_s : the maximum duration of a request, including its time in queues.
    objective_s : the latency objective of the answer, or of a stream's first event.
    max_attempts : the maximum number of upstreams that one request is sent to.
    is_public : whether a request needs no API key.
    is_resumable : whether a stream may be continued at another upstream.
    gap_objective_s : the objective for the longest pause between events of a stream.
    allowed_regions : the regions whose upstreams may serve it; ``None`` if any may.
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
    allowed_regions: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.SAFE

    def pick_service(self, rng: random.Random) -> str:
        """Return a random destination, drawn by weight."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        names = [d.service for d in self.destinations]
        return rng.choices(names, [d.weight for d in self.destinations])[0]


@dataclass(frozen=True)
class EngineModel:
    """A model that a service's hosts can serve in groups of ``size`` hosts.

    Parameters
    ==========

    share : its share of the service's work, used until there are requests to measure it by.
    pace : the duration of its work relative to the times of the engine's profile.
    load_s : how long a host takes to load the weights.
    warm_s : how long a host takes to get ready if the weights are staged.
    """

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 10.0
    warm_s: float = 1.0


@dataclass(frozen=True)
class EngineProfile:
    """The cost model of a service's engines; times apply to a model with pace 1.

    Parameters
    ==========

    slots : how many requests a group runs at the same time.
    step_ms, per_sequence_ms : the time of a decoding step, as a constant part and a part
        for each running request.
    read_tokens_per_s : how many prompt tokens are processed in a second.
    stride : the decoding steps for each event of a stream.
    formation_s : how long a group takes to open once its members are ready.
    loads_per_s, max_concurrent_loads : the limits on loads of weights in the service.
    report_lag_s : the maximum age of the state in a host's own report.
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
        """Return the model with this name, ``None`` if the service doesn't have it."""
        return next((m for m in self.models if m.name == name), None)


@dataclass(frozen=True)
class Service:
    """A set of interchangeable upstreams; ``engine`` is set for model services.

    Parameters
    ==========

    cold_s : how long an upstream that starts during traffic stays cold, that is, has an
        empty cache and a capped request rate.
    cold_per_s : the requests per second that a cold upstream can handle; 0 for no cap.
    """

    name: str
    max_connections: int = 100
    engine: EngineProfile | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class RequestLimits:
    """Limits on the sizes and timeouts of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Organisation:
    """A customer with its own API keys.

    Parameters
    ==========

    priority : overrides the priority of routes; ``None`` to use theirs.
    allowed_regions : the regions whose upstreams may serve it; ``None`` if any may.
    """

    name: str
    api_keys: frozenset[str]
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True)
class Configuration:
    """One version of the operator's configuration."""

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
        """Return the route of an HTTP host with the longest prefix that matches ``path``.

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

    def longest_timeout_s(self, service: str) -> float:
        """Return the longest timeout of the routes to a service in seconds, 0 without any.

        Examples
        ========

        >>> to_s = (WeightedService("s", 1),)
        >>> route = Route("r", "h.example", "/a/", RouteKind.SAFE, 8.0, 1, 1, to_s)
        >>> Configuration(1, (route,)).longest_timeout_s("s")
        8.0
        """
        timeouts_s = [
            route.timeout_s
            for route in self.routes
            if any(destination.service == service for destination in route.destinations)
        ]
        return max(timeouts_s, default=0.0)

    def organisation_for_key(self, key: str) -> Organisation | None:
        """Return the organisation that owns an API key, ``None`` if the key is unknown."""
        return self._organisations_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Whether requests on non-public routes need an API key."""
        return self.organisations is not None


@dataclass(frozen=True)
class CallerTimeout:
    """A lower bound on the timeouts that callers of a route set on their first attempts.

    Parameters
    ==========

    shortest_s : the bound in seconds, which nearly all first attempts exceed.
    """

    route: str
    shortest_s: float


@dataclass(frozen=True)
class HeldContent:
    """A request or prompt part that is held (sent to no upstream), since upstreams crashed.

    Parameters
    ==========

    content : the digest of the request, or of the part, which differ.
    remaining_s : how much longer it is held.
    """

    content: int
    remaining_s: float


@dataclass(frozen=True)
class DepartedShare:
    """What nodes that aren't connected any more may use of a bound on all nodes together.

    Parameters
    ==========

    fraction : the part of the bound.
    remaining_s : for how long it counts, in seconds.
    """

    fraction: float
    remaining_s: float


@dataclass(frozen=True)
class ShareStatement:
    """The most that a coordinator leases of a bound on all nodes together.

    Parameters
    ==========

    token : the fencing token of the coordinator; 0 if no coordinator has stated anything.
    connected : the part of the bound that connected nodes may use, as a fraction.
    departed : what other nodes may use beside that.
    """

    token: int = 0
    connected: float = 0.0
    departed: tuple[DepartedShare, ...] = ()


@dataclass(frozen=True)
class HandoverState:
    """State that a coordinator hands over to later coordinators and starting nodes.

    Parameters
    ==========

    first_waits : the callers' timeouts for each route.
    held : the requests that are held.
    shares : what the coordinator may have leased of bounds on all nodes together; ``None`` if that
        isn't known.
    """

    first_waits: tuple[CallerTimeout, ...] = ()
    held: tuple[HeldContent, ...] = ()
    shares: ShareStatement | None = None
