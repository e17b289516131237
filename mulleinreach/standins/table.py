"""Stand-in of the table service: rows in memory, with knobs for its failures."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mulleinreach.standins.faults import FaultyService


class TableStandIn(FaultyService):
    """Serves the protocol that ``mulleinreach.stores.table`` speaks.

    Explanation
    ===========

    ``write_times`` and ``read_count`` count what was carried out, so that a
    test or benchmark can hold the system to the service's budget. With
    ``commit_delay_s`` a write is carried out that much after it was asked for,
    even when the asker has given up: a slow write that lands late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, tuple[int, dict | None]] = {}
        self.revision = 0
        self.write_times: list[float] = []
        self.read_count = 0
        self.commit_delay_s = 0.0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16_000_000)
        app.router.add_post("/transactions", self._handle_transaction)
        app.router.add_get("/rows", self._handle_rows)
        return app

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self.before(is_write=True)
        if self.commit_delay_s:
            conflicts = await asyncio.shield(asyncio.create_task(self._commit_late(body)))
        else:
            conflicts = self.commit(body["conditions"], body["writes"])
        await self.after(is_write=True)
        if conflicts:
            return web.json_response({"conflicts": conflicts}, status=409)
        return web.json_response({"revision": self.revision})

    async def _commit_late(self, body: dict) -> list[dict]:
        await asyncio.sleep(self.commit_delay_s)
        return self.commit(body["conditions"], body["writes"])

    def commit(self, conditions: list[dict], writes: list[dict]) -> list[dict]:
        """Carry out a transaction; returns the rows that conflict, if any."""
        self.write_times.append(asyncio.get_running_loop().time())
        conflicts = [
            self._describe(condition["key"])
            for condition in conditions
            if self._version(condition["key"]) != condition["version"]
        ]
        if conflicts:
            return conflicts
        self.revision += 1
        for write in writes:
            self.rows[write["key"]] = (self.revision, write["value"])
        return []

    def _version(self, key: str) -> int:
        version, value = self.rows.get(key, (0, None))
        return 0 if value is None else version

    def _describe(self, key: str) -> dict:
        _, value = self.rows.get(key, (0, None))
        return {"key": key, "version": self._version(key), "value": value}

    def value(self, key: str) -> dict | None:
        """Return the value of a row, for tests."""
        return self.rows.get(key, (0, None))[1]

    def values(self, prefix: str) -> dict[str, dict]:
        """Return the rows under ``prefix`` that exist, for tests."""
        found = {k: v for k, (_, v) in sorted(self.rows.items()) if k.startswith(prefix)}
        return {k: v for k, v in found.items() if v is not None}

    async def _handle_rows(self, request: web.Request) -> web.Response:
        await self.before()
        self.read_count += 1
        prefix = request.query["prefix"]
        since = int(request.query.get("since", "0"))
        rows = [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self.rows.items())
            if key.startswith(prefix) and version > since
        ]
        answer = {"revision": self.revision, "rows": rows}
        return web.json_response(answer)
