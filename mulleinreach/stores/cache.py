"""A local copy of the table's shared rows, and how fresh it is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import Clock
from mulleinreach.stores.table import ABSENT, Row, Snapshot, TableClient

SHARED_PREFIX = "state/"
NEVER = float("-inf")


class TableCache:
    """The rows rows_with_prefix ``state/``, brought up to date by reads of what changed.

    Explanation
    ===========

    ``read_at`` is the monotonic time at which the latest successful read was
    *asked for*: whatever the table held then is in the copy. A copy that is
    behind is safe to decide on, since each change is conditional on the
    versions of the rows it was decided from. ``changes`` counts the reads that
    brought anything new, so that what is derived from the rows can be kept.
    """

    def __init__(self, table: TableClient, clock: Clock, prefix: str = SHARED_PREFIX):
        self._table = table
        self._clock = clock
        self._prefix = prefix
        self._rows: dict[str, Row] = {}
        self._revision = 0
        self._lock = asyncio.Lock()
        self.read_at = NEVER
        self.changes = 0
        self.listeners: list[Callable[[], None]] = []

    async def refresh(self) -> bool:
        """Read what changed; returns whether the table answered."""
        async with self._lock:
            sent_at = self._clock.now()
            snapshot = await self._table.read(self._prefix, self._revision)
            if not isinstance(snapshot, Snapshot):
                return False
            self._apply(snapshot)
            self.read_at = sent_at
        for listener in self.listeners:
            listener()
        return True

    def _apply(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._revision = max(self._revision, snapshot.revision)
        if snapshot.rows:
            self.changes += 1

    @property
    def was_read(self) -> bool:
        """Whether this copy was ever filled from the table."""
        return self.read_at != NEVER

    def get(self, key: str) -> Row:
        """Return the row ``key`` as last read; an absent one has version 0."""
        return self._rows.get(key) or Row(key, ABSENT, None)

    def rows_with_prefix(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys]
