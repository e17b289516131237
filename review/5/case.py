"""The release of one host cuts the streams of a sound replica, see claim.txt."""

from __future__ import annotations

import asyncio
import itertools
import sys
from dataclasses import dataclass, replace
from pathlib import Path

from mulleinreach.common import Address
from mulleinreach.gateway.upstream import MemberState
from mulleinreach.platform.dialect import DEADLINE_MS, MODEL, REQUEST_ID, SIGNATURE, TOKEN_USAGE
from mulleinreach.platform.tests.soak.document import MODEL_SERVICE, make_document
from mulleinreach.platform.tests.soak.host_app import NAMES, TIMES, host_app
from mulleinreach.platform.tests.soak.processes import LOCAL
from mulleinreach.standins.gateway.fabric import Fabric
from mulleinreach.standins.gateway.hosts import HostStandIn, make_upstream
from review.standins_3.deployment import (
    BROKEN,
    HALL,
    KEPT,
    KEY,
    Answer,
    CallerConnection,
    Deployment,
    Record,
    has_trouble,
    run_case,
)

# More connections than this may not be closed without an answer.
MAX_LOST = 3
NODES = ("node-a", "node-b")
MODEL_NAME = "small"
HOSTS, GROUPS = 8, 3
CLIENTS = 18
# A stream has an event each 0.04 s, so these take 6 s.
LONG_EVENTS = 150
DRAIN_AFTER_S = 1.5
CONTACT_S = 3.0
START_S = 40.0
ROUNDS = 2


@dataclass
class Stream:
    """A long stream on a connection that had served a request before."""

    node: str
    answer: Answer

    def is_lost(self) -> bool:
        """Whether a replica took it, and the connection was closed without a whole answer."""
        return SIGNATURE.lower() in self.answer.headers and not self.answer.is_whole


class Case:
    """Clients read streams; one host drains that is a member of a group, not its head."""

    def __init__(self, record: Record):
        self._record = record
        self._deployment = Deployment(record)
        self._fabric = Fabric(self._deployment.memory, seed=1, names=NAMES)
        self._hosts: list[HostStandIn] = []
        self._ids = itertools.count(1)

    async def run(self) -> int:
        """Run the rounds until the rule is broken; returns the exit code."""
        try:
            return await self._run()
        finally:
            await self._deployment.close()

    async def _run(self) -> int:
        await self._deployment.start_store(_document())
        for _ in range(HOSTS):
            await self._add_host()
        for name in NODES:
            await self._deployment.start_gateway(name)
        for _ in range(ROUNDS):
            async with asyncio.timeout(START_S):
                await self._until_served()
            await asyncio.sleep(CONTACT_S)
            streams = await self._round()
            lost = [stream for stream in streams if stream.is_lost()]
            self._record.note("round_ends", streams=len(streams), lost=len(lost))
            self._note_orders()
            if len(lost) > MAX_LOST:
                return BROKEN
            if not has_trouble():
                break
        return KEPT

    async def _add_host(self) -> None:
        cell: list[HostStandIn] = []
        name = f"host-{len(self._hosts)}"
        port = await self._deployment.serve(
            host_app(cell, lambda each: self._fabric.running(each).id)
        )
        upstream = make_upstream(name, MODEL_SERVICE, port, "domain-0", HALL)
        cell.append(self._fabric.add(replace(upstream, address=Address(LOCAL, port)), TIMES))
        self._hosts.append(cell[0])

    def _heads(self) -> list[HostStandIn]:
        return [h for h in self._hosts if h.standing and h.standing.state is MemberState.OPEN]

    async def _until_served(self) -> None:
        while len(self._heads()) < GROUPS - 1:
            await asyncio.sleep(0.1)
        for node in NODES:
            connection = CallerConnection(self._deployment.gateways[node])
            await connection.open()
            while (await self._ask(connection, node, 1)).status != 200:
                await asyncio.sleep(0.1)
            connection.close()

    async def _round(self) -> list[Stream]:
        nodes = itertools.islice(itertools.cycle(NODES), CLIENTS)
        reading = [asyncio.create_task(self._read(node)) for node in nodes]
        await asyncio.sleep(DRAIN_AFTER_S)
        head = self._busiest_head()
        member = self._fabric.hosts[head.standing.members[1]]
        if has_trouble():
            self._record.note("drains", host=member.id, group=head.standing.group, head=head.id)
            member.drain()
        return await asyncio.gather(*reading)

    def _note_orders(self) -> None:
        """Write down what the nodes log of groups that they take apart."""
        for name in NODES:
            for line in self._deployment.log_of(name).splitlines():
                if "event=group_retiring" in line or "order=leave" in line:
                    self._record.note("log", line=line)

    def _busiest_head(self) -> HostStandIn:
        """Return the open head that has taken most requests."""
        return max(self._heads(), key=lambda head: len(head.arrivals))

    async def _read(self, node: str) -> Stream:
        """Send a short request and then a long one on one connection."""
        connection = CallerConnection(self._deployment.gateways[node])
        await connection.open()
        await self._ask(connection, node, 1)
        answer = await self._ask(connection, node, LONG_EVENTS)
        connection.close()
        return Stream(node, answer)

    async def _ask(self, connection: CallerConnection, node: str, events: int) -> Answer:
        request_id = f"r{next(self._ids)}"
        headers = {
            REQUEST_ID: request_id,
            DEADLINE_MS: "8000",
            MODEL: MODEL_NAME,
            TOKEN_USAGE: f"300,{5 * events}",
        }
        answer = await connection.call("POST", "/stream/1", headers, str(events).encode())
        self._record.note(
            "answered",
            id=request_id,
            node=node,
            of=events,
            status=answer.status,
            events=answer.body.count(b"id: "),
            whole=answer.is_whole,
            replica=answer.headers.get(SIGNATURE.lower(), ""),
        )
        return answer


def _document() -> dict:
    """Return a configuration with one model, and a streaming route that can't be resumed."""
    document = make_document(1, [KEY])
    engine = document["services"][0]["engine"]
    engine["models"] = [m for m in engine["models"] if m["name"] == MODEL_NAME]
    for route in document["routes"]:
        if route["kind"] == "streaming":
            route |= {"resumable": False, "max_attempts": 1}
    return document


if __name__ == "__main__":
    record = Record(Path(__file__).with_name("record.txt"))
    sys.exit(run_case(Case(record).run()))
