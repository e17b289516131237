"""Ports that count and space their calls to the store, and a log that counts events."""

from __future__ import annotations

from mulleinreach.common import BoundedEventLog, Clock
from mulleinreach.gateway.known.store_calls import StoreCalls
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.gateway.ports import LeaseRecord, LeaseStore, OperatorRows


class CountedSource:
    """A source of the configuration or of the list of upstreams, its calls counted and spaced."""

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
        """Decode what another node has read, which is no call."""
        return self._source.decode(document)


class CountedLease:
    """The lease's row, with its calls counted; writes, which have their own pace, aren't spaced."""

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
        """Write the row under a condition."""
        result = await self._store.write(version, record, unchanged)
        self._calls.count("lease_write", result)
        return result


class CountedEventLog(BoundedEventLog):
    """Counts events by their names, those too that are left out of the log."""

    def __init__(self, node: str, clock: Clock, metrics: GatewayMetrics):
        super().__init__(node, clock)
        self._metrics = metrics

    def event(self, name: str, **fields: object) -> None:
        """Count the event, and log it as far as the bound allows."""
        self._metrics.count_event(name)
        super().event(name, **fields)
