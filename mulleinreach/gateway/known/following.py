"""Follows what operators write, and dates what is known of it.

Explanation
===========

What a read proves is dated from before it was asked for, on the steady clock. A
wait that gives no answer proves nothing. Versions only rise within a life: an
answer that is older than what is known already is put aside. A store that was restored may
hold an older configuration than the one in force; until the newest is written there again, it
proves nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.known.evacuations import Evacuations
from mulleinreach.gateway.known.reading import (
    CHECK_INTERVAL_S,
    DirectReadSchedule,
    SourceState,
    wait_for,
    wait_for_coordinator,
)
from mulleinreach.gateway.model import Configuration
from mulleinreach.gateway.ports import (
    ConfigurationRead,
    ConfigurationSource,
    HistoryLost,
    OperatorRows,
)
from mulleinreach.gateway.revision import format_revision

STALE_ANSWER_PAUSE_S = 0.15
NEVER = float("-inf")


class ConfigurationInForce:
    """The newest configuration that this node knows of, and the halls to be emptied.

    Parameters
    ==========

    evacuations : the halls that operators have asked to empty.
    is_reader : whether this node reads for the others. Another node reads only
        when it has no evidence that is passed on to it and young enough.
    schedule : when another node reads.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        evacuations: Evacuations,
        clock: Clock,
        log: EventLog,
        is_reader: Callable[[], bool],
        schedule: DirectReadSchedule,
    ):
        self._source = source
        self.evacuations = evacuations
        self._clock = clock
        self._log = log
        self._is_reader = is_reader
        self._schedule = schedule
        self._state = SourceState("configuration", log, is_reader)
        self._revision: int | None = None
        self._known_version = 0
        # The version of the configuration's row in the store, as far as it was read here.
        self._row_version: int | None = None
        # Whether the store holds an older configuration than the one in force.
        self._is_store_outdated = False
        self._newer_announced = asyncio.Event()
        self.was_read = asyncio.Event()
        self.configuration: Configuration | None = None
        self.document = b""
        self.evidence_at = NEVER
        self._store_unreachable_at = NEVER

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def operator_rows(self) -> OperatorRows | None:
        """Return the operators' rows as this node has read them, ``None`` before that."""
        if self._row_version is None:
            return None
        return OperatorRows(self._row_version, self.evacuations.rows())

    def evidence_age_s(self) -> float:
        """Return the age of the latest proof that operators have written nothing newer."""
        return self._clock.now() - self.evidence_at

    def note_store_unreachable(self, seen_at: float) -> None:
        """Note that no node could read the store at a moment."""
        self._store_unreachable_at = max(self._store_unreachable_at, seen_at)

    def store_unreachable_age_s(self) -> float:
        """Return how long ago no node could read the store, as far as known."""
        return self._clock.now() - self._store_unreachable_at

    def take_passed(
        self,
        version: int,
        evidence_at: float,
        document: bytes,
        evacuated: frozenset[str],
        revision: int,
    ) -> None:
        """Take the coordinator's evidence that a version is the newest one.

        Parameters
        ==========

        document : the configuration itself, if it was sent along.
        evidence_at : the moment that the evidence is dated from, on this node's clock.
        evacuated : the halls that are to be empty.
        revision : the store's revision for which that holds.
        """
        is_agreed = self.evacuations.take_passed(evacuated, revision, self.evidence_at)
        if version > self.version and document:
            self._apply_document(document)
        if version > self.version:
            self._known_version = version
            self._newer_announced.set()
        elif version == self.version and is_agreed:
            self.evidence_at = max(self.evidence_at, evidence_at)

    def _apply_document(self, document: bytes) -> None:
        configuration = self._source.decode(document)
        if configuration is not None:
            self._apply(configuration, document)
            self.was_read.set()

    async def follow(self) -> None:
        """Read for ever, as far as evidence isn't passed on."""
        await wait_for_coordinator(self.was_read, self._schedule, self._is_reader)
        while True:
            if self._must_read():
                await self.read_once()
                continue
            self._newer_announced.clear()
            await wait_for(self._newer_announced, CHECK_INTERVAL_S)

    def _must_read(self) -> bool:
        if self._is_reader() or self._known_version > self.version:
            return True
        return self._schedule.is_due(self.evidence_age_s())

    async def read_once(self) -> None:
        """Read, or wait for a change, and take in the answer."""
        requested_at = self._clock.now()
        if self._revision is None:
            result = await self._source.read()
        else:
            result = await self._source.wait(self._revision, self._state.wait_s())
        if isinstance(result, ConfigurationRead):
            if not self._apply_answer(result, requested_at):
                await asyncio.sleep(STALE_ANSWER_PAUSE_S)
        elif isinstance(result, HistoryLost):
            self._revision = None
        else:
            self._state.record_failure(result.reason)

    async def read_now(self) -> None:
        """Read the configuration now, beside a wait that may be under way."""
        requested_at = self._clock.now()
        result = await self._source.read()
        if isinstance(result, ConfigurationRead):
            self._apply_answer(result, requested_at)
        else:
            self._state.record_failure(result.reason)

    def confirm(self, rows: OperatorRows | None, requested_at: float) -> None:
        """Take in that the operators' rows had these versions at a moment."""
        if rows is not None and rows == self.operator_rows():
            self.evidence_at = max(self.evidence_at, requested_at)

    def _apply_answer(self, result: ConfigurationRead, requested_at: float) -> bool:
        """Take an answer in, unless a newer one is known; returns whether it was taken."""
        if self._revision is not None and result.revision < self._revision:
            self._log.event(
                "answer_put_aside",
                dependency="configuration",
                why="it is older",
                revision=format_revision(result.revision),
                known=format_revision(self._revision),
            )
            return False
        self._state.record_answer()
        self._revision = result.revision
        self.evacuations.apply_rows(
            result.evacuations, result.is_whole, result.revision, self.evidence_at
        )
        if result.configuration is not None:
            self._apply(result.configuration, result.document)
            self._is_store_outdated = result.configuration.version < self.version
            self._row_version = None if self._is_store_outdated else result.row_version
        if not self._is_store_outdated:
            self.evidence_at = max(self.evidence_at, requested_at)
        if self.configuration is not None:
            self.was_read.set()
        return True

    def _apply(self, configuration: Configuration, document: bytes) -> None:
        if self.configuration is not None and configuration.version <= self.version:
            return
        self.configuration = configuration
        self.document = document
        self._log.event(
            "configuration_applied", version=configuration.version, routes=len(configuration.routes)
        )
