"""Claims on requests that may run at most once.

Explanation
===========

Before such a request is sent upstream, a row is inserted in the table under its
key, conditional on the row's absence. If the result of the write stays unknown
after reading the row, the request is not sent, the caller gets ``not_run``, and
the claim is *released*: a row with the state ``not_run`` is written in its place,
so that the first write can no longer be applied. Such a key can be claimed again.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
from dataclasses import asdict, dataclass, field, replace

from mulleinreach.common import Clock, EventLog, ExecutionStatus, TaskGroup
from mulleinreach.stores import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Row,
    Snapshot,
    TableClient,
    TransactionResult,
    Unavailable,
    Unresolved,
    Write,
)

CLAIMS_PREFIX = "claims/"
MAX_STORED_RESPONSE_BYTES = 4096
MAX_PENDING_WRITES = 10_000
MAX_BATCH_WRITES = 200
MAX_WRITE_TRIES = 600
WRITE_RETRY_INTERVAL_S = 1.0
# Age at which claims are deleted.
RETENTION_S = 86_400.0
# How long a repeated request waits for the outcome of the first.
OUTCOME_WAIT_S = 1.0
OUTCOME_POLL_S = 0.25


class ClaimState(enum.StrEnum):
    """State of a claim; ``CLAIMED`` until an outcome is recorded, if one ever is."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredResponse:
    """A short response, stored to be returned to repeated requests with the same key."""

    status: int
    content_type: str
    body: str


@dataclass(frozen=True)
class ClaimRecord:
    """The row of a claim; ``at`` in Unix seconds, ``digest`` of the request's content."""

    token: str
    request_id: str
    digest: str
    state: ClaimState
    at: float
    answer: StoredResponse | None = None

    @classmethod
    def from_value(cls, value: dict) -> ClaimRecord:
        """Build a record from a row's value."""
        answer = value.get("answer")
        typed = {**value, "state": ClaimState(value["state"])}
        typed["answer"] = StoredResponse(**answer) if answer else None
        return cls(**typed)


@dataclass(frozen=True)
class Claim:
    """A claim held by this node: the request may be sent once."""

    key: str
    version: int
    record: ClaimRecord


@dataclass(frozen=True)
class AlreadyClaimed:
    """Another request holds the claim, so this one is not run."""

    record: ClaimRecord


@dataclass(frozen=True)
class ClaimRefused:
    """The claim could not be obtained; the request was not run."""

    reason: str


@dataclass
class _PendingWrite:
    """A row waiting to be written by the next transaction."""

    key: str
    version: int
    record: ClaimRecord
    result: asyncio.Future = field(default_factory=asyncio.Future)


def claim_key(organisation: str, service: str, key: str) -> str:
    """Return the row's key; its first two hex digits are the shard used by ``purge``.

    Examples
    ========

    >>> claim_key("shop", "desk", "k1").count("/")
    2
    """
    text = "\0".join((organisation, service, key))
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{digest[:2]}/{digest}"


class ClaimStore:
    """Obtains claims and records their outcomes, in batched transactions."""

    def __init__(
        self, owner: str, table: TableClient, clock: Clock, log: EventLog, interval_s: float
    ):
        self._owner = owner
        self._table = table
        self._clock = clock
        self._log = log
        self._interval_s = interval_s
        self._pending: list[_PendingWrite] = []
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()
        self._tokens = 0

    def start(self) -> None:
        """Start the task that writes pending rows."""
        self._tasks.spawn(self._write_loop())

    async def stop(self) -> None:
        """Write the pending rows, then stop."""
        await self._flush()
        await self._tasks.close()

    async def abandon(self) -> None:
        """Stop without writing the pending rows, as a crash would."""
        await self._tasks.close()

    async def claim(
        self, key: str, request_id: str, digest: str
    ) -> Claim | AlreadyClaimed | ClaimRefused:
        """Claim ``key`` for a request; only a :class:`Claim` may be sent upstream.

        Explanation
        ===========

        If the caller disconnects meanwhile, the write still completes, and the
        claim is recorded as not run so that the key can be claimed again.
        """
        task = self._tasks.spawn(self._claim(key, request_id, digest))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._record_cancelled)
            raise

    def _record_cancelled(self, task: asyncio.Task) -> None:
        if not task.cancelled() and isinstance(task.result(), Claim):
            self.record_outcome(task.result(), ExecutionStatus.NOT_RUN)

    async def _claim(
        self, key: str, request_id: str, digest: str
    ) -> Claim | AlreadyClaimed | ClaimRefused:
        version = ABSENT
        while True:
            record = self._new_record(request_id, digest)
            result = await self._write(key, version, record)
            if isinstance(result, Committed):
                return Claim(key, result.revision, record)
            if isinstance(result, Unavailable):
                return ClaimRefused(result.reason)
            if isinstance(result, Unresolved):
                return await self._read_back(key, version, record, result.reason)
            existing_row = _row_of(result, key)
            if existing_row is None or existing_row.value is None:
                return ClaimRefused("the claim's row changed during the write")
            existing = ClaimRecord.from_value(existing_row.value)
            if existing.state is not ClaimState.NOT_RUN or existing.digest != digest:
                return AlreadyClaimed(await self._await_outcome(key, existing))
            version = existing_row.version

    async def _await_outcome(self, key: str, existing: ClaimRecord) -> ClaimRecord:
        """Wait up to ``OUTCOME_WAIT_S`` for the outcome of another request's claim."""
        give_up_at = self._clock.now() + OUTCOME_WAIT_S
        while existing.state is ClaimState.CLAIMED and self._clock.now() < give_up_at:
            await asyncio.sleep(OUTCOME_POLL_S)
            row = await self._table.get(key)
            if isinstance(row, Row) and row.value is not None:
                existing = ClaimRecord.from_value(row.value)
        return existing

    def _new_record(self, request_id: str, digest: str) -> ClaimRecord:
        self._tokens += 1
        token = f"{self._owner}.{self._tokens}"
        return ClaimRecord(token, request_id, digest, ClaimState.CLAIMED, self._clock.wall())

    async def _read_back(
        self, key: str, version: int, record: ClaimRecord, reason: str
    ) -> Claim | AlreadyClaimed | ClaimRefused:
        """Resolve a claim whose write result is unknown, by reading its row."""
        row = await self._table.get(key)
        if isinstance(row, Row) and row.value is not None:
            found = ClaimRecord.from_value(row.value)
            if found.token == record.token:
                return Claim(key, row.version, record)
            if found.state is not ClaimState.NOT_RUN:
                return AlreadyClaimed(found)
        self._tasks.spawn(self._release(key, version, record))
        return ClaimRefused(reason)

    async def _release(self, key: str, version: int, record: ClaimRecord) -> None:
        """Write ``not_run`` in place of a claim whose write may still be applied.

        Explanation
        ===========

        While the row has the version that the claim's write is conditional on,
        the write can still be applied; writing the row changes the version. If
        the write was applied, the row has its token. Otherwise its condition can
        no longer hold.
        """
        released = replace(record, state=ClaimState.NOT_RUN)
        for _ in range(MAX_WRITE_TRIES):
            row = await self._table.get(key)
            if isinstance(row, Row):
                landed = row.value is not None and row.value["token"] == record.token
                settled = landed and row.value["state"] == ClaimState.NOT_RUN
                if settled or (row.version != version and not landed):
                    return
                result = await self._write(key, row.version, released)
                if isinstance(result, Committed):
                    self._log.event("claim_released", request=record.request_id)
                    return
            await asyncio.sleep(WRITE_RETRY_INTERVAL_S)

    def record_outcome(
        self, claim: Claim, ran: ExecutionStatus, answer: StoredResponse | None = None
    ) -> None:
        """Record the outcome of a claimed request in the background."""
        if answer is not None and len(answer.body) > MAX_STORED_RESPONSE_BYTES:
            answer = None
        record = replace(claim.record, state=ClaimState(str(ran)), answer=answer)
        self._tasks.spawn(self._write_outcome(claim, record))

    async def _write_outcome(self, claim: Claim, record: ClaimRecord) -> None:
        for _ in range(MAX_WRITE_TRIES):
            result = await self._write(claim.key, claim.version, record)
            # A conflict means that an earlier try was applied: only this node
            # writes a row that has its token.
            if isinstance(result, Committed | Conflict):
                return
            await asyncio.sleep(WRITE_RETRY_INTERVAL_S)
        self._log.event("claim_outcome_lost", request=record.request_id, state=record.state)

    async def _write(self, key: str, version: int, record: ClaimRecord) -> TransactionResult:
        if len(self._pending) >= MAX_PENDING_WRITES:
            return Unavailable(f"{MAX_PENDING_WRITES} claims are already pending")
        pending = _PendingWrite(key, version, record)
        self._pending.append(pending)
        self._wake.set()
        return await pending.result

    async def _write_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._flush()
            await asyncio.sleep(self._interval_s)

    async def _flush(self) -> None:
        """Write pending rows in one transaction, retrying without rows that conflict."""
        batch = self._take_batch()
        while batch:
            conditions = [Condition(p.key, p.version) for p in batch]
            writes = [Write(p.key, asdict(p.record)) for p in batch]
            result = await self._table.transact(conditions, writes)
            if not isinstance(result, Conflict):
                _resolve(batch, result)
                return
            conflicting = {row.key for row in result.rows}
            _resolve([p for p in batch if p.key in conflicting], result)
            batch = [p for p in batch if p.key not in conflicting]

    def _take_batch(self) -> list[_PendingWrite]:
        """Take at most one pending write per row; further ones stay for the next batch."""
        batch, deferred, keys = [], [], set()
        for pending in self._pending:
            if pending.result.done():
                continue
            if pending.key in keys or len(batch) >= MAX_BATCH_WRITES:
                deferred.append(pending)
            else:
                keys.add(pending.key)
                batch.append(pending)
        self._pending = deferred
        if deferred:
            self._wake.set()
        return batch

    async def purge(self, shard: int) -> int:
        """Delete expired claims of one of 256 shards; returns their number."""
        snapshot = await self._table.read(f"{CLAIMS_PREFIX}{shard:02x}/")
        if not isinstance(snapshot, Snapshot):
            return 0
        limit = self._clock.wall() - RETENTION_S
        expired = [r for r in snapshot.rows if r.value is not None and r.value["at"] < limit]
        if not expired:
            return 0
        conditions = [Condition(row.key, row.version) for row in expired]
        result = await self._table.transact(conditions, [Write(row.key, None) for row in expired])
        return len(expired) if isinstance(result, Committed) else 0


def _resolve(batch: list[_PendingWrite], result: TransactionResult) -> None:
    for pending in batch:
        if not pending.result.done():
            pending.result.set_result(result)


def _row_of(conflict: Conflict, key: str) -> Row | None:
    return next((row for row in conflict.rows if row.key == key), None)
