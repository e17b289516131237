"""Handlers for upstreams of the plain service, and a helper that starts them."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mulleinreach.standins.gateway.dialect import REFUSED, REQUEST_ID, SIGNATURE

NO_HOSTS = {"domains": 0, "hosts_per_domain": 0, "nodes": 1}


async def echo_path(request):
    """Answer with the request's path, signed and with its id, as a correct upstream does."""
    await request.read()
    headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: "s"}
    return web.Response(text=request.raw_path, headers=headers)


async def fail(request):
    """Answer with an error after running the request."""
    return web.Response(status=500, headers={REQUEST_ID: request.headers[REQUEST_ID]})


async def refuse(request):
    """Refuse the request without running it."""
    return web.Response(status=503, headers={REFUSED: "1"})


async def reset_connection(request):
    """Run the request, then abort the connection before the answer."""
    await request.read()
    request.transport.abort()
    return web.Response()


async def answer_without_status(request):
    """Answer with three digits that are no status, and leave the connection open."""
    await request.read()
    answer = f"{REQUEST_ID}: {request.headers[REQUEST_ID]}\r\n{SIGNATURE}: s\r\n"
    request.transport.write(f"HTTP/1.1 000 X\r\n{answer}Content-Length: 1\r\n\r\nx".encode())
    await asyncio.sleep(3600)


async def answer_wrong_request(request):
    """Answer with the id of another request."""
    return web.Response(text="x", headers={REQUEST_ID: "another", SIGNATURE: "s"})


async def answer_unsigned(request):
    """Answer without the upstream's signature header."""
    return web.Response(text="x", headers={REQUEST_ID: request.headers[REQUEST_ID]})


async def hang(request):
    """Never answer."""
    await asyncio.sleep(3600)


async def truncate_response(request):
    """Close the connection before the announced content length is sent."""
    headers = {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: "s", "Content-Length": "99"}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    await response.write(b"part")
    request.transport.close()
    return response


async def start_plain_upstreams(world, *handlers):
    """Start one upstream for each handler, and wait until ``node-0`` is ready and lists them."""
    for number, handler in enumerate(handlers):
        await world.add_plain(f"desk-{number}", handler)
    await world.until(lambda: len(world.nodes["node-0"].directory) >= len(handlers))
    await world.until(lambda: world.nodes["node-0"].is_ready())
