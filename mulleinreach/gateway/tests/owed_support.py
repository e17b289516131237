"""Callers whose requests reach a node in segments, at set times of its stop."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, replace

from mulleinreach.gateway.model import RouteKind
from mulleinreach.gateway.node import GatewayNode
from mulleinreach.standins.gateway.dialect import DEADLINE_MS, MODEL, REQUEST_ID
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import (
    API_KEY,
    CALLER_HOST,
    SMALL,
    GatewayWorld,
    make_configuration,
)
from mulleinreach.standins.raw_connection import RawAnswer, RawConnection

ORDER, STREAM = "/order/1", "/stream/draft"
_numbers = itertools.count()


@dataclass(frozen=True)
class TimedAnswer:
    """An answer, or ``None`` if the connection ended, and when that was seen."""

    answer: RawAnswer | None
    at: float

    @property
    def status(self) -> int:
        """The answer's status; 0 without a whole answer."""
        return self.answer.status if self.answer else 0


def make_request(path: str, body: bytes = b"2 tins", deadline_s: float = 8.0) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {CALLER_HOST}",
        f"{REQUEST_ID}: raw-{next(_numbers)}",
        f"{DEADLINE_MS}: {int(1000 * deadline_s)}",
        f"{MODEL}: {SMALL}",
        f"Authorization: {API_KEY}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_stream(events: int) -> bytes:
    """Return the bytes of a request for a stream of so many events."""
    return make_request(STREAM, str(events).encode())


async def send_segments(
    world: GatewayWorld,
    node: GatewayNode,
    segments: Sequence[tuple[float, bytes]],
    answers: int = 1,
) -> list[TimedAnswer]:
    """Send segments at given times of the world's clock; returns so many answers."""
    connection = await RawConnection.open(node.identity.callers_address)
    sending = asyncio.create_task(_send_at(world, connection, segments))
    try:
        received = []
        for _ in range(answers):
            answer = await connection.read_answer()
            received.append(TimedAnswer(answer, world.clock.now()))
            if answer is None:
                break
        return received
    finally:
        sending.cancel()
        connection.close()


async def _send_at(
    world: GatewayWorld, connection: RawConnection, segments: Sequence[tuple[float, bytes]]
) -> None:
    for at, data in segments:
        await asyncio.sleep(max(0.0, at - world.clock.now()))
        await connection.write(data)


async def set_order_timeout(world: GatewayWorld, timeout_s: float) -> None:
    """Let orders take so long, and wait until all nodes know it."""
    configuration = make_configuration(version=2)
    routes = tuple(
        replace(route, timeout_s=timeout_s) if route.kind is RouteKind.UNSAFE else route
        for route in configuration.routes
    )
    world.store.put(CONFIGURATION, "newest", replace(configuration, routes=routes))
    await world.until(
        lambda: all(node.in_force.configuration.version == 2 for node in world.nodes.values())
    )
