"""The bounds on the clients of a server, and the answer to what exceeds its memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web

from mulleinreach.common.server.connections import ConnectionTable
from mulleinreach.common.server.framing import FramingThrottle
from mulleinreach.common.server.memory import MemoryLedger

DEFAULT_HEAD_BYTES = 32_768
# Value of Retry-After where other requests hold the memory, most of which take a second or so.
OVERLOAD_RETRY_AFTER_S = 1.0


class RequestEvicted(Exception):
    """The memory of a request that hasn't run was needed for others."""


async def refuse_overload(request: web.BaseRequest) -> web.Response:
    """Return the answer to a request for which there is no memory; it has not run."""
    response = web.Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        headers={"Retry-After": f"{OVERLOAD_RETRY_AFTER_S:g}"},
    )
    response.force_close()
    return response


@dataclass
class ClientBounds:
    """The bounds on the clients of one server.

    Parameters
    ==========

    memory : shared by all connections.
    head_bytes : returns the largest head that is read; the handler may refuse smaller ones.
    refuse : answers a request for which there is no memory.
    on_malformed : called with status and reason for each request that can't be parsed.
    on_dropped : called if a connection ends before all requests that were read have begun, with
        their number; the rest of what was read counts as one.
    """

    connections: ConnectionTable
    memory: MemoryLedger
    framing: FramingThrottle = field(default_factory=FramingThrottle)
    head_bytes: Callable[[], int] = lambda: DEFAULT_HEAD_BYTES
    refuse: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]] = refuse_overload
    on_malformed: Callable[[int, str], None] = lambda status, reason: None
    on_dropped: Callable[[int], None] = lambda count: None
