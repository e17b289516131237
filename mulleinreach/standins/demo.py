"""The demo: a whole deployment on loopback, from the first intent to a repair."""

from __future__ import annotations

import asyncio
import sys

import typer
from absl import logging

from mulleinreach.cli.show import describe_confirmation, describe_plan
from mulleinreach.node import Node
from mulleinreach.standins.engine_core import EngineSpeed
from mulleinreach.standins.people import Caller, Operator, Reply, demo_intent
from mulleinreach.standins.world import CALLER_KEYS, OPERATOR_TOKENS, World, WorldSpec

REPLICAS = 4
ORDER_KEY = {"idempotency-key": "order-4711"}


class DemoFailed(Exception):
    """The demo did not show what it is to show."""


def _title(text: str) -> None:
    typer.echo(f"\n== {text}")


def _say(lines: list[str]) -> None:
    for line in lines:
        typer.echo(f"   {line}")


def _check(holds: bool, what: str) -> None:
    if not holds:
        raise DemoFailed(what)


class Demo:
    """The steps of the demo, in order."""

    def __init__(self, world: World):
        self._world = world
        self._nodes: list[Node] = list(world.nodes.values())
        self._operator = Operator(world)
        self._caller = Caller(world)

    async def close(self) -> None:
        """End the clients."""
        await self._operator.close()
        await self._caller.close()

    async def run(self) -> None:
        """Show everything."""
        await self._deploy()
        request_id = await self._call_model()
        await self._order_twice()
        lost = await self._lose_host()
        await self._drain_host(lost)
        await self._explain(request_id, lost)

    async def _apply(self, **wanted) -> None:
        plan = await self._operator.plan(self._nodes[0], **wanted)
        _check(plan.status == 201, plan.body)
        _say(describe_plan(plan.json))
        done = await self._operator.confirm(self._nodes[1], plan.json["id"])
        _check(done.status == 200, done.body)
        _say(describe_confirmation(done.json))

    async def _deploy(self) -> None:
        _title("an intent, its plan, and the confirmation at another node")
        await self._world.until(lambda: self._nodes[0].directory.was_read, 10)
        await self._apply(intent=demo_intent(replicas=REPLICAS))
        await self._await_replicas()

    async def _await_replicas(self) -> None:
        names = list(self._world.nodes)
        await self._world.until(
            lambda: all(self._world.usable("tint-model", name) == REPLICAS for name in names), 20
        )
        _say([f"{REPLICAS} replicas of 4 hosts serve at each of {len(names)} nodes"])

    async def _call_model(self) -> str:
        _title("a streamed and a whole request")
        streamed = await self._caller.chat(self._nodes[0], "A warm ochre wall.", stream=True)
        _check(streamed.events[-1] == "[DONE]", streamed.body)
        _say([f"streamed, {len(streamed.events) - 1} tokens: {streamed.text}"])
        whole = await self._caller.complete(self._nodes[1], "An old tin of teal.")
        _check(whole.status == 200, whole.body)
        _say([f"whole: {whole.text}"])
        return streamed.headers["x-request-id"]

    async def _order(self, node: Node) -> Reply:
        path = "/services/shop-desk/orders"
        return await self._caller.request(node, "POST", path, data=b"2 tins", headers=ORDER_KEY)

    async def _order_twice(self) -> None:
        _title("an order that may run once, sent to two nodes with the same key")
        for node in self._nodes[:2]:
            reply = await self._order(node)
            again = " (the kept answer)" if "idempotency-replayed" in reply.headers else ""
            _say([f"{node.name}: {reply.status} {reply.body}{again}"])
        ran = sum(len(desk.orders) for desk in self._world.plain.values())
        _check(ran == 1, f"the order ran {ran} times")
        _say(["the desk carried it out once"])

    async def _lose_host(self) -> str:
        _title("a host is lost")
        group = self._nodes[0].replicas.groups("tint-model")[0]
        lost = group.hosts[1]
        self._world.kill_host(lost)
        names = list(self._world.nodes)
        seconds = await self._world.until(
            lambda: all(self._world.usable("tint-model", n) < REPLICAS for n in names), 10
        )
        _say([f"{lost} killed; {group.replica} gets no work at any node after {seconds:.1f} s"])
        await self._await_replicas()
        await self._show("replica", group.replica)
        return lost

    async def _drain_host(self, lost: str) -> None:
        _title("a host is drained, by plan")
        group = self._nodes[0].replicas.groups("tint-model")[-1]
        host = next(name for name in group.hosts if name != lost)
        await self._apply(drain=[host])
        node = self._nodes[0]
        await self._world.until(lambda: not _works(node, host), 20)
        await self._await_replicas()
        await self._show("host", host)

    async def _explain(self, request_id: str, lost: str) -> None:
        _title("why the first request went where it did, and what is known of the lost host")
        await self._show("request", request_id)
        await self._show("host", lost)

    async def _show(self, kind: str, name: str) -> None:
        reply = await self._operator.request(self._nodes[0], "GET", f"/explain/{kind}/{name}")
        _check(reply.status == 200, reply.body)
        _say(reply.json["lines"])


def _works(node: Node, host: str) -> bool:
    return any(host in group.hosts for group in node.replicas.all_groups())


def _tell_addresses(world: World) -> None:
    _title("the deployment stays up; interrupt to end it")
    for name in world.nodes:
        listen = world.settings_of(name).listen
        _say([f"{name}: callers {listen.callers}, operators {listen.operators}"])
    key, token = CALLER_KEYS["shop-lagos"], OPERATOR_TOKENS["amaka"]
    _say([f"API key {key}; operator's token {token}"])
    listen = world.settings_of(next(iter(world.nodes))).listen
    _say(
        [
            f"curl -H 'Authorization: Bearer {key}' http://{listen.callers}/v1/models",
            f"MULLEINREACH_TOKEN={token} MULLEINREACH_SERVER={listen.operators}"
            f" {sys.executable} -m mulleinreach get replicas",
        ]
    )


async def run_demo(stay: bool) -> int:
    """Run the demo; returns the exit code."""
    logging.set_verbosity(logging.ERROR)
    world = World(WorldSpec(speed=EngineSpeed(token_gap_s=0.005)), virtual=False)
    await world.start()
    demo = Demo(world)
    try:
        await demo.run()
        if stay:
            _tell_addresses(world)
            await asyncio.Event().wait()
    except (DemoFailed, TimeoutError) as error:
        typer.echo(f"the demo failed: {error}", err=True)
        return 1
    finally:
        await demo.close()
        await world.stop()
    typer.echo("\nthe demo is complete")
    return 0
