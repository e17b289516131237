"""Leases on control duties, stored as rows of the table.

Explanation
===========

The holder measures its lease from the time before it sent the renewing write.
Another node acquires the lease only after it has observed the same row unchanged
for the lease duration plus a margin for the rate error of the two clocks, so
clocks are never compared. The epoch increases with each holder and is the
fencing token of orders.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.stores import (
    Committed,
    Condition,
    Row,
    TableCache,
    TableClient,
    Unresolved,
    Write,
)

LEASES_PREFIX = "state/leases/"
NEVER = float("-inf")


@dataclass(frozen=True)
class LeaseRecord:
    """The row of a lease; ``token`` identifies one write."""

    holder: str
    incarnation: str
    epoch: int
    token: str
    duration_s: float


class Lease:
    """The lease on one duty, as one node observes it."""

    def __init__(
        self,
        duty: str,
        node: str,
        incarnation: str,
        table: TableClient,
        cache: TableCache,
        clock: Clock,
        log: EventLog,
        duration_s: float,
        rate_error: float,
    ):
        self.key = LEASES_PREFIX + duty
        self.duty = duty
        self._node = node
        self._incarnation = incarnation
        self._table = table
        self._cache = cache
        self._clock = clock
        self._log = log
        self._duration_s = duration_s
        self._rate_error = rate_error
        self._valid_until = NEVER
        self._observed_row: Row | None = None
        self._observed_at = NEVER
        self._token_count = 0
        self.epoch = 0

    def is_held(self) -> bool:
        """Whether this node holds the lease now; check again after every ``await``."""
        return self._clock.now() < self._valid_until

    def holder(self) -> str:
        """Return the holder according to the last read; for display only."""
        value = self._cache.get(self.key).value
        return value["holder"] if value else ""

    async def tick(self) -> None:
        """Renew or acquire the lease if due; call this several times per lease duration."""
        row = self._cache.get(self.key)
        if self._observed_row is None or row.version != self._observed_row.version:
            self._observed_row = row
            self._observed_at = self._clock.now()
        if self.is_held():
            if self._valid_until - self._clock.now() < self._duration_s * 2 / 3:
                await self._write(row, self.epoch)
            return
        if self._can_acquire(row):
            await self._write(row, (row.value["epoch"] if row.value else 0) + 1)

    def _can_acquire(self, row: Row) -> bool:
        if not self._cache.was_read:
            return False
        if row.value is None:
            return True
        unchanged_s = self._clock.now() - self._observed_at
        return unchanged_s > row.value["duration_s"] * (1 + self._rate_error)

    async def _write(self, row: Row, epoch: int) -> None:
        self._token_count += 1
        token = f"{self._incarnation}.{self._token_count}"
        record = LeaseRecord(self._node, self._incarnation, epoch, token, self._duration_s)
        sent_at = self._clock.now()
        result = await self._table.transact(
            [Condition(self.key, row.version)], [Write(self.key, record.__dict__)]
        )
        written = isinstance(result, Committed)
        if isinstance(result, Unresolved):
            written = await self._was_written(token)
        if written:
            self._record_acquisition(epoch, sent_at)
        await self._cache.refresh()

    async def _was_written(self, token: str) -> bool:
        row = await self._table.get(self.key)
        return isinstance(row, Row) and row.value is not None and row.value["token"] == token

    def _record_acquisition(self, epoch: int, sent_at: float) -> None:
        if epoch != self.epoch:
            self._log.event("lease_taken", duty=self.duty, epoch=epoch)
        self.epoch = epoch
        self._valid_until = sent_at + self._duration_s * (1 - self._rate_error)

    async def release(self) -> None:
        """Release the lease, so that another node can acquire it at once."""
        if not self.is_held():
            return
        self._valid_until = NEVER
        row = self._cache.get(self.key)
        released_row = {**row.value, "duration_s": 0.0, "token": f"{self._incarnation}.released"}
        await self._table.transact(
            [Condition(self.key, row.version)], [Write(self.key, released_row)]
        )
        self._log.event("lease_released", duty=self.duty, epoch=self.epoch)
