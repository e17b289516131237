"""The Prometheus metrics of a gateway node."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

SECONDS_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8)


class GatewayMetrics:
    """The metrics of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._answers = self._counter("answers", "Answers to callers", ["kind", "status"])
        self._denied = self._counter("denied", "Requests that aren't allowed", ["status"])
        self._sends = self._counter("sends", "Requests sent to upstreams", ["kind"])
        self._failed_sends = self._counter("failed_sends", "Sends without an answer", ["outcome"])
        self._refused_retries = self._counter(
            "refused_retries", "Retries for which a service's budget had none left", ["service"]
        )
        self._withheld = self._counter("cold_withheld", "Cold upstreams passed over", [])
        self._evacuated_sends = self._counter(
            "evacuated_sends", "Requests sent to halls that are to be empty", ["hall"]
        )
        self._tunnels = self._counter(
            "tunnels", "Other nodes' requests for connections to upstreams", ["outcome"]
        )
        self._orders = self._counter("orders", "Orders to hosts", ["order", "outcome"])
        self._answer_seconds = self._histogram("answer_seconds", "Time to the end of an answer")
        self._first_event = self._histogram("first_event_seconds", "Time to a stream's first event")
        self._longest_pause = self._histogram("longest_pause_seconds", "A stream's longest pause")
        self._store_calls = self._counter("store_calls", "Calls to the store", ["call", "outcome"])
        self._events = self._counter("events", "Events of the log, by name", ["event"])
        self._repair_seconds = Histogram(
            "mulleinreach_gateway_repair_seconds",
            "Time from the end of a group that served to the opening of the one in its place",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._groups = Gauge(
            "mulleinreach_gateway_groups",
            "Groups by the state of their heads",
            ["state"],
            registry=self.registry,
        )
        self.in_flight = self._gauge("requests_in_flight", "Requests that aren't answered yet")
        self.holds_lease = self._gauge("holds_lease", "1 at the coordinator")
        self.evidence_age = self._gauge(
            "evidence_age_seconds", "Age of the evidence that the configuration is the newest"
        )
        self.evacuated_halls = self._gauge("evacuated_halls", "Halls that are to be empty")
        self.unusable_rows = self._gauge(
            "unusable_rows", "Rows that name no upstream, as this node read them itself"
        )
        self.held_requests = self._gauge(
            "held_requests", "Requests that aren't sent any more, since upstreams end under them"
        )
        self.resting_upstreams = self._gauge(
            "resting_upstreams", "Upstreams that want nothing from this node for some seconds"
        )
        self.limited_upstreams = self._gauge(
            "limited_upstreams", "Upstreams that bound the requests of all nodes together"
        )
        self.halls_down = self._gauge(
            "halls_down", "Halls of which nothing answers, as found by this coordinator"
        )
        self.cold_heads = self._gauge(
            "cold_heads", "Heads that this node may send to and that are cold"
        )
        self.unreachable_upstreams = self._gauge(
            "unreachable_upstreams", "Upstreams to which this node's latest connection failed"
        )
        self.is_isolated = self._gauge("isolated", "1 if this node can't connect to any upstream")
        self.open_tunnels = self._gauge(
            "open_tunnels", "Connections of other nodes to upstreams through this node"
        )
        self.leased_share = self._gauge(
            "leased_share", "This node's share of bounds on all nodes together, as a fraction"
        )
        self.open_groups = self._gauge("open_groups", "Heads that this node may send to")

    def _counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(f"mulleinreach_gateway_{name}", text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"mulleinreach_gateway_{name}",
            text,
            ["kind"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"mulleinreach_gateway_{name}", text, registry=self.registry)

    def count_store_call(self, call: str, result: object) -> None:
        """Count a call to the store by the class of its result."""
        self._store_calls.labels(call, type(result).__name__).inc()

    def count_answer(self, kind: str, status: int, seconds: float, sends: int) -> None:
        """Count an answer to a caller and the requests to upstreams made for it."""
        self._answers.labels(kind, status).inc()
        self._answer_seconds.labels(kind).observe(seconds)
        self._sends.labels(kind).inc(sends)

    def observe_stream(self, kind: str, first_event_s: float, longest_pause_s: float) -> None:
        """Record a stream's time to its first event and its longest pause between events."""
        self._first_event.labels(kind).observe(first_event_s)
        self._longest_pause.labels(kind).observe(longest_pause_s)

    def count_event(self, name: str) -> None:
        """Count a logged event."""
        self._events.labels(name).inc()

    def observe_repair(self, seconds: float) -> None:
        """Record the time from the end of a serving group to the opening of its replacement."""
        self._repair_seconds.observe(seconds)

    def set_groups(self, states: Mapping[str, int]) -> None:
        """Set the number of groups in each state; all other states are removed."""
        self._groups.clear()
        for state, count in states.items():
            self._groups.labels(state).set(count)

    def count_denied(self, status: int) -> None:
        """Count a denied request."""
        self._denied.labels(status).inc()

    def count_failed_send(self, outcome: str) -> None:
        """Count a request to an upstream that got no valid answer."""
        self._failed_sends.labels(outcome).inc()

    def count_refused_retry(self, service: str) -> None:
        """Count a retry that the budget of a service didn't allow."""
        self._refused_retries.labels(service).inc()

    def count_withheld(self, count: int) -> None:
        """Count cold upstreams that were excluded from the choice for a request."""
        self._withheld.inc(count)

    def count_evacuated_send(self, hall: str) -> None:
        """Count a request that was sent to an upstream in an evacuated hall."""
        self._evacuated_sends.labels(hall).inc()

    def count_tunnel(self, outcome: str) -> None:
        """Count another node's request for a connection to an upstream."""
        self._tunnels.labels(outcome).inc()

    def count_order(self, order: str, outcome: str) -> None:
        """Count an order to a host."""
        self._orders.labels(order, outcome).inc()
