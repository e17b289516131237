"""Keeps the configuration up to date, and tracks how current it is.

Explanation
===========

An answer of the store is evidence that the configuration was the newest one when the request
was sent; times are those of the monotonic clock. A long poll without an answer is no evidence.
Answers that are older than what is known are discarded. A restored store may hold an older
configuration than the one in force; it is no evidence until the newest is written there again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.model import Configuration
from mulleinreach.gateway.ports import (
    ConfigurationRead,
    ConfigurationSource,
    HistoryLost,
    OperatorRows,
)
from mulleinreach.gateway.revision import format_revision
from mulleinreach.gateway.state.evacuations import Evacuations
from mulleinreach.gateway.state.store_reading import (
    CHECK_INTERVAL_S,
    DirectReadSchedule,
    SourceState,
    wait_for,
    wait_for_coordinator,
)

STALE_ANSWER_PAUSE_S = 0.15
NEVER = float("-inf")


class ConfigurationInForce:
    """The newest configuration that this node knows, and the halls to be evacuated.

    Parameters
    ==========

    evacuations : the halls that operators have ordered to be evacuated.
    is_reader : whether this node reads the store for the others. Any other node reads it only
        if the coordinator's evidence is missing or too old.
    schedule : when a node that isn't the reader reads the store directly.
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
        # The version of the configuration's row in the store, if this node has read it.
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
        """Return the versions of the operators' rows, ``None`` before this node has read them."""
        if self._row_version is None:
            return None
        return OperatorRows(self._row_version, self.evacuations.rows())

    def evidence_age_s(self) -> float:
        """Return the age of the latest evidence that operators have written nothing newer."""
        return self._clock.now() - self.evidence_at

    def note_store_unreachable(self, seen_at: float) -> None:
        """Note that at a time no node could read the store."""
        self._store_unreachable_at = max(self._store_unreachable_at, seen_at)

    def store_unreachable_age_s(self) -> float:
        """Return the time since it was last known that no node could read the store."""
        return self._clock.now() - self._store_unreachable_at

    def merge_coordinator_evidence(
        self,
        version: int,
        evidence_at: float,
        document: bytes,
        evacuated: frozenset[str],
        revision: int,
    ) -> None:
        """Apply the coordinator's evidence that a version is the newest one.

        Parameters
        ==========

        document : the configuration itself, empty if it was not sent.
        evidence_at : the time of the evidence, on this node's clock.
        evacuated : the halls to be evacuated.
        revision : the revision of the store at which they were read.
        """
        is_agreed = self.evacuations.apply_published(evacuated, revision, self.evidence_at)
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
        """Read the store whenever the coordinator's evidence doesn't suffice, until cancelled."""
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
        """Read the configuration or wait for a change, and apply the answer."""
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
        """Read the configuration now, even if a long poll is pending."""
        requested_at = self._clock.now()
        result = await self._source.read()
        if isinstance(result, ConfigurationRead):
            self._apply_answer(result, requested_at)
        else:
            self._state.record_failure(result.reason)

    def confirm(self, rows: OperatorRows | None, requested_at: float) -> None:
        """Note that the operators' rows had these versions when a request was sent."""
        if rows is not None and rows == self.operator_rows():
            self.evidence_at = max(self.evidence_at, requested_at)

    def _apply_answer(self, result: ConfigurationRead, requested_at: float) -> bool:
        """Apply an answer, unless a newer one is known; returns whether it was applied."""
        if self._revision is not None and result.revision < self._revision:
            self._log.event(
                "answer_put_aside",
                dependency="configuration",
                why="older than the known revision",
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
