"""The audit trail: who or what changed something, and why.

Explanation
===========

An entry goes into the table in the same transaction as the change that it
tells of, so it costs no write of its own and can't be missing. Old entries are
rolled into the object store by the holder of the ``audit`` duty: first the
object is written, then the rows are deleted, so an entry may stand twice for a
while and is never lost.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.stores import (
    Committed,
    ObjectStore,
    Row,
    Snapshot,
    TableClient,
    Write,
)

AUDIT_PREFIX = "audit/"
ROLL_AT = 500
KEEP_IN_TABLE = 200


@dataclass(frozen=True)
class AuditEntry:
    """One change; ``at`` in Unix seconds, ``actor`` an operator or a duty."""

    at: float
    node: str
    actor: str
    action: str
    subject: str
    why: str


class AuditTrail:
    """Makes entries, and reads them back from the table and the object store."""

    def __init__(
        self, node: str, table: TableClient, objects: ObjectStore, clock: Clock, log: EventLog
    ):
        self._node = node
        self._table = table
        self._objects = objects
        self._clock = clock
        self._log = log
        self._count = 0

    def entry(self, actor: str, action: str, subject: str, why: str) -> Write:
        """Return the write that adds an entry to a transaction."""
        self._count += 1
        now = self._clock.wall()
        entry = AuditEntry(now, self._node, actor, action, subject, why)
        key = f"{AUDIT_PREFIX}{int(now * 1000):015d}-{self._node}-{self._count:06d}"
        return Write(key, entry.__dict__)

    def announce(self, write: Write) -> None:
        """Log an entry whose transaction was carried out."""
        entry = AuditEntry(**write.value)
        self._log.event(
            "audit",
            actor=entry.actor,
            action=entry.action,
            subject=entry.subject,
            why=entry.why,
        )

    async def recent(self) -> list[AuditEntry] | None:
        """Return the entries in the table, oldest first; ``None`` without an answer."""
        rows = await self._rows()
        return None if rows is None else [AuditEntry(**row.value) for row in rows]

    async def rolled(self) -> list[AuditEntry] | None:
        """Return the entries in the object store, oldest first; ``None`` without an answer."""
        names = await self._objects.list(AUDIT_PREFIX)
        if names is None:
            return None
        entries = []
        for name in names:
            body = await self._objects.get(name)
            if body is None:
                return None
            entries += [AuditEntry(**json.loads(line)) for line in body.splitlines()]
        return entries

    async def _rows(self) -> list[Row] | None:
        snapshot = await self._table.read(AUDIT_PREFIX)
        if not isinstance(snapshot, Snapshot):
            return None
        return sorted((r for r in snapshot.rows if r.value is not None), key=lambda r: r.key)

    async def roll(self) -> int:
        """Move old entries into the object store; returns how many were moved."""
        rows = await self._rows()
        if rows is None or len(rows) < ROLL_AT:
            return 0
        old = rows[: len(rows) - KEEP_IN_TABLE]
        body = "".join(json.dumps(row.value) + "\n" for row in old).encode()
        if not await self._objects.put(old[0].key, body):
            return 0
        result = await self._table.transact([], [Write(row.key, None) for row in old])
        if not isinstance(result, Committed):
            return 0
        self._log.event("audit_rolled", entries=len(old), object=old[0].key)
        return len(old)
