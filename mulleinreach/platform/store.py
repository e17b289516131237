"""Calls to the platform's store: rows and feeds, each answer as a value."""

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

# Shorter than the 1.5 s after which a node takes its evidence for too old; a node that starts
# asks again after it.
READ_TIMEOUT_S = 1.0
# A write without an answer is followed by a look at the row. It has to come while a lease of
# two seconds still holds; a store that is 60 times slower than usual answers within 0.35 s.
WRITE_TIMEOUT_S = 0.6
# What a wait for changes may take beyond the time for which the store was asked to wait. The
# longest wait of two seconds then ends while nodes still may send to an upstream that leaves.
WAIT_ANSWER_TIMEOUT_S = 0.6
# A wait that was in vain is followed by a look at what has changed meanwhile.
RECHECK_WAIT_S = 0.01
MAX_PAGE_ROWS = 500
# Rises each time that the store comes back from a copy that lacks its latest writes.
ERA_HEADER = "Store-Era"
# What decoding an answer of another shape raises.
_DECODE_ERRORS = (ValueError, KeyError, TypeError)


def decode_row(raw: dict, era: int = 0) -> StoreRow:
    """Return a row as the store tells it in an era; one that can't be read says why.

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
    """Return which revisions the rows have that a refused write had named.

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
    """Return the document that an answer holds."""
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


def _read_era(answer: HttpResponse, known: int) -> int:
    """Return the era that an answer tells, the one known if it tells none that can be read."""
    told = answer.headers.get(ERA_HEADER)
    era = read_count(told)
    if era is None and told is not None:
        logging.warning("event=store_era_unreadable told=%r", told)
    return known if era is None else era


def _decode_written(answer: HttpResponse, era: int) -> Written | Conflict | Unavailable:
    """Return what came of a write that was answered."""
    try:
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return _decode_conflict(read_object(answer.body), era)
        if answer.status != HTTPStatus.OK:
            return Unavailable(f"status {answer.status}")
        return Written(make_revision(era, int(read_object(answer.body)["ver"])))
    except _DECODE_ERRORS as error:
        return Unavailable(f"{type(error).__name__}: {error}")


class PlatformStore:
    """One narrow client of the store.

    Explanation
    ===========

    A version is compared only with versions of its own era: after the store was restored, the
    same number may be that of another write.

    Parameters
    ==========

    make_session : makes a session without connections.
    """

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession], address: Address):
        self._calls = HttpClient(make_session)
        self._url = address.url + "/mulleinreach/"
        # The latest era that an answer told.
        self.era: int | None = None

    async def close(self) -> None:
        """End the connections."""
        await self._calls.close()

    async def _request(
        self, method: str, call: str, timeout_s: float, **options
    ) -> HttpResponse | CallFailed:
        """Make one call, and note the era that its answer tells."""
        answer = await self._calls.ask(method, self._url + call, timeout_s, **options)
        if isinstance(answer, HttpResponse):
            self._update_era(self._era_of(answer))
        return answer

    def _era_of(self, answer: HttpResponse) -> int:
        return _read_era(answer, self.era or 0)

    def _update_era(self, era: int) -> None:
        if self.era is not None and era > self.era:
            logging.warning("event=store_restored era=%d before=%d", era, self.era)
            # They began at a version that the store may reach only much later.
            self._calls.cancel_long_polls()
        self.era = max(era, self.era or 0)

    async def read_table(self, table: str) -> StoreRows | Unavailable:
        """Return all rows of a table's empty part."""
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
            # Later pages may miss what changed after the first one.
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
            return Unavailable("no rows")
        return self._decode(body, self._era_of(answer)) if isinstance(body, dict) else body

    async def wait(
        self, table: str, revision: int, wait_s: float
    ) -> StoreRows | HistoryLost | Unavailable:
        """Return the rows of a table that changed after ``revision``."""
        if era_of(revision) < (self.era or 0):
            return HistoryLost()
        requested_at = asyncio.get_running_loop().time()
        answer = await self._request_changes(table, revision, wait_s)
        if isinstance(answer, CallTimedOut) and self._calls.answered_at > requested_at:
            if era_of(revision) < (self.era or 0):
                return HistoryLost()
            # The store answers other calls, so only this one's connection was silent.
            answer = await self._request_changes(table, revision, RECHECK_WAIT_S)
        body = _read_body(answer)
        if not isinstance(body, dict):
            return body
        if self._era_of(answer) != era_of(revision):
            # Versions are beyond the one that was named, and yet changes are missing.
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
        """Replace a row if it, and the rows ``unchanged``, have the revisions told here.

        A conflict may have been carried out all the same, where the store was restored
        meanwhile and the versions happened to fit.
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
            return Unavailable(f"rows of another shape: {error!r}")
