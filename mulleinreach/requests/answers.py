"""Reads responses of upstreams and transfers KV caches between engines."""

from __future__ import annotations

import asyncio
import json

import aiohttp

from mulleinreach.common import Address
from mulleinreach.common.responses import Response
from mulleinreach.requests.call import AttemptOutcome, AttemptResult, ModelCall
from mulleinreach.requests.stream import OrderedStream

KV_TIMEOUT_S = 2.0


def check_response_status(response: aiohttp.ClientResponse) -> AttemptResult | None:
    """Return the attempt's result if the response status decides it, else ``None``."""
    if response.status == 200:
        return None
    if response.headers.get("x-ran") == "not_run":
        return AttemptResult(
            AttemptOutcome.REFUSED,
            f"the upstream refused the request with status {response.status}",
        )
    return AttemptResult(
        AttemptOutcome.FAILED, f"the upstream responded with status {response.status}"
    )


def build_resume_body(call: ModelCall, stream: OrderedStream) -> bytes:
    """Return the request's body, extended by the delivered text to resume after it."""
    text = stream.delivered_text()
    if text is None:
        return call.body
    return json.dumps({**call.fields, "resume_text": text}).encode()


async def read_bounded(response: Response, max_bytes: int) -> bytes:
    """Return the whole body; raises ``ClientPayloadError`` if it was cut off or is too long."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(f"the response exceeds {max_bytes} bytes")
    response.check_complete()
    return bytes(body)


async def transfer_kv_cache(
    session: aiohttp.ClientSession, source: Address, target: Address, request_id: str
) -> bool:
    """Copy a request's KV cache to another engine; returns whether this succeeded."""
    path = f"/kv/{request_id}"
    try:
        async with asyncio.timeout(KV_TIMEOUT_S):
            async with session.get(source.url + path) as response:
                exported = await response.read() if response.status == 200 else None
            if exported is None:
                return False
            async with session.post(target.url + path, data=exported) as response:
                return response.status < 300
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
