"""Stand-ins of the object store, the host list and the weight store."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mulleinreach.standins.faults import FaultyService
from mulleinreach.stores.hostlist import Host, HostState


class ObjectStoreStandIn(FaultyService):
    """Keeps objects in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[str, bytes] = {}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64_000_000)
        app.router.add_put("/objects/{name:.+}", self._put)
        app.router.add_get("/objects/{name:.+}", self._get)
        app.router.add_get("/objects", self._list)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        await self.before(is_write=True)
        self.objects[request.match_info["name"]] = body
        await self.after(is_write=True)
        return web.Response(status=201)

    async def _get(self, request: web.Request) -> web.Response:
        await self.before()
        body = self.objects.get(request.match_info["name"])
        return web.Response(status=404) if body is None else web.Response(body=body)

    async def _list(self, request: web.Request) -> web.Response:
        await self.before()
        prefix = request.query["prefix"]
        return web.json_response([n for n in sorted(self.objects) if n.startswith(prefix)])


class HostListStandIn(FaultyService):
    """The host list; a change shows only after ``lag_s`` seconds."""

    def __init__(self, lag_s: float = 0.0) -> None:
        super().__init__()
        self.lag_s = lag_s
        self._hosts: dict[str, Host] = {}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/hosts", self._read)
        return app

    def add(self, host: Host) -> None:
        """List ``host`` from now on."""
        self._hosts[host.name] = host

    def set_state(self, name: str, state: HostState) -> None:
        """Change what the list says of a host, after the lag."""
        if self.lag_s == 0:
            self._apply(name, state)
            return
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, name, state)

    def _apply(self, name: str, state: HostState) -> None:
        self._hosts[name] = Host(**{**self._hosts[name].__dict__, "state": state})

    async def _read(self, request: web.Request) -> web.Response:
        await self.before()
        return web.json_response({"hosts": [host.__dict__ for host in self._hosts.values()]})


class WeightStoreStandIn:
    """Gives weights at a limited rate, shared by all hosts that load at the time.

    Explanation
    ===========

    ``streams`` loads run at full speed at once; others wait for their turn.
    """

    def __init__(self, load_s: float, streams: int) -> None:
        self.load_s = load_s
        self._turns = asyncio.Semaphore(streams)

    async def fetch(self) -> None:
        """Wait until one host's weights have been read."""
        async with self._turns:
            await asyncio.sleep(self.load_s)
