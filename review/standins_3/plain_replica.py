"""A sound replica of a plain service, which keeps itself in the platform's store."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mulleinreach.platform.dialect import EXPECT_INSTANCE, NOT_EXECUTED, REQUEST_ID, SIGNATURE
from mulleinreach.platform.tests.soak.processes import LOCAL
from mulleinreach.standins.gateway.store import UPSTREAMS
from review.standins_3.deployment import HALL, Deployment

WORK_S = 0.03


class PlainReplica:
    """Runs each request once, and notes when it came."""

    def __init__(self, deployment: Deployment, name: str, service: str):
        self._deployment = deployment
        self._service = service
        self.name = name
        self.runs: list[tuple[float, str]] = []
        self._port = 0

    async def start(self) -> None:
        """Listen, and write the row."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._handle)
        self._port = await self._deployment.serve(app)
        self._write_row()

    def _write_row(self) -> None:
        row = {
            "service": self._service,
            "address": f"{LOCAL}:{self._port}",
            "zone": HALL,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        }
        self._deployment.memory.put(UPSTREAMS, self.name, row)

    def leave(self) -> float:
        """Take the row out, as a replica does that never says that it drains; serve on."""
        self._deployment.memory.put(UPSTREAMS, self.name, None)
        return self._deployment.record.note("entry_removed", replica=self.name)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        if request.headers.get(EXPECT_INSTANCE) != self.name:
            return web.Response(status=421, headers={NOT_EXECUTED: "1", REQUEST_ID: request_id})
        body = await request.read()
        at = self._deployment.record.note("run", id=request_id, replica=self.name)
        self.runs.append((at, request_id))
        await asyncio.sleep(WORK_S)
        headers = {REQUEST_ID: request_id, SIGNATURE: self.name}
        return web.Response(body=request_id.encode() + b" " + body, headers=headers)
