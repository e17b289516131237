"""One replica of a plain service as a process of its own.

It writes itself into the platform's store, then takes requests: ``/2f/quick`` is answered at once,
``/2f/stream`` with a series of events. Each run is noted in a file, one JSON document a line.
Run with ``python -m review.standins_2.replica ID PORT ZONE STORE_PORT SERVICE FILE``.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from base64 import b64encode
from pathlib import Path

import aiohttp
from aiohttp import web

from review.standins_2.nodes import LOCAL

HEARTBEAT_S = 1.2
# While the store can't be reached.
BEAT_TIMEOUT_S, BEAT_RETRY_S = 0.4, 0.1
EVENTS, EVENT_GAP_S, QUICK_S = 30, 0.1, 0.02
SLOTS = 40


class Replica:
    """A sound replica, which ends only if it is killed."""

    def __init__(self, name: str, zone: str, port: int, service: str, file: Path):
        self.name = name
        self._born = int(time.time() * 1000)
        self._zone, self._port, self._service = zone, port, service
        self._file = file.open("a", encoding="utf-8", buffering=1)
        self._beats = 0
        self._running = 0

    def _note(self, **fields: object) -> None:
        line = {"replica": self.name, "born": self._born, "at": time.monotonic(), **fields}
        self._file.write(json.dumps(line) + "\n")

    async def beat(self, session: aiohttp.ClientSession, store_port: int) -> None:
        """Write the entry; returns when the store has acknowledged it."""
        self._beats += 1
        row = {
            "service": self._service,
            "address": f"{LOCAL}:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self._beats,
            "born": self._born,
        }
        value = b64encode(json.dumps(row).encode()).decode()
        put = {"table": "servers", "part": "", "tls_key": self.name, "value": value}
        url = f"http://{LOCAL}:{store_port}/mulleinreach/rows-tx"
        body = {"expected_rev": [], "puts": [put], "remove": []}
        async with session.post(url, json=body) as response:
            response.raise_for_status()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request, a health check included."""
        request_id = request.headers.get("X-Mulleinreach-Request-Id", "")
        if request.path == "/health":
            return web.Response(headers={"X-Mulleinreach-Instance-Id": self.name})
        refusal = {"X-Mulleinreach-Request-Id": request_id, "X-Mulleinreach-Not-Executed": "1"}
        if request.headers.get("X-Mulleinreach-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=refusal)
        if self._running >= SLOTS:
            return web.Response(status=503, headers=refusal)
        await request.read()
        headers = {
            "X-Mulleinreach-Request-Id": request_id,
            "X-Mulleinreach-Server-Signature": f"{self.name}.{self._born}",
        }
        self._running += 1
        self._note(id=request_id, what="begun")
        try:
            if request.path.endswith("quick"):
                await asyncio.sleep(QUICK_S)
                return web.Response(text="done", headers=headers)
            return await self._stream(request, request_id, headers)
        except (asyncio.CancelledError, ConnectionError):
            self._note(id=request_id, what="closed by the system")
            raise
        finally:
            self._running -= 1

    async def _stream(
        self, request: web.Request, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            await response.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await asyncio.sleep(EVENT_GAP_S)
        await response.write_eof()
        self._note(id=request_id, what="whole")
        return response


async def run(name: str, port: int, zone: str, store_port: int, service: str, file: Path) -> None:
    """Listen, and write the entry at once and again and again."""
    replica = Replica(name, zone, port, service, file)
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", replica.handle)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, LOCAL, port, reuse_address=True).start()
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with asyncio.timeout(BEAT_TIMEOUT_S):
                    await replica.beat(session, store_port)
                await asyncio.sleep(HEARTBEAT_S)
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(BEAT_RETRY_S)


if __name__ == "__main__":
    given = sys.argv[1:]
    asyncio.run(run(given[0], int(given[1]), given[2], int(given[3]), given[4], Path(given[5])))
