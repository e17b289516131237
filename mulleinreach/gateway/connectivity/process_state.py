"""Finds out whether the process of an upstream runs, by a connection to it."""

from __future__ import annotations

import asyncio
import enum

from mulleinreach.common import Address, Network

# Short, since the retry of a request waits for it.
PROBE_TIMEOUT_S = 0.1
# A process that ends may close other sockets before those that listen; by then it has closed all.
SETTLE_S = 0.01


class ProcessState(enum.Enum):
    """Whether the process of an upstream runs: it takes connections, or refuses them."""

    RUNNING = enum.auto()
    ENDED = enum.auto()
    UNKNOWN = enum.auto()


async def probe_process(network: Network, address: Address) -> ProcessState:
    """Return whether the process at an address runs; a partition looks like an ended one."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            is_kept = await _is_connection_kept(network, address)
            if not is_kept:
                is_kept = await _is_connection_kept(network, address)
    except ConnectionRefusedError:
        return ProcessState.ENDED
    except OSError:
        return ProcessState.UNKNOWN
    return ProcessState.RUNNING if is_kept else ProcessState.UNKNOWN


async def _is_connection_kept(network: Network, address: Address) -> bool:
    """Whether a connection opens and lasts for a moment."""
    lost = asyncio.Event()
    try:
        transport, _ = await network.create_connection(lambda: _Watcher(lost), address)
    except ConnectionResetError:
        return False
    try:
        async with asyncio.timeout(SETTLE_S):
            await lost.wait()
    except TimeoutError:
        return True
    finally:
        transport.close()
    return False


class _Watcher(asyncio.Protocol):
    """Notes the end of a connection."""

    def __init__(self, lost: asyncio.Event):
        self._lost = lost

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection was closed or reset."""
        self._lost.set()
