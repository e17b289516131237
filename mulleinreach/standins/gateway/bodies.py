"""Bodies of upstreams' answers: how they are framed, and how a broken one ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from aiohttp import web

from mulleinreach.common.responses import BodyFraming


@dataclass(frozen=True)
class BodyBreak:
    """How an upstream breaks a body off.

    Parameters
    ==========

    torn : what it sends of the next event before.
    is_reset : whether the connection is reset, else closed.
    loop_steps : passes of the event loop between the last bytes and the end.
    """

    torn: bytes = b"id: torn"
    is_reset: bool = False
    loop_steps: int = 0


class ChunkedBody:
    """A body in chunks."""

    def __init__(self, request: web.BaseRequest, headers: Mapping[str, str]):
        self._request = request
        self.response = web.StreamResponse(headers=headers)
        self.response.content_type = "text/event-stream"
        self.response.enable_chunked_encoding()

    async def begin(self) -> None:
        """Send the head."""
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.response.write(data)

    async def end(self) -> None:
        """End the whole body."""
        await self.response.write_eof()


class CloseDelimitedBody:
    """A body with neither a length nor chunks, which ends with its connection."""

    def __init__(self, request: web.BaseRequest, headers: Mapping[str, str]):
        self._request = request
        self._transport = request.transport
        self._headers = {"Content-Type": "text/event-stream", **headers}
        # Returned to aiohttp's server, which can't send it on the closed connection.
        self.response = web.Response()

    async def begin(self) -> None:
        """Send the head, with the headers that the application adds to all its responses."""
        head = web.StreamResponse(headers=self._headers)
        if isinstance(self._request, web.Request):
            await self._request.app.on_response_prepare.send(self._request, head)
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {v}" for name, v in head.headers.items())]
        self._transport.write("".join(f"{line}\r\n" for line in [*lines, ""]).encode())

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._transport.write(data)

    async def end(self) -> None:
        """End the whole body."""
        self._transport.close()


Body = ChunkedBody | CloseDelimitedBody


def make_body(framing: BodyFraming, request: web.BaseRequest, headers: Mapping[str, str]) -> Body:
    """Return a body that is about to begin."""
    if framing is BodyFraming.CLOSE:
        return CloseDelimitedBody(request, headers)
    return ChunkedBody(request, headers)


async def break_off(
    request: web.BaseRequest,
    how: BodyBreak,
    reset: Callable[[asyncio.BaseTransport], None],
) -> None:
    """End a connection in the middle of a body.

    Parameters
    ==========

    reset : resets a connection, given its transport at the upstream.
    """
    for _ in range(how.loop_steps):
        await asyncio.sleep(0)
    if how.is_reset:
        reset(request.transport)
    request.transport.abort()
