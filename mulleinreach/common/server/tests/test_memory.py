"""The sum of what connections hold: requests that are read, and answers that aren't taken."""

from __future__ import annotations

import asyncio

from mulleinreach.common.server.memory import MemoryLedger
from mulleinreach.common.server.tests.support import RawClient, request, run_server

LARGE = b"b" * 300_000


def test_request_that_runs_is_not_evicted():
    ledger = MemoryLedger(100)
    evicted = []
    running = ledger.open(lambda: evicted.append("running"))
    assert running.try_charge(90)
    assert running.begin_run()
    assert not ledger.open(lambda: None).try_charge(20)
    assert evicted == []


def test_answers_evict_requests_that_do_not_run_before_other_answers():
    ledger = MemoryLedger(100)
    evicted = []
    pending, answered = (ledger.open(lambda n=name: evicted.append(n)) for name in "pa")
    assert pending.try_charge(30)
    answered.hold_answer(60)
    ledger.open(lambda: None).hold_answer(40)
    assert evicted == ["p"]
    ledger.open(lambda: None).hold_answer(10)
    assert evicted == ["p", "a"]
    assert ledger.held_bytes <= ledger.limit_bytes


def test_request_evicts_only_answers_that_are_not_taken():
    ledger = MemoryLedger(100)
    answered = ledger.open(lambda: None)
    answered.hold_answer(90)
    newcomer = ledger.open(lambda: None)
    assert not newcomer.try_charge(20)
    answered.is_stalled = True
    assert newcomer.try_charge(20)
    assert answered.is_evicted


# Guards against bodies that are each within their limit, but not their sum.
def test_sum_of_bodies_is_bounded_and_a_small_request_is_served_beside_them():
    async def test(server):
        clients = [await RawClient.open() for _ in range(4)]
        for client in clients:
            client.writer.write(request("/large", LARGE)[:-1])
        await asyncio.sleep(1)
        assert server.bounds.memory.held_bytes <= server.bounds.memory.limit_bytes
        small = await RawClient.open()
        small.writer.write(request("/small", b"s"))
        assert await small.read_answer() == (200, b"/small s")
        heads = [await _read_head(client) for client in clients]
        refusals = [head for head in heads if head is not None]
        assert 0 < len(refusals) < len(clients)
        assert all(h.startswith(b"HTTP/1.1 503") and b"Retry-After: 1" in h for h in refusals)

    run_server(test)


async def _read_head(client: RawClient) -> bytes | None:
    """Return the head of an answer that has arrived; ``None`` if none has."""
    try:
        async with asyncio.timeout(0.1):
            return await client.reader.readuntil(b"\r\n\r\n")
    except TimeoutError:
        return None


# Guards against a large body that keeps the memory which many small requests need.
def test_largest_body_makes_way_for_smaller_requests():
    async def test(server):
        server.gate.clear()
        large = await RawClient.open()
        large.writer.write(request("/large", LARGE)[:-1])
        small = [await RawClient.open() for _ in range(25)]
        for client in small:
            client.writer.write(request("/small", b"s" * 3000))
        await asyncio.sleep(1)
        assert server.bounds.memory.evictions == 1
        assert (await _read_head(large)).startswith(b"HTTP/1.1 503")
        server.gate.set()
        assert all([(await client.read_answer())[0] == 200 for client in small])

    run_server(test)


# Guards against answers that stay in memory since their clients don't take them.
def test_answers_that_are_not_taken_make_way():
    async def test(server):
        clients = [await RawClient.open() for _ in range(8)]
        for client in clients:
            client.reader._transport.pause_reading()
            client.writer.write(request("/large", LARGE))
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        assert server.bounds.memory.held_bytes <= server.bounds.memory.limit_bytes
        small = await RawClient.open()
        small.writer.write(request("/small", b"s"))
        assert await small.read_answer() == (200, b"/small s")

    run_server(test)


def test_client_that_takes_nothing_of_its_answer_is_closed_after_the_idle_timeout():
    async def test(server):
        client = await RawClient.open()
        client.reader._transport.pause_reading()
        client.writer.write(request("/large", LARGE))
        await asyncio.sleep(server.timeouts.idle_s - 1)
        assert len(server.bounds.connections) == 1
        await asyncio.sleep(3)
        assert len(server.bounds.connections) == 0
        assert server.closed == ["answer not taken"]

    run_server(test)
