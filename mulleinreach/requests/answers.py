"""Reading upstreams' answers, and taking a KV cache from one engine to another."""

from __future__ import annotations

import asyncio
import json

import aiohttp

from mulleinreach.common import Address
from mulleinreach.requests.call import AttemptResult, End, ModelCall
from mulleinreach.requests.stream import OrderedStream

KV_TIMEOUT_S = 2.0


def check_response_status(response: aiohttp.ClientResponse) -> AttemptResult | None:
    """Return how an attempt ended, if the head of the answer says so already."""
    if response.status == 200:
        return None
    if response.headers.get("x-ran") == "not_run":
        return AttemptResult(End.REFUSED, f"the upstream refused it, status {response.status}")
    return AttemptResult(End.FAILED, f"the upstream answered status {response.status}")


def build_resume_body(call: ModelCall, stream: OrderedStream) -> bytes:
    """Return the request's body with the text that was delivered, to go on from there."""
    text = stream.delivered_text()
    if text is None:
        return call.body
    return json.dumps({**call.fields, "resume_text": text}).encode()


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body; raises ``ClientPayloadError`` beyond ``max_bytes`` bytes."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(f"an answer of over {max_bytes} bytes")
    return bytes(body)


async def transfer_kv_cache(
    session: aiohttp.ClientSession, source: Address, target: Address, request_id: str
) -> bool:
    """Export a request's KV cache and import it elsewhere; returns whether that worked."""
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
