"""The processes of the relay benchmark: stand-ins, a bare relay, a node, callers."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

import aiohttp
import yaml
from aiohttp import web

from mulleinreach.standins.engine_core import EngineSpeed
from mulleinreach.standins.people import Caller, Operator, demo_intent
from mulleinreach.standins.world import World, WorldSpec

PROMPT = "The same short prompt for every request of this benchmark."


async def bare_relay(upstream: str, port: int) -> None:
    """Relay POSTs to ``upstream``: ten lines of aiohttp, the anchor of the ratios."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {k: v for k, v in request.headers.items() if k.lower().startswith("x-")}
        async with session.post(upstream + request.path, data=body, headers=headers) as answer:
            response = web.StreamResponse(headers={"content-type": answer.content_type})
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    app = web.Application()
    app.router.add_post("/{path:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


async def upstreams(directory: Path, gap_s: float) -> None:
    """Run the stand-ins, wait for the node, and confirm an intent of four replicas."""
    speed = EngineSpeed(slots=4096, prefill_s_per_token=0.0, token_gap_s=gap_s, batch_slowdown=0.0)
    spec = WorldSpec(nodes=1, domains=1, hosts_per_domain=4, speed=speed, host_load_s=0.1)
    world = World(spec, virtual=False)
    await world.start_standins()
    (name,) = world.node_names()
    settings = world.settings_of(name)
    (directory / "node.yaml").write_text(yaml.safe_dump(settings.model_dump(mode="json")))
    (directory / "ready").write_text("")
    operator, caller = Operator(world), Caller(world)
    node = _NodeAddress(settings)
    while not await _is_deployed(operator, caller, node):
        await asyncio.sleep(0.2)
    head = next(e for e in world.engines.values() if e.state.members[:1] == [e.name])
    deployed = {
        "engine": f"http://{world._addresses[head.name]}",
        "callers": f"http://{settings.listen.callers}",
        "epoch": head.state.epoch,
    }
    (directory / "deployed").write_text(json.dumps(deployed))
    await asyncio.Event().wait()


class _NodeAddress:
    """A node of another process, as callers and operators need it."""

    def __init__(self, settings):
        self.settings = settings


async def _is_deployed(operator: Operator, caller: Caller, node: _NodeAddress) -> bool:
    try:
        reply = await operator.apply(node, intent=demo_intent(1, 4, organisations=_wide_limits()))
        if reply.status != 200:
            return False
        return (await caller.complete(node, "x", max_tokens=1)).status == 200
    except aiohttp.ClientError:
        return False


def _wide_limits() -> list[dict]:
    organisations = demo_intent()["organisations"]
    return [{**o, "rate": 100_000.0, "concurrency": 100_000} for o in organisations]


async def callers(url: str, epoch: int, streams: int, requests: int, tokens: int) -> dict:
    """Send ``requests`` over ``streams`` connections; returns what was seen.

    ``tokens`` of 0 asks for whole answers of one token.
    """
    headers = {
        "authorization": "Bearer key-lagos",
        "x-request-id": "bench",
        "x-attempt": "1",
        "x-group-epoch": str(epoch),
    }
    body = {"model": "tint-model", "prompt": PROMPT, "max_tokens": max(1, tokens)}
    body["stream"] = tokens > 0
    left = requests
    events = failed = 0
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:

        async def one_caller() -> None:
            nonlocal left, events, failed
            while left > 0:
                left -= 1
                async with session.post(url + "/v1/completions", json=body) as response:
                    text = await response.read()
                    failed += response.status != 200
                    events += text.count(b"\n\n")

        await asyncio.gather(*(one_caller() for _ in range(streams)))
    return {"events": events, "failed": failed, "client_cpu_s": time.process_time()}


def main() -> None:
    """Run the part that the arguments name."""
    part, *rest = sys.argv[1:]
    if part == "bare":
        asyncio.run(bare_relay(rest[0], int(rest[1])))
    elif part == "upstreams":
        asyncio.run(upstreams(Path(rest[0]), float(rest[1])))
    else:
        url, numbers = rest[0], [int(number) for number in rest[1:]]
        print(json.dumps(asyncio.run(callers(url, *numbers))))


if __name__ == "__main__":
    main()
