"""A gateway process with small limits, and what it holds of its machine."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
import resource
import signal
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from pathlib import Path

from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.gateway.upstream import MemberState
from mulleinreach.platform.tests.soak.callers import Callers
from mulleinreach.platform.tests.soak.document import CallerLimits, DocumentOptions
from mulleinreach.platform.tests.soak.local_servers import LocalServers
from mulleinreach.platform.tests.soak.processes import LOCAL, GatewayProcess, make_gateway
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.early_upstream import RECEIVE_BUFFER_BYTES
from mulleinreach.standins.gateway.store import UPSTREAMS

SAMPLE_INTERVAL_S = 0.1
# Only a hang takes so long.
ANSWER_WITHIN_S = 90.0
HOSTS_PER_HALL = 8
MODELS = {"large", "small"}
# Connections of a crowd stay open until the test ends.
PATIENT_MS = 600_000


class PlainBuffer(enum.Enum):
    """Receive buffers of the plain service, in bytes; ``SMALL`` holds a part of a long request."""

    SMALL = RECEIVE_BUFFER_BYTES
    LARGE = 4_000_000


@dataclass(frozen=True)
class MachineLimits:
    """The limits of the machine that a gateway runs on."""

    memory_mb: int = 128
    descriptors: int = 1024


class CrowdedGateway:
    """A gateway process at which a crowd calls."""

    def __init__(
        self,
        world: SoakWorld,
        process: GatewayProcess,
        callers: Callers,
        limits: MachineLimits,
    ):
        self._world = world
        self._process = process
        self._callers = callers
        self._limits = limits
        self._most_descriptors = 0
        self.callers_address = process.callers
        self.readiness_address = process.readiness

    async def watch_descriptors(self) -> None:
        """Look at the open descriptors now and then, without end."""
        directory = Path(f"/proc/{self._process.process.pid}/fd")
        while True:
            with contextlib.suppress(OSError):
                self._most_descriptors = max(self._most_descriptors, len(list(directory.iterdir())))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def until_served(self) -> None:
        """Wait until the gateway serves all models and the plain service."""
        async with self._callers.open():
            await self._callers.until_served()
        while not _served_models(self._world) >= MODELS:
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def serve_ordinary_request(self, kind: str) -> bool:
        """Send an ordinary request until it is answered; ``False`` if it never is."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_WITHIN_S), self._callers.open():
                while await self._callers.send(kind, self._process) != 200:
                    await asyncio.sleep(SAMPLE_INTERVAL_S)
                return True
        return False

    async def call_in_turn(self, kind: str, count: int) -> Counter[int]:
        """Send ordinary requests one after the other; returns how often each status came."""
        async with self._callers.open():
            return Counter([await self._callers.send(kind, self._process) for _ in range(count)])

    async def stop(self) -> int:
        """Ask the process to stop, and return its exit status once it has ended."""
        self._process.signal(signal.SIGTERM)
        return await asyncio.to_thread(self._process.process.wait, ANSWER_WITHIN_S)

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.is_running()

    def most_memory_mb(self) -> float:
        """Return the largest resident memory of the process so far."""
        status = Path(f"/proc/{self._process.process.pid}/status").read_text()
        [line] = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) / 1024

    def log(self) -> str:
        """Return what the process has logged."""
        return self._process.settings.with_suffix(".log").read_text()

    def broken_limits(self) -> list[str]:
        """Return which limits of the machine the process hasn't kept."""
        broken = []
        if (memory_mb := self.most_memory_mb()) > self._limits.memory_mb:
            broken.append(f"{memory_mb:.0f} MB of {self._limits.memory_mb}")
        if self._most_descriptors > self._limits.descriptors:
            broken.append(f"{self._most_descriptors} of {self._limits.descriptors} descriptors")
        return broken


@contextlib.asynccontextmanager
async def starting_gateway(
    limits: MachineLimits, caller_limits: CallerLimits, plain_buffer: PlainBuffer | None = None
) -> AsyncIterator[CrowdedGateway]:
    """Run a gateway that has just been started, with the limits of machine and configuration.

    Parameters
    ==========

    plain_buffer : how much the system takes of what the plain service doesn't read; ``None`` if
        gateways connect to it through proxies, which take long requests off their senders.
    """
    with tempfile.TemporaryDirectory(prefix="crowd-") as directory:
        world = SoakWorld(Path(directory), nodes=0, hosts=HOSTS_PER_HALL, seed=1)
        world.options = DocumentOptions(
            idle_timeout_ms=PATIENT_MS, stream_timeout_ms=PATIENT_MS, limits=caller_limits
        )
        servers = LocalServers()
        watcher = None
        try:
            await world.start()
            if plain_buffer is not None:
                await _serve_directly(world, servers, plain_buffer)
            process = await _start_gateway(world, Path(directory), limits)
            callers = Callers(world, random.Random(1), SoakReport(1))
            gateway = CrowdedGateway(world, process, callers, limits)
            watcher = asyncio.create_task(gateway.watch_descriptors())
            yield gateway
        finally:
            if watcher is not None:
                watcher.cancel()
            await world.close()
            await servers.close()


@contextlib.asynccontextmanager
async def crowded_gateway(
    limits: MachineLimits, caller_limits: CallerLimits, plain_buffer: PlainBuffer | None = None
) -> AsyncIterator[CrowdedGateway]:
    """Run a gateway that serves all models, like :func:`starting_gateway`."""
    async with starting_gateway(limits, caller_limits, plain_buffer) as gateway:
        await gateway.until_served()
        yield gateway


async def _serve_directly(world: SoakWorld, servers: LocalServers, buffer: PlainBuffer) -> None:
    """Let the upstreams of the plain service listen without a proxy."""
    for name, upstream in world.plain_upstreams.items():
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", world.plain.handler(name))
        port = await servers.serve(app, buffer.value)
        world.plain_upstreams[name] = replace(upstream, address=Address(LOCAL, port))
        world.memory.put(UPSTREAMS, name, world.plain_upstreams[name])


def _served_models(world: SoakWorld) -> set[str]:
    """Return the models of which a group is open."""
    standings = [host.standing for host in world.fabric.hosts.values()]
    return {s.model for s in standings if s is not None and s.state is MemberState.OPEN}


async def _start_gateway(
    world: SoakWorld, directory: Path, limits: MachineLimits
) -> GatewayProcess:
    link = await world.open_store_link()
    process = make_gateway("gateway-0", world.halls[0], world.halls, link, directory)
    with process.settings.open("a") as settings:
        settings.write(f"limits.memory_mb={limits.memory_mb}\n")
        settings.write(f"limits.max_fds={limits.descriptors}\n")
    process.start()
    resource.prlimit(
        process.process.pid, resource.RLIMIT_NOFILE, (limits.descriptors, limits.descriptors)
    )
    world.gateways.append(process)
    return process
