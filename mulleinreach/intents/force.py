"""Which configuration a node has, whether it may serve by it, and when it is accepted.

Explanation
===========

The rule (docs/design/05-configuration.md gives the reasons):

1. A confirmed configuration is one conditional write of version v. A node
   applies any higher version at once, and never a lower one.
2. A node serves only on *fresh evidence* that its version was the latest: it
   read the table within F seconds, or more than half of the voters answered it
   within F seconds, none with a version that it hasn't got. Evidence is dated
   from before it was asked for.
3. A voter vouches only once it has read the table in its present life.
4. v is accepted once more than half of the voters of v - 1 have said that they
   have v (or the host list says that they are gone), and F with a margin has
   passed since that and since v was read in the table.
5. v + 1 is written only by a node that knows v to be accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.intents.document import CONFIG_KEY, ConfigDocument
from mulleinreach.stores import TableCache

NEVER = float("-inf")


@dataclass(frozen=True)
class VoterAnswer:
    """The latest answer of a voter; ``asked_at`` in monotonic seconds."""

    version: int
    asked_at: float


@dataclass(frozen=True)
class Acceptance:
    """Whether the present version is accepted, and what is still missing."""

    accepted: bool
    reason: str


class ConfigInForce:
    """The configuration of one node, with its evidence."""

    def __init__(
        self,
        node: str,
        cache: TableCache,
        clock: Clock,
        log: EventLog,
        fresh_s: float,
        rate_error: float,
        is_gone: Callable[[str], bool],
    ):
        self._node = node
        self._cache = cache
        self._clock = clock
        self._log = log
        self._fresh_s = fresh_s
        self._wait_s = fresh_s * (1 + rate_error)
        self._is_gone = is_gone
        self._answers: dict[str, VoterAnswer] = {}
        self._acks: set[str] = set()
        self._in_table_at = NEVER
        self._settled_at = NEVER
        self.document = ConfigDocument.empty()
        self.listeners: list[Callable[[ConfigDocument], None]] = []
        cache.listeners.append(self._follow_table)

    @property
    def version(self) -> int:
        """The version that this node has applied."""
        return self.document.version

    def vouches(self) -> bool:
        """Whether our word counts for others: we have read the table in this life."""
        return self._cache.was_read

    def _follow_table(self) -> None:
        value = self._cache.get(CONFIG_KEY).value
        if value is not None and value["version"] >= self.version:
            known = value["version"] == self.version
            self.learn_written(self.document if known else ConfigDocument.model_validate(value))

    def learn(self, document: ConfigDocument) -> None:
        """Apply ``document`` if it is newer than what we have."""
        if document.version <= self.version:
            return
        self.document = document
        self._acks = set()
        self._in_table_at = NEVER
        self._settled_at = NEVER
        self._log.event("config_applied", version=document.version, plan=document.plan)
        for listener in self.listeners:
            listener(document)

    def learn_written(self, document: ConfigDocument) -> None:
        """Apply a configuration that we know to be in the table: we wrote it."""
        self.learn(document)
        if document.version == self.version and self._in_table_at == NEVER:
            self._in_table_at = self._clock.now()
        self._count_acks()

    def hear(self, peer: str, version: int, vouches: bool, asked_at: float) -> None:
        """Take in a peer's answer; a peer that doesn't vouch counts for nothing."""
        if not vouches:
            return
        known = self._answers.get(peer)
        if known is None or asked_at >= known.asked_at:
            self._answers[peer] = VoterAnswer(version, asked_at)
        if version >= self.version:
            self._acks.add(peer)
        self._count_acks()

    def _count_acks(self) -> None:
        if self._settled_at == NEVER and self._in_table_at != NEVER and not self.missing_voters():
            self._settled_at = self._clock.now()

    def missing_voters(self) -> list[str]:
        """Return the voters still waited for; empty once more than half have answered."""
        voters = self.document.previous_voters
        has = {v for v in voters if v in self._acks or self._is_gone(v)}
        if self._node in voters and self.vouches():
            has.add(self._node)
        if not voters or len(has) > len(voters) / 2:
            return []
        return sorted(set(voters) - has)

    def is_fresh(self) -> bool:
        """Whether this node may serve at this moment."""
        if self.version == 0:
            return False
        now = self._clock.now()
        return now - self._cache.read_at < self._fresh_s or self._has_majority(now)

    def _has_majority(self, now: float) -> bool:
        voters = self.document.voters
        heard = sum(self._is_evidence(voter, now) for voter in voters)
        return bool(voters) and heard > len(voters) / 2

    def _is_evidence(self, voter: str, now: float) -> bool:
        if voter == self._node:
            return self.vouches()
        answer = self._answers.get(voter)
        if answer is None or answer.version > self.version:
            return False
        return now - answer.asked_at < self._fresh_s

    def acceptance(self) -> Acceptance:
        """Return whether the present version is in force everywhere for good."""
        if self._in_table_at == NEVER:
            return Acceptance(False, f"version {self.version} was not read in the table yet")
        if self._settled_at == NEVER:
            missing = ", ".join(self.missing_voters())
            return Acceptance(
                False, f"version {self.version} waits for more than half of: {missing}"
            )
        left = self._wait_s - (self._clock.now() - max(self._settled_at, self._in_table_at))
        if left > 0:
            return Acceptance(False, f"version {self.version} is accepted in {left:.1f} s")
        return Acceptance(True, f"version {self.version} is accepted")
