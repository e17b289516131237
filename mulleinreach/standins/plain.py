"""Stand-in of a plain service: an order desk that counts what it carried out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web


class PlainServiceStandIn:
    """Answers ``GET /status/N``, ``POST /orders`` and echoes any other call."""

    def __init__(self, name: str):
        self.name = name
        self.orders: list[str] = []
        self.delay_s = 0.0
        self.on_headers: Callable[[dict], None] = lambda headers: None
        self.break_at = ""  # "head": run it, then cut; "body": cut in mid-body

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64_000_000)
        app.router.add_post("/orders", self._order)
        app.router.add_route("*", "/{path:.*}", self._echo)
        return app

    async def _order(self, request: web.Request) -> web.StreamResponse:
        body = await request.text()
        self.orders.append(body)
        await asyncio.sleep(self.delay_s)
        if self.break_at == "head":
            request.transport.abort()
        if self.break_at == "body":
            response = web.StreamResponse(headers={"content-length": "1000"})
            await response.prepare(request)
            await response.write(b"only a part")
            request.transport.abort()
            return response
        return web.json_response({"order": body, "number": len(self.orders), "by": self.name})

    async def _echo(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.on_headers(dict(request.headers))
        await asyncio.sleep(self.delay_s)
        answer = {"method": request.method, "path": request.path_qs, "bytes": len(body)}
        return web.json_response({**answer, "by": self.name})
