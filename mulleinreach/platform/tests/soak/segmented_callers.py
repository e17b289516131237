"""Callers whose requests come in segments, on connections that they keep, and ahead of answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from mulleinreach.platform.tests.soak.callers import CallerRequest, Callers, Unanswered
from mulleinreach.platform.tests.soak.plain import WORK_PARAMETER
from mulleinreach.platform.tests.soak.processes import GatewayProcess
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.raw_connection import RawConnection

CALL_EVERY_S = 0.05
KINDS = ("order", "stock", "stream")
# Between a head and its body: one round trip, or a caller that still makes up its request.
SHORT_GAP_S = (0.0, 0.1)
LONG_GAP_S = (0.1, 4.0)
# How long requests take at the plain service.
WORK_S = (0.05, 0.05, 0.05, 1.0, 2.5)
# Requests on a kept connection, and the pauses between them.
MOST_KEPT = 6
PAUSE_S = (0.0, 1.5)
MOST_AHEAD = 4
# Beyond a request's own time, after which it counts as unanswered.
PATIENCE_S = 1.5


@dataclass
class _Sent:
    """A request of which all was sent."""

    request: CallerRequest
    began_at: float
    sent_at: float


class SegmentedCallers:
    """Sends requests whose heads and bodies arrive apart."""

    def __init__(self, world: SoakWorld, rng: random.Random, report: SoakReport, callers: Callers):
        self._world = world
        self._rng = rng
        self._report = report
        self._callers = callers

    async def call_for_ever(self) -> None:
        """Open connections to all gateways, and send requests on them."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._converse(self._rng.choice(self._world.gateways)))
                await asyncio.sleep(CALL_EVERY_S)

    async def _converse(self, gateway: GatewayProcess) -> None:
        try:
            connection = await RawConnection.open(gateway.callers)
        except OSError:
            return
        try:
            if self._rng.random() < 0.3:
                await self._send_ahead(connection, gateway)
            else:
                await self._send_in_turn(connection, gateway)
        finally:
            connection.close()

    async def _send_in_turn(self, connection: RawConnection, gateway: GatewayProcess) -> None:
        """Send some requests, each one after the answer to the one before."""
        for _ in range(self._rng.randint(1, MOST_KEPT)):
            sent = await self._send(connection, gateway, self._rng.choice(KINDS))
            if not await self._receive(connection, sent):
                return
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _send_ahead(self, connection: RawConnection, gateway: GatewayProcess) -> None:
        """Send requests behind a stream before it has ended, unless it says that it is the last."""
        waiting = [await self._send(connection, gateway, "stream")]
        for _ in range(self._rng.randint(1, MOST_AHEAD)):
            if connection.is_ending:
                break
            waiting.append(await self._send(connection, gateway, self._rng.choice(KINDS)))
        while waiting:
            sent = waiting.pop(0)
            if not await self._receive(connection, sent):
                break
        # A caller that gives up closes the connection itself. An answer that breaks off ends the
        # connection, so what lies behind it is as little owed as the rest of that answer.
        if connection.ended_at is not None:
            for sent in waiting:
                self._note_unanswered(sent, connection.ended_at, connection.has_partial_answer)

    async def _send(self, connection: RawConnection, gateway: GatewayProcess, kind: str) -> _Sent:
        """Send a request in two or three segments."""
        request = self._callers.make_request(kind, gateway)
        now = asyncio.get_running_loop().time
        began_at = now()
        await connection.write(self._head(request))
        is_short = self._rng.random() < 0.5
        body = request.body.encode()
        cut = self._rng.randrange(len(body))
        for segment in (body[:cut], body[cut:]):
            await asyncio.sleep(self._rng.uniform(*(SHORT_GAP_S if is_short else LONG_GAP_S)) / 2)
            await connection.write(segment)
        return _Sent(request, began_at, now())

    def _head(self, request: CallerRequest) -> bytes:
        path = request.path
        if request.kind != "stream":
            path += f"?{WORK_PARAMETER}={self._rng.choice(WORK_S)}"
        fields = {**request.headers, "Content-Length": str(len(request.body))}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()

    async def _receive(self, connection: RawConnection, sent: _Sent) -> bool:
        """Read the answer to a request; returns whether another one can follow."""
        patience_s = sent.request.timeout_s + PATIENCE_S
        try:
            async with asyncio.timeout_at(sent.sent_at + patience_s):
                answer = await connection.read_answer()
        except TimeoutError:
            answer = None
        status = 0 if answer is None else answer.status
        self._report.answers[f"segmented {sent.request.kind} {status}"] += 1
        if answer is None:
            now = asyncio.get_running_loop().time()
            ended_at = now if connection.ended_at is None else connection.ended_at
            self._note_unanswered(sent, ended_at, connection.has_partial_answer)
            return False
        self._callers.note_answer(sent.request, answer.status, answer.body.decode())
        return not answer.is_last

    def _note_unanswered(self, sent: _Sent, ended_at: float, has_part: bool) -> None:
        self._callers.unanswered.append(
            Unanswered(sent.request, sent.began_at, sent.sent_at, ended_at, has_part)
        )
