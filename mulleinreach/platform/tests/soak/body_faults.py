"""Hosts whose streams end with their connection, and break off."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator

from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.upstream import MemberState
from mulleinreach.platform.tests.soak.harmer import Harmer
from mulleinreach.standins.gateway.bodies import BodyBreak
from mulleinreach.standins.gateway.hosts import HostStandIn

HARMED_FOR_S = (1.0, 4.0)
# Events before a break, if there are any.
EVENTS = (1, 6)
TORN = b"id: torn"


class BodyFaults(Harmer):
    """Lets hosts stream without a length, and breaks some of their streams off.

    Broken streams end inside an event or before any; a close between two events can't be told
    from a stream's end.
    """

    def _draw_faults(self) -> Iterator[Coroutine]:
        hosts = self._world.fabric.hosts.values()
        heads = [h for h in hosts if h.standing and h.standing.state is MemberState.OPEN]
        if heads:
            yield self._stream_without_length(self._rng.choice(heads))

    async def _stream_without_length(self, host: HostStandIn) -> None:
        host.framing = BodyFraming.CLOSE
        if self._rng.random() < 0.5:
            self._report.note_fault("break_stream")
            events = self._rng.choice((0, self._rng.randint(*EVENTS)))
            torn = TORN if events else self._rng.choice((TORN, b""))
            host.broken_by = BodyBreak(torn, is_reset=self._rng.random() < 0.5)
            host.breaks_after = events
        await asyncio.sleep(self._rng.uniform(*HARMED_FOR_S))
        host.breaks_after = None

    def mend(self) -> None:
        """Let all streams end whole again."""
        for host in self._world.fabric.hosts.values():
            host.breaks_after = None
