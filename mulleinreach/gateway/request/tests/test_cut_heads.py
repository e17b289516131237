"""An answer that ends inside its head is no answer, at a whole node and through a tunnel."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest
from aiohttp import web

from mulleinreach.gateway.connectivity.tests.test_tunnels import read_request, run_tunnelled
from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    echo_path,
    start_plain_upstreams,
)
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.dialect import REQUEST_ID, SIGNATURE

OK = "HTTP/1.1 200 OK\r\n"
# ``{}`` stands for the request's id.
OWN = f"{REQUEST_ID}: {{}}\r\n{SIGNATURE}: s\r\n"
# By what delimits the body.
HEADS = {
    "length": f"{OK}{OWN}Content-Length: 4\r\n\r\n",
    "no body": f"{OK}{OWN}Content-Length: 0\r\n\r\n",
    "chunks": f"{OK}{OWN}Transfer-Encoding: chunked\r\n\r\n",
    "close": f"{OK}{OWN}\r\n",
    "informational": f"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{OK}{OWN}\r\n",
    "old protocol": f"HTTP/1.0 200 OK\r\n{OWN}\r\n",
    "bare newlines": f"{OK}{OWN}\r\n".replace("\r\n", "\n"),
}


def cut_after(head: str, lengths, is_reset: bool):
    """Return a handler that sends ever more of a head, then closes or resets the connection."""

    async def handle(request: web.BaseRequest) -> web.Response:
        await request.read()
        data = head.format(request.headers[REQUEST_ID]).encode()
        request.transport.write(data[: next(lengths)])
        if is_reset:
            request.transport.abort()
        else:
            request.transport.close()
        return web.Response()

    return handle


# Guards against a 200 with an empty or short body.
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("name", HEADS)
def test_caller_gets_no_success_for_a_head_that_ends_early(name, is_reset):
    head = HEADS[name]

    async def test(world):
        await start_plain_upstreams(world, cut_after(head, itertools.count(), is_reset))
        for _ in range(len(head.format("request-1"))):
            answer = await world.call("/order/1", b"tins", deadline_s=2.0)
            assert (answer.status, answer.body) == (502, b"")

    run_world(test, **NO_HOSTS)


# Guards against answers of another upstream that are mixed with such a head.
@pytest.mark.parametrize("name", HEADS)
def test_request_that_may_be_repeated_is_served_by_another_upstream(name):
    head = HEADS[name]

    async def test(world):
        lengths = itertools.cycle(range(len(head)))
        await start_plain_upstreams(world, cut_after(head, lengths, False), echo_path)
        for _ in range(len(head)):
            answer = await world.call("/stock/1", b"tins", deadline_s=2.0)
            assert (answer.status, answer.body) == (200, b"/stock/1")

    run_world(test, **NO_HOSTS)


# Guards against waiting beyond the caller's deadline.
@pytest.mark.parametrize("name", HEADS)
def test_head_that_stops_with_its_connection_open_ends_with_the_deadline(name):
    head = HEADS[name]

    async def handle(request: web.BaseRequest) -> web.Response:
        await request.read()
        data = head.format(request.headers[REQUEST_ID]).encode()
        request.transport.write(data[: len(data) // 2])
        await asyncio.sleep(3600)
        return web.Response()

    async def test(world):
        await start_plain_upstreams(world, handle)
        began_at = world.clock.now()
        answer = await world.call("/order/1", b"tins", deadline_s=1.0)
        assert (answer.status, answer.body) == (504, b"")
        assert world.clock.now() - began_at < 1.5

    run_world(test, **NO_HOSTS)


# Guards against the end of a tunnel that is read as the end of an answer.
@pytest.mark.parametrize("name", HEADS)
def test_head_that_ends_early_fails_through_a_tunnel(name):
    head = HEADS[name].encode()
    lengths = itertools.cycle(range(0, len(head), 5))

    async def answer(reader, writer):
        await read_request(reader)
        writer.write(head[: next(lengths)])
        writer.close()

    async def test(world):
        async with world.network.http_client() as session:
            for _ in range(0, len(head), 5):
                with pytest.raises((aiohttp.ClientError, OSError)):
                    await session.get(world.upstream.url)

    run_tunnelled(test, answer)
