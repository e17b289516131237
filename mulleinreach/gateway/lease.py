"""The lease of the coordinator: one row, written under a condition on its version.

Explanation
===========

Lease time is counted on the steady clock from before a renewal was sent. Another
node takes the lease over once it has seen the row unchanged for longer than that,
or once the holder's process is known to have ended. Each change of holder raises
``token``; epochs of groups begin with it, so that an order of an earlier holder
is refused by hosts that have seen one of a later holder.
"""

from __future__ import annotations

import enum
import secrets
from dataclasses import replace

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.ports import (
    LeaseConflict,
    LeaseRead,
    LeaseRecord,
    LeaseStore,
    LeaseWritten,
    Unavailable,
)

LEASE_S = 2.0
RENEW_S = 0.7
SECRET_BYTES = 16
CLOCK_RATE_MARGIN = 0.02
NEVER = float("-inf")


class LeaseState(enum.Enum):
    """What a look at the row showed."""

    OURS = enum.auto()
    OTHERS = enum.auto()
    FREE = enum.auto()
    UNKNOWN = enum.auto()


class CoordinatorLease:
    """This node's view of the lease.

    Parameters
    ==========

    holder : names this life of the process, as ``NODE.INCARNATION``.
    address : where other nodes reach it.
    """

    def __init__(self, store: LeaseStore, holder: str, address: str, clock: Clock, log: EventLog):
        self._store = store
        self._holder = holder
        self._address = address
        self._clock = clock
        self._log = log
        self._version = 0
        self._version_seen_at = NEVER
        self._held_until = NEVER
        self.record: LeaseRecord | None = None

    @property
    def token(self) -> int:
        """The token of the latest holder known."""
        return self.record.token if self.record else 0

    @property
    def secret(self) -> str:
        """The secret of the latest holder known."""
        return self.record.secret if self.record else ""

    def is_held(self) -> bool:
        """Whether this node may give orders at this moment."""
        return self._clock.now() < self._held_until

    async def look(self) -> LeaseState:
        """Read the row."""
        result = await self._store.read()
        if isinstance(result, Unavailable):
            return LeaseState.UNKNOWN
        self._take(result)
        if result.record is None or self._has_lapsed() or self._is_earlier_life(result.record):
            return LeaseState.FREE
        if result.record.holder == self._holder:
            return LeaseState.OURS if self.is_held() else LeaseState.FREE
        return LeaseState.OTHERS

    def _take(self, result: LeaseRead) -> None:
        if result.version != self._version or self.record is None:
            self._version = result.version
            self._version_seen_at = self._clock.now()
        self.record = result.record

    def _is_earlier_life(self, record: LeaseRecord) -> bool:
        """Whether the holder was this node before it was restarted."""
        name = self._holder.rpartition(".")[0]
        return record.holder != self._holder and record.holder.rpartition(".")[0] == name

    def _has_lapsed(self) -> bool:
        unchanged_s = self._clock.now() - self._version_seen_at
        return unchanged_s > LEASE_S * (1 + CLOCK_RATE_MARGIN)

    async def acquire(self) -> bool:
        """Take the lease that was last seen; fails if anybody wrote the row since."""
        sent_at = self._clock.now()
        secret = secrets.token_hex(SECRET_BYTES)
        record = LeaseRecord(self._holder, self._address, self.token + 1, 0, secret)
        result = await self._store.write(self._version, record)
        if not isinstance(result, LeaseWritten):
            return False
        self._hold(record, result, sent_at)
        self._log.event("lease_acquired", token=record.token)
        return True

    async def renew(self) -> bool:
        """Extend the lease; ``False`` if it is lost for certain."""
        sent_at = self._clock.now()
        current = self.record
        record = replace(current, renewal=current.renewal + 1)
        result = await self._store.write(self._version, record)
        if isinstance(result, LeaseWritten):
            self._hold(record, result, sent_at)
            return True
        if isinstance(result, LeaseConflict):
            return await self._is_own_late_write()
        return self.is_held()

    async def _is_own_late_write(self) -> bool:
        """Whether the row was changed by a write of ours whose answer was lost."""
        result = await self._store.read()
        if isinstance(result, Unavailable):
            return self.is_held()
        if result.record is None or result.record.holder != self._holder:
            self._held_until = NEVER
            self._take(result)
            return False
        self._take(result)
        return True

    def _hold(self, record: LeaseRecord, result: LeaseWritten, sent_at: float) -> None:
        self.record = record
        self._version = result.version
        self._version_seen_at = self._clock.now()
        self._held_until = sent_at + LEASE_S * (1 - CLOCK_RATE_MARGIN)

    def give_up(self) -> None:
        """Give no more orders under this lease."""
        self._held_until = NEVER
