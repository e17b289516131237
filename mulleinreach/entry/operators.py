"""The HTTP interface for operators: plans, confirmations, explanations, audit."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
from dataclasses import asdict, dataclass

from aiohttp import web

from mulleinreach.audit import AuditTrail
from mulleinreach.common import Clock, Code, MulleinreachError
from mulleinreach.entry.callers import error_response
from mulleinreach.entry.explain import Explainer
from mulleinreach.entry.parsing import bad_request, parse_json, read_body
from mulleinreach.intents import ConfigInForce, Intent
from mulleinreach.intents.plan import PlanStore, unavailable
from mulleinreach.settings import OperatorSettings, check_document

MAX_BODY_BYTES = 1_000_000
MAX_DEPTH = 32
ACCEPT_TIMEOUT_S = 30.0
POLL_S = 0.1


@dataclass
class OperatorParts:
    """What the interface for operators works with."""

    clock: Clock
    operators: list[OperatorSettings]
    force: ConfigInForce
    plans: PlanStore
    trail: AuditTrail
    explainer: Explainer


class OperatorInterface:
    """Handles operators' requests."""

    def __init__(self, parts: OperatorParts):
        self._parts = parts

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=0, middlewares=[_tell_errors])
        app.router.add_post("/plans", self._plan)
        app.router.add_get("/plans/{id}", self._get_plan)
        app.router.add_post("/plans/{id}/confirm", self._confirm)
        app.router.add_get("/get/{what}", self._get)
        app.router.add_get("/explain/{kind}/{name}", self._explain)
        app.router.add_get("/audit", self._audit)
        app.router.add_get("/watch", self._watch)
        return app

    def _authenticate(self, request: web.Request, role: str) -> OperatorSettings:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for operator in self._parts.operators:
            if scheme.lower() == "bearer" and hmac.compare_digest(operator.token_sha256, digest):
                if role == "operator" and operator.role != "operator":
                    message = f"{operator.name} has the role {operator.role!r}, not 'operator'"
                    raise MulleinreachError(Code.FORBIDDEN, message)
                return operator
        raise MulleinreachError(Code.UNAUTHENTICATED, "an operator's token is needed")

    async def _plan(self, request: web.Request) -> web.Response:
        operator = self._authenticate(request, "operator")
        document = parse_json(await read_body(request, MAX_BODY_BYTES), MAX_DEPTH)
        unknown = sorted(set(document) - {"intent", "drain", "undrain"})
        if unknown or len(document) != 1:
            raise bad_request("a plan has one of 'intent', 'drain' and 'undrain'")
        if "intent" in document:
            intent = check_document(document["intent"], Intent, "intent")
            document = {"intent": intent.model_dump(mode="json")}
        else:
            _check_names(document)
        plan = await self._parts.plans.create(operator.name, **document)
        return web.json_response(asdict(plan), status=201)

    async def _get_plan(self, request: web.Request) -> web.Response:
        self._authenticate(request, "viewer")
        plan, _ = await self._parts.plans.get(request.match_info["id"])
        return web.json_response(asdict(plan))

    async def _confirm(self, request: web.Request) -> web.Response:
        """Confirm a plan and wait until it is accepted, or until patience ends."""
        operator = self._authenticate(request, "operator")
        began = self._parts.clock.now()
        confirmation = await self._confirm_when_settled(operator.name, request.match_info["id"])
        answer = asdict(confirmation)
        while self._parts.clock.now() - began < ACCEPT_TIMEOUT_S:
            force = self._parts.force
            if force.version > confirmation.config_version or force.acceptance().accepted:
                break
            await asyncio.sleep(POLL_S)
        acceptance = self._parts.force.acceptance()
        superseded = self._parts.force.version > confirmation.config_version
        answer["accepted"] = acceptance.accepted or superseded
        answer["detail"] = acceptance.reason
        answer["seconds"] = round(self._parts.clock.now() - began, 2)
        return web.json_response(answer)

    async def _confirm_when_settled(self, operator: str, plan_id: str):
        """Confirm; a change of the system's own that is not in force yet is waited for."""
        give_up_at = self._parts.clock.now() + ACCEPT_TIMEOUT_S / 2
        while True:
            try:
                return await self._parts.plans.confirm(operator, plan_id)
            except MulleinreachError as error:
                may_pass = error.code is Code.CONFLICT and error.retry_after_s is not None
                if not may_pass or self._parts.clock.now() > give_up_at:
                    raise
            await asyncio.sleep(POLL_S)

    async def _get(self, request: web.Request) -> web.Response:
        self._authenticate(request, "viewer")
        return web.json_response(await self._parts.explainer.get(request.match_info["what"]))

    async def _explain(self, request: web.Request) -> web.Response:
        self._authenticate(request, "viewer")
        kind, name = request.match_info["kind"], request.match_info["name"]
        if kind == "plan":
            plan, _ = await self._parts.plans.get(name)
            lines = [f"plan {plan.id} by {plan.operator} is {plan.state}", *plan.lines]
        else:
            lines = await self._parts.explainer.explain(kind, name)
        return web.json_response({"kind": kind, "name": name, "lines": lines})

    async def _audit(self, request: web.Request) -> web.Response:
        self._authenticate(request, "viewer")
        entries = await self._parts.trail.recent()
        if entries is None:
            raise unavailable("the audit trail was not read")
        if request.query.get("all") == "true":
            rolled = await self._parts.trail.rolled()
            if rolled is None:
                message = "the object store can't be reached"
                raise MulleinreachError(Code.PLATFORM_UNAVAILABLE, message, retry_after_s=5.0)
            entries = rolled + [entry for entry in entries if entry not in rolled]
        return web.json_response({"entries": [asdict(entry) for entry in entries]})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        """Stream a line for each change of a replica's or the configuration's state."""
        self._authenticate(request, "viewer")
        response = web.StreamResponse(headers={"content-type": "text/event-stream"})
        await response.prepare(request)
        before: dict[str, str] = {}
        while True:
            now = self._parts.explainer.states()
            for subject, state in now.items():
                if before.get(subject) != state:
                    event = json.dumps({"subject": subject, "state": state})
                    await response.write(f"data: {event}\n\n".encode())
            for subject in before.keys() - now.keys():
                event = json.dumps({"subject": subject, "state": "removed"})
                await response.write(f"data: {event}\n\n".encode())
            before = now
            await asyncio.sleep(POLL_S)


def _check_names(document: dict) -> None:
    (names,) = document.values()
    if not isinstance(names, list) or not names or not all(isinstance(n, str) for n in names):
        raise bad_request(f"hosts must be a list of names, not {names!r:.80}")


@web.middleware
async def _tell_errors(request: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except MulleinreachError as error:
        return error_response(error)
    except web.HTTPException as error:
        said = MulleinreachError(Code.NOT_FOUND, f"{request.method} {request.path}")
        return error_response(said, error.status)
