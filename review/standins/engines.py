"""Model replicas that form groups, as PROTOCOL.md, "Requests", says of engines."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from aiohttp import web

from review.standins.record import Record
from review.standins.store import Store

REQUEST_ID = "X-Mulleinreach-Request-Id"
SIGNATURE = "X-Mulleinreach-Server-Signature"
NOT_EXECUTED = "X-Mulleinreach-Not-Executed"
EXPECT_INSTANCE = "X-Mulleinreach-Expect-Instance"
INSTANCE_ID = "X-Mulleinreach-Instance-Id"
WEIGHT_VERSIONS = "X-Mulleinreach-Weight-Versions"

REJOIN_S = 0.2
FORM_S = 0.3
STALL_S = 5.0
REPORT_LAG_S = 0.2
EVENT_GAP_S = 0.03
# Loads made before the first request take a tenth of the time.
EARLY_LOAD_FACTOR = 0.1
# An order that got no answer may be carried out so many seconds later.
LATEST_ORDER_S = 12.0
EARLIEST_ORDER_S = 2.0


@dataclass(frozen=True)
class Model:
    """A model, as the configuration describes it."""

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


MODELS = {
    "tint-wide": Model("tint-wide", 4, 0.67, 1.0, 16.0, 1.6),
    "tint-slim": Model("tint-slim", 2, 0.33, 0.6, 12.0, 1.1),
}


@dataclass(eq=False)
class Standing:
    """A replica's place in a group; the first member is the head."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    state: str = "joining"

    @property
    def key(self) -> tuple[str, int]:
        """The name and epoch of the group."""
        return self.group, self.epoch


class Engines:
    """All replicas of the model service."""

    def __init__(self, store: Store, record: Record, service: str):
        self.store = store
        self.record = record
        self.service = service
        self.replicas: dict[str, Replica] = {}
        self.has_requests = False
        # Where each request runs, by its id, and which of them their replica broke off.
        self.runs: dict[str, str] = {}
        self.broken_off: set[str] = set()

    def is_whole(self, standing: Standing) -> bool:
        """Whether all members stand in the group, and are ready for it."""
        for member in standing.members:
            own = self.replicas[member].standing
            if own is None or own.key != standing.key or own.state == "joining":
                return False
        return True

    def serving_head(self, standing: Standing) -> Replica | None:
        """Return the head of a group if it is open, also while it stands still."""
        head = self.replicas[standing.members[0]]
        is_own = head.standing is not None and head.standing.key == standing.key
        return head if is_own and head.standing.state in ("open", "closing") else None

    def open_heads(self, model: str) -> list[Replica]:
        """Return the heads of a model's groups that are open."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.standing is not None
            and replica.standing.state == "open"
            and replica.standing.model == model
        ]


class Replica:
    """One replica.

    Knobs: ``holds_join`` leaves the next join of a group with other members unanswered, and carries
    it out late, just after the replica has carried out a leave; ``fall_silent`` answers nothing for
    a while and then goes on.
    """

    def __init__(self, engines: Engines, name: str, zone: str, domain: str, born_ms: int):
        self._engines = engines
        self.name = name
        self._zone = zone
        self._domain = domain
        self._born_ms = born_ms
        self.port = 0
        self.standing: Standing | None = None
        self.holds_join = False
        self.held_join: dict | None = None
        self.held_at = 0.0
        self._last_model: str | None = None
        self._staged: str | None = None
        self._staging: asyncio.Task | None = None
        self._highest_epoch = 0
        self._seq = 0
        self._active = 0
        self._goes_on = asyncio.Event()
        self._goes_on.set()
        self._history: list[tuple[float, dict]] = []
        self._tasks: set[asyncio.Task] = set()

    # What it tells of itself.

    def _state(self) -> dict:
        standing = self.standing
        is_serving = standing is not None and standing.state in ("open", "closing")
        models = [{"name": standing.model, "version": 1, "adapters": []}] if is_serving else []
        group = None
        if standing is not None:
            group = {
                "name": standing.group,
                "epoch": standing.epoch,
                "rank": standing.members.index(self.name),
                "state": standing.state,
            }
        return {
            "born": self._born_ms,
            "stage": "hybrid",
            "models": models,
            "domain": self._domain,
            "staged": [] if self._staged is None else [self._staged],
            "group": group,
            "seq": self._seq,
        }

    def publish(self) -> None:
        """Write the row, at once after any change."""
        self._history.append((asyncio.get_running_loop().time(), self._state()))
        row = {
            **self._state(),
            "service": self._engines.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 13,
            "state": "ready",
            "cold_remaining_ms": 0,
        }
        self._engines.store.put("servers", self.name, row)

    def _lagging_state(self) -> dict:
        as_of = asyncio.get_running_loop().time() - REPORT_LAG_S
        earlier = [state for at, state in self._history if at <= as_of]
        return earlier[-1] if earlier else self._history[0][1]

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """End what runs."""
        for task in list(self._tasks):
            task.cancel()

    # Silence.

    def fall_silent(self, seconds: float) -> None:
        """Answer nothing for some time, then go on."""
        self._goes_on.clear()
        asyncio.get_running_loop().call_later(seconds, self._goes_on.set)

    # Interface.

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/mulleinreach/order", self._order)
        app.router.add_get("/mulleinreach/report", self._report)
        app.router.add_route("*", "/{tail:.*}", self._request)
        return app

    def _is_meant(self, request: web.Request) -> bool:
        return request.headers.get(EXPECT_INSTANCE, self.name) == self.name

    async def _report(self, request: web.Request) -> web.Response:
        await self._goes_on.wait()
        if not self._is_meant(request):
            return web.Response(status=421, headers={INSTANCE_ID: self.name})
        load = {
            "in_flight": False,
            "queued": 0,
            "active": self._active,
            "kv_used": 0,
            "kv_total": 700000,
            "handles": 0,
            "pace": 1.0,
        }
        return web.json_response({**self._lagging_state(), **load})

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._goes_on.wait()
        if not self._is_meant(request):
            return web.Response(status=421, headers={INSTANCE_ID: self.name})
        told = " ".join(f"{name}={body[name]}" for name in ("op", "group", "epoch") if name in body)
        if self.holds_join and body["op"] == "join" and len(body["members"]) > 1:
            self.holds_join = False
            self.held_join, self.held_at = body, asyncio.get_running_loop().time()
            self._engines.record.note(f"{self.name} order {told}: no answer, to be done later")
            await asyncio.sleep(3600)
        status = self._carry_out(body)
        self._engines.record.note(f"{self.name} order {told}: {status}")
        if body["op"] == "leave" and self.held_join is not None:
            self._spawn(self._carry_out_late(0.01))
        return web.Response(status=status)

    async def _carry_out_late(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        body, self.held_join = self.held_join, None
        age_s = asyncio.get_running_loop().time() - self.held_at
        if not EARLIEST_ORDER_S <= age_s <= LATEST_ORDER_S:
            return
        status = self._carry_out(body)
        self._engines.record.note(
            f"{self.name} carries out late, after {age_s:.1f} s: op=join "
            f"group={body['group']} epoch={body['epoch']}: {status}"
        )

    def _carry_out(self, body: dict) -> int:
        if "expected_rev" in body and int(body["expected_rev"]) != self._seq:
            return 409
        if body["op"] == "join":
            return self._join(body)
        if body["op"] == "open":
            return self._open(str(body["group"]), int(body["epoch"]))
        if body["op"] == "leave":
            return self._leave(str(body["group"]), int(body["epoch"]))
        if body["op"] == "stage":
            return self._stage(str(body["model"]))
        return 400

    def _join(self, body: dict) -> int:
        group, epoch = str(body["group"]), int(body["epoch"])
        members = tuple(str(member) for member in body["members"])
        own = self.standing
        if epoch < self._highest_epoch or self.name not in members:
            return 412
        if own is not None and own.key == (group, epoch):
            return 200 if own.members == members else 412
        self._check_two(group, epoch)
        self._highest_epoch = epoch
        self._seq += 1
        self.standing = Standing(group, epoch, str(body["model"]), members)
        self.publish()
        self._spawn(self._become_ready(self.standing))
        return 202

    def _check_two(self, group: str, epoch: int) -> None:
        """Rule TWO, when the replica takes a join of another group."""
        own = self.standing
        if own is None or self._engines.serving_head(own) is None:
            return
        self._engines.record.breach(
            f"TWO: {self.name} takes a join of {group} epoch {epoch} while {own.members[0]}, "
            f"the head of its own group {own.group} epoch {own.epoch}, is open and not broken"
        )

    async def _become_ready(self, standing: Standing) -> None:
        model = MODELS[standing.model]
        if self._last_model == model.name:
            await asyncio.sleep(REJOIN_S)
        else:
            if self._staging is not None:
                await asyncio.wait({self._staging})
            if self._staged == model.name:
                await asyncio.sleep(model.warm_s)
            else:
                await asyncio.sleep(self._load_s(model))
                self._staged = model.name
        if self.standing is not standing:
            return
        self._last_model = model.name
        standing.state = "ready"
        self.publish()

    def _load_s(self, model: Model) -> float:
        return model.load_s * (1.0 if self._engines.has_requests else EARLY_LOAD_FACTOR)

    def _open(self, group: str, epoch: int) -> int:
        own = self.standing
        if own is None or own.key != (group, epoch) or own.members[0] != self.name:
            return 409
        if own.state == "open":
            return 200
        if own.state != "ready":
            return 409
        self._seq += 1
        self._spawn(self._become_open(own))
        return 202

    async def _become_open(self, standing: Standing) -> None:
        await asyncio.sleep(FORM_S)
        if self.standing is standing and standing.state == "ready":
            standing.state = "open"
            self.publish()
            self._engines.record.note(f"{self.name} is open as head of {standing.group}")

    def _leave(self, group: str, epoch: int) -> int:
        if self.standing is None or self.standing.key != (group, epoch):
            return 200
        self._seq += 1
        self.standing = None
        self.publish()
        return 202

    def _stage(self, model: str) -> int:
        if self._staged == model:
            return 200
        self._seq += 1
        self._staging = self._spawn(self._load_beside(MODELS[model]))
        return 202

    async def _load_beside(self, model: Model) -> None:
        await asyncio.sleep(self._load_s(model))
        self._staged = model.name
        self.publish()

    # Requests.

    async def _request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        await self._goes_on.wait()
        request_id = request.headers.get(REQUEST_ID, "")
        own = self.standing
        if not self._is_meant(request) or own is None or own.state != "open":
            headers = {NOT_EXECUTED: "1", REQUEST_ID: request_id, INSTANCE_ID: self.name}
            return web.Response(status=421, headers=headers)
        self._active += 1
        try:
            return await self._stream(request, own, request_id, int(body))
        finally:
            self._active -= 1

    async def _stream(
        self, request: web.Request, own: Standing, request_id: str, events: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                REQUEST_ID: request_id,
                SIGNATURE: f"{self.name}.{request_id}",
                WEIGHT_VERSIONS: "1",
                "Content-Type": "text/event-stream",
            }
        )
        response.enable_chunked_encoding()
        for number in range(int(request.headers.get("Last-Event-Id", "0")) + 1, events + 1):
            if not await self._make_event(own):
                self._engines.broken_off.add(request_id)
                with contextlib.suppress(AttributeError):
                    request.transport.abort()
                return response
            if not response.prepared:
                self._engines.record.note(f"{self.name} runs {request_id} in {own.group}")
                self._engines.runs[request_id] = self.name
                await response.prepare(request)
            await response.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        await response.write_eof()
        return response

    async def _make_event(self, own: Standing) -> bool:
        """Wait for the next event; a head that lacks a member stands still, then is broken."""
        await asyncio.sleep(EVENT_GAP_S)
        await self._goes_on.wait()
        stalled_until = asyncio.get_running_loop().time() + STALL_S
        while self.standing is own and not self._engines.is_whole(own):
            await asyncio.sleep(EVENT_GAP_S)
            if asyncio.get_running_loop().time() > stalled_until:
                own.state = "broken"
                self.publish()
                return False
        return self.standing is own and own.state == "open"
