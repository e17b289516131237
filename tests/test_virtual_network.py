"""On the virtual network, nothing depends on how long a run really takes.

Seen: a golden file of a session differed in the order of lines of one moment, on a busy machine.
How it came about: the HTTP client dates resting connections by the machine's own clock, and a
run that took over 15 s found them too old and opened others. Proof: the same with that clock
set ahead.
"""

import time

from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.standins.links import Links
from mulleinreach.standins.virtual import VirtualNetwork, run_virtual

ADDRESS = Address("10.0.0.1", 80)
LONG_RUN_S = 600.0


def test_resting_connection_is_used_again_however_long_the_run_takes(monkeypatch):
    connections = set()

    async def answer(request):
        connections.add(id(request.transport))
        return web.Response()

    async def run():
        network = VirtualNetwork(Links(), "test")
        app = web.Application()
        app.router.add_get("/", answer)
        server = await network.serve_http(app, ADDRESS)
        session = network.http_client()
        for late_s in (0.0, LONG_RUN_S):
            now = time.monotonic() + late_s
            monkeypatch.setattr("aiohttp.connector.monotonic", lambda now=now: now)
            async with session.get(ADDRESS.url + "/") as response:
                assert response.status == 200
        await session.close()
        await server.close()

    run_virtual(run())
    assert len(connections) == 1
