"""The metrics of a node, for Prometheus."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

if TYPE_CHECKING:
    from mulleinreach.node import Node

ANSWER_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100)


class NodeMetrics:
    """Counters that are kept as things happen, and gauges read when asked for."""

    def __init__(self, node: Node):
        self.registry = CollectorRegistry()
        self._answers = Counter(
            "mulleinreach_answers", "Answers to callers", ["kind", "code"], registry=self.registry
        )
        self._seconds = Histogram(
            "mulleinreach_answer_seconds",
            "Time to the end of an answer",
            ["kind"],
            buckets=ANSWER_BUCKETS_S,
            registry=self.registry,
        )
        self.registry.register(_NodeCollector(node))

    def count_answer(self, path: str, code: str, seconds: float) -> None:
        """Count one answer to a caller; paths are grouped so that labels stay few."""
        kind = _kind_of(path)
        self._answers.labels(kind, code).inc()
        self._seconds.labels(kind).observe(seconds)


def _kind_of(path: str) -> str:
    if path.startswith("/v1/"):
        return "model"
    if path.startswith("/services/"):
        return "plain"
    return "node"


class _NodeCollector:
    """Reads a node's state when the metrics are asked for."""

    def __init__(self, node: Node):
        self._node = node

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics that are read from state."""
        node = self._node
        yield _gauge("configuration_version", "Version applied", node.force.version)
        yield _gauge("configuration_fresh", "1 if it may serve", int(node.force.is_fresh()))
        yield _gauge("peers_answering", "Other nodes", len(node.roster.live_node_names()) - 1)
        yield _gauge("lease_held", "1 for the holder of groups", int(node.lease.is_held()))
        yield _gauge("attempts_in_flight", "Attempts", len(node.active))
        yield _gauge("explained_requests", "Stories kept", len(node.journal))
        yield from self._collect_services()
        yield from self._collect_counts()

    def _collect_services(self) -> Iterator[Metric]:
        node = self._node
        usable = GaugeMetricFamily(
            "mulleinreach_usable_replicas", "Replicas that get work", labels=["service"]
        )
        queued = GaugeMetricFamily(
            "mulleinreach_queued_requests", "Requests waiting", labels=["service"]
        )
        for service in node.force.document.intent.services:
            usable.add_metric([service.name], len(node.replicas.candidates(service.name)))
            queued.add_metric([service.name], node.queue.length(service.name))
        yield usable
        yield queued

    def _collect_counts(self) -> Iterator[Metric]:
        node = self._node
        counts = node.models.metrics
        yield _counter("attempts", "Attempts at upstreams", counts.attempts)
        yield _counter("retries", "Attempts after the first", counts.retries)
        yield _counter("resumes", "Streams gone on with", counts.resumes)
        yield _counter("moves", "Streams moved off a draining replica", counts.moves)
        yield _counter("foreign_events", "Events of others, dropped", counts.foreign_events)
        yield _counter("duplicate_events", "Doubled events, dropped", counts.duplicate_events)
        yield _counter("shed_requests", "Requests refused under load", node.queue.shed)
        yield _counter("retries_refused", "Retries over the budget", node.budget.refused)


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"mulleinreach_{name}", help_text, value=value)


def _counter(name: str, help_text: str, value: float) -> Metric:
    return CounterMetricFamily(f"mulleinreach_{name}", help_text, value=value)
