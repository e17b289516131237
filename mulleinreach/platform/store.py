"""HTTP client of the platform's store; errors are returned as values, not raised."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from http import HTTPStatus

import aiohttp
from absl import logging

from mulleinreach.common import Address
from mulleinreach.common.calls import CallFailed, CallTimedOut, HttpClient, HttpResponse
from mulleinreach.common.checked import CheckError, read_object
from mulleinreach.common.http_fields import read_count
from mulleinreach.gateway.ports import HistoryLost, Unavailable
from mulleinreach.gateway.revision import era_of, make_revision, row_revision, version_of
from mulleinreach.gateway.stored_rows import (
    Conflict,
    RowState,
    StoreRow,
    StoreRows,
    Written,
    is_of_earlier_era,
)

# Shorter than the age at which the data of a node counts as stale.
READ_TIMEOUT_S = 1.0
# Leaves time to read the row after a lost response before the lease expires.
WRITE_TIMEOUT_S = 0.6
# Added to the duration of a long poll; limits how late a node sees that an upstream is leaving.
WAIT_ANSWER_TIMEOUT_S = 0.6
# Duration of the long poll that replaces one whose connection timed out.
RECHECK_WAIT_S = 0.01
MAX_PAGE_ROWS = 500
# Increases whenever the store is restored from a backup that lacks its latest writes.
ERA_HEADER = "Store-Era"
# Raised when a response has an unexpected structure.
_DECODE_ERRORS = (ValueError, KeyError, TypeError)


def decode_row(raw: dict, era: int = 0) -> StoreRow:
    """Return a row from its JSON form; sets ``unreadable_reason`` if its value is invalid.

    Examples
    ========

    >>> decode_row({"tls_key": "k", "ver": 3, "value": "e30="})
    StoreRow(key='k', version=3, value={}, is_removed=False, unreadable_reason='')
    """
    key, version = str(raw["tls_key"]), make_revision(era, int(raw["ver"]))
    if raw.get("deleted"):
        return StoreRow(key, version, None, is_removed=True)
    try:
        return StoreRow(key, version, read_object(base64.b64decode(raw["value"])))
    except (KeyError, ValueError, TypeError) as error:
        return StoreRow(key, version, None, unreadable_reason=f"{type(error).__name__}: {error}")


def _row_key(row: RowState) -> dict[str, str]:
    return {"table": row.table, "part": "", "tls_key": row.key}


def _decode_conflict(answer: dict, era: int = 0) -> Conflict:
    """Return the current revisions of the rows that a rejected write expected unchanged.

    Examples
    ========

    >>> _decode_conflict({"rows": [{"table": "t", "tls_key": "k", "ver": 7}]})
    Conflict(rows=(RowState(table='t', key='k', version=7),))
    """
    rows = answer["rows"]
    return Conflict(
        tuple(RowState(r["table"], r["tls_key"], row_revision(era, int(r["ver"]))) for r in rows)
    )


def _read_body(answer: HttpResponse | CallFailed) -> dict | HistoryLost | Unavailable:
    """Return the JSON document in a response."""
    if isinstance(answer, CallFailed):
        return Unavailable(answer.reason)
    if answer.status == HTTPStatus.GONE:
        return HistoryLost()
    if answer.status != HTTPStatus.OK:
        return Unavailable(f"status {answer.status}")
    try:
        return read_object(answer.body)
    except CheckError as error:
        return Unavailable(str(error))


def _decode_written(answer: HttpResponse, era: int) -> Written | Conflict | Unavailable:
    """Return the result of a write from its response."""
    try:
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return _decode_conflict(read_object(answer.body), era)
        if answer.status != HTTPStatus.OK:
            return Unavailable(f"status {answer.status}")
        return Written(make_revision(era, int(read_object(answer.body)["ver"])))
    except _DECODE_ERRORS as error:
        return Unavailable(f"{type(error).__name__}: {error}")


class PlatformStore:
    """Client for the tables of the store that the gateway uses.

    Versions are compared only within one era: after a restore, the store may assign the same
    version to another write.

    Parameters
    ==========

    make_session : returns a new HTTP session without open connections.
    """

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession], address: Address):
        self._calls = HttpClient(make_session)
        self._url = address.url + "/mulleinreach/"
        # Latest era seen in a response, ``None`` before the first one.
        self.era: int | None = None

    async def close(self) -> None:
        """Close all connections."""
        await self._calls.close()

    async def _request(
        self, method: str, call: str, timeout_s: float, **options
    ) -> HttpResponse | CallFailed:
        """Send a request and record the era in its response."""
        answer = await self._calls.request(method, self._url + call, timeout_s, **options)
        if isinstance(answer, HttpResponse):
            self._update_era(self._era_of(answer))
        return answer

    def _era_of(self, answer: HttpResponse) -> int:
        """Return the era in a response's header, the known one if it is missing or invalid."""
        header = answer.headers.get(ERA_HEADER)
        era = read_count(header)
        if era is None and header is not None:
            logging.warning("event=store_era_unreadable told=%r", header)
        return era if era is not None else self.era or 0

    def _update_era(self, era: int) -> None:
        if self.era is not None and era > self.era:
            logging.warning("event=store_restored era=%d before=%d", era, self.era)
            # The store may reach the versions that they wait for only much later.
            self._calls.cancel_long_polls()
        self.era = max(era, self.era or 0)

    async def read_table(self, table: str) -> StoreRows | Unavailable:
        """Return all rows of a table, reading it page by page."""
        rows: list[StoreRow] = []
        revision = None
        source = ""
        while True:
            params = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if source:
                params["source"] = source
            page = await self._read_page(params)
            if isinstance(page, Unavailable):
                return page
            rows += page.rows
            # Changes after the first page may be missing, so its revision is returned.
            revision = page.revision if revision is None else revision
            if era_of(page.revision) != era_of(revision):
                return Unavailable("the store was restored between two pages")
            if not page.has_more or not page.rows:
                return StoreRows(revision, rows)
            source = page.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> StoreRow | None | Unavailable:
        """Return one row, or ``None`` if it is absent."""
        params = {"table": table, "part": "", "source": key, "limit": "1"}
        page = await self._read_page(params)
        if isinstance(page, Unavailable):
            return page
        return next((row for row in page.rows if row.key == key), None)

    async def _read_page(self, params: dict[str, str]) -> StoreRows | Unavailable:
        answer = await self._request("GET", "rows-get", READ_TIMEOUT_S, params=params)
        body = _read_body(answer)
        if isinstance(body, HistoryLost):
            return Unavailable("status 410 for a read of rows")
        return self._decode(body, self._era_of(answer)) if isinstance(body, dict) else body

    async def wait(
        self, table: str, revision: int, wait_s: float
    ) -> StoreRows | HistoryLost | Unavailable:
        """Wait up to ``wait_s`` for rows that changed after ``revision`` and return them."""
        if era_of(revision) < (self.era or 0):
            return HistoryLost()
        requested_at = asyncio.get_running_loop().time()
        answer = await self._request_changes(table, revision, wait_s)
        if isinstance(answer, CallTimedOut) and self._calls.answered_at > requested_at:
            if era_of(revision) < (self.era or 0):
                return HistoryLost()
            # The store responds to other calls, so only this connection is broken.
            answer = await self._request_changes(table, revision, RECHECK_WAIT_S)
        body = _read_body(answer)
        if not isinstance(body, dict):
            return body
        if self._era_of(answer) != era_of(revision):
            # The store was restored, so the rows may lack changes.
            return HistoryLost()
        return self._decode(body, self._era_of(answer))

    async def _request_changes(
        self, table: str, revision: int, wait_s: float
    ) -> HttpResponse | CallFailed:
        params = {
            "table": table,
            "after_rev": str(version_of(revision)),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + WAIT_ANSWER_TIMEOUT_S
        return await self._request("GET", "rows-feed", timeout_s, is_long_poll=True, params=params)

    async def write_row(
        self, row: RowState, value: dict, unchanged: list[RowState]
    ) -> Written | Conflict | Unavailable:
        """Replace a row if it and the rows ``unchanged`` have the given revisions.

        Returns ``Conflict`` if the store was restored meanwhile, even though the write may have
        succeeded because the versions happen to match.
        """
        expected_rows = [row, *unchanged]
        comparable = tuple(r for r in expected_rows if not is_of_earlier_era(r, self.era or 0))
        if len(comparable) < len(expected_rows):
            return Conflict(comparable)
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {
            "expected_rev": [{**_row_key(r), "ver": version_of(r.version)} for r in expected_rows],
            "puts": [{**_row_key(row), "value": encoded}],
            "remove": [],
        }
        answer = await self._request("POST", "rows-tx", WRITE_TIMEOUT_S, json=body)
        if isinstance(answer, CallFailed):
            return Unavailable(answer.reason)
        era = self._era_of(answer)
        result = _decode_written(answer, era)
        was_restored = any(is_of_earlier_era(r, era) for r in expected_rows)
        return Conflict() if isinstance(result, Written) and was_restored else result

    def _decode(self, answer: dict, era: int) -> StoreRows | Unavailable:
        try:
            rows = [decode_row(raw, era) for raw in answer["rows"]]
            revision = make_revision(era, int(answer["ver"]))
            return StoreRows(revision, rows, bool(answer.get("has_more")))
        except (KeyError, TypeError, ValueError) as error:
            return Unavailable(f"invalid rows in response: {error!r}")
