"""Implements the gateway's configuration, upstream and lease ports on the platform's store."""

from __future__ import annotations

from absl import logging

from mulleinreach.common.checked import CheckError, pack_document, unpack_document
from mulleinreach.gateway.coordination.lease_document import decode_record, encode_record
from mulleinreach.gateway.model import Configuration
from mulleinreach.gateway.ports import (
    ConfigurationRead,
    EvacuationRow,
    HistoryLost,
    LeaseConflict,
    LeaseRead,
    LeaseRecord,
    LeaseWritten,
    OperatorRows,
    OperatorRowsChanged,
    Unavailable,
    UnusableRow,
    UpstreamsRead,
)
from mulleinreach.gateway.stored_rows import Conflict, RowState, StoreRow, StoreRows, Written
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.platform.configuration import parse_configuration
from mulleinreach.platform.rows import parse_upstream
from mulleinreach.platform.store import PlatformStore

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
# One row per hall to evacuate; only the presence of the row matters, not its value.
EVACUATION_PREFIX = "evacuate/"
UPSTREAM_TABLE = "servers"
LEASE_TABLE = "mulleinreach"
LEASE_KEY = "coordinator"


class PlatformConfigurations:
    """Reads the operator's configuration and evacuation requests, which share a table."""

    def __init__(self, store: PlatformStore):
        self._store = store

    async def read(self) -> ConfigurationRead | Unavailable:
        """Return the current configuration and evacuation requests."""
        result = await self._store.read_table(CONFIGURATION_TABLE)
        if isinstance(result, Unavailable):
            return result
        return self._translate(result, is_whole=True)

    async def wait(
        self, revision: int, wait_s: float
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Wait until the configuration or an evacuation request changes, or ``wait_s`` pass."""
        result = await self._store.wait(CONFIGURATION_TABLE, revision, wait_s)
        if isinstance(result, StoreRows):
            return self._translate(result, is_whole=False)
        return result

    def _translate(self, result: StoreRows, is_whole: bool) -> ConfigurationRead:
        configuration, document, row_version = None, b"", None
        evacuations: dict[str, EvacuationRow] = {}
        for row in result.rows:
            if row.key.startswith(EVACUATION_PREFIX):
                hall = row.key.removeprefix(EVACUATION_PREFIX)
                evacuations[hall] = EvacuationRow(hall, 0 if row.is_removed else row.version)
            elif row.key == CONFIGURATION_KEY and row.unreadable_reason:
                logging.error("event=configuration_unreadable why=%r", row.unreadable_reason)
            elif row.key == CONFIGURATION_KEY and row.value is not None:
                row_version = row.version
                configuration = _parse(row.value)
                document = b"" if configuration is None else pack_document(row.value)
        return ConfigurationRead(
            result.revision,
            configuration,
            document,
            row_version,
            tuple(evacuations.values()),
            is_whole,
        )

    def decode(self, document: bytes) -> Configuration | None:
        """Return the configuration in a document that another node has read."""
        try:
            return _parse(unpack_document(document))
        except CheckError as error:
            logging.error("event=configuration_unreadable why=%r", error)
            return None


def _parse(raw: dict) -> Configuration | None:
    try:
        return parse_configuration(raw)
    except CheckError as error:
        version = raw.get("version")
        logging.error("event=configuration_unreadable version=%.100s why=%r", version, error)
        return None


class PlatformUpstreams:
    """Reads the rows of replicas; invalid rows are reported as unusable."""

    def __init__(self, store: PlatformStore):
        self._store = store

    async def read(self) -> UpstreamsRead | Unavailable:
        """Return all upstreams."""
        result = await self._store.read_table(UPSTREAM_TABLE)
        return result if isinstance(result, Unavailable) else self._translate(result)

    async def wait(self, revision: int, wait_s: float) -> UpstreamsRead | HistoryLost | Unavailable:
        """Wait up to ``wait_s`` for changes and return the upstreams that changed."""
        result = await self._store.wait(UPSTREAM_TABLE, revision, wait_s)
        return self._translate(result) if isinstance(result, StoreRows) else result

    def _translate(self, result: StoreRows) -> UpstreamsRead:
        by_name: dict[str, Upstream] = {}
        removed: dict[str, None] = {}
        unusable: dict[str, UnusableRow] = {}
        for row in result.rows:
            for rows in (by_name, removed, unusable):
                rows.pop(row.key, None)
            if row.is_removed:
                removed[row.key] = None
                continue
            upstream = self._parse(row)
            if isinstance(upstream, Upstream):
                by_name[row.key] = upstream
            else:
                unusable[row.key] = upstream
                removed[row.key] = None
        return UpstreamsRead(
            result.revision, list(by_name.values()), list(removed), list(unusable.values())
        )

    def _parse(self, row: StoreRow) -> Upstream | UnusableRow:
        try:
            return parse_upstream(row.key, row.value)
        except CheckError as error:
            return UnusableRow(row.key, row.unreadable_reason or str(error))


def _row_states(rows: OperatorRows | None) -> list[RowState]:
    """Return the keys and expected versions of the operator's rows."""
    if rows is None:
        return []
    configuration = RowState(CONFIGURATION_TABLE, CONFIGURATION_KEY, rows.configuration)
    evacuations = [
        RowState(CONFIGURATION_TABLE, EVACUATION_PREFIX + row.hall, row.version)
        for row in rows.evacuations
    ]
    return [configuration, *evacuations]


class PlatformLease:
    """Reads and writes the coordinator's lease, which is one row of the store."""

    def __init__(self, store: PlatformStore):
        self._store = store

    async def read(self) -> LeaseRead | Unavailable:
        """Return the lease, without a record if the row is absent or unreadable."""
        row = await self._store.read_row(LEASE_TABLE, LEASE_KEY)
        if isinstance(row, Unavailable):
            return row
        era = self._store.era or 0
        if row is None:
            return LeaseRead(0, None, era)
        if row.value is None:
            logging.warning("event=lease_unreadable why=%r", row.unreadable_reason)
            return LeaseRead(row.version, None, era)
        return LeaseRead(row.version, decode_record(row.value), era)

    async def write(
        self, version: int, record: LeaseRecord, unchanged: OperatorRows | None = None
    ) -> LeaseWritten | LeaseConflict | OperatorRowsChanged | Unavailable:
        """Write the lease if its row and the operator's rows still have the given versions."""
        lease = RowState(LEASE_TABLE, LEASE_KEY, version)
        result = await self._store.write_row(lease, encode_record(record), _row_states(unchanged))
        if isinstance(result, Written):
            return LeaseWritten(result.version)
        if isinstance(result, Conflict):
            return OperatorRowsChanged() if lease in result.rows else LeaseConflict()
        return result
