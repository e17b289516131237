"""Passing answers on to callers as they arrive."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp
from aiohttp import web

from mulleinreach.common import Code, ExecutionStatus, MulleinreachError
from mulleinreach.common.responses import Response
from mulleinreach.requests.call import CallerDisconnected
from mulleinreach.requests.claims import StoredResponse
from mulleinreach.requests.plain import PlainCall, filter_hop_headers


@dataclass
class Answer:
    """The response that one of several ways to answer has made."""

    response: web.StreamResponse | None = None


class StreamSink:
    """Sends a streamed answer to the caller; the head goes with the first bytes."""

    def __init__(self, request: web.Request, request_id: str):
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None

    async def write(self, data: bytes) -> None:
        """Send bytes; raises :class:`CallerDisconnected` if there is nobody to send them to."""
        try:
            if self.response is None:
                self.response = web.StreamResponse(
                    headers={
                        "content-type": "text/event-stream",
                        "cache-control": "no-cache",
                        "x-request-id": self._request_id,
                    }
                )
                await self.response.prepare(self._request)
            await self.response.write(data)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    async def end_with(self, error: MulleinreachError) -> web.StreamResponse:
        """Tell an error inside a stream that has begun; there is no end mark then."""
        body = web.json_response(error.to_json()).body
        try:
            await self.response.write(b"event: error\ndata: " + body + b"\n\n")
            await self.response.write_eof()
        except OSError:
            pass
        return self.response


async def relay_plain(
    request: web.Request,
    call: PlainCall,
    upstream: Response,
    answer: Answer,
    keep: bool,
) -> StoredResponse | None:
    """Pass an answer on as it arrives; returns it whole if it is to be kept."""
    headers = filter_hop_headers(upstream.headers)
    headers = {k: v for k, v in headers.items() if k.lower() != "x-request-id"}
    headers["x-request-id"] = call.request_id
    response = web.StreamResponse(status=upstream.status, headers=headers)
    response.content_length = upstream.content_length
    answer.response = response
    kept = bytearray()
    has_begun = False
    try:
        async for chunk in upstream.content.iter_any():
            if not has_begun:
                await _prepare(response, request)
                has_begun = True
            await _write(response, chunk)
            if keep:
                kept += chunk
        upstream.check_complete()
    except (aiohttp.ClientError, TimeoutError) as error:
        if has_begun:
            # The head has gone out: only a broken connection tells the caller
            # that the answer is not whole.
            if request.transport is not None:
                request.transport.abort()
            raise CallerDisconnected("the upstream's answer broke off") from error
        raise MulleinreachError(
            Code.UPSTREAM_FAILED, str(error), ran=ExecutionStatus.UNKNOWN
        ) from error
    if not has_begun:
        await _prepare(response, request)
    await response.write_eof()
    if not keep:
        return None
    return StoredResponse(upstream.status, upstream.content_type, kept.decode(errors="replace"))


async def _prepare(response: web.StreamResponse, request: web.Request) -> None:
    try:
        await response.prepare(request)
    except OSError as error:
        raise CallerDisconnected(str(error)) from error


async def _write(response: web.StreamResponse, chunk: bytes) -> None:
    try:
        await response.write(chunk)
    except OSError as error:
        raise CallerDisconnected(str(error)) from error
