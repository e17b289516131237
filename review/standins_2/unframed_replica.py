"""One replica whose streams have neither a length nor chunks and end with their connection.

It writes itself into the platform's store and takes requests on connections that serve one each.
Run with ``python -m review.standins_2.unframed_replica ID PORT ZONE STORE_PORT SERVICE FILE``.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from base64 import b64encode
from pathlib import Path
from typing import TextIO

import aiohttp

from review.standins_2.nodes import LOCAL

HEARTBEAT_S = 1.2
EVENTS, EVENT_GAP_S = 30, 0.1
SLOTS = 40


class UnframedReplica:
    """A sound replica, which ends only if it is killed."""

    def __init__(self, name: str, file: TextIO):
        self._name = name
        self._file = file

    def _note(self, request_id: str, what: str) -> None:
        line = {"replica": self._name, "at": time.monotonic(), "id": request_id, "what": what}
        self._file.write(json.dumps(line) + "\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the one request of a connection."""
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        headers = {}
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("x-mulleinreach-request-id", "")
        common = f"X-Mulleinreach-Request-Id: {request_id}\r\nConnection: close\r\n"
        if headers.get("x-mulleinreach-expect-instance", self._name) != self._name:
            head = f"HTTP/1.1 421 Misdirected\r\n{common}X-Mulleinreach-Not-Executed: 1\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        self._note(request_id, "begun")
        head = f"HTTP/1.1 200 OK\r\n{common}X-Mulleinreach-Server-Signature: {self._name}.1\r\n"
        writer.write(f"{head}Content-Type: text/event-stream\r\n\r\n".encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            writer.write(f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        self._note(request_id, "whole")


async def run(name: str, port: int, zone: str, store_port: int, service: str, file: Path) -> None:
    """Listen, and write the entry at once and again and again."""
    row = {
        "service": service,
        "address": f"{LOCAL}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "cold_remaining_ms": 0,
        "born": int(time.time() * 1000),
    }
    url = f"http://{LOCAL}:{store_port}/mulleinreach/rows-tx"
    beats = 0
    with file.open("a", encoding="utf-8", buffering=1) as runs:
        await asyncio.start_server(UnframedReplica(name, runs).serve, LOCAL, port)
        async with aiohttp.ClientSession() as session:
            while True:
                beats += 1
                value = b64encode(json.dumps({**row, "seq": beats}).encode()).decode()
                put = {"table": "servers", "part": "", "tls_key": name, "value": value}
                body = {"expected_rev": [], "puts": [put], "remove": []}
                async with session.post(url, json=body) as response:
                    response.raise_for_status()
                await asyncio.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    given = sys.argv[1:]
    asyncio.run(run(given[0], int(given[1]), given[2], int(given[3]), given[4], Path(given[5])))
