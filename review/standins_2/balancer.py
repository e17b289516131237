"""The platform's way of handing new connections to nodes, and of ending those over their memory."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from review.standins_2.nodes import LOCAL, Node, Record

PROBE_S, MISSES = 1.0, 2
MEMORY_CHECK_S = 0.05
RESTART_S = 1.0
MIB = 1_048_576
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(node: Node) -> int:
    """Return the memory of a node's process that is resident."""
    try:
        return int(Path(f"/proc/{node.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


class Platform:
    """Asks nodes whether they are ready, and starts those again that have ended.

    A node that misses twice gets no new connections until it answers 200 again; a process over
    ``memory_mb`` is killed.
    """

    def __init__(self, nodes: list[Node], memory_mb: int, record: Record):
        self.nodes = nodes
        self.is_in = {node.name: True for node in nodes}
        self.peak_mb = {node.name: 0 for node in nodes}
        self.ends: list[str] = []
        self._limit = memory_mb * MIB
        self._record = record
        self._next = 0
        # The node that gets most new connections now.
        self.favoured: Node | None = None
        self.is_crowding = False

    def pick(self) -> Node:
        """Return the node that gets the next new connection."""
        ready = [node for node in self.nodes if self.is_in[node.name]] or self.nodes
        if self.is_crowding:
            if self.favoured not in ready:
                self.favoured = ready[0]
                self._record.note(f"new connections go to {self.favoured.name}")
            return self.favoured
        self.favoured = None
        self._next += 1
        return ready[self._next % len(ready)]

    def pick_other(self, but: Node) -> Node:
        """Return another node: retries reach other nodes."""
        ready = [n for n in self.nodes if self.is_in[n.name] and n is not but] or self.nodes
        self._next += 1
        return ready[self._next % len(ready)]

    async def probe(self, node: Node) -> None:
        """Ask one node every second, without end."""
        missed = 0
        while True:
            asked_at = time.monotonic()
            missed = 0 if await self._is_ready(node) else missed + 1
            self.is_in[node.name] = missed < MISSES
            await asyncio.sleep(max(0.0, asked_at + PROBE_S - time.monotonic()))

    async def _is_ready(self, node: Node) -> bool:
        writer = None
        try:
            async with asyncio.timeout(PROBE_S):
                reader, writer = await asyncio.open_connection(LOCAL, node.readiness)
                writer.write(b"GET /mulleinreach/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def watch_memory(self) -> None:
        """Kill processes over their memory, and start them again, without end."""
        while True:
            for node in self.nodes:
                used = resident_bytes(node)
                self.peak_mb[node.name] = max(self.peak_mb[node.name], used // MIB)
                if used > self._limit:
                    self._record.note(
                        f"{node.name} is over its memory with {used // MIB} MB: killed"
                    )
                    self.ends.append(node.name)
                    node.end()
                    asyncio.get_running_loop().call_later(RESTART_S, node.start)
            await asyncio.sleep(MEMORY_CHECK_S)
