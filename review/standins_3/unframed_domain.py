"""A domain of model replicas as a process, whose streams end with their connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from mulleinreach.common.responses import BodyFraming
from mulleinreach.platform.tests.soak.replica_process import ArrivalFile, ReplicaDomain
from mulleinreach.platform.tests.soak.replicas import USUAL_BACKLOG


class UnframedDomain(ReplicaDomain):
    """Its hosts stream with neither a length nor chunks, which the pages allow."""

    async def run(self, hosts: int) -> None:
        """Start the hosts, and write their rows until the process is ended."""
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


def main(domain: str, hall: str, store_url: str, arrivals: str, hosts: int) -> None:
    """Run the domain."""
    with Path(arrivals).open("w", buffering=1) as file:
        replicas = UnframedDomain(domain, hall, store_url, ArrivalFile(file), USUAL_BACKLOG)
        asyncio.run(replicas.run(hosts))


if __name__ == "__main__":
    main(*sys.argv[1:5], int(sys.argv[5]))
