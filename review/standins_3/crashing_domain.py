"""A domain of model replicas as a process of its own.

Its streams end with their connection. A request whose body is the one that is given at the start
ends the process soon after a replica has begun to run it, as a process that crashes ends.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from pathlib import Path

from aiohttp import web

from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.upstream import MemberState, upstream_name
from mulleinreach.platform.dialect import EXPECT_INSTANCE
from mulleinreach.platform.tests.soak.replica_process import ArrivalFile, ReplicaDomain
from mulleinreach.platform.tests.soak.replicas import USUAL_BACKLOG

# A stream has an event each 0.04 s; so it has given two or three of them by then.
CRASH_AFTER_S = 0.11


class CrashingDomain(ReplicaDomain):
    """Hosts that write streams with neither a length nor chunks, which the pages allow."""

    def __init__(self, domain: str, hall: str, store_url: str, arrivals: ArrivalFile, crash: bytes):
        super().__init__(domain, hall, store_url, arrivals, USUAL_BACKLOG)
        self._crash = crash
        # Each host's application takes this in, as it does the file of arrivals.
        self._arrivals = _Crashes(self, arrivals)

    async def run(self, hosts: int) -> None:
        """Start the hosts, and write their rows until the process ends."""
        framing = asyncio.create_task(self._set_framing(hosts))
        try:
            await super().run(hosts)
        finally:
            framing.cancel()

    async def _set_framing(self, hosts: int) -> None:
        while len(self._fabric.hosts) < hosts:
            await asyncio.sleep(0.01)
        for host in self._fabric.hosts.values():
            host.framing = BodyFraming.CLOSE

    def crashes(self, name: str, expected: str | None, body: bytes) -> bool:
        """Whether a host runs a request, and crashes by it."""
        if body != self._crash or expected != name:
            return False
        hosts = (h for h in self._fabric.hosts.values() if upstream_name(h.id) == name)
        standing = next((h.standing for h in hosts), None)
        return standing is not None and standing.state is MemberState.OPEN


class _Crashes:
    """Notes the requests that arrive, and ends the process by those that crash it."""

    def __init__(self, domain: CrashingDomain, arrivals: ArrivalFile):
        self._domain = domain
        self._arrivals = arrivals

    def attach(self, app: web.Application, upstream_id: str) -> None:
        """Have a host's application look at its requests."""

        @web.middleware
        async def look(request: web.Request, handler: Callable) -> web.StreamResponse:
            body = await request.read()
            expected = request.headers.get(EXPECT_INSTANCE)
            if self._domain.crashes(upstream_id, expected, body):
                asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, 1)
            return await handler(request)

        self._arrivals.attach(app, upstream_id)
        app.middlewares.append(look)


def main(domain: str, hall: str, store_url: str, arrivals: str, hosts: str, crash: str) -> None:
    """Run the domain."""
    with Path(arrivals).open("w", buffering=1) as file:
        replicas = CrashingDomain(domain, hall, store_url, ArrivalFile(file), crash.encode())
        asyncio.run(replicas.run(int(hosts)))


if __name__ == "__main__":
    main(*sys.argv[1:7])
