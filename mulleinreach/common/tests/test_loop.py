"""Timers count the time for which the machine was suspended."""

from __future__ import annotations

import asyncio
import time

import pytest

from mulleinreach.common import loop as loop_module
from mulleinreach.common.loop import SuspendAwareEventLoop, suspended_s


class FakeSystemClocks:
    """The machine's clocks, of which one goes on in suspension."""

    def __init__(self) -> None:
        self.suspended_for_s = 0.0

    def clock_gettime(self, clock: int) -> float:
        """Return the time of a clock that counts suspension."""
        assert clock == loop_module._BOOT_CLOCK
        return time.monotonic() + self.suspended_for_s

    @staticmethod
    def monotonic() -> float:
        """Return the time of the clock that stands still meanwhile."""
        return time.monotonic()


@pytest.fixture
def machine(monkeypatch):
    fake_clocks = FakeSystemClocks()
    monkeypatch.setattr(loop_module, "time", fake_clocks)
    return fake_clocks


def run(main):
    """Run a coroutine on a loop of its own."""
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
    # Ten minutes on a loop that does not count suspension.
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
