"""Clean-up duties: rolling the audit trail, deleting old claims."""

from __future__ import annotations

from mulleinreach.audit import AuditTrail
from mulleinreach.common import Clock
from mulleinreach.requests.claims import ClaimStore
from mulleinreach.roster import Lease

CLAIM_SHARDS = 256
# Each reads a whole prefix of the table, so neither is done often.
ROLL_INTERVAL_S = 60.0
PURGE_INTERVAL_S = 300.0
NEVER = float("-inf")


class Housekeeping:
    """Done by one node at a time; doing any of it twice is harmless."""

    def __init__(self, lease: Lease, trail: AuditTrail, claims: ClaimStore, clock: Clock):
        self._lease = lease
        self._trail = trail
        self._claims = claims
        self._clock = clock
        self._rolled_at = NEVER
        self._purged_at = NEVER
        self._shard = 0

    async def tick(self) -> None:
        """Do a small part of the work, if we hold the lease."""
        await self._lease.tick()
        if not self._lease.is_held():
            return
        now = self._clock.now()
        if now - self._rolled_at > ROLL_INTERVAL_S:
            self._rolled_at = now
            await self._trail.roll()
        if now - self._purged_at > PURGE_INTERVAL_S:
            self._purged_at = now
            self._shard = (self._shard + 1) % CLAIM_SHARDS
            await self._claims.purge(self._shard)

    async def stop(self) -> None:
        """Give the lease up."""
        await self._lease.release()
