"""Stand-in of a model engine on one host, and of the fabric that joins several.

Explanation
===========

The interface it answers is described in ``mulleinreach.orders.engine``
(status and orders) and ``mulleinreach.requests.stream`` (the answer stream).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from mulleinreach.standins.engine_core import EngineCore, EngineSpeed
from mulleinreach.standins.frames import (
    MAX_TOKENS_DEFAULT,
    EngineFaults,
    FrameWriter,
    check_resume,
    prompt_of,
    token_of,
    usage_of,
)
from mulleinreach.standins.platform import WeightStoreStandIn


@dataclass
class Generation:
    """One request that an engine works on, or keeps for a resume."""

    prompt: str
    length: int
    produced: int = 0
    listeners: int = 0


class Fabric:
    """The engines of all hosts, by name; tells a replica's head that a member is lost."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineStandIn] = {}
        self.on_obey: Callable[[EngineStandIn, dict], None] = lambda engine, order: None

    def is_whole(self, replica: str, epoch: int, members: list[str]) -> bool:
        """Whether every member is ready in this group."""
        for name in members:
            engine = self.engines.get(name)
            if engine is None or not engine.is_ready_in(replica, epoch):
                return False
        return True


@dataclass
class EngineState:
    """What an engine holds; lost with its process."""

    replica: str = ""
    epoch: int = 0
    state: str = "idle"
    model: str = ""
    members: list[str] = field(default_factory=list)
    last_order: str = ""


KEEP_GENERATIONS = 256


class EngineStandIn:
    """One engine process on one host."""

    def __init__(
        self,
        name: str,
        fabric: Fabric,
        weights: WeightStoreStandIn,
        speed: EngineSpeed | None = None,
    ):
        self.name = name
        self.fabric = fabric
        self.weights = weights
        self.speed = speed or EngineSpeed()
        self.faults = EngineFaults()
        self.incarnation = 1
        self.alive = True
        self.paused = False
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.orders: list[dict] = []
        self.lag_s = 0.0
        self._awake = asyncio.Event()
        self._awake.set()
        self._loading: asyncio.Task | None = None
        self._reset()
        fabric.engines[name] = self

    def _reset(self) -> None:
        self.state = EngineState()
        self.core = EngineCore(self.speed)
        self.generations: dict[str, Generation] = {}
        self._reported_load: tuple[float, dict] | None = None

    # Faults that a test brings about.

    def pause(self) -> None:
        """Stop answering without closing any connection."""
        self.paused = True
        self._awake.clear()

    def resume(self) -> None:
        """Go on where the engine was paused."""
        self.paused = False
        self._awake.set()

    def restart(self) -> None:
        """Come back as a new process that holds nothing."""
        self.incarnation += 1
        if self._loading:
            self._loading.cancel()
        self._reset()
        self.alive = True
        self.resume()

    def is_ready_in(self, replica: str, epoch: int) -> bool:
        """Whether this engine is a working member of the group."""
        held = self.state
        fits = held.replica == replica and held.epoch == epoch and held.state == "ready"
        return fits and self.alive and not self.paused

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64_000_000)
        app.router.add_get("/status", self._handle_status)
        app.router.add_post("/orders", self._handle_order)
        app.router.add_post("/v1/chat/completions", self._handle_completion)
        app.router.add_post("/v1/completions", self._handle_completion)
        app.router.add_get("/kv/{request_id}", self._handle_kv_export)
        app.router.add_post("/kv/{request_id}", self._handle_kv_import)
        return app

    async def _enter(self) -> None:
        if not self.alive:
            raise web.HTTPServiceUnavailable
        await self._awake.wait()

    async def _handle_status(self, request: web.Request) -> web.Response:
        await self._enter()
        held = self.state
        body = {
            "host": self.name,
            "incarnation": self.incarnation,
            "replica": held.replica,
            "epoch": held.epoch,
            "state": held.state,
            "model": held.model,
            "last_order": held.last_order,
            **self._load(),
        }
        return web.json_response(body)

    def _load(self) -> dict:
        now = asyncio.get_running_loop().time()
        if self._reported_load is None or now - self._reported_load[0] >= self.lag_s:
            load = {
                "running": self.core.running,
                "waiting": self.core.waiting,
                "kv_use": self.core.kv_use,
                "slots": self.speed.slots,
                "cached": self.core.cache_log[-64:],
            }
            self._reported_load = (now, load)
        return self._reported_load[1]

    async def _handle_order(self, request: web.Request) -> web.Response:
        await self._enter()
        order = await request.json()
        if self.faults.order_delay_s:
            await asyncio.shield(asyncio.create_task(self._obey_late(order)))
        refused = self._refuse_order(order)
        if refused:
            return web.json_response({"accepted": False, "epoch": self.state.epoch}, status=409)
        if not self.faults.order_delay_s:
            self.obey(order)
        if self.faults.lose_order_answers:
            await asyncio.Event().wait()
        return web.json_response({"accepted": True, "epoch": self.state.epoch})

    async def _obey_late(self, order: dict) -> None:
        await asyncio.sleep(self.faults.order_delay_s)
        if not self._refuse_order(order):
            self.obey(order)

    def _refuse_order(self, order: dict) -> bool:
        if not self.faults.checks_epoch:
            return False
        wrong_process = order["incarnation"] != self.incarnation
        return wrong_process or order["epoch"] < self.state.epoch

    def obey(self, order: dict) -> None:
        """Carry out an order, whatever its epoch."""
        self.orders.append(order)
        self.fabric.on_obey(self, order)
        if order["order_id"] == self.state.last_order:
            return
        if self._loading:
            self._loading.cancel()
        self.generations.clear()
        held = EngineState(epoch=order["epoch"], last_order=order["order_id"])
        self.state = held
        if order["action"] == "load":
            held.replica = order["replica"]
            held.members = order["members"]
            held.model = order["model"]
            held.state = "loading"
            self._loading = asyncio.create_task(self._load_model(held))

    async def _load_model(self, held: EngineState) -> None:
        await self.weights.fetch()
        await self._awake.wait()
        held.state = "ready"

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        await self._enter()
        body = await request.json()
        held = self.state
        wrong_epoch = int(request.headers.get("x-group-epoch", "-1")) != held.epoch
        if self.faults.refuse or (self.faults.checks_epoch and wrong_epoch) or not self._is_head():
            return web.json_response({"refused": True}, status=409, headers={"x-ran": "not_run"})
        request_id = request.headers["x-request-id"]
        generation = self._find_generation(request_id, body, request.headers)
        if self.faults.garbage:
            self.ran.append(request_id)
            return web.Response(body=b"\x00\x01 not what you asked for")
        if self.faults.fail:
            self.ran.append(request_id)
            return web.Response(status=500)
        try:
            return await self._answer(request, body, request_id, generation)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled.append(request_id)
            raise

    def _is_head(self) -> bool:
        held = self.state
        if held.state != "ready" or not held.members or held.members[0] != self.name:
            return False
        return self.fabric.is_whole(held.replica, held.epoch, held.members)

    def _find_generation(self, request_id: str, body: dict, headers) -> Generation:
        known = self.generations.get(request_id)
        if known is not None and "last-event-id" in headers:
            return known
        length = int(body.get("max_tokens") or MAX_TOKENS_DEFAULT)
        generation = Generation(prompt_of(body), length)
        if "last-event-id" in headers:
            check_resume(body, headers["last-event-id"])
        self.generations[request_id] = generation
        while len(self.generations) > KEEP_GENERATIONS:
            self.generations.pop(next(iter(self.generations)))
        return generation

    async def _answer(self, request, body, request_id, generation) -> web.StreamResponse:
        priority = int(request.headers.get("x-priority", "1"))
        await self.core.acquire(priority)
        try:
            if "last-event-id" not in request.headers:
                self.ran.append(request_id)
            await self.core.prefill(generation.prompt)
            if body.get("stream"):
                return await self._stream(request, request_id, generation)
            return await self._whole(request, request_id, generation)
        finally:
            self.core.release()

    async def _whole(self, request, request_id, generation) -> web.Response:
        for _ in range(generation.length):
            await self._produce_token()
        prompt = self._answered_prompt(generation)
        text = "".join(token_of(prompt, i) for i in range(generation.length))
        said_id = "someone-elses" if self.faults.swap_request_id else request_id
        chat = request.path.endswith("chat/completions")
        message = {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        choice = {"index": 0, "finish_reason": "stop", **message}
        answer = {
            "id": said_id,
            "object": "chat.completion" if chat else "text_completion",
            "model": self.state.model,
            "choices": [choice],
            "usage": usage_of(prompt, generation.length),
        }
        headers = {"x-request-id": f"{said_id}/{request.headers['x-attempt']}"}
        return web.json_response(answer, headers=headers)

    def _answered_prompt(self, generation: Generation) -> str:
        return "another prompt" if self.faults.swap_request_id else generation.prompt

    async def _produce_token(self) -> None:
        await self.core.next_token()
        await self._awake.wait()
        if not self._is_head():
            raise ConnectionResetError("a member of the replica is lost")

    async def _stream(self, request, request_id, generation) -> web.StreamResponse:
        response = web.StreamResponse(headers={"content-type": "text/event-stream"})
        await response.prepare(request)
        last = request.headers.get("last-event-id")
        start = 0 if last is None else int(last.rpartition(":")[2]) + 1
        said_id = "someone-elses" if self.faults.swap_request_id else request_id
        writer = FrameWriter(
            response, f"{said_id}/{request.headers['x-attempt']}", self.faults, request
        )
        chat = request.path.endswith("chat/completions")
        for position in range(start, generation.length):
            if position >= generation.produced:
                await self._produce_token()
                generation.produced = position + 1
            token = token_of(self._answered_prompt(generation), position)
            await writer.write_token(position, token, said_id, chat)
        await writer.write_end(generation.length)
        await response.write_eof()
        return response

    async def _handle_kv_export(self, request: web.Request) -> web.Response:
        await self._enter()
        generation = self.generations.get(request.match_info["request_id"])
        if generation is None:
            raise web.HTTPNotFound
        return web.json_response({"prompt": generation.prompt, "produced": generation.produced})

    async def _handle_kv_import(self, request: web.Request) -> web.Response:
        await self._enter()
        exported = await request.json()
        self.core.take_cached_tokens(exported["prompt"])
        return web.Response(status=204)
