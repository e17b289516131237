"""Callers of the soak: they note what they sent, and check what they are answered."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from mulleinreach.gateway.upstream import upstream_name
from mulleinreach.platform.dialect import (
    DEADLINE_MS,
    MODEL,
    PROMPT_PREFIX,
    REQUEST_ID,
    SIGNATURE,
    TOKEN_USAGE,
)
from mulleinreach.platform.notices import LEAVING, LIMIT
from mulleinreach.platform.tests.soak.document import (
    CALLER_HOST,
    FATAL_PART,
    FATAL_PIECES,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    PLAIN_TIMEOUT_S,
)
from mulleinreach.platform.tests.soak.processes import GatewayProcess
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

# Seconds after the last fault within which every gateway has to serve again; only a hang takes it.
RECOVERY_S = 90.0
# How long callers wait for an answer by default.
DEADLINE_S = 6.0
# Parts of prompts that requests share: the first one with all, the second with some.
SYSTEM_PART = "a1"
SUBJECTS = 7


@dataclass(frozen=True)
class Traffic:
    """How much callers ask for.

    Parameters
    ==========

    call_every_s : between two requests of all callers together, in seconds.
    pieces : events of a stream, at the most.
    kinds : of requests, each one drawn as often as it stands here.
    has_parts : whether requests name the parts of their prompts; then no two streams are alike.
    least_pieces : events of a stream at the least; all streams have ``pieces`` by default.
    deadline_s : how long callers wait for an answer.
    """

    call_every_s: float = 0.03
    pieces: int = 15
    kinds: tuple[str, ...] = ("stream", "stream", "order")
    has_parts: bool = False
    least_pieces: int | None = None
    deadline_s: float = DEADLINE_S

    def draw_pieces(self, rng: random.Random) -> int:
        """Return the number of events of a stream."""
        if self.least_pieces in (None, self.pieces):
            return self.pieces
        return rng.randint(self.least_pieces, self.pieces)


USUAL_TRAFFIC = Traffic()


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sent it; ``at`` is the loop's time."""

    at: float
    key: str
    gateway: str = ""
    service: str = ""
    deadline_s: float = DEADLINE_S


@dataclass(frozen=True)
class CallerRequest:
    """A request that a caller is about to send.

    Parameters
    ==========

    timeout_s : how long it may take; afterwards nobody is owed an answer.
    """

    request_id: str
    kind: str
    gateway: GatewayProcess
    path: str
    headers: Mapping[str, str]
    body: str
    timeout_s: float


@dataclass(frozen=True)
class Unanswered:
    """A request whose connection ended without a whole answer; times are the loop's.

    Parameters
    ==========

    began_at, sent_at : when its first and its last byte were sent.
    has_part : whether a part of its answer had come.
    """

    request: CallerRequest
    began_at: float
    sent_at: float
    ended_at: float
    has_part: bool


@dataclass(frozen=True)
class ToldNotice:
    """An answer, passed on by a gateway, that says something of its upstream."""

    gateway: str
    upstream_id: str
    at: float


class Callers:
    """Sends requests to the gateways.

    Explanation
    ===========

    ``sent`` holds all requests by their ids, ``fatal`` the ids of those that crash replicas,
    ``fatal_by_part`` of those that do so by a part of their prompts, ``orders`` of those that may
    run once at most, ``not_run`` of those that were answered as not run; ``told_leaving`` the
    answers of upstreams that leave, ``told_limits`` of those that name a limit; ``unanswered`` the
    requests whose connections ended without a whole answer.
    """

    def __init__(
        self,
        world: SoakWorld,
        rng: random.Random,
        report: SoakReport,
        traffic: Traffic = USUAL_TRAFFIC,
    ):
        self._world = world
        self._rng = rng
        self._report = report
        self._traffic = traffic
        self.sent: dict[str, SentRequest] = {}
        self.fatal: set[str] = set()
        self.fatal_by_part: set[str] = set()
        self.orders: set[str] = set()
        self.not_run: set[str] = set()
        self.told_leaving: list[ToldNotice] = []
        self.told_limits: list[ToldNotice] = []
        self.unanswered: list[Unanswered] = []
        # How many times as many requests come as usual.
        self.rate_factor = 1.0
        self._number = 0

    def open(self) -> aiohttp.ClientSession:
        """Return the session to enter for as long as requests are sent."""
        timeout = aiohttp.ClientTimeout(total=12)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self._session

    async def call_for_ever(self) -> None:
        """Send requests of all kinds to all gateways."""
        async with asyncio.TaskGroup() as group:
            while True:
                kind = self._rng.choice(self._traffic.kinds)
                group.create_task(self._call(kind, self._rng.choice(self._world.gateways)))
                await asyncio.sleep(self._traffic.call_every_s / self.rate_factor)

    async def call_fatally(self, gateway: GatewayProcess) -> None:
        """Send the request that crashes the replicas which run it."""
        await self._call("stream", gateway, is_fatal=True)

    async def call_with_fatal_part(self, gateway: GatewayProcess) -> None:
        """Send a request with the prompt part that crashes the replicas which write on it."""
        await self._call("stream", gateway, has_fatal_part=True)

    async def send(self, kind: str, gateway: GatewayProcess) -> int:
        """Send an ordinary request; returns its status, 0 without a whole answer."""
        return await self._call(kind, gateway)

    async def _call(
        self,
        kind: str,
        gateway: GatewayProcess,
        is_fatal: bool = False,
        has_fatal_part: bool = False,
    ) -> int:
        """Send a request; returns its status, 0 without a whole answer."""
        request = self.make_request(kind, gateway, is_fatal, has_fatal_part)
        status = await self._exchange(request)
        self._report.answers[f"{kind} {status}"] += 1
        return status

    def make_request(
        self,
        kind: str,
        gateway: GatewayProcess,
        is_fatal: bool = False,
        has_fatal_part: bool = False,
    ) -> CallerRequest:
        """Return a new request, which is noted as sent."""
        self._number += 1
        request_id = f"request-{self._number}"
        if is_fatal:
            self.fatal.add(request_id)
        if has_fatal_part:
            self.fatal_by_part.add(request_id)
        key = self._rng.choice(["key-1", "key-2"])
        now = asyncio.get_running_loop().time()
        service = MODEL_SERVICE if kind == "stream" else PLAIN_SERVICE
        deadline_s = self._traffic.deadline_s
        self.sent[request_id] = SentRequest(now, key, gateway.name, service, deadline_s)
        if kind == "order":
            self.orders.add(request_id)
        headers = {
            "Host": CALLER_HOST,
            REQUEST_ID: request_id,
            DEADLINE_MS: str(int(deadline_s * 1000)),
            MODEL: self._rng.choice(["large", "small"]),
            TOKEN_USAGE: "300,75",
            "Authorization": f"Bearer {key}",
        }
        if self._traffic.has_parts and not is_fatal:
            headers[PROMPT_PREFIX] = self._prompt_parts(has_fatal_part)
        pieces = FATAL_PIECES if is_fatal else self._traffic.draw_pieces(self._rng)
        body = str(pieces) if kind == "stream" else f"tins {request_id}"
        # Requests are alike but for those that name their parts.
        number = request_id if PROMPT_PREFIX in headers else "1"
        timeout_s = deadline_s if kind == "stream" else min(deadline_s, PLAIN_TIMEOUT_S)
        return CallerRequest(
            request_id, kind, gateway, f"/{kind}/{number}", headers, body, timeout_s
        )

    def _prompt_parts(self, has_fatal_part: bool) -> str:
        """Return the parts of the latest request's prompt; the last one is its own."""
        subject = FATAL_PART if has_fatal_part else f"b{self._number % SUBJECTS}"
        return f"{SYSTEM_PART}:40,{subject}:200,c{self._number:x}:60"

    async def _exchange(self, request: CallerRequest) -> int:
        began_at = asyncio.get_running_loop().time()
        url = request.gateway.callers.url + request.path
        has_part = False
        try:
            async with self._session.post(
                url, data=request.body, headers=request.headers
            ) as response:
                has_part = True
                self._note_notices(request.gateway, response.headers)
                answer = (await response.read()).decode()
                status = response.status
        except aiohttp.ClientConnectorError:
            # Nobody has read anything of the request.
            return 0
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Such a small request is sent at once.
            ended_at = asyncio.get_running_loop().time()
            self.unanswered.append(Unanswered(request, began_at, began_at, ended_at, has_part))
            return 0
        self.note_answer(request, status, answer)
        return status

    def note_answer(self, request: CallerRequest, status: int, answer: str) -> None:
        """Check a whole answer, and note what it promises."""
        if status == 200 and not self._is_fatal(request.request_id):
            self.check_answer(request.kind, request.request_id, request.body, answer)
        if status in (429, 503):
            self.not_run.add(request.request_id)

    def _is_fatal(self, request_id: str) -> bool:
        return request_id in self.fatal or request_id in self.fatal_by_part

    def _note_notices(self, gateway: GatewayProcess, headers: Mapping[str, str]) -> None:
        if SIGNATURE not in headers:
            return
        now = asyncio.get_running_loop().time()
        told = ToldNotice(gateway.name, upstream_name(headers[SIGNATURE]), now)
        if LEAVING in headers:
            self.told_leaving.append(told)
        if LIMIT in headers:
            self.told_limits.append(told)

    def check_answer(self, kind: str, request_id: str, body: str, answer: str) -> None:
        """Check that an answer is whole, and that it belongs to its request."""
        if kind == "stream":
            lines = [line for line in answer.splitlines() if line.startswith("id: ")]
            if lines != [f"id: {number}" for number in range(1, int(body) + 1)]:
                self._report.broken.append(f"{request_id}: a stream that is not whole: {lines}")
        elif answer != f"{request_id} {body}":
            self._report.broken.append(f"{request_id}: the answer {answer!r}")

    async def until_served(self) -> None:
        """Wait until every gateway serves both kinds of requests."""
        waiting = {(g.name, kind) for g in self._world.gateways for kind in ("stream", "order")}
        until = asyncio.get_running_loop().time() + RECOVERY_S
        while waiting and asyncio.get_running_loop().time() < until:
            self._world.restart_ended()
            for gateway in self._world.gateways:
                for kind in ("stream", "order"):
                    is_waited_for = (gateway.name, kind) in waiting
                    if is_waited_for and await self._call(kind, gateway) == 200:
                        waiting.discard((gateway.name, kind))
            await asyncio.sleep(0.1)
        if waiting:
            self._report.broken.append(f"not served within {RECOVERY_S} s: {sorted(waiting)}")
