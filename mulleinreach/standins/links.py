"""The links between processes on a virtual network, and the cuts that a test makes."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Collection, Iterable

from mulleinreach.common.net import CONNECT_TIMEOUT_S


class Partition(enum.Enum):
    """What a partition does to connections; it concerns open ones and new ones.

    ``HANG``: open connections fall silent, new ones hang.
    ``RESET``: open connections are reset, new ones hang.
    ``REFUSE``: open connections live on, new ones are refused.
    """

    HANG = enum.auto()
    RESET = enum.auto()
    REFUSE = enum.auto()


class Links:
    """Which processes can reach which; a cut breaks open connections too."""

    def __init__(self) -> None:
        self.names: dict[str, str] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._refusing: set[str] = set()
        self._dark: set[str] = set()
        self._partitions: dict[tuple[str, str], Partition] = {}
        self._transports: dict[tuple[str, str], list[asyncio.Transport]] = {}

    def cut(self, origin: str, target: str) -> None:
        """Break all connections from ``origin`` to ``target``; new ones hang."""
        self._cuts.add((origin, target))
        for transport in self._transports.pop((origin, target), []):
            _reset(transport)

    def cut_both(self, first: str, second: str) -> None:
        """Cut two processes off from each other."""
        self.cut(first, second)
        self.cut(second, first)

    def silence(self, origins: Collection[str], part: slice = slice(None)) -> None:
        """Let connections that some processes opened fall silent for good, without a reset.

        New connections work.

        Parameters
        ==========

        part : which of the connections to one target, in the order in which they were opened.
        """
        for (origin, _), transports in self._transports.items():
            if origin not in origins:
                continue
            silenced = [t for t in transports if not t.is_closing()][part]
            transports[:] = [t for t in transports if t not in silenced]
            _silence(silenced)

    def partition(self, origin: str, targets: Iterable[str], kind: Partition) -> None:
        """Partition one process from some others, which still reach it and each other."""
        for target in targets:
            self._partitions[origin, target] = kind
            if kind is Partition.REFUSE:
                continue
            open_ones = [
                t for t in self._transports.pop((origin, target), []) if not t.is_closing()
            ]
            if kind is Partition.HANG:
                _silence(open_ones)
            else:
                for transport in open_ones:
                    _reset(transport)

    def end_partition(self, origin: str) -> None:
        """Let a process reach all others again."""
        self._partitions = {pair: k for pair, k in self._partitions.items() if pair[0] != origin}

    def darken(self, names: Collection[str]) -> None:
        """Let some processes lose power: nothing comes from them any more, not even a reset."""
        self._dark.update(names)
        for origin, target in list(self._transports):
            if origin not in names and target not in names:
                continue
            for transport in self._transports.pop((origin, target)):
                if transport.is_closing():
                    continue
                transport.write = _drop
                transport.pause_reading()
                if origin in names:
                    transport.close = transport.abort = _stay_open

    def reset_peer(self, transport: asyncio.BaseTransport) -> None:
        """Reset one connection, given the transport of the process that was connected to."""
        opened_from = transport.get_extra_info("peername")
        for transports in self._transports.values():
            for opened in transports:
                if opened.get_extra_info("sockname") == opened_from:
                    _reset(opened)

    def mend(self) -> None:
        """Join everything again."""
        self._cuts.clear()
        self._dark.clear()
        self._refusing.clear()

    def refuse(self, target: str, is_reset: bool = True) -> None:
        """Let nobody connect to ``target``, and break its connections: it is dead.

        Parameters
        ==========

        is_reset : whether they are reset, else closed, as the system does for a process that
            has read all that came.
        """
        self._refusing.add(target)
        for (origin, other), transports in list(self._transports.items()):
            if other == target:
                del self._transports[origin, other]
                for transport in transports:
                    _reset(transport) if is_reset else transport._force_close(None)

    def stop_listening(self, target: str) -> None:
        """Let nobody connect to ``target``, whose open connections live on: it is about to end."""
        self._refusing.add(target)

    def accept(self, target: str) -> None:
        """Let connections to ``target`` through again."""
        self._refusing.discard(target)

    async def connect(self, origin: str, factory, host: str, port: int):
        """Open a connection, unless a cut or a dead target is in the way."""
        # A node's listeners are called "node/callers" and so on.
        target = self.names.get(f"{host}:{port}", f"{host}:{port}").partition("/")[0]
        if (origin, target) in self._cuts or self._dark & {origin, target}:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError(f"no way from {origin} to {target}")
        partition = self._partitions.get((origin, target))
        if partition in (Partition.HANG, Partition.RESET):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError(f"no way from {origin} to {target}")
        if partition is Partition.REFUSE or target in self._refusing:
            raise ConnectionRefusedError(f"{target} refuses connections")
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(factory, host, port)
        known = self._transports.setdefault((origin, target), [])
        known[:] = [t for t in known if not t.is_closing()]
        known.append(transport)
        return transport, protocol


def _reset(transport: asyncio.Transport) -> None:
    """Let the process that opened a connection see a reset; on memory, an abort is a close."""
    transport._force_close(ConnectionResetError("reset by the peer"))


def _silence(transports: Iterable[asyncio.Transport]) -> None:
    """Let connections fall silent without a reset."""
    for transport in transports:
        transport.write = _drop
        transport.pause_reading()


def _drop(data: bytes) -> None:
    """Take bytes that never arrive."""


def _stay_open() -> None:
    """Leave a connection open whose process is gone."""
