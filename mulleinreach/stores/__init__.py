"""Clients of the platform's services, one narrow class each."""

from mulleinreach.stores.cache import TableCache
from mulleinreach.stores.hostlist import Host, HostDirectory, HostKind, HostListClient, HostState
from mulleinreach.stores.objects import ObjectStore
from mulleinreach.stores.table import (
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
