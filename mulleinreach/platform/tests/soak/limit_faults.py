"""Lets upstreams name a limit of requests a second for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator

from mulleinreach.gateway.upstream import MemberState, upstream_name
from mulleinreach.platform.tests.soak.harmer import Harmer

LIMIT_PER_S = (0.2, 1.2)
NAMED_FOR_S = (5.0, 9.0)


class LimitFaults(Harmer):
    """Lets upstreams name limits."""

    def _draw_faults(self) -> Iterator[Coroutine]:
        yield self._name_limit()

    async def _name_limit(self) -> None:
        name = self._some_upstream()
        if name is None or self._world.notices.limit_of(name) is not None:
            return
        self._report.note_fault("name_limit")
        self._world.notices.name_limit(name, self._rng.uniform(*LIMIT_PER_S))
        await asyncio.sleep(self._rng.uniform(*NAMED_FOR_S))
        self._world.notices.end_limit(name)

    def _some_upstream(self) -> str | None:
        """Return a head of a group, or a plain upstream."""
        hosts = self._world.fabric.hosts.values()
        serving = [h for h in hosts if h.standing and h.standing.state is MemberState.OPEN]
        heads = [upstream_name(host.id) for host in serving if not host.is_dark]
        plain = [u for u in self._world.plain_upstreams if not self._world.links[u].is_silent]
        kind = self._rng.choice([heads, plain])
        return self._rng.choice(kind) if kind else None

    def mend(self) -> None:
        """Let nobody name a limit any more."""
        for limit in self._world.notices.limited:
            self._world.notices.end_limit(limit.upstream_id)
