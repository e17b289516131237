"""Replicas of a plain service whose requests have long bodies and take seconds.

Run with ``python -m review.standins_2.long_replica FILE WORK_S ID:PORT...``; each run is noted in
the file: its id and when the whole request had come.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TextIO

from review.standins_2.nodes import LOCAL

SLOTS = 40
BLOCK = 262_144


class LongReplica:
    """A sound replica."""

    def __init__(self, name: str, work_s: float, file: TextIO):
        self._name = name
        self._work_s = work_s
        self._file = file

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line = await reader.readline()
        if not line:
            return False
        headers = {}
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.strip().lower()] = value.strip()
        left = int(headers.get("content-length", 0))
        while left > 0:
            data = await reader.read(min(left, BLOCK))
            if not data:
                return False
            left -= len(data)
        request_id = headers.get("x-mulleinreach-request-id", "")
        common = f"X-Mulleinreach-Request-Id: {request_id}\r\n"
        if headers.get("x-mulleinreach-expect-instance", self._name) != self._name:
            head = f"HTTP/1.1 421 Misdirected\r\n{common}X-Mulleinreach-Not-Executed: 1\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            return True
        run = {"id": request_id, "replica": self._name, "at": time.monotonic()}
        self._file.write(json.dumps(run) + "\n")
        await asyncio.sleep(self._work_s)
        head = f"HTTP/1.1 200 OK\r\n{common}X-Mulleinreach-Server-Signature: {self._name}.1\r\n"
        writer.write(f"{head}Content-Length: 4\r\n\r\ndone".encode())
        await writer.drain()
        return True


async def run(file: Path, work_s: float, places: list[str]) -> None:
    """Serve at all places until the process is ended."""
    with file.open("a", encoding="utf-8", buffering=1) as runs:
        for place in places:
            name, _, port = place.partition(":")
            replica = LongReplica(name, work_s, runs)
            await asyncio.start_server(replica.serve, LOCAL, int(port), limit=BLOCK)
        await asyncio.sleep(3600)


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1]), float(sys.argv[2]), sys.argv[3:]))
