"""The coordinator's lease: one row of the store, updated by compare-and-swap on its version.

Explanation
===========

The holder measures the lease on a monotonic clock, from before it sent the last renewal. Another
node may acquire the lease once the row has not changed for longer than the lease duration, or at
once if the holder's process has ended. Each change of holder increments the fencing token, with
which epochs of groups begin, so hosts refuse orders of an earlier holder.

A restored store may show the row of an earlier holder. A node that detects a restore while it does
not hold the lease may acquire it, but gives no orders until any lost lease has expired.
"""

from __future__ import annotations

import asyncio
import enum
import secrets
from dataclasses import dataclass, replace

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.share_accounts import FIRST_STATEMENT, FIRST_TOKEN
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
# Time left on the lease right before a renewal, if the previous renewals were on time.
MIN_FRESH_REMAINING_S = 1.1
SECRET_BYTES = 16
# Maximum relative difference between the clock rates of nodes.
CLOCK_RATE_MARGIN = 0.02
# Exceeds the number of changes of holder that a restore can lose.
RESTORE_TOKEN_INCREMENT = 100
NEVER = float("-inf")


class LeaseState(enum.Enum):
    """Who holds the lease, as the last read of its row showed."""

    HELD_BY_SELF = enum.auto()
    HELD_BY_OTHER = enum.auto()
    FREE = enum.auto()
    UNKNOWN = enum.auto()


class RenewalOutcome(enum.Enum):
    """Result of an attempt to renew the lease.

    ``RENEWED_ROWS_CHANGED``: renewed, but the operators' rows have changed since they were read.
    ``RENEWED_BY_EARLIER_WRITE``: an earlier renewal, whose response was lost, has been applied.
    ``UNKNOWN``: the outcome is not known, and this node may still hold the lease.
    """

    RENEWED = enum.auto()
    RENEWED_ROWS_CHANGED = enum.auto()
    RENEWED_BY_EARLIER_WRITE = enum.auto()
    UNKNOWN = enum.auto()
    LOST = enum.auto()


@dataclass(frozen=True)
class Resignation:
    """Notice that the holder gives no orders until it renews the lease again.

    Parameters
    ==========

    token, renewal : the token and the renewal count of the row when the holder resigned.
    """

    token: int
    renewal: int


@dataclass(frozen=True)
class Successor:
    """The new holder of the lease, sent between nodes when some of them can't read the row.

    Parameters
    ==========

    address : the address on which it accepts reports.
    secret : the secret that reports to it must contain.
    """

    token: int
    address: str
    secret: str


class CoordinatorLease:
    """This node's view of the lease.

    Parameters
    ==========

    holder : id of this process as a holder, in the form ``NODE.INCARNATION``.
    address : the address on which other nodes reach this node.
    is_first_start : whether no node held the lease before this process started.
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
        # The store's era, which each restore increments, as last read.
        self._era: int | None = None
        self._others_may_hold_until = NEVER
        self._record: LeaseRecord | None = None
        self._previous_secret = ""
        # Kept apart from the row, so that tokens increase even if the row is lost or unreadable.
        self._highest_token = 0
        # Renewal count and first send time of the renewal whose outcome is unknown.
        self._unanswered: tuple[int, float] | None = None
        # Set when a host refuses an order because of a higher token; cleared on acquiring.
        self.fenced = asyncio.Event()

    @property
    def record(self) -> LeaseRecord | None:
        """The record of the latest known holder."""
        return self._record

    @record.setter
    def record(self, record: LeaseRecord | None) -> None:
        if record is not None and record.secret != self.secret:
            self._previous_secret = self.secret
        self._record = record

    @property
    def recent_secrets(self) -> tuple[str, ...]:
        """The secrets of the latest two known holders; nodes learn of a new one one by one."""
        return tuple(secret for secret in (self.secret, self._previous_secret) if secret)

    @property
    def token(self) -> int:
        """The token of the latest known holder."""
        return self.record.token if self.record else 0

    @property
    def is_first_term(self) -> bool:
        """Whether the latest known holder is the first one of the deployment."""
        return self.token == FIRST_TOKEN

    @property
    def secret(self) -> str:
        """The secret of the latest known holder."""
        return self.record.secret if self.record else ""

    def is_held(self) -> bool:
        """Whether this node holds the lease and may give orders now."""
        now = self._clock.now()
        is_sole_holder = now >= self._others_may_hold_until
        return not self.fenced.is_set() and is_sole_holder and now < self._held_until

    def is_fresh(self) -> bool:
        """Whether the latest renewal was on time, which shows that the store accepts writes."""
        return self.is_held() and self._held_until - self._clock.now() >= MIN_FRESH_REMAINING_S

    async def read_state(self) -> LeaseState:
        """Read the row and return who holds the lease."""
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
        """If the store was restored, wait until any lease that the restore lost has expired."""
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
        """Whether the row has not been written since a restore before this process's first read."""
        if result.record is None:
            return result.era > 0 and not self._is_first_start
        return result.record.era < result.era

    def _is_earlier_incarnation(self, record: LeaseRecord) -> bool:
        """Whether the holder is this node before its last restart."""
        name = self._holder.rpartition(".")[0]
        return record.holder != self._holder and record.holder.rpartition(".")[0] == name

    def _has_expired(self) -> bool:
        unchanged_s = self._clock.now() - self._version_seen_at
        return unchanged_s > LEASE_DURATION_S * (1 + CLOCK_RATE_MARGIN)

    async def acquire(self) -> bool:
        """Acquire the lease; returns ``False`` if the row changed since it was last read."""
        sent_at = self._clock.now()
        secret = secrets.token_hex(SECRET_BYTES)
        token, era = self._highest_token + 1, self._era or 0
        inheritance = self._inheritance(era)
        record = LeaseRecord(self._holder, self._address, token, 0, secret, inheritance, era)
        result = await self._store.write(self._version, record)
        if not isinstance(result, LeaseWritten):
            return False
        self.fenced.clear()
        self._record_written(record, result, sent_at)
        self._log.event("lease_acquired", token=record.token)
        return True

    def _inheritance(self, era: int) -> HandoverState:
        """Return the state of the row, without what a restore of the store has made outdated."""
        if self.record is None:
            return HandoverState(shares=None if self._highest_token else FIRST_STATEMENT)
        if self.record.era == era:
            return self.record.inheritance
        return replace(self.record.inheritance, shares=None)

    async def acquire_after(self, resignation: Resignation) -> bool:
        """Acquire the lease if its row has not changed since the holder resigned."""
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
        """Extend the lease, or reacquire it if no other node has written the row since.

        Parameters
        ==========

        unchanged : the operators' rows that the write requires to be unchanged, if known.
            ``RENEWED`` proves that they had not changed when the renewal began.
        inheritance : state for the next coordinator; by default that of the current row.
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
        """Check whether the row was changed by this node's own write whose response was lost.

        Such a write extends the lease from the time at which it was first sent, even if the
        store applied it later.
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
        """Return the latest known holder, for nodes that can't read the row."""
        return Successor(self.record.token, self.record.address, self.record.secret)

    def adopt(self, successor: Successor) -> None:
        """Replace the known holder by a successor that another node reported.

        The row's version is left unchanged, so this alone doesn't allow writing the row.
        """
        self.relinquish()
        self._highest_token = max(self._highest_token, successor.token)
        self.record = LeaseRecord(
            "", successor.address, successor.token, renewal=0, secret=successor.secret
        )

    def mark_fenced(self) -> None:
        """End this term for good: a host has seen an order with a higher token."""
        self._log.event("lease_fenced", token=self.token)
        self.fenced.set()

    def relinquish(self) -> None:
        """Stop giving orders under this lease, without writing the row."""
        self._held_until = NEVER
