"""Tunnels carry whole answers, end like the upstream's connection, and open for nodes alone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

import aiohttp
import pytest

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.connectivity.messages import (
    LENGTH,
    TunnelError,
    TunnelOutcome,
    TunnelRequest,
)
from mulleinreach.gateway.connectivity.process_state import ProcessState
from mulleinreach.gateway.connectivity.tunnel import open_tunnel
from mulleinreach.gateway.connectivity.tunnel_server import TunnelServer
from mulleinreach.gateway.connectivity.upstream_network import UpstreamNetwork
from mulleinreach.gateway.metrics import GatewayMetrics
from mulleinreach.standins.resets import reset

SECRET = "secret"
NETWORK = Network("test")
BODY = b"x" * 3_000_000
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"


def free_address() -> Address:
    """Return an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


class Tunnelled:
    """An upstream, a tunnel server, and the network of a node that reaches only the latter."""

    def __init__(
        self,
        is_listed: bool = True,
        secrets: tuple[str, ...] = (SECRET,),
        upstream: Address | None = None,
    ):
        self.upstream = upstream or free_address()
        self.server_address = free_address()
        log = EventLog("node")
        self.server = TunnelServer(
            NETWORK,
            lambda: [self.upstream] if is_listed else [],
            lambda: secrets,
            GatewayMetrics(),
            log,
        )
        self.network = UpstreamNetwork(
            NETWORK,
            lambda: [self.upstream],
            lambda: SECRET,
            Clock(),
            log,
            random.Random(1),
        )
        self.network.tunnel_servers.replace([self.server_address])
        self.network.reachability.note_failed(self.upstream)

    async def ask(self, secret: str = SECRET):
        """Ask for a tunnel to the upstream."""
        return await open_tunnel(
            NETWORK, self.server_address, TunnelRequest(secret, self.upstream), asyncio.Protocol
        )


def run_tunnelled(test, answer=None, **options) -> None:
    """Run a test; ``answer`` serves the upstream's connections, without it nothing listens."""

    async def run() -> None:
        world = Tunnelled(**options)
        listener = None
        if answer is not None:
            listener = await NETWORK.listen(world.upstream, answer)
        await world.server.listen(world.server_address)
        try:
            async with asyncio.timeout(30):
                await test(world)
        finally:
            await world.server.close()
            if listener is not None:
                listener.close()

    asyncio.run(run())


async def read_request(reader) -> bytes:
    """Read a request without a body."""
    return await reader.readuntil(b"\r\n\r\n")


async def answer_with_length(reader, writer):
    await read_request(reader)
    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)
    await writer.drain()
    writer.close()


async def answer_without_length(reader, writer):
    await read_request(reader)
    writer.write(HEAD + b"\r\n" + BODY)
    await writer.drain()
    writer.close()


async def reset_amid_answer_without_length(reader, writer):
    await read_request(reader)
    writer.write(HEAD + b"\r\npart")
    await writer.drain()
    await asyncio.sleep(0.1)
    reset(writer.transport)


@pytest.mark.parametrize("answer", [answer_with_length, answer_without_length])
def test_whole_answer_arrives(answer):
    async def test(world):
        async with world.network.http_client() as session:
            async with session.get(world.upstream.url) as response:
                assert await response.read() == BODY
        while world.server.open_count:
            await asyncio.sleep(0.01)

    run_tunnelled(test, answer)


# Guards against a cut answer that looks complete, since it ends with its connection.
def test_reset_of_the_upstream_is_seen_as_one():
    async def test(world):
        async with world.network.http_client() as session:
            async with session.get(world.upstream.url) as response:
                protocol = response.connection.protocol
                while await response.content.readany():
                    pass
                assert isinstance(protocol.exception(), OSError)

    run_tunnelled(test, reset_amid_answer_without_length)


# Guards against the same where the node of the tunnel ends.
def test_end_of_the_tunnel_server_is_seen_as_a_reset():
    async def hang(reader, writer):
        await read_request(reader)
        writer.write(HEAD + b"\r\npart")
        await asyncio.sleep(3600)

    async def test(world):
        async with world.network.http_client() as session:
            async with session.get(world.upstream.url) as response:
                protocol = response.connection.protocol
                assert await response.content.readany() == b"part"
                await world.server.close()
                assert await response.content.readany() == b""
                assert isinstance(protocol.exception(), OSError)

    run_tunnelled(test, hang)


# Guards against upstreams that go on working for callers who left.
def test_upstream_sees_that_the_caller_left():
    left = asyncio.Event()

    async def wait_for_end(reader, writer):
        await read_request(reader)
        await reader.read()
        left.set()
        writer.close()

    async def test(world):
        async with world.network.http_client() as session:
            with pytest.raises((aiohttp.ClientError, TimeoutError)):
                async with asyncio.timeout(0.2), session.get(world.upstream.url):
                    pass
        await left.wait()

    run_tunnelled(test, wait_for_end)


@pytest.mark.parametrize(
    ("options", "secret"),
    [
        ({}, "another"),
        ({}, ""),
        ({"secrets": ()}, ""),
        ({"is_listed": False}, SECRET),
    ],
)
def test_tunnels_open_only_for_nodes_and_to_listed_upstreams(options, secret):
    async def test(world):
        with pytest.raises(TunnelError) as error:
            await world.ask(secret)
        assert error.value.outcome is TunnelOutcome.DENIED

    run_tunnelled(test, answer_with_length, **options)


def test_secret_of_the_previous_coordinator_still_opens_tunnels():
    async def test(world):
        connection = await world.ask("previous")
        connection.transport.close()

    run_tunnelled(test, answer_with_length, secrets=(SECRET, "previous"))


def test_upstream_that_refuses_another_node_too_has_ended():
    async def test(world):
        assert await world.network.process_state(world.upstream) is ProcessState.ENDED

    run_tunnelled(test)


@pytest.mark.parametrize(
    "data", [b"\xff" * 64, LENGTH.pack(3) + b"\xff\xff\xff", b"GET / HTTP/1.1"]
)
def test_malformed_request_ends_only_its_own_connection(data):
    async def test(world):
        reader, writer = await NETWORK.connect(world.server_address)
        writer.write(data)
        writer.write_eof()
        with contextlib.suppress(OSError):
            assert await reader.read() == b""
        writer.close()
        connection = await world.ask()
        connection.transport.close()

    run_tunnelled(test, answer_with_length)


# Guards against giving up tunnel servers for an upstream that nobody reaches.
def test_server_that_cannot_reach_one_upstream_stays_in_use():
    async def test(world):
        with pytest.raises(OSError):
            await world.network.open(asyncio.Protocol, world.upstream)
        assert world.network.tunnel_servers.choose(1) == [world.server_address]

    run_tunnelled(test)


def test_server_that_denies_tunnels_or_is_gone_is_left_out_for_a_while():
    async def test(world):
        with pytest.raises(OSError):
            await world.network.open(asyncio.Protocol, world.upstream)
        assert world.network.tunnel_servers.choose(1) == []

    run_tunnelled(test, is_listed=False)


# Guards against ends of upstreams that a node misses, since the node that it asks is gone, too.
def test_refused_connection_counts_while_the_tunnel_server_is_gone():
    async def test(world):
        world.network.reachability.note_connected(world.upstream)
        assert await world.network.process_state(world.upstream) is ProcessState.ENDED
        await world.server.close()
        assert await world.network.process_state(world.upstream) is ProcessState.ENDED

    run_tunnelled(test)
