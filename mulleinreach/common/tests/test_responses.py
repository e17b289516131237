"""Each reader of a body without length tells a reset from the body's end, over real sockets.

Guards against bodies that were cut off and are taken for whole.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web

from mulleinreach.common import Address, MulleinreachError, Network
from mulleinreach.common.calls import CallFailed, HttpClient
from mulleinreach.common.responses import BodyFraming, Response
from mulleinreach.entry.relay import Answer, relay_plain
from mulleinreach.requests.answers import read_bounded
from mulleinreach.requests.call import CallerDisconnected
from mulleinreach.standins.resets import reset
from mulleinreach.stores.objects import ObjectStore

NETWORK = Network("test")
HEADS = {
    BodyFraming.LENGTH: b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
    BodyFraming.CHUNKED: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    BodyFraming.CLOSE: b"HTTP/1.1 200 OK\r\n\r\n",
}
BODIES = {
    BodyFraming.LENGTH: b"part",
    BodyFraming.CHUNKED: b"4\r\npart\r\n0\r\n\r\n",
    BodyFraming.CLOSE: b"part",
}
Read = Callable[[Response], Awaitable[bytes]]


@contextlib.asynccontextmanager
async def serving(framing: BodyFraming, is_reset: bool):
    """Serve answers of one framing; yields the address."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEADS[framing] + BODIES[framing])
        await writer.drain()
        if is_reset:
            reset(writer.transport)
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield Address("127.0.0.1", server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def wait_for_end(response: Response, is_reset: bool) -> None:
    """Wait until the end of the connection has arrived, before anybody reads the body."""
    async with asyncio.timeout(30):
        while response.connection is not None or response.body_end.is_reset != is_reset:
            await asyncio.sleep(0.01)


async def read(response: Response) -> bytes:
    return await response.read()


async def read_text(response: Response) -> bytes:
    return (await response.text()).encode()


async def read_with_limit(response: Response) -> bytes:
    return await read_bounded(response, 1000)


def ask(framing: BodyFraming, is_reset: bool, read: Read, is_late: bool) -> bytes | Exception:
    """Return what a reader makes of an answer."""

    async def run() -> bytes | Exception:
        async with serving(framing, is_reset) as address:
            async with NETWORK.http_client() as session:
                async with session.get(address.url) as response:
                    if is_late:
                        await wait_for_end(response, is_reset)
                    try:
                        return await read(response)
                    except aiohttp.ClientError as error:
                        return error

    return asyncio.run(run())


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("read", [read, read_text, read_with_limit])
def test_reset_body_without_length_is_an_error(read, is_late):
    result = ask(BodyFraming.CLOSE, True, read, is_late)
    assert isinstance(result, aiohttp.ClientPayloadError)


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("read", [read, read_text, read_with_limit])
def test_closed_body_without_length_is_whole(read, is_late):
    assert ask(BodyFraming.CLOSE, False, read, is_late) == b"part"


@pytest.mark.parametrize("framing", [BodyFraming.LENGTH, BodyFraming.CHUNKED])
@pytest.mark.parametrize("is_reset", [False, True])
def test_reset_after_a_framed_body_does_not_matter(framing, is_reset):
    assert ask(framing, is_reset, read, is_late=True) == b"part"


@pytest.mark.parametrize(("is_reset", "expected"), [(False, b"part"), (True, None)])
def test_cut_object_is_not_read_as_whole(is_reset, expected):
    async def run():
        async with serving(BodyFraming.CLOSE, is_reset) as address:
            async with NETWORK.http_client() as session:
                return await ObjectStore(session, address).get("name")

    assert asyncio.run(run()) == expected


def test_cut_answer_to_a_call_is_a_failed_call():
    async def run():
        async with serving(BodyFraming.CLOSE, is_reset=True) as address:
            client = HttpClient(NETWORK.http_client)
            try:
                return await client.request("GET", address.url, timeout_s=30)
            finally:
                await client.close()

    assert isinstance(asyncio.run(run()), CallFailed)


def test_cut_answer_of_a_plain_service_does_not_reach_its_caller_as_whole():
    """The whole relay: an upstream's answer is cut, its caller must see a cut answer, too."""

    async def run(upstream: Address) -> None:
        async def relay(request: web.Request) -> web.StreamResponse:
            call = SimpleNamespace(request_id="r")
            answer = Answer()
            async with NETWORK.http_client() as session:
                async with session.get(upstream.url) as response:
                    with contextlib.suppress(CallerDisconnected):
                        await relay_plain(request, call, response, answer, keep=False)
            return answer.response

        app = web.Application()
        app.router.add_get("/", relay)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = Address("127.0.0.1", probe.getsockname()[1])
        server = await NETWORK.serve_http(app, address)
        try:
            async with NETWORK.http_client() as session:
                async with session.get(address.url) as response:
                    await response.read()
        finally:
            await server.close()

    async def run_served() -> None:
        async with serving(BodyFraming.CLOSE, is_reset=True) as upstream:
            await run(upstream)

    with pytest.raises((aiohttp.ClientError, MulleinreachError)):
        asyncio.run(run_served())
