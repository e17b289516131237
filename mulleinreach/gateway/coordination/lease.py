"""The lease of the coordinator: one row, written under a condition on its version.

Explanation
===========

Lease time is counted on the steady clock from before a renewal was sent. Another
node takes the lease over once it has seen the row unchanged for longer than that,
or once the holder's process is known to have ended. Each change of holder raises
``token``; epochs of groups begin with it, so that an order of an earlier holder
is refused by hosts that have seen one of a later holder.

A store that was restored may show the row of an earlier holder, while a later one, whose row is
lost, still counts its lease. So a node that didn't hold the lease when it hears of the restore
may write the row, but gives no orders until such a lease would have lapsed.
"""

from __future__ import annotations

import asyncio
import enum
import secrets
from dataclasses import dataclass, replace

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.model import HandoverState
from mulleinreach.gateway.ports import (
    LeaseConflict,
    LeaseRead,
    LeaseRecord,
    LeaseStore,
    LeaseWritten,
    OperatorRows,
    OperatorRowsChanged,
    Unavailable,
)
from mulleinreach.gateway.revision import era_of

LEASE_DURATION_S = 2.0
RENEW_INTERVAL_S = 0.7
# What is left of a lease at least right before a renewal, while the store answers in time.
MIN_FRESH_REMAINING_S = 1.1
SECRET_BYTES = 16
CLOCK_RATE_MARGIN = 0.02
# How much tokens rise where a store was restored: more than holders can have changed within the
# seconds that its copy lacks.
RESTORE_TOKEN_INCREMENT = 100
NEVER = float("-inf")


class LeaseState(enum.Enum):
    """What a look at the row showed."""

    HELD_BY_SELF = enum.auto()
    HELD_BY_OTHER = enum.auto()
    FREE = enum.auto()
    UNKNOWN = enum.auto()


class RenewalOutcome(enum.Enum):
    """What came of an attempt to renew the lease.

    ``RENEWED_ROWS_CHANGED``: renewed, but the configuration is not the one that was named.
    ``RENEWED_BY_EARLIER_WRITE``: an earlier renewal, whose answer was lost, has been carried out.
    ``UNKNOWN``: the store gave no answer, and the row may still be ours.
    """

    RENEWED = enum.auto()
    RENEWED_ROWS_CHANGED = enum.auto()
    RENEWED_BY_EARLIER_WRITE = enum.auto()
    UNKNOWN = enum.auto()
    LOST = enum.auto()


@dataclass(frozen=True)
class Resignation:
    """A holder's word that it gives no orders unless it renews the row once more.

    Parameters
    ==========

    token, renewal : name the state of the row which the word is about.
    """

    token: int
    renewal: int


@dataclass(frozen=True)
class Successor:
    """A holder of the lease, as the nodes tell each other that can't read the row.

    Parameters
    ==========

    address : where other nodes reach it.
    secret : what reports to it have to show.
    """

    token: int
    address: str
    secret: str


class CoordinatorLease:
    """This node's view of the lease.

    Parameters
    ==========

    holder : names this life of the process, as ``NODE.INCARNATION``.
    address : where other nodes reach it.
    is_first_start : whether nobody has held the lease before this process started.
    """

    def __init__(
        self,
        store: LeaseStore,
        holder: str,
        address: str,
        clock: Clock,
        log: EventLog,
        is_first_start: bool = False,
    ):
        self._store = store
        self._holder = holder
        self._address = address
        self._clock = clock
        self._log = log
        self._is_first_start = is_first_start
        self._version = 0
        self._version_seen_at = NEVER
        self._held_until = NEVER
        # The store's era, as it was read last.
        self._era: int | None = None
        self._others_may_hold_until = NEVER
        self.record: LeaseRecord | None = None
        # Tokens rise even if the row is lost or spoilt: hosts remember the highest one.
        self._highest_token = 0
        # When the renewal that has had no answer was first sent, and its number.
        self._unanswered: tuple[int, float] | None = None
        # Set while a host is known to have orders of a later holder.
        self.fenced = asyncio.Event()

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
        now = self._clock.now()
        is_sole_holder = now >= self._others_may_hold_until
        return not self.fenced.is_set() and is_sole_holder and now < self._held_until

    def is_fresh(self) -> bool:
        """Whether the latest renewal was done in time, so that the store can be written."""
        return self.is_held() and self._held_until - self._clock.now() >= MIN_FRESH_REMAINING_S

    async def read_state(self) -> LeaseState:
        """Read the row."""
        result = await self._store.read()
        if isinstance(result, Unavailable):
            return LeaseState.UNKNOWN
        self._update_from_read(result)
        if (
            result.record is None
            or self._has_expired()
            or self._is_earlier_incarnation(result.record)
        ):
            return LeaseState.FREE
        if result.record.holder == self._holder:
            return LeaseState.HELD_BY_SELF if self.is_held() else LeaseState.FREE
        return LeaseState.HELD_BY_OTHER

    def _update_from_read(self, result: LeaseRead) -> None:
        if result.version != self._version or self.record is None:
            self._version = result.version
            self._version_seen_at = self._clock.now()
        self.record = result.record
        self._highest_token = max(self._highest_token, self.token)
        self._detect_restore(result)

    def _detect_restore(self, result: LeaseRead) -> None:
        """Wait for leases to lapse whose rows may be lost, if the store was restored."""
        previous_era, self._era = self._era, result.era
        is_restored = (
            self._may_have_lost_holder(result)
            if previous_era is None
            else previous_era < result.era
        )
        if not is_restored or self.is_held():
            return
        self._others_may_hold_until = self._clock.now() + LEASE_DURATION_S * (1 + CLOCK_RATE_MARGIN)
        self._highest_token += RESTORE_TOKEN_INCREMENT
        self._log.event("lease_row_restored", era=result.era, token=self.token)

    def _may_have_lost_holder(self, result: LeaseRead) -> bool:
        """Whether nobody has written the row since a restore that this process didn't see."""
        if result.record is None:
            return result.era > 0 and not self._is_first_start
        return result.record.era < result.era

    def _is_earlier_incarnation(self, record: LeaseRecord) -> bool:
        """Whether the holder was this node before it was restarted."""
        name = self._holder.rpartition(".")[0]
        return record.holder != self._holder and record.holder.rpartition(".")[0] == name

    def _has_expired(self) -> bool:
        unchanged_s = self._clock.now() - self._version_seen_at
        return unchanged_s > LEASE_DURATION_S * (1 + CLOCK_RATE_MARGIN)

    async def acquire(self) -> bool:
        """Take the lease that was last seen; fails if anybody wrote the row since."""
        sent_at = self._clock.now()
        secret = secrets.token_hex(SECRET_BYTES)
        inheritance = self.record.inheritance if self.record else HandoverState()
        token, era = self._highest_token + 1, self._era or 0
        record = LeaseRecord(self._holder, self._address, token, 0, secret, inheritance, era)
        result = await self._store.write(self._version, record)
        if not isinstance(result, LeaseWritten):
            return False
        self.fenced.clear()
        self._record_written(record, result, sent_at)
        self._log.event("lease_acquired", token=record.token)
        return True

    async def acquire_after(self, resignation: Resignation) -> bool:
        """Take the lease if its row is still as it was when its holder resigned."""
        result = await self._store.read()
        if isinstance(result, Unavailable):
            return False
        self._update_from_read(result)
        record = result.record
        if record is None or Resignation(record.token, record.renewal) != resignation:
            return False
        return await self.acquire()

    async def renew(
        self, unchanged: OperatorRows | None = None, inheritance: HandoverState | None = None
    ) -> RenewalOutcome:
        """Extend the lease, or take it up again while nobody has written the row since.

        Parameters
        ==========

        unchanged : the operators' rows, if they are previous_era. ``RENEWED`` proves that they had
            written nothing newer when the renewal began.
        inheritance : what nodes that start should know; as it was if it is left out.
        """
        if self.fenced.is_set():
            return RenewalOutcome.LOST
        sent_at = self._clock.now()
        current = self.record
        inheritance = inheritance or current.inheritance
        record = replace(
            current,
            renewal=current.renewal + 1,
            inheritance=inheritance,
            era=era_of(self._version),
        )
        result = await self._store.write(self._version, record, unchanged)
        is_changed = isinstance(result, OperatorRowsChanged)
        if is_changed:
            result = await self._store.write(self._version, record)
        if isinstance(result, LeaseWritten):
            self._record_written(record, result, sent_at)
            return RenewalOutcome.RENEWED_ROWS_CHANGED if is_changed else RenewalOutcome.RENEWED
        if isinstance(result, LeaseConflict):
            return await self._check_for_late_write()
        if self._unanswered is None or self._unanswered[0] != record.renewal:
            self._unanswered = (record.renewal, sent_at)
        return RenewalOutcome.UNKNOWN

    async def _check_for_late_write(self) -> RenewalOutcome:
        """Find out whether the row was changed by a write of ours whose answer was lost.

        Such a write extends the lease from when it was first sent, however late the
        store carried it out: others count from when they see the row changed.
        """
        result = await self._store.read()
        if isinstance(result, Unavailable):
            return RenewalOutcome.UNKNOWN
        self._update_from_read(result)
        if result.record is None or result.record.holder != self._holder:
            self._held_until = NEVER
            return RenewalOutcome.LOST
        if self._unanswered is not None and self._unanswered[0] == result.record.renewal:
            self._held_until = self._unanswered[1] + LEASE_DURATION_S * (1 - CLOCK_RATE_MARGIN)
            self._unanswered = None
            return RenewalOutcome.RENEWED_BY_EARLIER_WRITE
        return RenewalOutcome.UNKNOWN

    def _record_written(self, record: LeaseRecord, result: LeaseWritten, sent_at: float) -> None:
        self.record = record
        self._highest_token = max(self._highest_token, record.token)
        self._version = result.version
        self._version_seen_at = self._clock.now()
        self._unanswered = None
        self._held_until = sent_at + LEASE_DURATION_S * (1 - CLOCK_RATE_MARGIN)

    def as_successor(self) -> Successor:
        """Return the latest holder known, for nodes that can't read the row."""
        return Successor(self.record.token, self.record.address, self.record.secret)

    def adopt(self, successor: Successor) -> None:
        """Follow the holder that another node has named.

        That is enough to report there. The row's version stays as it was read last, so
        that nothing can be written by that alone.
        """
        self.relinquish()
        self._highest_token = max(self._highest_token, successor.token)
        self.record = LeaseRecord(
            "", successor.address, successor.token, renewal=0, secret=successor.secret
        )

    def mark_fenced(self) -> None:
        """Note that a host has seen an order under a higher token: this term is over for good."""
        self._log.event("lease_fenced", token=self.token)
        self.fenced.set()

    def relinquish(self) -> None:
        """Give no more orders under this lease."""
        self._held_until = NEVER
