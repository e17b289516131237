"""A small deployment on loopback: store, model replicas, gateways and callers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
from pathlib import Path

import aiohttp
from aiohttp import web

from review.standins.engines import MODELS, REQUEST_ID, SIGNATURE, Engines, Replica
from review.standins.gateways import LOCAL, ZONES, Gateway
from review.standins.record import Record
from review.standins.store import Store

MODEL_SERVICE = "tint-model"
CALLER_HOST = "tint.example"
KEY = "key-of-a-shop"
EVENTS = 27
BORN_MS = 1_790_000_000_000


def configuration(version: int = 1, keys: tuple[str, ...] = (KEY,)) -> dict:
    """Return a configuration like that of a small site."""
    models = [
        {
            "name": m.name,
            "size": m.size,
            "share": m.share,
            "pace": m.pace,
            "load_s": m.load_s,
            "warm_s": m.warm_s,
        }
        for m in MODELS.values()
    ]
    engine = {
        "slots": 13,
        "kv_capacity": 700000,
        "kv_token_bytes": 70272,
        "link_mbps": 400000.0,
        "stride": 5,
        "models": models,
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "context_per_k": 0.00976,
        "read_per_s": 46000.0,
        "pairs_per_m": 0.7,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "loads_per_s": 4.0,
        "loads_at_once": 6,
        "usual": {"prompt": 1076, "answer": 116},
        "retains": 1,
        "far_x": 3.0,
        "form_ms": 300.0,
    }
    route = {
        "name": "recipe",
        "host": CALLER_HOST,
        "path_prefix": "/recipe/",
        "kind": "streaming",
        "timeout_ms": 8000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": MODEL_SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 300,
    }
    service = {
        "name": MODEL_SERVICE,
        "health_path": "/health",
        "max_conns": 474,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "shop", "api_keys": list(keys), "priority": 1}],
    }


class Scene:
    """Everything that a case needs; ``close`` ends all that it started."""

    def __init__(self, record: Record):
        self.record = record
        self.store = Store()
        self.engines = Engines(self.store, record, MODEL_SERVICE)
        self.gateways: list[Gateway] = []
        self.answers: dict[str, int] = {}
        self._runners: list[web.AppRunner] = []
        self._folder = tempfile.TemporaryDirectory()
        self._requests = 0
        self._rng = random.Random(1)

    async def serve(self, app: web.Application) -> int:
        """Serve an application on a free port."""
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, LOCAL, 0)
        await site.start()
        self._runners.append(runner)
        return runner.addresses[0][1]

    async def add_replica(self, name: str, zone: str, domain: str) -> Replica:
        """Start an empty replica."""
        replica = Replica(self.engines, name, zone, domain, BORN_MS)
        self.engines.replicas[name] = replica
        replica.port = await self.serve(replica.app())
        replica.publish()
        return replica

    async def start_gateways(self, count: int) -> None:
        """Start gateways in the zones in turn, against the store."""
        store_port = await self.serve(self.store.app())
        folder = Path(self._folder.name)
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            gateway = Gateway(f"front-{zone}-{number // 3 + 1}", zone, store_port, folder)
            self.gateways.append(gateway)
            gateway.start()

    async def call(self, session: aiohttp.ClientSession, model: str) -> None:
        """Send one stream to a gateway, as a client does, and note how it was answered."""
        self._requests += 1
        request_id = f"r{self._requests:05d}"
        gateway = self._rng.choice(self.gateways)
        headers = {
            "Host": CALLER_HOST,
            REQUEST_ID: request_id,
            "X-Mulleinreach-Deadline-Ms": "8000",
            "X-Mulleinreach-Model": model,
            "X-Mulleinreach-Token-Usage": f"1460,{5 * EVENTS}",
            "X-Mulleinreach-Prompt-Prefix": f"5c1e07a2:40,{self._requests:08x}:1420",
            "Authorization": f"Bearer {KEY}",
        }
        self.engines.has_requests = True
        self.record.note(f"{request_id} sent to {gateway.name} for {model}")
        url = f"http://{LOCAL}:{gateway.port}/recipe/1"
        try:
            async with session.post(url, data=str(EVENTS), headers=headers) as response:
                body = await response.read()
                whole = body.count(b"\n\n") == EVENTS and SIGNATURE in response.headers
                told = f"{response.status}{' whole' if whole else ''}"
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            told = type(error).__name__
        self.answers[told] = self.answers.get(told, 0) + 1
        self.record.note(f"{request_id} answered {told}")

    @contextlib.asynccontextmanager
    async def callers(self, every_s: float):
        """Send streams for all models meanwhile."""
        timeout = aiohttp.ClientTimeout(total=9)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            calls: set[asyncio.Task] = set()

            async def send() -> None:
                while True:
                    for model in MODELS:
                        call = asyncio.create_task(self.call(session, model))
                        calls.add(call)
                        call.add_done_callback(calls.discard)
                    await asyncio.sleep(every_s)

            sending = asyncio.create_task(send())
            try:
                yield
            finally:
                sending.cancel()
                if calls:
                    await asyncio.wait(calls, timeout=9)

    async def close(self) -> None:
        """End all processes, then the stand-ins."""
        for gateway in self.gateways:
            gateway.end()
        for replica in self.engines.replicas.values():
            replica.close()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await runner.cleanup()
        self._folder.cleanup()
