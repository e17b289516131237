"""Callers and operators of a stand-in deployment, over its HTTP interfaces."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import aiohttp

from mulleinreach.common import Address
from mulleinreach.node import Node
from mulleinreach.standins.world import CALLER_KEYS, OPERATOR_TOKENS, World, sha256


def demo_intent(replicas: int = 4, hosts: int = 4, version: str = "1", **changes) -> dict:
    """Return an intent of one model service, one plain one and two organisations."""
    intent = {
        "kind": "intent",
        "services": [
            {
                "name": "tint-model",
                "kind": "model",
                "model": "tint-7b",
                "version": version,
                "hosts_per_replica": hosts,
                "replicas": replicas,
            },
            {
                "name": "shop-desk",
                "kind": "plain",
                "replicas": 2,
                "unrepeatable": [{"method": "POST", "path": "/orders*"}],
            },
        ],
        "organisations": [
            {"name": name, "key_sha256": [sha256(key)], "rate": 1000, "concurrency": 1000}
            for name, key in CALLER_KEYS.items()
        ],
        "measures": {"group_downtime": 3.0, "stranded_accelerators": 1.0},
    }
    intent.update(changes)
    return intent


@dataclass
class Reply:
    """What a caller received; ``events`` are the data of a stream's events."""

    status: int
    body: str
    headers: dict[str, str]
    events: list[str] = field(default_factory=list)
    is_complete: bool = True

    @property
    def json(self) -> dict:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def error(self) -> dict:
        """The error that was told, in the body or in the stream."""
        if self.events:
            return json.loads(self.events[-1])["error"]
        return self.json["error"]

    @property
    def text(self) -> str:
        """The text of an answer, streamed or whole."""
        if not self.events:
            choice = self.json["choices"][0]
            return choice["message"]["content"] if "message" in choice else choice["text"]
        tokens = [json.loads(e) for e in self.events if e != "[DONE]"]
        choices = [t["choices"][0] for t in tokens if "choices" in t]
        return "".join(c["delta"]["content"] if "delta" in c else c["text"] for c in choices)


class Caller:
    """Calls the model and plain services as an organisation."""

    def __init__(self, world: World, key: str = CALLER_KEYS["shop-lagos"]):
        self._world = world
        self._key = key
        self.session = world.network("caller").http_client()

    async def close(self) -> None:
        """End the caller's connections."""
        await self.session.close()

    def url(self, node: Node) -> str:
        """Return the address of a node for callers."""
        return Address.parse(node.settings.listen.callers).url

    async def request(self, node: Node, method: str, path: str, **options) -> Reply:
        """Send any request and read its whole answer, as far as it comes."""
        headers = {"authorization": f"Bearer {self._key}", **options.pop("headers", {})}
        async with self.session.request(
            method, self.url(node) + path, headers=headers, **options
        ) as response:
            body, is_complete = bytearray(), True
            try:
                async for chunk in response.content.iter_any():
                    body += chunk
            except aiohttp.ClientError:
                is_complete = False
            text = body.decode(errors="replace")
            return Reply(
                response.status, text, _lower(response.headers), _events(text), is_complete
            )

    async def complete(self, node: Node, prompt: str, **fields) -> Reply:
        """Ask ``tint-model`` for a completion of ``prompt``."""
        headers = fields.pop("headers", {})
        body = {"model": "tint-model", "prompt": prompt, **fields}
        return await self.request(node, "POST", "/v1/completions", json=body, headers=headers)

    async def chat(self, node: Node, text: str, **fields) -> Reply:
        """Ask ``tint-model`` in a chat."""
        headers = fields.pop("headers", {})
        body = {"model": "tint-model", "messages": [{"role": "user", "content": text}], **fields}
        return await self.request(node, "POST", "/v1/chat/completions", json=body, headers=headers)


def _lower(headers) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def _events(text: str) -> list[str]:
    lines = [line for line in text.split("\n") if line.startswith("data: ")]
    return [line.removeprefix("data: ") for line in lines]


class Operator:
    """Drives the system as an operator."""

    def __init__(self, world: World, name: str = "amaka"):
        self._token = OPERATOR_TOKENS[name]
        self._session = world.network("operator").http_client()

    async def close(self) -> None:
        """End the operator's connections."""
        await self._session.close()

    async def request(self, node: Node, method: str, path: str, body: dict | None = None) -> Reply:
        """Send a request to a node's interface for operators."""
        url = Address.parse(node.settings.listen.operators).url + path
        headers = {"authorization": f"Bearer {self._token}"}
        async with self._session.request(method, url, json=body, headers=headers) as response:
            return Reply(response.status, await response.text(), _lower(response.headers))

    async def plan(self, node: Node, **wanted) -> Reply:
        """Ask for a plan: ``intent=``, ``drain=`` or ``undrain=``."""
        return await self.request(node, "POST", "/plans", wanted)

    async def confirm(self, node: Node, plan_id: str) -> Reply:
        """Confirm a plan."""
        return await self.request(node, "POST", f"/plans/{plan_id}/confirm")

    async def apply(self, node: Node, **wanted) -> Reply:
        """Plan and confirm; returns the confirmation."""
        plan = await self.plan(node, **wanted)
        if plan.status != 201:
            return plan
        return await self.confirm(node, plan.json["id"])
