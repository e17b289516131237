"""Takes a store away and brings it back from a copy, without its latest writes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from mulleinreach.gateway.upstream import upstream_name
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.store import UPSTREAMS, MemoryStore, StoreCopy

AWAY_S = 2.4
COPY_AGE_S = 5.0
# Rows of other users of the store, whose writes raise its versions too.
OTHER_TABLE = "other"


def write_others(store: MemoryStore, count: int) -> None:
    """Raise the store's versions by writes that concern no gateway."""
    for number in range(count):
        store.put(OTHER_TABLE, "row", number)


async def restore(
    store: MemoryStore, copy: StoreCopy, away_s: float = AWAY_S, writes_at_once: int = 0
) -> None:
    """Take the store away, and bring it back from a copy.

    Parameters
    ==========

    writes_at_once : what others write before anybody else is answered.
    """
    store.is_down = True
    await asyncio.sleep(away_s)
    store.restore(copy)
    write_others(store, writes_at_once)
    store.is_down = False


@contextlib.asynccontextmanager
async def restored_after(
    store: MemoryStore, age_s: float = COPY_AGE_S, **options: float
) -> AsyncIterator[None]:
    """Take a copy, and restore the store from it after what is written within.

    Parameters
    ==========

    age_s : how long after the last of that the store goes away.
    options : go to :func:`restore` as they are.
    """
    copy = store.copy()
    yield
    await asyncio.sleep(age_s)
    await restore(store, copy, **options)


def write_hosts_again(fabric: Fabric) -> None:
    """Let all hosts write what the store's copy lacks, as their next heartbeats do."""
    for host in fabric.hosts.values():
        if fabric.store.get(UPSTREAMS, upstream_name(host.id)).value != host.describe():
            host.list_again()
