"""Keeps voters and the list of nodes up to date, without an operator.

Explanation
===========

Voters are nodes whose word counts as evidence that a version is the latest. A
change of voters is itself a configuration, written by the holder of the
``groups`` duty once the version before is accepted. It is made when there are
too few voters, or when one has not answered for ``ABSENT_S``. The row of a node
that has been silent for ``FORGET_S`` is deleted, so that it no longer counts in
the shares of limits; a node that lives writes its row again.
"""

from __future__ import annotations

from mulleinreach.audit import AuditTrail
from mulleinreach.common import Clock
from mulleinreach.intents.document import CONFIG_KEY
from mulleinreach.intents.force import ConfigInForce
from mulleinreach.roster import Lease, Roster
from mulleinreach.roster.roster import NODES_PREFIX
from mulleinreach.stores import Committed, Condition, TableCache, TableClient, Write

MAX_VOTERS = 9
ABSENT_S = 20.0
FORGET_S = 600.0


class VoterKeeper:
    """Proposes changes of voters while this node holds the duty's lease."""

    def __init__(
        self,
        lease: Lease,
        table: TableClient,
        cache: TableCache,
        force: ConfigInForce,
        trail: AuditTrail,
        clock: Clock,
        roster: Roster,
    ):
        self._lease = lease
        self._table = table
        self._cache = cache
        self._force = force
        self._trail = trail
        self._clock = clock
        self._roster = roster
        self._held_since: float | None = None

    async def tick(self) -> None:
        """Write new voters if they are needed and may be written."""
        if not self._lease.is_held():
            self._held_since = None
            return
        now = self._clock.now()
        if self._held_since is None:
            self._held_since = now
        await self._forget_silent(now)
        if self._force.version == 0 or not self._force.acceptance().accepted:
            return
        voters = self._wanted(now)
        if voters != self._force.document.voters:
            await self._write(voters)

    def _wanted(self, now: float) -> list[str]:
        """Return the present voters, those that are absent replaced."""
        present = self._force.document.voters
        absent_from = max(self._held_since, now - ABSENT_S)
        kept = [v for v in present if self._answered_since(v, absent_from, now)]
        live = self._roster.live_node_names()
        spare = [name for name in self._by_hall(live) if name not in kept]
        if len(kept) == len(present) and len(kept) >= min(MAX_VOTERS, len(live)):
            return present
        return sorted((kept + spare)[:MAX_VOTERS])

    def _answered_since(self, voter: str, since: float, now: float) -> bool:
        if voter == self._roster.own.name or now - since < ABSENT_S:
            return True
        peer = self._roster.peers.get(voter)
        return peer is not None and peer.answered_at >= since

    async def _forget_silent(self, now: float) -> None:
        """Delete the rows of nodes that neither answer nor vote any more."""
        since = max(self._held_since, now - FORGET_S)
        if now - since < FORGET_S:
            return
        voters = self._force.document.voters
        for name, peer in list(self._roster.peers.items()):
            if name in voters or peer.answered_at >= since:
                continue
            row = self._cache.get(NODES_PREFIX + name)
            entry = self._trail.entry(
                "duty groups", "forget-node", name, f"silent for {FORGET_S:.0f} s"
            )
            result = await self._table.transact(
                [Condition(row.key, row.version)], [Write(row.key, None), entry]
            )
            if isinstance(result, Committed):
                self._trail.announce(entry)
                await self._cache.refresh()

    def _by_hall(self, names: list[str]) -> list[str]:
        """Order nodes so that halls take turns."""
        halls: dict[str, list[str]] = {}
        for name in names:
            peer = self._roster.peers.get(name)
            hall = peer.record.hall if peer else self._roster.own.hall
            halls.setdefault(hall, []).append(name)
        ordered = []
        while any(halls.values()):
            for hall in sorted(halls):
                if halls[hall]:
                    ordered.append(halls[hall].pop(0))
        return ordered

    async def _write(self, voters: list[str]) -> None:
        document = self._force.document
        row = self._cache.get(CONFIG_KEY)
        if row.value is None or row.value["version"] != document.version:
            return
        following = document.next("voters", voters=voters)
        why = f"{', '.join(document.voters) or 'none'} to {', '.join(voters)}"
        entry = self._trail.entry("duty groups", "change-voters", "configuration", why)
        result = await self._table.transact(
            [Condition(CONFIG_KEY, row.version)],
            [Write(CONFIG_KEY, following.model_dump(mode="json")), entry],
        )
        if isinstance(result, Committed):
            self._trail.announce(entry)
        await self._cache.refresh()
