"""Reads the bodies of requests within the bounds of a server."""

from __future__ import annotations

import enum

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from mulleinreach.common.server.bounds import RequestEvicted
from mulleinreach.common.server.handler import BoundedRequestHandler
from mulleinreach.common.server.memory import MemoryAccount

# The body, and its copy in the connection to an upstream.
BODY_COST_RATIO = 2


class BodyRefusal(enum.Enum):
    """Why a body isn't read; its request has not run.

    ``TOO_LARGE``: it exceeds the limit on one body.
    ``MALFORMED``: its framing can't be parsed.
    ``NO_MEMORY``: there is no memory for it beside other requests.
    """

    TOO_LARGE = enum.auto()
    MALFORMED = enum.auto()
    NO_MEMORY = enum.auto()


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes | BodyRefusal:
    """Return the whole body of a request, which begins to run thereby."""
    if (request.content_length or 0) > max_bytes:
        return BodyRefusal.TOO_LARGE
    account = _account(request)
    parts = []
    size = 0
    try:
        async for data in request.content.iter_any():
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                return BodyRefusal.TOO_LARGE
            if account is not None and not account.try_charge(BODY_COST_RATIO * len(data)):
                return BodyRefusal.NO_MEMORY
    except RequestEvicted:
        return BodyRefusal.NO_MEMORY
    except RequestPayloadError:
        return BodyRefusal.MALFORMED
    if not begin_run(request):
        return BodyRefusal.NO_MEMORY
    return b"".join(parts)


def begin_run(request: web.BaseRequest) -> bool:
    """Keep what a request holds until its answer; ``False`` if it was evicted before."""
    account = _account(request)
    return account is None or account.begin_run()


def _account(request: web.BaseRequest) -> MemoryAccount | None:
    """Return the account of a request's connection, ``None`` if its server has no bounds."""
    protocol = request.protocol
    return protocol.memory if isinstance(protocol, BoundedRequestHandler) else None
