"""Fakes of the platform's store and of a replica, which implement their HTTP protocols."""

from __future__ import annotations

import asyncio
import base64
import json

from aiohttp import web

from mulleinreach.gateway.upstream import Upstream, start_time_ms
from mulleinreach.platform.store import ERA_HEADER
from mulleinreach.standins.gateway.store import MemoryStore

PAGE = 3


class StoreStandIn:
    """Serves a :class:`MemoryStore` by the platform's protocol.

    Rows hold JSON documents or upstreams. Tests may set ``status`` (returned for every request),
    ``headers`` (added to every response) and ``get_rows`` (the handler of reads).

    Parameters
    ==========

    page : maximum number of rows in a response.
    tables : names in memory of the tables that have another name there.
    """

    def __init__(self, memory: MemoryStore, page: int = PAGE, tables: dict[str, str] | None = None):
        self.memory = memory
        self._page = page
        self._tables = tables or {}
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.get_rows = self._get_rows

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_get("/mulleinreach/rows-get", self._get)
        app.router.add_get("/mulleinreach/rows-feed", self._feed)
        app.router.add_post("/mulleinreach/rows-tx", self._transact)
        return app

    async def _add_era_header(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(self.memory.era)
        response.headers.update(self.headers)

    async def _get(self, request: web.Request) -> web.Response:
        return await self.get_rows(request)

    async def _get_rows(self, request: web.Request) -> web.Response:
        if self.status is not None:
            return web.Response(status=self.status)
        query = request.query
        table = self.memory.tables.get(self._memory_table(query["table"]), {})
        rows = [r for key, r in sorted(table.items()) if r.value is not None]
        rows = [r for r in rows if r.key >= query.get("source", "")]
        limit = min(self._page, int(query.get("limit", self._page)))
        return self._answer(query["table"], rows[:limit], len(rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        if self.status is not None:
            return web.Response(status=self.status)
        query = request.query
        after, wait_s = int(query["after_rev"]), int(query["wait_ms"]) / 1000
        result = await self.memory.wait(self._memory_table(query["table"]), after, wait_s)
        if not isinstance(result, tuple):
            return web.Response(status=410)
        return self._answer(query["table"], result[1], False)

    def _version_of(self, place: dict) -> int:
        return self.memory.get(self._memory_table(place["table"]), place["tls_key"]).version

    def _memory_table(self, table: str) -> str:
        return self._tables.get(table, table)

    def _answer(self, table: str, rows, has_more: bool) -> web.Response:
        described = []
        for row in rows:
            raw = {"table": table, "part": "", "tls_key": row.key, "ver": row.version}
            if row.value is None:
                raw["deleted"] = True
            elif isinstance(row.value, bytes):
                raw["value"] = row.value.decode()
            else:
                value = row_of(row.value) if isinstance(row.value, Upstream) else row.value
                raw["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            described.append(raw)
        body = {"rows": described, "has_more": has_more, "ver": self.memory.version, "now_ms": 1}
        return web.json_response(body)

    async def _transact(self, request: web.Request) -> web.Response:
        if self.status is not None:
            return web.Response(status=self.status)
        body = await request.json()
        conditions = body["expected_rev"]
        versions = [self._version_of(p) for p in conditions]
        if versions != [place["ver"] for place in conditions]:
            rows = [{**p, "ver": v} for p, v in zip(conditions, versions, strict=True) if v]
            return web.json_response({"rows": rows}, status=412)
        for put in body["puts"]:
            value = json.loads(base64.b64decode(put["value"]))
            table = self._memory_table(put["table"])
            version = self.memory.put(table, put["tls_key"], value)
        if self.memory.loses:
            request.transport.abort()
        return web.json_response({"ver": version, "now_ms": 1})


class ReplicaStandIn:
    """Receives orders and serves ``report``; ``headers`` are added to its responses.

    Parameters
    ==========

    order_statuses : the status codes returned for successive orders; 0 leaves an order unanswered.
    """

    def __init__(self, upstream_id: str, order_statuses: list[int]):
        self.id = upstream_id
        self.order_statuses = order_statuses
        self.orders: list[dict] = []
        self.report: object = {}
        self.report_delay_s = 0.0
        self.headers: dict[str, str] = {}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/mulleinreach/order", self._order)
        app.router.add_get("/mulleinreach/report", self._report)
        return app

    def _is_misdirected(self, request: web.Request) -> bool:
        return request.headers.get("X-Mulleinreach-Expect-Instance") != self.id

    async def _order(self, request: web.Request) -> web.Response:
        if self._is_misdirected(request):
            return web.Response(status=421)
        self.orders.append(await request.json())
        status = self.order_statuses.pop(0)
        if status == 0:
            await asyncio.sleep(3600)
        return web.Response(status=status, headers=self.headers)

    async def _report(self, request: web.Request) -> web.Response:
        if self._is_misdirected(request):
            return web.Response(status=421)
        await asyncio.sleep(self.report_delay_s)
        return web.json_response(self.report, headers=self.headers)


def row_of(upstream: Upstream) -> dict:
    """Return the row that a replica writes for an upstream."""
    membership = upstream.membership
    started_ms = start_time_ms(upstream.id)
    born = {} if started_ms is None else {"born": started_ms}
    return {
        **born,
        "service": upstream.service,
        "address": str(upstream.address),
        "zone": upstream.hall,
        "state": str(upstream.state),
        "slots": upstream.slots,
        "domain": upstream.domain,
        "models": [{"name": name, "version": 1, "adapters": []} for name in upstream.models],
        "staged": list(upstream.staged),
        "group": None
        if membership is None
        else {
            "name": membership.group,
            "epoch": membership.epoch,
            "rank": membership.rank,
            "state": str(membership.state),
        },
        "cold_remaining_ms": round(upstream.cold_s * 1000),
        "version": "v1",
        "seq": 1,
    }
