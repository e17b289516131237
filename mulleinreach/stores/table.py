"""Client of the platform's transactional table service.

Explanation
===========

The protocol is JSON over HTTP, implemented only in this module:

- ``POST /transactions`` with ``{"conditions": [{"key", "version"}],
  "writes": [{"key", "value"}]}`` returns 200 ``{"revision"}`` or 409
  ``{"conflicts": [row]}``. Version 0 means that the row is absent; a write of
  ``null`` deletes. A row's version is the revision that last wrote it.
- ``GET /rows?prefix=P&since=R`` returns ``{"revision", "rows": [row]}`` with
  the rows under ``P`` changed after revision ``R``; deleted rows have a
  ``null`` value.

If the response to a write is lost, the write may still have been committed. The
result is then :class:`Unresolved`, and the caller must read the row to find out.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import aiohttp

from mulleinreach.common.address import Address

REQUEST_TIMEOUT_S = 2.0
ABSENT = 0


@dataclass(frozen=True)
class Row:
    """A row as it was read; ``value`` is ``None`` if it is absent or deleted."""

    key: str
    version: int
    value: dict | None


@dataclass(frozen=True)
class Condition:
    """The version that a row must have for a transaction to commit."""

    key: str
    version: int


@dataclass(frozen=True)
class Write:
    """A new value for a row; ``None`` deletes it."""

    key: str
    value: dict | None


@dataclass(frozen=True)
class Committed:
    """The transaction committed at ``revision``."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """Nothing was written; ``rows`` are the current rows whose conditions failed."""

    rows: list[Row]


@dataclass(frozen=True)
class Unresolved:
    """It is unknown whether the transaction committed or will commit."""

    reason: str


@dataclass(frozen=True)
class Unavailable:
    """Nothing was written or read: the service was unreachable or returned an error."""

    reason: str


@dataclass(frozen=True)
class Snapshot:
    """The rows under a prefix that changed after a revision."""

    revision: int
    rows: list[Row]


TransactionResult = Committed | Conflict | Unresolved | Unavailable


class TableClient:
    """Reads and conditional transactions on the table service."""

    def __init__(self, session: aiohttp.ClientSession, address: Address):
        self._session = session
        self._url = address.url

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> TransactionResult:
        """Apply all ``writes`` atomically if every condition holds, else none of them."""
        body = {
            "conditions": [{"key": c.key, "version": c.version} for c in conditions],
            "writes": [{"key": w.key, "value": w.value} for w in writes],
        }
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async with self._session.post(self._url + "/transactions", json=body) as response:
                    return await self._read_result(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unavailable(str(error))
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
            return Unresolved(f"{type(error).__name__}: {error}")

    async def _read_result(self, response: aiohttp.ClientResponse) -> TransactionResult:
        # A proxy may return 5xx after the service committed the transaction, so the
        # outcome is unknown.
        if response.status not in (200, 409):
            return Unresolved(f"status {response.status}")
        answer = json.loads(await response.read())
        if response.status == 409:
            return Conflict([Row(**row) for row in answer["conflicts"]])
        return Committed(int(answer["revision"]))

    async def read(self, prefix: str, since: int = 0) -> Snapshot | Unavailable:
        """Return the rows under ``prefix`` that changed after revision ``since``."""
        params = {"prefix": prefix, "since": str(since)}
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async with self._session.get(self._url + "/rows", params=params) as response:
                    if response.status != 200:
                        return Unavailable(f"status {response.status}")
                    answer = json.loads(await response.read())
                    return Snapshot(int(answer["revision"]), [Row(**r) for r in answer["rows"]])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError, OSError) as e:
            return Unavailable(f"{type(e).__name__}: {e}")

    async def get(self, key: str) -> Row | Unavailable:
        """Return one row; an absent row has version 0."""
        snapshot = await self.read(key)
        if isinstance(snapshot, Unavailable):
            return snapshot
        for row in snapshot.rows:
            if row.key == key and row.value is not None:
                return row
        return Row(key, ABSENT, None)
