"""The HTTP interface of a stand-in host: orders, reports and requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from mulleinreach.gateway.ports import Accepted, OrderResult
from mulleinreach.gateway.upstream import upstream_name
from mulleinreach.platform.dialect import EXPECT_INSTANCE, NOT_EXECUTED, REQUEST_ID, SIGNATURE
from mulleinreach.platform.tests.standin import row_of
from mulleinreach.standins.gateway.dialect import HeaderNames
from mulleinreach.standins.gateway.hosts import HostStandIn, HostTimes

NAMES = HeaderNames(REQUEST_ID, SIGNATURE, NOT_EXECUTED, EXPECT_INSTANCE)
TIMES = HostTimes(load_s=0.4, warm_s=0.2)


def host_app(cell: list[HostStandIn], running: Callable[[str], str]) -> web.Application:
    """Return the interface of a host that is put into ``cell`` later.

    Parameters
    ==========

    cell : its only entry is the latest start of the host.
    running : returns the id of the latest start under a name.
    """

    async def order(request: web.Request) -> web.Response:
        host = cell[0]
        if request.headers.get(EXPECT_INSTANCE) != upstream_name(host.id):
            return web.Response(status=421)
        body = await request.json()
        if host.late_orders > 0:
            host.late_orders -= 1
            await asyncio.shield(asyncio.create_task(_late(host, body, running)))
        return web.Response(status=_carry_out(host, body, running))

    async def report(request: web.Request) -> web.Response:
        host = cell[0]
        if request.headers.get(EXPECT_INSTANCE) != upstream_name(host.id):
            return web.Response(status=421)
        load = {"pace": host.pace, "queued": 0, "active": host.running}
        return web.json_response({**row_of(host.describe()), **load})

    async def relay(request: web.Request) -> web.StreamResponse:
        return await cell[0].handle(request)

    app = web.Application()
    app.router.add_post("/mulleinreach/order", order)
    app.router.add_get("/mulleinreach/report", report)
    app.router.add_route("*", "/{tail:.*}", relay)
    return app


async def _late(host: HostStandIn, body: dict, running: Callable[[str], str]) -> None:
    await asyncio.sleep(2.5)
    if not host.is_dark:
        _carry_out(host, body, running)


def _carry_out(host: HostStandIn, body: dict, running: Callable[[str], str]) -> int:
    """Carry an order out, and return the status of its answer."""
    if not host.admit(int(body["fence"])):
        return 412
    if body["op"] == "stage":
        return _status_of(host.stage(body["model"]))
    group, epoch = body["group"], int(body["epoch"])
    if body["op"] == "join":
        members = tuple(running(member) for member in body["members"])
        result = host.join(group, epoch, body["model"], members)
    elif body["op"] == "open":
        result = host.open(group, epoch)
    else:
        result = host.leave(group, epoch)
    return _status_of(result)


def _status_of(result: OrderResult) -> int:
    return 202 if isinstance(result, Accepted) else result.status
