"""Follows the configuration and the list of upstreams, and dates what is known of them.

Explanation
===========

What a read proves is dated from before it was asked for, on the steady clock. A
wait that gives no answer proves nothing. Versions only rise within a life: an
answer that is older than what is known already is put aside.
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
    Unavailable,
    UpstreamSource,
    UpstreamsRead,
)
from mulleinreach.gateway.upstreams import UpstreamDirectory

CONFIGURATION_WAIT_S = 1.5
UPSTREAM_WAIT_S = 1.5
RETRY_S = 0.15
NEVER = float("-inf")


class _SourceState:
    """Logs when a source is lost and when it answers again."""

    def __init__(self, name: str, log: EventLog):
        self._name = name
        self._log = log
        self.is_lost = False

    def lost(self, reason: str) -> None:
        """Note a failed read."""
        if not self.is_lost:
            self._log.event("dependency_lost", dependency=self._name, why=reason)
        self.is_lost = True

    def answered(self) -> None:
        """Note a read that worked."""
        if self.is_lost:
            self._log.event("dependency_regained", dependency=self._name)
        self.is_lost = False


class ConfigurationInForce:
    """The newest configuration that this node has read."""

    def __init__(self, source: ConfigurationSource, clock: Clock, log: EventLog):
        self._source = source
        self._clock = clock
        self._log = log
        self._state = _SourceState("configuration", log)
        self._revision: int | None = None
        self.configuration: Configuration | None = None
        self.evidence_at = NEVER

    def evidence_age_s(self) -> float:
        """Return the age of the latest proof that no newer version exists."""
        return self._clock.now() - self.evidence_at

    async def follow(self) -> None:
        """Read for ever."""
        while True:
            await self.read_once()

    async def read_once(self) -> None:
        """Read, or wait for a change, and take in the answer."""
        asked_at = self._clock.now()
        if self._revision is None:
            result = await self._source.read()
        else:
            result = await self._source.wait(self._revision, CONFIGURATION_WAIT_S)
        if isinstance(result, ConfigurationRead):
            await self._take(result, asked_at)
        elif isinstance(result, HistoryLost):
            self._revision = None
        else:
            self._state.lost(result.reason)
            await asyncio.sleep(RETRY_S)

    async def _take(self, result: ConfigurationRead, asked_at: float) -> None:
        if self._revision is not None and result.revision < self._revision:
            self._state.lost("an answer older than the last one")
            await asyncio.sleep(RETRY_S)
            return
        self._state.answered()
        if result.configuration is not None:
            self._apply(result.configuration)
        if self.configuration is None:
            await asyncio.sleep(RETRY_S)
            return
        self._revision = result.revision
        self.evidence_at = asked_at

    def _apply(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self._log.event(
            "configuration_applied", version=configuration.version, routes=len(configuration.routes)
        )


class UpstreamFollower:
    """Keeps an :class:`UpstreamDirectory` up to date.

    Parameters
    ==========

    pause_s : how long to let changes gather between two answers; a function,
        since the coordinator needs them at once and other nodes don't.
    on_change : called after each answer that changed the list.
    """

    def __init__(
        self,
        source: UpstreamSource,
        directory: UpstreamDirectory,
        clock: Clock,
        log: EventLog,
        pause_s: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._source = source
        self._directory = directory
        self._clock = clock
        self._state = _SourceState("upstream_list", log)
        self._pause_s = pause_s
        self._on_change = on_change
        self._revision: int | None = None
        self.heard_at = NEVER

    async def follow(self) -> None:
        """Read for ever."""
        while True:
            await self.read_once()
            await asyncio.sleep(self._pause_s())

    async def read_once(self) -> None:
        """Read, or wait for a change, and take in the answer."""
        asked_at = self._clock.now()
        is_full = self._revision is None
        if is_full:
            result = await self._source.read()
        else:
            result = await self._source.wait(self._revision, UPSTREAM_WAIT_S)
        if isinstance(result, Unavailable):
            self._state.lost(result.reason)
            await asyncio.sleep(RETRY_S)
        elif isinstance(result, HistoryLost):
            self._revision = None
        else:
            self._take(result, is_full, asked_at)

    async def read_anew(self) -> bool:
        """Read the whole list now, beside a wait that may be under way."""
        asked_at = self._clock.now()
        result = await self._source.read()
        if isinstance(result, Unavailable):
            self._state.lost(result.reason)
            return False
        self._take(result, is_full=True, asked_at=asked_at)
        return True

    def _take(self, result: UpstreamsRead, is_full: bool, asked_at: float) -> None:
        self._state.answered()
        if self._revision is not None and result.revision < self._revision:
            # A wait that began before a newer read; the next one continues from that.
            return
        self._revision = result.revision
        self.heard_at = asked_at
        if is_full:
            self._directory.replace_all(result.upstreams)
        else:
            self._directory.apply(result.upstreams, result.removed)
        if is_full or result.upstreams or result.removed:
            self._on_change()
