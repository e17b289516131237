"""The number of connections, and which of them are closed if there are too many."""

from __future__ import annotations

import asyncio
import socket

import pytest

from mulleinreach.common import Address
from mulleinreach.common.server.connections import LONG_REQUEST_S
from mulleinreach.common.server.tests.support import EchoServer, RawClient, request, run_server


# Guards against idle connections that take all descriptors of a process.
def test_connection_that_has_been_idle_for_longest_makes_way():
    async def test(server):
        first, second, third = [await RawClient.open() for _ in range(3)]
        first.writer.write(request("/1"))
        assert (await first.read_answer())[0] == 200
        fourth = await RawClient.open()
        assert await second.is_closed(1.0)
        for client in (first, third, fourth):
            client.writer.write(request("/2"))
            assert (await client.read_answer())[0] == 200

    run_server(test, max_connections=3)


def test_connections_in_use_do_not_make_way():
    async def test(server):
        server.gate.clear()
        busy = [await RawClient.open() for _ in range(3)]
        for client in busy:
            client.writer.write(request("/1"))
        await asyncio.sleep(0.1)
        assert await (await RawClient.open()).is_closed(1.0)
        server.gate.set()
        assert [await client.read_answer() for client in busy] == [(200, b"/1 ")] * 3

    run_server(test, max_connections=3)


def test_connection_whose_client_takes_nothing_makes_way():
    async def test(server):
        busy = [await RawClient.open() for _ in range(3)]
        for client in busy:
            client.reader._transport.pause_reading()
            client.writer.write(request("/large", b"b" * 250_000))
        await asyncio.sleep(4)
        fourth = await RawClient.open()
        fourth.writer.write(request("/2"))
        assert await fourth.read_answer() == (200, b"/2 ")
        assert server.closed == ["too many connections, answer not taken"]

    run_server(test, max_connections=3, memory_bytes=10_000_000)


# Guards against long requests that keep all others out.
def test_longest_request_makes_way_if_all_connections_are_in_use():
    async def test(server):
        server.gate.clear()
        busy = [await RawClient.open() for _ in range(3)]
        for number, client in enumerate(busy):
            client.writer.write(request(f"/{number}"))
            await asyncio.sleep(1)
        await asyncio.sleep(LONG_REQUEST_S)
        newest = await RawClient.open()
        newest.writer.write(request("/new"))
        await asyncio.sleep(1)
        assert server.cancelled == ["/0"]
        server.gate.set()
        assert await newest.read_answer() == (200, b"/new ")

    run_server(test, max_connections=3)


# Guards against connections that are closed as idle while a request's head arrives on them.
def test_connection_on_which_a_head_has_begun_is_not_closed_as_idle():
    async def test(server):
        client = await RawClient.open()
        client.writer.write(request("/1"))
        assert (await client.read_answer())[0] == 200
        await asyncio.sleep(server.timeouts.idle_s - 0.3)
        whole = request("/2")
        client.writer.write(whole[:20])
        await asyncio.sleep(1.5)
        client.writer.write(whole[20:])
        assert await client.read_answer() == (200, b"/2 ")

    run_server(test)


# Guards against draining that keeps connections open, or closes those that are owed an answer.
def test_draining_closes_each_connection_as_it_becomes_unused():
    async def test(server):
        server.gate.clear()
        unused, begun, busy = [await RawClient.open() for _ in range(3)]
        begun.writer.write(request("/begun")[:20])
        busy.writer.write(request("/busy"))
        await asyncio.sleep(0.1)
        server.bounds.connections.begin_draining()
        assert await unused.is_closed(0.1)
        begun.writer.write(request("/begun")[20:])
        await asyncio.sleep(0.1)
        assert server.bounds.connections.owes_answers()
        server.gate.set()
        assert await begun.read_answer() == (200, b"/begun ")
        assert await busy.read_answer() == (200, b"/busy ")
        assert await begun.is_closed(0.1)
        assert await busy.is_closed(0.1)
        assert not server.bounds.connections.owes_answers()

    run_server(test)


# Guards against bytes that the parser keeps to itself, so that nobody knows of them.
@pytest.mark.parametrize("body", [b"", b"two tins"])
@pytest.mark.parametrize("cut", range(0, 120, 7))
def test_bytes_behind_a_request_are_known_however_they_are_cut(body, cut):
    async def test(server):
        server.gate.clear()
        client = await RawClient.open()
        data = request("/1", body) + request("/2", body)
        client.writer.write(data[:cut])
        await asyncio.sleep(0.1)
        client.writer.write(data[cut:])
        await asyncio.sleep(0.1)
        [connection] = server.bounds.connections._busy_since
        assert connection.has_read_ahead
        server.gate.set()
        assert await client.read_answer() == (200, b"/1 " + body)
        assert await client.read_answer() == (200, b"/2 " + body)
        assert not connection.has_read_ahead

    run_server(test)


# Guards against requests that have come, unread, when unused connections are closed.
def test_draining_answers_what_has_come_on_unused_connections():
    async def test():
        server = EchoServer(address=Address("127.0.0.1", 0))
        await server.start()
        try:
            clients = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(3)]
            await asyncio.sleep(0.1)
            for client in clients:
                client.sendall(request("/late"))
            # The event loop has no turn between the requests and this.
            server.bounds.connections.begin_draining()
            heads = [await asyncio.to_thread(client.recv, 12) for client in clients]
            assert heads == [b"HTTP/1.1 200"] * 3
            assert not server.bounds.connections.owes_answers()
        finally:
            for client in clients:
                client.close()
            await server.close()

    asyncio.run(test())
