"""Calls on connections to the store that stall without a reset end within their timeouts."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.ports import Unavailable
from mulleinreach.gateway.stored_rows import RowState, StoreRow, StoreRows, Written
from mulleinreach.platform.store import (
    READ_TIMEOUT_S,
    WAIT_ANSWER_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    PlatformStore,
)
from mulleinreach.platform.tests.standin import StoreStandIn
from mulleinreach.standins.gateway.store import MemoryStore
from mulleinreach.standins.links import Links
from mulleinreach.standins.virtual import VirtualNetwork, run_virtual

STORE_ADDRESS = Address("10.9.0.1", 8000)
TABLE = "servers"
WAIT_S = 2.0
# Upper bound for a call on a new connection.
ANSWER_BOUND_S = 0.1
# Number of concurrent calls, and so of connections, of a node.
CONNECTIONS = 3


class _StoreFixture:
    """A fake store and its client, whose connections can be stalled."""

    def __init__(self) -> None:
        self.memory = MemoryStore()
        self.links = Links()
        self.network = VirtualNetwork(self.links, "node")

    async def open(self) -> None:
        app = StoreStandIn(self.memory).app()
        self._server = await self.network.serve_http(app, STORE_ADDRESS)
        self.store = PlatformStore(self.network.http_client, STORE_ADDRESS)

    async def close(self) -> None:
        await self.store.close()
        await self._server.close()

    def silence(self, connections: slice = slice(None)) -> None:
        """Stall open connections without closing them."""
        self.links.silence(["node"], connections)

    async def use_connections(self) -> None:
        """Open as many connections as a node uses concurrently, and leave them idle."""
        await asyncio.gather(*(self.read() for _ in range(CONNECTIONS)))

    async def read(self) -> StoreRow | None | Unavailable:
        return await self.store.read_row(TABLE, "a")

    async def wait(self) -> StoreRows | Unavailable:
        return await self.store.wait(TABLE, self.memory.version, WAIT_S)

    async def write(self) -> Written | Unavailable:
        row = RowState("lease", "row", self.memory.get("lease", "row").version)
        return await self.store.write_row(row, {}, [])


def run_store(test) -> None:
    """Run a test with a store whose table has one row."""

    async def run() -> None:
        world = _StoreFixture()
        world.memory.put(TABLE, "a", {"n": 1})
        await world.open()
        try:
            await test(world)
        finally:
            await world.close()

    run_virtual(run())


async def timed(call) -> tuple[object, float]:
    """Return the result of a call and its duration in seconds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    return await call, loop.time() - started_at


@pytest.mark.parametrize(
    ("name", "bound_s"),
    [
        ("read", READ_TIMEOUT_S),
        ("wait", WAIT_S + WAIT_ANSWER_TIMEOUT_S),
        ("write", WRITE_TIMEOUT_S),
    ],
)
def test_call_ends_within_its_bound_and_the_next_one_is_answered(name, bound_s):
    async def test(world):
        await world.use_connections()
        world.silence()
        result, took_s = await timed(getattr(world, name)())
        assert isinstance(result, Unavailable)
        assert took_s <= bound_s + ANSWER_BOUND_S
        result, took_s = await timed(world.read())
        assert isinstance(result, StoreRow)
        assert took_s < ANSWER_BOUND_S

    run_store(test)


def test_wait_is_retried_once_another_call_shows_silent_connections():
    async def test(world):
        await world.use_connections()
        waiting = asyncio.create_task(timed(world.wait()))
        await asyncio.sleep(ANSWER_BOUND_S)
        world.silence()
        world.memory.put(TABLE, "b", {"n": 2})
        assert isinstance(await world.write(), Unavailable)
        assert isinstance(await world.write(), Written)
        result, took_s = await waiting
        assert [row.key for row in result.rows] == ["b"]
        assert took_s < WRITE_TIMEOUT_S + 3 * ANSWER_BOUND_S

    run_store(test)


def test_wait_on_a_silent_connection_returns_changes_within_its_bound():
    async def test(world):
        waiting = asyncio.create_task(timed(world.wait()))
        await asyncio.sleep(ANSWER_BOUND_S)
        world.silence()
        assert isinstance(await world.read(), StoreRow)
        world.memory.put(TABLE, "b", {"n": 2})
        result, took_s = await waiting
        assert [row.key for row in result.rows] == ["b"]
        assert took_s < WAIT_S + WAIT_ANSWER_TIMEOUT_S + ANSWER_BOUND_S

    run_store(test)


def test_wait_is_not_retried_if_the_store_answers_no_call():
    async def test(world):
        requests = []

        async def hang(*arguments):
            requests.append(arguments)
            await asyncio.sleep(3600)

        world.memory.wait = hang
        assert isinstance(await world.wait(), Unavailable)
        assert len(requests) == 1

    run_store(test)
