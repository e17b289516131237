"""Clean-up duties: rolling the audit trail, deleting old claims."""

from __future__ import annotations

from mulleinreach.audit import AuditTrail
from mulleinreach.requests.claims import ClaimStore
from mulleinreach.roster import Lease

CLAIM_SHARDS = 256


class Housekeeping:
    """Done by one node at a time; doing any of it twice is harmless."""

    def __init__(self, lease: Lease, trail: AuditTrail, claims: ClaimStore):
        self._lease = lease
        self._trail = trail
        self._claims = claims
        self._shard = 0

    async def tick(self) -> None:
        """Do a small part of the work, if we hold the lease."""
        await self._lease.tick()
        if not self._lease.is_held():
            return
        await self._trail.roll()
        self._shard = (self._shard + 1) % CLAIM_SHARDS
        await self._claims.purge(self._shard)

    async def stop(self) -> None:
        """Give the lease up."""
        await self._lease.release()
