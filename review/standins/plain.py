"""Replicas of a plain service, as PROTOCOL.md, "Replicas", says of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from review.standins.engines import (
    EXPECT_INSTANCE,
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
)
from review.standins.record import Record
from review.standins.store import Store

WORK_S = 0.06


class PlainReplica:
    """One replica; ``on_run`` is called with the id of each request when it begins to run."""

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        name: str,
        zone: str,
        born_ms: int,
        on_run: Callable[[str, str], None],
    ):
        self._store = store
        self._record = record
        self._service = service
        self.name = name
        self._zone = zone
        self._born_ms = born_ms
        self._on_run = on_run
        self.port = 0

    def publish(self) -> None:
        """Write the row."""
        row = {
            "born": self._born_ms,
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        }
        self._store.put("servers", self.name, row)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._request)
        return app

    async def _request(self, request: web.Request) -> web.Response:
        await request.read()
        request_id = request.headers.get(REQUEST_ID, "")
        if request.headers.get(EXPECT_INSTANCE, self.name) != self.name:
            headers = {NOT_EXECUTED: "1", REQUEST_ID: request_id, INSTANCE_ID: self.name}
            return web.Response(status=421, headers=headers)
        self._record.note(f"{self.name} runs {request_id}")
        self._on_run(request_id, self.name)
        await asyncio.sleep(WORK_S)
        headers = {REQUEST_ID: request_id, SIGNATURE: f"{self.name}.{request_id}"}
        return web.Response(body=f"done {request_id}".encode(), headers=headers)
