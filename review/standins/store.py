"""The platform's store: rows in tables, under one counter of versions."""

from __future__ import annotations

import asyncio
import base64
import json

from aiohttp import web

ANSWER_S = 0.004
MAX_PAGE_ROWS = 500


class Store:
    """Serves rows as PROTOCOL.md, "The platform's metadata store", says; all answers are whole.

    Knobs: between ``go_away`` and ``restore`` no call is answered, and nothing is done; ``restore``
    takes the rows back to a copy, as in the drill of PAGES-ADDED.md, raises the era by one, and
    answers the calls that still wait.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = 0
        self._is_there = asyncio.Event()
        self._is_there.set()
        # The text of the row that was last written under a condition, for ``last_writer``.
        self._last_conditional = ""
        # By table and key: the version and the value, ``None`` once dropped.
        self._rows: dict[str, dict[str, tuple[int, bytes | None]]] = {}
        self._changed = asyncio.Event()

    def copy(self) -> tuple[int, dict]:
        """Return what the store holds now."""
        return self.version, {table: dict(rows) for table, rows in self._rows.items()}

    def go_away(self) -> None:
        """Answer nothing any more."""
        self._is_there.clear()

    def restore(self, copy: tuple[int, dict]) -> None:
        """Go back to a copy; what was written since is gone, and versions are given out again."""
        self.era += 1
        self.version, rows = copy
        self._rows = {table: dict(entries) for table, entries in rows.items()}
        self._is_there.set()
        self._changed.set()
        self._changed = asyncio.Event()

    def last_writer(self, names: list[str]) -> str | None:
        """Return which of these machines last wrote to the store under a condition."""
        return next((name for name in names if name in self._last_conditional), None)

    def put(self, table: str, key: str, value: dict | None) -> int:
        """Write a row as the operator and the replicas do; ``None`` drops it."""
        encoded = None if value is None else json.dumps(value).encode()
        return self._apply([(table, key, encoded)])

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            self._rows.setdefault(table, {})[key] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def _version_of(self, table: str, key: str) -> int:
        version, value = self._rows.get(table, {}).get(key, (0, None))
        return 0 if value is None else version

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=4_000_000, middlewares=[self._wait_while_away])
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/mulleinreach/rows-get", self._get)
        app.router.add_get("/mulleinreach/rows-feed", self._feed)
        app.router.add_post("/mulleinreach/rows-tx", self._transact)
        return app

    @web.middleware
    async def _wait_while_away(self, request: web.Request, handler) -> web.StreamResponse:
        await self._is_there.wait()
        response = await handler(request)
        await self._is_there.wait()
        return response

    async def _add_era(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = str(self.era)

    def _answer(self, rows: list[dict], has_more: bool = False) -> web.Response:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        body = {"rows": rows, "has_more": has_more, "ver": self.version, "now_ms": now_ms}
        return web.json_response(body)

    def _describe(self, table: str, key: str) -> dict:
        version, value = self._rows[table][key]
        row = {"table": table, "part": "", "tls_key": key, "ver": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        query = request.query
        table = query["table"]
        keys = sorted(
            key
            for key, (_, value) in self._rows.get(table, {}).items()
            if value is not None and key >= query.get("source", "")
        )
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows = [self._describe(table, key) for key in keys[:limit]]
        return self._answer(rows, len(keys) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        query = request.query
        table, after = query["table"], int(query["after_rev"])
        if after > self.version:
            return web.Response(status=410)
        era = self.era
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while era == self.era and not self._changed_since(table, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if after > self.version:
            return web.Response(status=410)
        return self._answer([self._describe(table, k) for k in self._changed_since(table, after)])

    def _changed_since(self, table: str, after: int) -> list[str]:
        rows = self._rows.get(table, {})
        changed = [(version, key) for key, (version, _) in rows.items() if version > after]
        return [key for _, key in sorted(changed)]

    async def _transact(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        body = await request.json()
        await self._is_there.wait()
        expected = body.get("expected_rev", [])
        if any(self._version_of(r["table"], r["tls_key"]) != r["ver"] for r in expected):
            rows = [
                self._describe(r["table"], r["tls_key"])
                for r in expected
                if self._version_of(r["table"], r["tls_key"])
            ]
            return web.json_response({"rows": rows, "ver": self.version}, status=412)
        changes = [
            (p["table"], p["tls_key"], base64.b64decode(p["value"])) for p in body.get("puts", [])
        ]
        changes += [(r["table"], r["tls_key"], None) for r in body.get("remove", [])]
        version = self._apply(changes) if changes else self.version
        if expected and changes:
            self._last_conditional = (changes[0][2] or b"").decode(errors="replace")
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return web.json_response({"ver": version, "now_ms": now_ms})
