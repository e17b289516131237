"""A small deployment on loopback: a store, gateways as processes, and callers.

The store, its proxy and the settings of the gateways are the project's own stand-ins of the soak.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from mulleinreach.platform.tests.soak.document import CALLER_HOST
from mulleinreach.platform.tests.soak.processes import LOCAL, GatewayProcess, make_gateway
from mulleinreach.platform.tests.soak.proxy import Proxy
from mulleinreach.platform.tests.standin import StoreStandIn
from mulleinreach.standins.gateway.store import UPSTREAMS, MemoryStore

KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2
HALL = "hall-a"
KEY = "key-1"
ROOT = Path(__file__).resolve().parents[2]


def has_trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def seconds_of(self, steady: float) -> float:
        """Return the seconds since the start of a time on the system's steady clock."""
        return steady - self._began

    def note(self, event: str, **fields: object) -> float:
        """Write one line; returns its time."""
        at = self.now()
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {told}".rstrip() + "\n")
        self._file.flush()
        return at


@dataclass
class Answer:
    """What a caller has seen of an answer; ``status`` is 0 without a head.

    Parameters
    ==========

    is_whole : whether the answer ended as HTTP says that it ends.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Deployment:
    """The store and the gateways; everything ends with :meth:`close`."""

    def __init__(self, record: Record):
        self.record = record
        self.memory = MemoryStore()
        self.gateways: dict[str, GatewayProcess] = {}
        self._proxy = Proxy()
        self._runners: list[web.AppRunner] = []
        self._children: list[subprocess.Popen] = []
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._directory.name)
        self.store_port = 0

    async def start_store(self, document: dict) -> None:
        """Start the store, which holds the operator's configuration."""
        store = StoreStandIn(self.memory, page=500, tables={"servers": UPSTREAMS})
        self.store_port = await self.serve(store.app())
        self.memory.put("op", "config", document)

    async def serve(self, app: web.Application) -> int:
        """Serve an application on a free port, which is returned."""
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, LOCAL, 0)
        await site.start()
        self._runners.append(runner)
        return site._server.sockets[0].getsockname()[1]

    async def start_gateway(self, name: str) -> GatewayProcess:
        """Start a gateway with a link of its own to the store."""
        link = await self._proxy.open(LOCAL, self.store_port)
        gateway = make_gateway(name, HALL, [HALL], link, self.directory)
        gateway.start()
        self.gateways[name] = gateway
        self.record.note("gateway_started", gateway=name)
        return gateway

    def spawn(self, words: list[str]) -> subprocess.Popen:
        """Start a stand-in as a process of its own."""
        with (self.directory / f"child-{len(self._children)}.log").open("wb") as log:
            child = subprocess.Popen([sys.executable, *words], stdout=log, stderr=log, cwd=ROOT)
        self._children.append(child)
        return child

    def coordinator(self) -> str:
        """Return the name of the gateway that holds the lease, as the store shows it."""
        row = self.memory.get("mulleinreach", "coordinator")
        return "" if row.value is None else str(row.value["holder"]).rpartition(".")[0]

    def log_of(self, name: str) -> str:
        """Return what a gateway has logged."""
        return self.gateways[name].settings.with_suffix(".log").read_text(errors="replace")

    async def close(self) -> None:
        """End all processes that were started, and the servers."""
        processes = [g.process for g in self.gateways.values() if g.process] + self._children
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._proxy.close()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2):
                    await runner.cleanup()
        self._directory.cleanup()


def run_case(case: Coroutine[None, None, int]) -> int:
    """Run a case; returns its exit code, that of a case that couldn't run if it failed itself."""
    try:
        return asyncio.run(case)
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN


class CallerConnection:
    """A connection of a caller, which may be kept for several requests."""

    def __init__(self, gateway: GatewayProcess):
        self._gateway = gateway
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect to the gateway."""
        port = self._gateway.callers.port
        self._reader, self._writer = await asyncio.open_connection(LOCAL, port)

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request, and read the answer as far as it comes."""
        answer = Answer()
        fields = {"Host": CALLER_HOST, "Authorization": f"Bearer {KEY}", **headers}
        fields |= {"Content-Length": str(len(body))}
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items()), "", ""]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            self._writer.write("\r\n".join(lines).encode() + body)
            await _read_answer(self._reader, answer)
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


async def call(
    gateway: GatewayProcess,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 12.0,
) -> Answer:
    """Send a request on a connection of its own, and read the answer to its end."""
    connection = CallerConnection(gateway)
    try:
        async with asyncio.timeout(timeout_s):
            await connection.open()
            return await connection.call(method, path, {**headers, "Connection": "close"}, body)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        connection.close()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    pairs = (line.partition(":") for line in head[1:] if line)
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True
