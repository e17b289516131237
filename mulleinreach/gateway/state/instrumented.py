"""Wrappers that count calls to the store and back off after failures, and count log events."""

from __future__ import annotations

from mulleinreach.common import Clock, RateLimitedEventLog
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.ports import LeaseRecord, LeaseStore, OperatorRows
from mulleinreach.gateway.state.store_calls import StoreCalls


class CountedSource:
    """Counts calls of a source of the configuration or of upstreams; backs off after failures."""

    def __init__(self, source, name: str, calls: StoreCalls):
        self._source = source
        self._name = name
        self._calls = calls

    async def read(self):
        """Read everything."""
        await self._calls.admit()
        result = await self._source.read()
        self._calls.count(f"{self._name}_read", result)
        return result

    async def wait(self, revision: int, wait_s: float):
        """Wait for changes."""
        await self._calls.admit()
        result = await self._source.wait(revision, wait_s)
        self._calls.count(f"{self._name}_wait", result)
        return result

    def decode(self, document: bytes):
        """Decode a document that another node has read; this makes no call."""
        return self._source.decode(document)


class CountedLease:
    """Counts calls for the lease's row; only reads back off, as the lease times its own writes."""

    def __init__(self, store: LeaseStore, calls: StoreCalls):
        self._store = store
        self._calls = calls

    async def read(self):
        """Read the row."""
        await self._calls.admit()
        result = await self._store.read()
        self._calls.count("lease_read", result)
        return result

    async def write(self, version: int, record: LeaseRecord, unchanged: OperatorRows | None = None):
        """Write the row if it and the operators' rows in ``unchanged`` haven't changed."""
        result = await self._store.write(version, record, unchanged)
        self._calls.count("lease_write", result)
        return result


class CountedEventLog(RateLimitedEventLog):
    """Counts events by name, including those that the bound keeps out of the log."""

    def __init__(self, node: str, clock: Clock, metrics: GatewayMetrics):
        super().__init__(node, clock)
        self._metrics = metrics

    def event(self, name: str, **fields: object) -> None:
        """Count the event, and log it as far as the bound allows."""
        self._metrics.count_event(name)
        super().event(name, **fields)
