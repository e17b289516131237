"""The platform's metadata store over HTTP, as PROTOCOL.md tells it (rows only)."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from aiohttp import web

MAX_ROWS = 500
TX_S = 0.005
READ_S = 0.004


@dataclass
class Change:
    """A row as one transaction left it; ``value`` is ``None`` for a dropped one."""

    table: str
    key: str
    value: str | None
    version: int


@dataclass
class Link:
    """A path to the store; while it is cut, nothing gets through and nothing is said."""

    is_cut: bool = False


@dataclass
class Store:
    """Rows of all tables; every answer is linearizable, and nothing is lost.

    ``is_down`` has every call answered with 503: nothing was done.
    """

    version: int = 0
    rows: dict[tuple[str, str], Change] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_down: bool = False
    beaten_at: dict[str, float] = field(default_factory=dict)

    def version_of(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it isn't there."""
        row = self.rows.get((table, key))
        return 0 if row is None or row.value is None else row.version

    def write(self, puts: list[tuple[str, str, str | None]]) -> int:
        """Put rows (or drop those with the value ``None``) in one transaction."""
        self.version += 1
        for table, key, value in puts:
            if value is None and (table, key) not in self.rows:
                continue
            change = Change(table, key, value, self.version)
            self.rows[(table, key)] = change
            self.history.append(change)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.version

    def put(self, table: str, key: str, document: object) -> int:
        """Put one document, or drop the row with ``None``."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.write([(table, key, value)])

    def get(self, table: str, key: str) -> dict | None:
        """Return the document in a row."""
        row = self.rows.get((table, key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    def app(self, link: Link | None = None) -> web.Application:
        """Return the HTTP interface, as it is reached over a link."""
        link = link or Link()

        @web.middleware
        async def turn_away(request: web.Request, handler) -> web.StreamResponse:
            if link.is_cut:
                # The sender gives the call up and closes the connection, which loses its bytes.
                await asyncio.sleep(3600)
            if self.is_down:
                return web.Response(status=503)
            return await handler(request)

        app = web.Application(middlewares=[turn_away])
        app.router.add_get("/mulleinreach/rows-get", self._get)
        app.router.add_get("/mulleinreach/rows-feed", self._feed)
        app.router.add_post("/mulleinreach/rows-tx", self._transact)

        async def add_era(request: web.Request, response: web.StreamResponse) -> None:
            response.headers["Store-Era"] = "0"

        app.on_response_prepare.append(add_era)
        return app

    def _answer(self, rows: list[dict], has_more: bool = False) -> web.Response:
        now_ms = int(time.monotonic() * 1000)
        body = {"rows": rows, "has_more": has_more, "ver": self.version, "now_ms": now_ms}
        return web.json_response(body)

    @staticmethod
    def _raw(row: Change) -> dict:
        raw = {"table": row.table, "part": "", "tls_key": row.key, "ver": row.version}
        return {**raw, "deleted": True} if row.value is None else {**raw, "value": row.value}

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(READ_S)
        query = request.query
        low, high = query.get("source", ""), query.get("target_version")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and row.value is not None and key >= low
        ]
        if high:
            found = [row for row in found if row.key < high]
        return self._answer([self._raw(row) for row in found[:limit]], len(found) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        after, table = int(query["after_rev"]), query["table"]
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            latest = {c.key: c for c in self.history if c.table == table and c.version > after}
            left_s = until - time.monotonic()
            if latest or left_s <= 0 or self.is_down:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(READ_S)
        rows = sorted(latest.values(), key=lambda change: change.version)
        return self._answer([self._raw(row) for row in rows])

    def _is_mere_beat(self, put: dict) -> bool:
        """Whether a replica writes its entry with another ``seq`` only: then it stays as it is."""
        if put["table"] != "servers":
            return False
        self.beaten_at[put["tls_key"]] = time.monotonic()
        entry = json.loads(base64.b64decode(put["value"]))
        known = self.get("servers", put["tls_key"])
        return known is not None and {**known, "seq": 0} == {**entry, "seq": 0}

    def drop_silent(self, silent_s: float) -> list[str]:
        """Remove the entries of replicas that have been silent for so long; returns their ids."""
        now = time.monotonic()
        silent = [
            key
            for key, at in self.beaten_at.items()
            if now - at > silent_s and self.version_of("servers", key)
        ]
        for key in silent:
            self.put("servers", key, None)
        return silent

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(TX_S)
        expected = body.get("expected_rev", [])
        current = [self.version_of(e["table"], e["tls_key"]) for e in expected]
        if current != [e["ver"] for e in expected]:
            rows = [{**e, "ver": v} for e, v in zip(expected, current, strict=True)]
            return web.json_response({"rows": rows}, status=412)
        puts = [
            (p["table"], p["tls_key"], p["value"])
            for p in body.get("puts", [])
            if not self._is_mere_beat(p)
        ]
        puts += [(r["table"], r["tls_key"], None) for r in body.get("remove", [])]
        version = self.write(puts) if puts else self.version
        return web.json_response({"ver": version, "now_ms": int(time.monotonic() * 1000)})
