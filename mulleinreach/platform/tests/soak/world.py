"""The users' platform in one process: store, hosts, a plain service; gateways beside it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, replace
from pathlib import Path

from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.gateway.ports import Accepted, OrderResult
from mulleinreach.gateway.upstream import Upstream, UpstreamState
from mulleinreach.platform.dialect import (
    EXPECT_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
    TENANT,
)
from mulleinreach.platform.tests.soak.proxy import Link, Proxy
from mulleinreach.platform.tests.standin import StoreStandIn, row_of
from mulleinreach.standins.gateway.dialect import HeaderNames
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.hosts import HostStandIn, HostTimes, make_upstream
from mulleinreach.standins.gateway.store import UPSTREAMS, MemoryStore

MODEL_SERVICE, PLAIN_SERVICE = "soak-model", "soak-desk"
CALLER_HOST = "soak.example"
NAMES = HeaderNames(REQUEST_ID, SIGNATURE, NOT_EXECUTED, EXPECT_INSTANCE)
TIMES = HostTimes(load_s=0.4, warm_s=0.2)
PLAIN_WORK_S = 0.05
PORTS_PER_NODE = 2
LOCAL = "127.0.0.1"


def make_document(version: int, keys: list[str]) -> dict:
    """Return the operator's configuration."""
    model = {"kind": "streaming", "service": MODEL_SERVICE, "resumable": True, "max_attempts": 2}
    plain = {"service": PLAIN_SERVICE}
    common = {"host": CALLER_HOST, "priority": 1, "target_latency_ms": 500}
    return {
        "version": version,
        "routes": [
            {**common, **model, "name": "s", "path_prefix": "/stream/", "timeout_ms": 8000},
            {
                **common,
                **plain,
                "name": "u",
                "path_prefix": "/order/",
                "kind": "unsafe",
                "timeout_ms": 3000,
            },
            {
                **common,
                **plain,
                "name": "r",
                "path_prefix": "/stock/",
                "kind": "safe",
                "max_attempts": 2,
                "timeout_ms": 3000,
            },
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "engine": {
                    "slots": 13,
                    "step_ms": 6.0,
                    "read_per_s": 46000.0,
                    "loads_per_s": 8.0,
                    "loads_at_once": 8,
                    "models": [
                        {"name": "large", "size": 4, "share": 0.67, "load_s": 0.4, "warm_s": 0.2},
                        {"name": "small", "size": 2, "share": 0.33, "load_s": 0.4, "warm_s": 0.2},
                    ],
                },
            },
            {"name": PLAIN_SERVICE},
        ],
        "tenants": [{"name": "soak", "api_keys": keys}],
    }


@dataclass
class Revocation:
    """A time during which a key was not in the newest configuration."""

    key: str
    since: float
    until: float = float("inf")


@dataclass
class PlainRun:
    """One run of a request at the plain service; ``started_at`` is the loop's time."""

    request_id: str
    organisation: str
    upstream_id: str
    started_at: float = 0.0


class PlainService:
    """Runs requests and notes them; an answer may be lost after the run."""

    def __init__(self) -> None:
        self.runs: list[PlainRun] = []
        self.loses_answers = False

    def handler(self, upstream_id: str):
        """Return the handler of one upstream."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            request_id = request.headers.get(REQUEST_ID, "")
            if request.headers.get(EXPECT_INSTANCE) != upstream_id:
                return web.Response(status=421, headers={REQUEST_ID: request_id})
            body = await request.read()
            now = asyncio.get_running_loop().time()
            organisation = request.headers.get(TENANT, "")
            self.runs.append(PlainRun(request_id, organisation, upstream_id, now))
            await asyncio.sleep(PLAIN_WORK_S)
            if self.loses_answers:
                request.transport.abort()
            answer = request_id.encode() + b" " + body
            return web.Response(body=answer, headers={REQUEST_ID: request_id, SIGNATURE: "s"})

        return handle


@dataclass
class GatewayProcess:
    """One gateway, and the link through which it reaches the store."""

    name: str
    store_link: Link
    settings: Path
    callers: Address
    readiness: Address
    process: subprocess.Popen | None = None

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None


class SoakWorld:
    """Everything that a soak needs, on loopback."""

    def __init__(self, directory: Path, nodes: int, domains: int, hosts: int, seed: int):
        self._directory = directory
        self._sizes = (nodes, domains, hosts)
        self.memory = MemoryStore()
        self.store = StoreStandIn(self.memory, page=500, tables={"servers": UPSTREAMS})
        self.fabric = Fabric(self.memory, seed, NAMES)
        self.plain = PlainService()
        self.proxy = Proxy()
        self.host_links: dict[str, Link] = {}
        self.gateways: list[GatewayProcess] = []
        self.version = 0
        self.keys = ["key-1", "key-2"]
        self.revocations: list[Revocation] = []
        self._runners: list[web.AppRunner] = []
        self._ended_hosts: list[asyncio.Task] = []
        self._next_host = 0

    async def start(self) -> None:
        """Start the stand-ins, write the configuration, start the gateways."""
        nodes, domains, hosts = self._sizes
        self._store_port = await self._serve(self.store.app())
        self.configure(self.keys)
        for domain in range(domains):
            for _ in range(hosts):
                await self.add_host(f"domain-{domain}")
        for number in range(2):
            await self._add_plain(f"desk-{number}")
        for number in range(nodes):
            await self._add_gateway(f"gateway-{number}")

    def configure(self, keys: list[str]) -> None:
        """Write a configuration with these keys; the others are taken away."""
        now = asyncio.get_running_loop().time()
        for revocation in self.revocations:
            if revocation.key in keys:
                revocation.until = min(revocation.until, now)
        self.revocations += [Revocation(key, now) for key in self.keys if key not in keys]
        self.keys = keys
        self.version += 1
        self.memory.put("op", "config", make_document(self.version, keys))

    async def _serve(self, app: web.Application) -> int:
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, LOCAL, 0)
        await site.start()
        self._runners.append(runner)
        return site._server.sockets[0].getsockname()[1]

    async def add_host(self, domain: str) -> HostStandIn:
        """Start an empty host behind a link of its own."""
        self._next_host += 1
        name = f"host-{self._next_host}"
        cell: list[HostStandIn] = []
        port = await self._serve(_host_app(cell))
        link = await self.proxy.open(LOCAL, port)
        self.host_links[name] = link
        upstream = replace(
            make_upstream(name, MODEL_SERVICE, link.port, domain),
            address=Address(LOCAL, link.port),
        )
        cell.append(self.fabric.add(upstream, TIMES))
        return cell[0]

    def end_host(self, host: HostStandIn) -> None:
        """Let a host fall silent for good."""
        self.host_links[host.id].is_silent = True
        self._ended_hosts.append(asyncio.create_task(host.die(listed_for_s=2.0)))

    async def _add_plain(self, name: str) -> None:
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.plain.handler(name))
        port = await self._serve(app)
        upstream = Upstream(name, PLAIN_SERVICE, Address(LOCAL, port), "hall-a", slots=6)
        self.memory.put(UPSTREAMS, name, replace(upstream, state=UpstreamState.READY))

    async def _add_gateway(self, name: str) -> None:
        link = await self.proxy.open(LOCAL, self._store_port)
        ports = free_ports(2 + PORTS_PER_NODE)
        settings = self._directory / f"{name}.conf"
        settings.write_text(
            f"node_name={name}\nip={LOCAL}\nzone=hall-a\nregion=r\nrole=gateway\n"
            f"listen.front={LOCAL}:{ports[0]}\nlisten.readiness={LOCAL}:{ports[1]}\n"
            f"internal_ports={ports[2]},{ports[2] + 1}\nplatform.address={LOCAL}:{link.port}\n"
            "limits.cores=1\nlimits.cpu_fraction=1\n"
            "bounds.grace_s=8\nbounds.revoke_ms=5000\nbounds.strict_revoke=true\n"
            "bootstrap=false\nbounds.drain_ms=2000\nbounds.config_ms=2000\nbounds.stall_ms=5000\nbounds.require_fence=true\n"
            "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_slack=136\n"
        )
        gateway = GatewayProcess(
            name, link, settings, Address(LOCAL, ports[0]), Address(LOCAL, ports[1])
        )
        self.gateways.append(gateway)
        self.start_gateway(gateway)

    def start_gateway(self, gateway: GatewayProcess) -> None:
        """Start a gateway's process; its log goes to a file beside the settings."""
        log = open(self._directory / f"{gateway.name}.log", "ab")  # noqa: SIM115
        with log:
            gateway.process = subprocess.Popen(
                [sys.executable, "-m", "mulleinreach.platform"],
                env={**os.environ, "MULLEINREACH_NODE_FILE": str(gateway.settings)},
                stdout=log,
                stderr=log,
            )

    def signal_gateway(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        """Send a signal to a gateway that this world has started."""
        if gateway.is_running():
            gateway.process.send_signal(number)

    async def close(self) -> None:
        """End everything that was started, by its process."""
        for gateway in self.gateways:
            self.signal_gateway(gateway, signal.SIGCONT)
            self.signal_gateway(gateway, signal.SIGKILL)
            gateway.process.wait()
        for task in self._ended_hosts:
            task.cancel()
        self.proxy.close()
        await self.fabric.close()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2):
                    await runner.cleanup()


def _host_app(cell: list[HostStandIn]) -> web.Application:
    """Return the interface of a host that is put into ``cell`` later."""

    async def order(request: web.Request) -> web.Response:
        host = cell[0]
        if request.headers.get(EXPECT_INSTANCE) != host.id:
            return web.Response(status=421)
        body = await request.json()
        if host.late_orders > 0:
            host.late_orders -= 1
            await asyncio.shield(asyncio.create_task(_late(host, body)))
        return web.Response(status=_carry_out(host, body))

    async def report(request: web.Request) -> web.Response:
        host = cell[0]
        if request.headers.get(EXPECT_INSTANCE) != host.id:
            return web.Response(status=421)
        return web.json_response({**row_of(host.describe()), "pace": host.pace})

    async def relay(request: web.Request) -> web.StreamResponse:
        return await cell[0].handle(request)

    app = web.Application()
    app.router.add_post("/mulleinreach/order", order)
    app.router.add_get("/mulleinreach/report", report)
    app.router.add_route("*", "/{tail:.*}", relay)
    return app


async def _late(host: HostStandIn, body: dict) -> None:
    await asyncio.sleep(2.5)
    _carry_out(host, body)


def _carry_out(host: HostStandIn, body: dict) -> int:
    """Carry an order out, and return the status of its answer."""
    if not host.admit(int(body["fence"])):
        return 412
    if body["op"] == "stage":
        return _status_of(host.stage(body["model"]))
    group, epoch = body["group"], int(body["epoch"])
    if body["op"] == "join":
        result = host.join(group, epoch, body["model"], tuple(body["members"]))
    elif body["op"] == "open":
        result = host.open(group, epoch)
    else:
        result = host.leave(group, epoch)
    return _status_of(result)


def _status_of(result: OrderResult) -> int:
    return 202 if isinstance(result, Accepted) else result.status


def free_ports(count: int) -> list[int]:
    """Return ports that follow on each other and that nobody listens on."""
    while True:
        with socket.socket() as first:
            first.bind((LOCAL, 0))
            start = first.getsockname()[1]
        ports = range(start, start + count)
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    stack.enter_context(socket.socket()).bind((LOCAL, port))
            except (OSError, OverflowError):
                continue
            return list(ports)
