"""The HTTP interface for callers."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from mulleinreach.admission import DistributedLimiter, KeyTable
from mulleinreach.common import Clock, Code, EventLog, MulleinreachError
from mulleinreach.common.server.body import begin_run
from mulleinreach.entry.once import OnceRequest, run_once
from mulleinreach.entry.parsing import (
    check_completion,
    no_memory,
    parse_json,
    read_body,
    read_deadline_s,
    read_key,
)
from mulleinreach.entry.relay import Answer, StreamSink, relay_plain
from mulleinreach.intents import ConfigInForce, OrganisationIntent, ServiceIntent
from mulleinreach.requests.call import CallerDisconnected, ModelCall
from mulleinreach.requests.claims import ClaimStore, StoredResponse
from mulleinreach.requests.journal import RequestJournal, RequestTrace
from mulleinreach.requests.plain import PlainCall, PlainRunner, filter_hop_headers
from mulleinreach.requests.runner import ModelRunner
from mulleinreach.settings.model import LimitSettings

SMALL_BODY_BYTES = 262_144
STALE_RETRY_AFTER_S = 1.0
SERVICES_PATH = "/services/"


@dataclass
class CallerParts:
    """What the interface for callers works with."""

    node: str
    clock: Clock
    log: EventLog
    force: ConfigInForce
    keys: KeyTable
    limits: DistributedLimiter
    claims: ClaimStore
    journal: RequestJournal
    models: ModelRunner
    plain: PlainRunner
    bounds: LimitSettings
    metrics: CollectorRegistry
    count_answer: Callable[[str, str, float], None]
    why_not_ready: Callable[[], str | None]


class CallerInterface:
    """Handles callers' requests."""

    def __init__(self, parts: CallerParts):
        self._parts = parts
        self._numbers = itertools.count(1)
        # The start time keeps ids apart over restarts of the same node.
        self._life = f"{int(parts.clock.wall() * 1000):x}"
        self.in_flight = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=0, middlewares=[self._tell_errors])
        app.router.add_post("/v1/chat/completions", self._completion)
        app.router.add_post("/v1/completions", self._completion)
        app.router.add_get("/v1/models", self._models)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_route("*", SERVICES_PATH + "{service}/{path:.*}", self._plain)
        return app

    @web.middleware
    async def _tell_errors(self, request: web.Request, handler) -> web.StreamResponse:
        began = time.perf_counter()
        self.in_flight += 1
        code = "ok"
        try:
            return await handler(request)
        except MulleinreachError as error:
            code = str(error.code)
            return error_response(error)
        except CallerDisconnected:
            code = "caller_gone"
            raise web.HTTPBadRequest from None
        except asyncio.CancelledError:
            code = "caller_gone"
            raise
        except web.HTTPException as error:
            code = "http"
            unknown_path = error.status in (404, 405)
            name = Code.NOT_FOUND if unknown_path else Code.BAD_REQUEST
            said = MulleinreachError(name, f"{request.method} {request.path}: {error.reason}")
            return error_response(said, error.status)
        finally:
            self.in_flight -= 1
            self._parts.count_answer(request.path, code, time.perf_counter() - began)

    def _begin(self, request: web.Request) -> OrganisationIntent:
        """Check the configuration's freshness, then who calls."""
        parts = self._parts
        if not parts.force.is_fresh():
            message = "this node can't tell whether its configuration is the latest"
            raise MulleinreachError(
                Code.STALE_CONFIGURATION, message, retry_after_s=STALE_RETRY_AFTER_S
            )
        return parts.keys.authenticate(request.headers.get("authorization"))

    def _new_id(self) -> str:
        return f"{self._parts.node}.{self._life}.{next(self._numbers)}"

    def _service(self, name: str, kind: str) -> ServiceIntent:
        service = self._parts.force.document.intent.service(name)
        if service is None or service.kind != kind:
            code = Code.UNKNOWN_MODEL if kind == "model" else Code.NOT_FOUND
            raise MulleinreachError(code, f"there is no {kind} service {name!r:.80}")
        return service

    # Model services.

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        parts = self._parts
        organisation = self._begin(request)
        body = await read_body(request, parts.bounds.body_bytes)
        fields = parse_json(body, parts.bounds.json_depth)
        is_chat = request.path.endswith("/chat/completions")
        checked = check_completion(body, fields, is_chat)
        service = self._service(checked.model, "model")
        key = read_key(request)
        request_id = self._new_id()
        trace = parts.journal.open(request_id, organisation.name, service.name)
        call = ModelCall(
            request_id=request_id,
            path=request.path,
            body=body,
            fields=fields,
            service=service,
            organisation=organisation,
            affinity=checked.affinity,
            deadline=parts.clock.now() + read_deadline_s(request, service.deadline_s),
            once_only=key is not None or service.is_unrepeatable("POST", request.path),
            trace=trace,
        )
        self._admit(organisation, trace)
        try:
            return await self._run_model(request, call, key)
        finally:
            parts.limits.finish(organisation.name)

    def _admit(self, organisation: OrganisationIntent, trace: RequestTrace) -> None:
        try:
            self._parts.limits.admit(organisation.name)
        except MulleinreachError as error:
            self._parts.journal.note(trace, f"refused: {error}")
            raise

    async def _run_model(
        self, request: web.Request, call: ModelCall, key: str | None
    ) -> web.StreamResponse:
        answer = Answer()
        if call.is_streamed:

            async def run() -> StoredResponse | None:
                answer.response = await self._stream_model(request, call)
                return None

        else:

            async def run() -> StoredResponse | None:
                whole = await self._parts.models.complete(call)
                answer.response = _whole_response(call.request_id, whole)
                return StoredResponse(whole.status, whole.content_type, whole.body.decode())

        await self._run_maybe_once(call, key, call.body, run, answer)
        return answer.response

    async def _stream_model(self, request: web.Request, call: ModelCall) -> web.StreamResponse:
        sink = StreamSink(request, call.request_id)
        try:
            await self._parts.models.stream(call, sink)
        except MulleinreachError as error:
            if sink.response is None:
                raise
            return await sink.end_with(error)
        await sink.response.write_eof()
        return sink.response

    async def _run_maybe_once(self, call, key: str | None, content: bytes, run, answer) -> None:
        if key is None:
            await run()
            return

        async def replay(kept: StoredResponse) -> None:
            answer.response = _replayed_response(call.request_id, kept)

        once = OnceRequest(
            call.trace.organisation, call.service.name, key, call.request_id, content
        )
        await run_once(self._parts.claims, once, run, replay)

    async def _models(self, request: web.Request) -> web.Response:
        self._begin(request)
        services = self._parts.force.document.intent.services
        data = [
            {"id": s.name, "object": "model", "created": 0, "owned_by": "mulleinreach"}
            for s in services
            if s.kind == "model"
        ]
        return web.json_response({"object": "list", "data": data})

    # Plain services.

    async def _plain(self, request: web.Request) -> web.StreamResponse:
        parts = self._parts
        organisation = self._begin(request)
        service = self._service(request.match_info["service"], "plain")
        target = request.raw_path.removeprefix(SERVICES_PATH + service.name)
        path = "/" + request.match_info["path"]
        key = read_key(request)
        request_id = self._new_id()
        trace = parts.journal.open(request_id, organisation.name, service.name)
        is_small = request.content_length is None and not request.can_read_body
        is_small = is_small or (request.content_length or SMALL_BODY_BYTES + 1) <= SMALL_BODY_BYTES
        body = None
        if is_small or key is not None:
            body = await read_body(request, parts.bounds.body_bytes)
        elif not begin_run(request):
            raise no_memory()
        call = PlainCall(
            request_id=request_id,
            method=request.method,
            target=target,
            headers=filter_hop_headers(request.headers),
            body=body,
            content=None if body is not None else request.content.iter_any(),
            service=service,
            deadline=parts.clock.now() + read_deadline_s(request, service.deadline_s),
            once_only=key is not None or service.is_unrepeatable(request.method, path),
            trace=trace,
        )
        self._admit(organisation, trace)
        try:
            return await self._run_plain(request, call, key)
        finally:
            parts.limits.finish(organisation.name)

    async def _run_plain(
        self, request: web.Request, call: PlainCall, key: str | None
    ) -> web.StreamResponse:
        answer = Answer()

        async def run() -> StoredResponse | None:
            response, host = await self._parts.plain.open(call)
            try:
                async with response:
                    return await relay_plain(request, call, response, answer, key is not None)
            finally:
                self._parts.plain.finish(host)

        content = f"{call.method} {call.target}\n".encode() + (call.body or b"")
        await self._run_maybe_once(call, key, content, run, answer)
        return answer.response

    # The node itself.

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        why = self._parts.why_not_ready()
        if why is not None:
            return web.json_response({"status": "not ready", "why": why}, status=503)
        return web.json_response({"status": "ready"})

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(self._parts.metrics), content_type="text/plain")


def error_response(error: MulleinreachError, status: int | None = None) -> web.Response:
    """Return the response that tells an error."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return web.json_response(error.to_json(), status=status or error.http_status, headers=headers)


def _whole_response(request_id: str, whole) -> web.Response:
    return web.Response(
        body=whole.body,
        status=whole.status,
        content_type=whole.content_type,
        headers={"x-request-id": request_id},
    )


def _replayed_response(request_id: str, kept: StoredResponse) -> web.Response:
    return web.Response(
        text=kept.body,
        status=kept.status,
        content_type=kept.content_type,
        headers={"x-request-id": request_id, "idempotency-replayed": "true"},
    )
