"""A store of rows in memory, with the ports of a gateway on it."""

from __future__ import annotations

import asyncio
import pickle
from dataclasses import dataclass
from typing import Any

from mulleinreach.gateway.model import Configuration
from mulleinreach.gateway.ports import (
    ConfigurationRead,
    EvacuationRow,
    HistoryLost,
    LeaseConflict,
    LeaseRead,
    LeaseRecord,
    LeaseWritten,
    OperatorRows,
    OperatorRowsChanged,
    Unavailable,
    UpstreamsRead,
)
from mulleinreach.gateway.revision import era_of, make_revision, row_revision, version_of
from mulleinreach.gateway.upstream import Upstream

CONFIGURATION = "configuration"
NEWEST = "newest"
EVACUATE = "evacuate/"
UPSTREAMS = "upstreams"
LEASE = "lease"
COORDINATOR = "coordinator"
ANSWER_S = 0.004
SILENT_S = 1.0


@dataclass(frozen=True)
class StoreCopy:
    """What a store held at one moment."""

    version: int
    tables: dict[str, dict[str, MemoryRow]]


@dataclass(frozen=True)
class MemoryRow:
    """A row; ``value`` is ``None`` for a removed one.

    Parameters
    ==========

    version : within the store's era.
    """

    key: str
    version: int
    value: Any


class MemoryStore:
    """Rows by table and key, and one counter of versions over all of them.

    Explanation
    ===========

    Knobs: ``is_down`` refuses every call, ``is_silent`` lets calls hang, ``loses``
    carries writes out and loses their answers, ``late_s`` does so later by that time, if
    their conditions still hold; ``history_from`` is the oldest version from which a wait
    may continue. :meth:`restore` takes the store back to
    a copy: what was written since is gone, and its versions are given out again.
    """

    def __init__(self) -> None:
        self.era = 0
        self.version = 0
        self.tables: dict[str, dict[str, MemoryRow]] = {}
        self.is_down = False
        self.is_silent = False
        self.loses = False
        self.late_s = 0.0
        self.history_from = 0
        self.calls = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row; ``None`` removes it."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = MemoryRow(key, self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def copy(self) -> StoreCopy:
        """Return what the store holds now."""
        return StoreCopy(self.version, {name: dict(rows) for name, rows in self.tables.items()})

    def restore(self, copy: StoreCopy, ends_waits: bool = True) -> None:
        """Go back to a copy, and begin a new era.

        Parameters
        ==========

        ends_waits : whether waits that are under way are answered.
        """
        self.era += 1
        self.version = copy.version
        self.tables = {name: dict(rows) for name, rows in copy.tables.items()}
        if ends_waits:
            self._changed.set()
            self._changed = asyncio.Event()

    def get(self, table: str, key: str) -> MemoryRow:
        """Return a row; an absent one has version 0."""
        row = self.tables.get(table, {}).get(key)
        return row if row is not None and row.value is not None else MemoryRow(key, 0, None)

    def revision(self, version: int | None = None) -> int:
        """Return the revision of a version of this era, the newest one if none is named."""
        return make_revision(self.era, self.version if version is None else version)

    def row_revision(self, table: str, key: str) -> int:
        """Return the revision of a row's latest change, 0 for an absent row."""
        return row_revision(self.era, self.get(table, key).version)

    def rows(self, table: str, after: int = 0) -> list[MemoryRow]:
        """Return the rows that changed after a version, in the order of their changes."""
        rows = [r for r in self.tables.get(table, {}).values() if r.version > after]
        return sorted(rows, key=lambda row: row.version)

    async def arrive(self) -> Unavailable | None:
        """Let a call take its time; returns why it fails, if it does."""
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        if self.is_silent:
            await asyncio.sleep(SILENT_S)
            return Unavailable("no answer")
        return Unavailable("down") if self.is_down else None

    async def wait(
        self, table: str, after: int, wait_s: float
    ) -> tuple[int, list[MemoryRow]] | HistoryLost | Unavailable:
        """Return what changed after a version, as soon as anything has."""
        failure = await self.arrive()
        if failure is not None:
            return failure
        if not self.history_from <= after <= self.version:
            return HistoryLost()
        era = self.era
        try:
            async with asyncio.timeout(wait_s):
                while era == self.era and not self.rows(table, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if after > self.version:
            return HistoryLost()
        return self.version, self.rows(table, after)

    async def wait_from(
        self, table: str, revision: int, wait_s: float
    ) -> list[MemoryRow] | HistoryLost | Unavailable:
        """Return what changed after a revision, which must be of the era that still is."""
        result = await self.wait(table, version_of(revision), wait_s)
        if isinstance(result, tuple) and era_of(revision) != self.era:
            return HistoryLost()
        return result[1] if isinstance(result, tuple) else result


class MemoryConfigurations:
    """The configuration as one row."""

    def __init__(self, store: MemoryStore):
        self._store = store

    async def read(self) -> ConfigurationRead | Unavailable:
        """Return the newest configuration."""
        failure = await self._store.arrive()
        if failure is not None:
            return failure
        rows = [row for row in self._store.rows(CONFIGURATION) if row.value is not None]
        return self._describe(rows, is_whole=True)

    async def wait(
        self, revision: int, wait_s: float
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Return the configuration as soon as it has changed."""
        rows = await self._store.wait_from(CONFIGURATION, revision, wait_s)
        return self._describe(rows, is_whole=False) if isinstance(rows, list) else rows

    def decode(self, document: bytes) -> Configuration | None:
        """Return the configuration that another node has read."""
        return pickle.loads(document)

    def _describe(self, rows: list[MemoryRow], is_whole: bool) -> ConfigurationRead:
        revision = self._store.revision()
        evacuations = tuple(map(self._evacuation, (r for r in rows if r.key.startswith(EVACUATE))))
        newest = next((row for row in rows if row.key == NEWEST and row.value is not None), None)
        if newest is None:
            return ConfigurationRead(revision, None, evacuations=evacuations, is_whole=is_whole)
        row = self._store.revision(newest.version)
        document = pickle.dumps(newest.value)
        return ConfigurationRead(revision, newest.value, document, row, evacuations, is_whole)

    def _evacuation(self, row: MemoryRow) -> EvacuationRow:
        version = 0 if row.value is None else self._store.revision(row.version)
        return EvacuationRow(row.key.removeprefix(EVACUATE), version)


class MemoryUpstreams:
    """The list of upstreams, a row each."""

    def __init__(self, store: MemoryStore):
        self._store = store

    async def read(self) -> UpstreamsRead | Unavailable:
        """Return all upstreams."""
        failure = await self._store.arrive()
        if failure is not None:
            return failure
        return self._translate(self._store.rows(UPSTREAMS))

    async def wait(self, revision: int, wait_s: float) -> UpstreamsRead | HistoryLost | Unavailable:
        """Return the upstreams that changed."""
        rows = await self._store.wait_from(UPSTREAMS, revision, wait_s)
        return self._translate(rows) if isinstance(rows, list) else rows

    def _translate(self, rows: list[MemoryRow]) -> UpstreamsRead:
        upstreams: list[Upstream] = [row.value for row in rows if row.value is not None]
        removed = [row.key for row in rows if row.value is None]
        return UpstreamsRead(self._store.revision(), upstreams, removed)


class MemoryLease:
    """The lease as one row."""

    def __init__(self, store: MemoryStore):
        self._store = store

    async def read(self) -> LeaseRead | Unavailable:
        """Return the row."""
        failure = await self._store.arrive()
        if failure is not None:
            return failure
        version = self._store.row_revision(LEASE, COORDINATOR)
        return LeaseRead(version, self._store.get(LEASE, COORDINATOR).value, self._store.era)

    async def write(
        self, version: int, record: LeaseRecord, unchanged: OperatorRows | None = None
    ) -> LeaseWritten | LeaseConflict | OperatorRowsChanged | Unavailable:
        """Replace the row if it still has ``version``, and the operators' rows theirs."""
        failure = await self._store.arrive()
        if failure is not None:
            return failure
        if self._store.late_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self._store.late_s, self._write_now, version, record, unchanged)
            return Unavailable("no answer yet")
        return self._write_now(version, record, unchanged)

    def _write_now(
        self, version: int, record: LeaseRecord, unchanged: OperatorRows | None
    ) -> LeaseWritten | LeaseConflict | OperatorRowsChanged | Unavailable:
        if self._store.row_revision(LEASE, COORDINATOR) != version:
            return LeaseConflict()
        if unchanged is not None and not self._is_unchanged(unchanged):
            return OperatorRowsChanged()
        written = self._store.revision(self._store.put(LEASE, COORDINATOR, record))
        return Unavailable("the answer was lost") if self._store.loses else LeaseWritten(written)

    def _is_unchanged(self, rows: OperatorRows) -> bool:
        if self._store.row_revision(CONFIGURATION, NEWEST) != rows.configuration:
            return False
        return all(
            self._store.row_revision(CONFIGURATION, EVACUATE + row.hall) == row.version
            for row in rows.evacuations
        )
