"""Leases on control duties, kept as rows of the table.

Explanation
===========

The holder counts its lease from before the write that renewed it was sent.
Another node takes the lease only once it has seen the same row, unchanged, for
the whole duration and a margin for the rate error of the two clocks. Neither
looks at the other's clock. The epoch grows with each holder and fences orders.
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
    """The row of a lease; ``token`` is new with each write, ``duration_s`` in seconds."""

    holder: str
    incarnation: str
    epoch: int
    token: str
    duration_s: float


class Lease:
    """One duty, as one node sees it."""

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
        """Whether we hold the lease at this moment; check again after every wait."""
        return self._clock.now() < self._valid_until

    def holder(self) -> str:
        """Return who holds the lease by the last read, for people."""
        value = self._cache.get(self.key).value
        return value["holder"] if value else ""

    async def tick(self) -> None:
        """Renew, take or leave alone; call this a few times each duration."""
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
        """Give the lease up, so that another node takes it without waiting."""
        if not self.is_held():
            return
        self._valid_until = NEVER
        row = self._cache.get(self.key)
        released_row = {**row.value, "duration_s": 0.0, "token": f"{self._incarnation}.released"}
        await self._table.transact(
            [Condition(self.key, row.version)], [Write(self.key, released_row)]
        )
        self._log.event("lease_released", duty=self.duty, epoch=self.epoch)
