"""A domain of stand-in hosts as a process of its own, which can be stopped and continued.

A stopped process accepts connections and takes bytes as any other: the system does that for it. Run
with ``python -m mulleinreach.platform.tests.soak.replica_process``; :class:`ReplicaProcess` does.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Annotated, TextIO

import aiohttp
import typer
from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.common.http_fields import keys_of_pairs
from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.upstream import MemberState
from mulleinreach.platform.dialect import NOT_EXECUTED, PROMPT_PREFIX, REQUEST_ID
from mulleinreach.platform.tests.soak.document import FATAL_PART, FATAL_PIECES, MODEL_SERVICE
from mulleinreach.platform.tests.soak.host_app import NAMES, TIMES, host_app
from mulleinreach.platform.tests.soak.notices import read_remaining_s
from mulleinreach.platform.tests.soak.processes import LOCAL
from mulleinreach.platform.tests.soak.replicas import USUAL_BACKLOG
from mulleinreach.platform.tests.standin import row_of
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.hosts import HostStandIn, make_upstream
from mulleinreach.standins.gateway.store import UPSTREAMS, MemoryStore
from mulleinreach.standins.resets import reset

# The table of the platform's store in which replicas keep themselves.
SERVERS = "servers"
REWRITE_PAUSE_S = 0.1
# A stream has an event each 0.04 s, so it has given two or three of them by then.
CRASH_AFTER_S = 0.11
# Just after its first event.
CRASH_AT_PART_AFTER_S = 0.05


class ArrivalFile:
    """Writes down each request that a process has read, by the system's steady clock.

    A request that is refused has a second line, which says so.
    """

    def __init__(self, file: TextIO):
        self._file = file

    def attach(self, app: web.Application, upstream_id: str) -> None:
        """Have a host's application write its requests down."""

        @web.middleware
        async def note(request: web.Request, handler: Callable) -> web.StreamResponse:
            request_id = request.headers.get(REQUEST_ID)
            if request_id is None:
                return await handler(request)
            line = {"upstream": upstream_id, "id": request_id}
            remaining_s = read_remaining_s(request.headers)
            self._write({**line, "remaining_s": remaining_s, "refused": False})
            response = await handler(request)
            if NOT_EXECUTED in response.headers:
                self._write({**line, "refused": True})
            return response

        app.middlewares.append(note)

    def _write(self, line: dict) -> None:
        at = asyncio.get_running_loop().time()
        self._file.write(json.dumps({**line, "at": at}) + "\n")


class Crashes:
    """Ends the process soon after a host has begun to run a request that crashes it.

    Parameters
    ==========

    framing : how the ends of the hosts' streams are marked.
    """

    def __init__(self, framing: BodyFraming):
        self._framing = framing

    def attach(self, app: web.Application, cell: list[HostStandIn]) -> None:
        """Have a host's application look at its requests."""

        @web.middleware
        async def look(request: web.Request, handler: Callable) -> web.StreamResponse:
            host = cell[0]
            host.framing = self._framing
            crash_after_s = self._crash_after_s(request.headers, await request.read())
            standing = host.standing
            is_open = standing is not None and standing.state is MemberState.OPEN
            if crash_after_s is not None and is_open:
                asyncio.get_running_loop().call_later(crash_after_s, os._exit, 1)
            return await handler(request)

        app.middlewares.append(look)

    def _crash_after_s(self, headers: Mapping[str, str], body: bytes) -> float | None:
        """Return how long after a request the process ends; ``None`` for a sound request."""
        if FATAL_PART in keys_of_pairs(headers.get(PROMPT_PREFIX, "")):
            return CRASH_AT_PART_AFTER_S
        return CRASH_AFTER_S if body == str(FATAL_PIECES).encode() else None


class ReplicaDomain:
    """The hosts of one domain, whose rows are written to the platform's store.

    Parameters
    ==========

    backlog : connections to each host that the system holds until they are accepted.
    crashes : what ends the process by a request, if anything does.
    """

    def __init__(
        self,
        domain: str,
        hall: str,
        store_url: str,
        arrivals: ArrivalFile,
        backlog: int,
        crashes: Crashes | None = None,
    ):
        self._crashes = crashes
        self._domain = domain
        self._hall = hall
        self._store_url = store_url
        self._arrivals = arrivals
        self._backlog = backlog
        self._memory = MemoryStore()
        self._fabric = Fabric(self._memory, seed=1, names=NAMES, reset_connection=reset)

    async def run(self, hosts: int) -> None:
        """Start the hosts, and write their rows until cancelled."""
        for number in range(hosts):
            await self._add_host(f"{self._domain}-host-{number}")
        async with aiohttp.ClientSession() as session:
            written = 0
            while True:
                rows = await self._memory.wait(UPSTREAMS, written, wait_s=3600)
                written = rows[0]
                for row in rows[1]:
                    await self._write(session, row.key, row_of(row.value))

    async def _add_host(self, name: str) -> None:
        cell: list[HostStandIn] = []
        app = host_app(cell, lambda each: self._fabric.running(each).id)
        self._arrivals.attach(app, name)
        if self._crashes is not None:
            self._crashes.attach(app, cell)
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, LOCAL, 0, backlog=self._backlog)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        upstream = make_upstream(name, MODEL_SERVICE, port, self._domain, self._hall)
        upstream = replace(upstream, address=Address(LOCAL, port))
        cell.append(self._fabric.add(upstream, TIMES))

    async def _write(self, session: aiohttp.ClientSession, name: str, row: dict) -> None:
        value = base64.b64encode(json.dumps(row).encode()).decode()
        put = {"table": SERVERS, "part": "", "tls_key": name, "value": value}
        body = {"expected_rev": [], "puts": [put], "remove": []}
        url = f"{self._store_url}/mulleinreach/rows-tx"
        # The store may be away, or lose the answer; the latest row is written as long as that.
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.post(url, json=body) as response:
                    response.raise_for_status()
                    return
            await asyncio.sleep(REWRITE_PAUSE_S)


def main(
    domain: Annotated[str, typer.Option()],
    hall: Annotated[str, typer.Option()],
    store_url: Annotated[str, typer.Option()],
    arrivals: Annotated[Path, typer.Option()],
    hosts: Annotated[int, typer.Option()] = 4,
    backlog: Annotated[int, typer.Option()] = USUAL_BACKLOG,
    crash_framing: Annotated[BodyFraming | None, typer.Option()] = None,
) -> None:
    """Run the hosts of a domain until the process is ended."""
    crashes = None if crash_framing is None else Crashes(crash_framing)
    with arrivals.open("w", buffering=1) as file:
        arrival_file = ArrivalFile(file)
        replica_domain = ReplicaDomain(domain, hall, store_url, arrival_file, backlog, crashes)
        asyncio.run(replica_domain.run(hosts))


if __name__ == "__main__":
    typer.run(main)
