"""Clients of the platform's services, one narrow class each."""

from mulleinreach.platform.cache import TableCache
from mulleinreach.platform.hostlist import Host, HostDirectory, HostKind, HostListClient, HostState
from mulleinreach.platform.objects import ObjectStore
from mulleinreach.platform.table import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Row,
    Snapshot,
    TableClient,
    TransactionResult,
    Unavailable,
    Unresolved,
    Write,
)

__all__ = [
    "ABSENT",
    "Committed",
    "Condition",
    "Conflict",
    "Host",
    "HostDirectory",
    "HostKind",
    "HostListClient",
    "HostState",
    "ObjectStore",
    "Row",
    "Snapshot",
    "TableCache",
    "TableClient",
    "TransactionResult",
    "Unavailable",
    "Unresolved",
    "Write",
]
