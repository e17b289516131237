"""Claims on requests that may run at most once.

Explanation
===========

Before the first byte of such a request goes upstream, a row is inserted in the
table, conditional on its absence, under the organisation's and the caller's
key. The row's token names the claimer. A write whose answer was lost is read
back; if that settles nothing, the request is not sent, the caller is told
``not_run``, and the claim is *released* in the background: a row that says
``not_run`` is written in its place, after which the lost write can't land,
since it is conditional on absence.

A key whose row says ``not_run`` may be claimed again, conditional on that
row's version. Claims and outcomes are grouped into one transaction an interval.
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
RETENTION_S = 86_400.0
OUTCOME_WAIT_S = 1.0
OUTCOME_POLL_S = 0.25


class ClaimState(enum.StrEnum):
    """``CLAIMED`` means that the outcome isn't known yet, or never will be."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredResponse:
    """A short answer, kept so that the same key gets it again."""

    status: int
    content_type: str
    body: str


@dataclass(frozen=True)
class ClaimRecord:
    """A claim's row; ``at`` in Unix seconds, ``digest`` of the request's content."""

    token: str
    request_id: str
    digest: str
    state: ClaimState
    at: float
    answer: StoredResponse | None = None

    @classmethod
    def from_value(cls, value: dict) -> ClaimRecord:
        """Read a row's value."""
        answer = value.get("answer")
        typed = {**value, "state": ClaimState(value["state"])}
        typed["answer"] = StoredResponse(**answer) if answer else None
        return cls(**typed)


@dataclass(frozen=True)
class Claim:
    """A claim that is ours: the request may be sent, once."""

    key: str
    version: int
    record: ClaimRecord


@dataclass(frozen=True)
class AlreadyClaimed:
    """Another request holds the key; it isn't run again."""

    record: ClaimRecord


@dataclass(frozen=True)
class ClaimRefused:
    """The claim can't be had now; nothing was run."""

    reason: str


@dataclass
class _PendingWrite:
    """A write that waits for the next transaction."""

    key: str
    version: int
    record: ClaimRecord
    result: asyncio.Future = field(default_factory=asyncio.Future)


def claim_key(organisation: str, service: str, key: str) -> str:
    """Return the row's key; the first two digits spread the rows for clean-up.

    Examples
    ========

    >>> claim_key("shop", "desk", "k1").count("/")
    2
    """
    text = "\0".join((organisation, service, key))
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{digest[:2]}/{digest}"


class ClaimStore:
    """Takes claims and writes their outcomes, in grouped transactions."""

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
        """Begin to write."""
        self._tasks.spawn(self._write_loop())

    async def stop(self) -> None:
        """Write what is pending, then end."""
        await self._flush()
        await self._tasks.close()

    async def abandon(self) -> None:
        """End at once, as a crash would."""
        await self._tasks.close()

    async def claim(
        self, key: str, request_id: str, digest: str
    ) -> Claim | AlreadyClaimed | ClaimRefused:
        """Claim ``key`` for a request; only a :class:`Claim` may be sent upstream.

        Explanation
        ===========

        If the caller hangs up meanwhile, the claim is finished all the same and
        then settled as not run, so that the key stays usable.
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
            held = _row_of(result, key)
            if held is None or held.value is None:
                return ClaimRefused("the claim's row changed while it was written")
            known = ClaimRecord.from_value(held.value)
            if known.state is not ClaimState.NOT_RUN or known.digest != digest:
                return AlreadyClaimed(await self._await_outcome(key, known))
            version = held.version

    async def _await_outcome(self, key: str, known: ClaimRecord) -> ClaimRecord:
        """Give a claim whose outcome is about to be written a moment to be settled."""
        give_up_at = self._clock.now() + OUTCOME_WAIT_S
        while known.state is ClaimState.CLAIMED and self._clock.now() < give_up_at:
            await asyncio.sleep(OUTCOME_POLL_S)
            row = await self._table.get(key)
            if isinstance(row, Row) and row.value is not None:
                known = ClaimRecord.from_value(row.value)
        return known

    def _new_record(self, request_id: str, digest: str) -> ClaimRecord:
        self._tokens += 1
        token = f"{self._owner}.{self._tokens}"
        return ClaimRecord(token, request_id, digest, ClaimState.CLAIMED, self._clock.wall())

    async def _read_back(
        self, key: str, version: int, record: ClaimRecord, reason: str
    ) -> Claim | AlreadyClaimed | ClaimRefused:
        """Settle a claim whose answer was lost, by what the table holds."""
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
        """Put ``not_run`` where a claim that was given up has landed or may land.

        Explanation
        ===========

        While the row still has the version that the claim is conditional on, the
        claim may land: writing the row gives it another version. If it has
        landed, its token is found. In any other case it can't land any more.
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
        """Write the outcome of a claimed request, in the background."""
        if answer is not None and len(answer.body) > MAX_STORED_RESPONSE_BYTES:
            answer = None
        record = replace(claim.record, state=ClaimState(str(ran)), answer=answer)
        self._tasks.spawn(self._write_outcome(claim, record))

    async def _write_outcome(self, claim: Claim, record: ClaimRecord) -> None:
        for _ in range(MAX_WRITE_TRIES):
            result = await self._write(claim.key, claim.version, record)
            # A conflict means that an earlier try was carried out after all:
            # no one else writes a row that holds our token.
            if isinstance(result, Committed | Conflict):
                return
            await asyncio.sleep(WRITE_RETRY_INTERVAL_S)
        self._log.event("claim_outcome_lost", request=record.request_id, state=record.state)

    async def _write(self, key: str, version: int, record: ClaimRecord) -> TransactionResult:
        if len(self._pending) >= MAX_PENDING_WRITES:
            return Unavailable(f"{MAX_PENDING_WRITES} claims are waiting already")
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
        """Write what is pending in one transaction, leaving out rows that conflict."""
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
        """Take pending writes, one for each row; others of the row wait a turn."""
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
        """Delete old claims of one of 256 shards; returns how many."""
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
