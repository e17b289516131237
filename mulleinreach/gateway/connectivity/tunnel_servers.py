"""The nodes through which this node may connect to upstreams."""

from __future__ import annotations

import random
from collections.abc import Collection

from mulleinreach.common import Address, Clock

# A node that opened no tunnel is asked again after this time.
RETRY_S = 1.0


class TunnelServers:
    """The tunnel servers of other nodes, as the coordinator assigned them to this node.

    They stay known while there is no coordinator.
    """

    def __init__(self, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._addresses: tuple[Address, ...] = ()
        self._failed_at: dict[Address, float] = {}

    def replace(self, addresses: Collection[Address]) -> None:
        """Replace the known tunnel servers."""
        self._addresses = tuple(addresses)
        self._failed_at = {a: at for a, at in self._failed_at.items() if a in self._addresses}

    def note_failed(self, address: Address) -> None:
        """Record that a node couldn't be reached, or denied a tunnel."""
        self._failed_at[address] = self._clock.now()

    def usable(self) -> list[Address]:
        """Return the tunnel servers that have not failed recently."""
        now = self._clock.now()
        return [
            address
            for address in self._addresses
            if now - self._failed_at.get(address, float("-inf")) > RETRY_S
        ]

    def choose(self, count: int) -> list[Address]:
        """Return up to ``count`` random usable tunnel servers."""
        usable = self.usable()
        return self._rng.sample(usable, min(count, len(usable)))
