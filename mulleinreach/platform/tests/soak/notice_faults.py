"""Lets upstreams ask for rest, and say in their answers that they leave."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator

from mulleinreach.gateway.upstream import upstream_name
from mulleinreach.platform.tests.soak.harmer import Harmer

# How long rests are, and for how long an upstream turns all requests away.
REST_S = (1.0, 4.0)
REFUSES_S = (0.3, 2.0)
# An upstream that leaves serves on for so long.
SERVES_ON_S = (2.5, 6.0)


class NoticeFaults(Harmer):
    """Lets upstreams ask for rest and leave."""

    between_s = (0.3, 1.2)

    def _draw_faults(self) -> Iterator[Coroutine]:
        """Let an upstream ask for rest, or leave."""
        kind = self._rng.choice([self.ask_for_rest, self.ask_for_rest, self.leave])
        self._report.note_fault(kind.__name__)
        yield kind()

    def _some_upstream(self) -> str | None:
        hosts = [upstream_name(h.id) for h in self._world.fabric.hosts.values() if not h.is_dark]
        plain = [u for u in self._world.plain_upstreams if not self._world.links[u].is_silent]
        kind = self._rng.choice([hosts, plain])
        return self._rng.choice(kind) if kind else None

    async def ask_for_rest(self) -> None:
        """Let an upstream turn requests away for a while."""
        upstream_id = self._some_upstream()
        if upstream_id is None:
            return
        self._world.notices.rests_s[upstream_id] = self._rng.uniform(*REST_S)
        await asyncio.sleep(self._rng.uniform(*REFUSES_S))
        self._world.notices.rests_s.pop(upstream_id, None)

    async def leave(self) -> None:
        """Let a host say that it leaves, whatever its row says, and end; another one starts."""
        name = self._some_upstream()
        if name is None or name in self._world.plain_upstreams:
            return
        host = self._world.fabric.running(name)
        self._world.notices.leaving.add(name)
        await asyncio.sleep(self._rng.uniform(*SERVES_ON_S))
        await self._world.replace_host(host)

    def mend(self) -> None:
        """Let nobody turn requests away any more."""
        self._world.notices.rests_s.clear()
