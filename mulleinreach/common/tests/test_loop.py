"""Guards against timers that ignore the time in which the machine was suspended."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from mulleinreach.common import loop as loop_module
from mulleinreach.common.loop import ACCEPT_BATCH, SuspendAwareEventLoop, suspended_s


class FakeSystemClocks:
    """Replaces the ``time`` module; one of its clocks includes suspended time."""

    def __init__(self) -> None:
        self.suspended_for_s = 0.0

    def clock_gettime(self, clock: int) -> float:
        """Return the time of the clock that includes suspension."""
        assert clock == loop_module._BOOT_CLOCK
        return time.monotonic() + self.suspended_for_s

    @staticmethod
    def monotonic() -> float:
        """Return the time of the clock that stops during suspension."""
        return time.monotonic()


@pytest.fixture
def machine(monkeypatch):
    fake_clocks = FakeSystemClocks()
    monkeypatch.setattr(loop_module, "time", fake_clocks)
    return fake_clocks


def run(main):
    """Run a coroutine on a new loop."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main)


def test_sleep_that_expires_during_suspension_ends_on_resume(machine):
    async def main():
        sleeping = asyncio.create_task(asyncio.sleep(600))
        await asyncio.sleep(0.01)
        machine.suspended_for_s = 700
        async with asyncio.timeout(1000):
            await sleeping

    started_at = time.monotonic()
    run(main())
    # A loop that ignores suspension would take 600 s.
    assert time.monotonic() - started_at < 60


def test_timeout_that_passes_during_suspension_expires_on_resume(machine):
    async def main():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(600):
                machine.suspended_for_s = 700
                await asyncio.sleep(0)
                await asyncio.sleep(1000)

    started_at = time.monotonic()
    run(main())
    assert time.monotonic() - started_at < 60


def test_suspended_time_is_reported(machine):
    before = suspended_s()
    machine.suspended_for_s = 7
    assert suspended_s() - before == pytest.approx(7, abs=1)


# Guards against a crowd whose descriptors are all accepted before any of them can be closed.
def test_connections_are_accepted_in_batches():
    async def count_first_batch() -> int:
        accepted = []
        listener = socket.create_server(("127.0.0.1", 0), backlog=100)
        clients = [socket.create_connection(listener.getsockname()) for _ in range(40)]
        loop = asyncio.get_running_loop()
        loop._accept_connection2 = lambda factory, connection, *rest: _note(accepted, connection)
        server = await loop.create_server(asyncio.Protocol, sock=listener, backlog=100)
        while not accepted:
            await asyncio.sleep(0)
        count = len(accepted)
        server.close()
        for each in [*clients, *accepted]:
            each.close()
        return count

    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        assert 0 < runner.run(count_first_batch()) <= ACCEPT_BATCH


async def _note(accepted: list[socket.socket], connection: socket.socket) -> None:
    accepted.append(connection)
