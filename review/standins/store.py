"""The platform's store: rows in tables, under one counter of versions."""

from __future__ import annotations

import asyncio
import base64
import json

from aiohttp import web

ANSWER_S = 0.004
MAX_PAGE_ROWS = 500


class Store:
    """Serves rows as PROTOCOL.md, "The platform's metadata store", says; all answers are whole."""

    def __init__(self) -> None:
        self.version = 0
        # By table and key: the version and the value, ``None`` once dropped.
        self._rows: dict[str, dict[str, tuple[int, bytes | None]]] = {}
        self._changed = asyncio.Event()

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
        app = web.Application(client_max_size=4_000_000)
        app.router.add_get("/mulleinreach/rows-get", self._get)
        app.router.add_get("/mulleinreach/rows-feed", self._feed)
        app.router.add_post("/mulleinreach/rows-tx", self._transact)
        return app

    def _answer(self, rows: list[dict], has_more: bool = False) -> web.Response:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        body = {"rows": rows, "has_more": has_more, "ver": self.version, "now_ms": now_ms}
        return web.json_response(body, headers={"Store-Era": "0"})

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
            return web.Response(status=410, headers={"Store-Era": "0"})
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while not self._changed_since(table, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return self._answer([self._describe(table, k) for k in self._changed_since(table, after)])

    def _changed_since(self, table: str, after: int) -> list[str]:
        rows = self._rows.get(table, {})
        changed = [(version, key) for key, (version, _) in rows.items() if version > after]
        return [key for _, key in sorted(changed)]

    async def _transact(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        body = await request.json()
        expected = body.get("expected_rev", [])
        if any(self._version_of(r["table"], r["tls_key"]) != r["ver"] for r in expected):
            rows = [
                self._describe(r["table"], r["tls_key"])
                for r in expected
                if self._version_of(r["table"], r["tls_key"])
            ]
            return web.json_response(
                {"rows": rows, "ver": self.version}, status=412, headers={"Store-Era": "0"}
            )
        changes = [
            (p["table"], p["tls_key"], base64.b64decode(p["value"])) for p in body.get("puts", [])
        ]
        changes += [(r["table"], r["tls_key"], None) for r in body.get("remove", [])]
        version = self._apply(changes) if changes else self.version
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return web.json_response({"ver": version, "now_ms": now_ms}, headers={"Store-Era": "0"})
