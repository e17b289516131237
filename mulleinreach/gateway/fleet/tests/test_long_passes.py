"""A coordinator whose passes take long leaves time for everything else."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.gateway.tests.support import run_world


# Guards against a control loop that takes the whole processor at thousands of hosts.
@pytest.mark.parametrize("pass_s", [0.0, 0.02, 0.1, 0.4])
def test_pause_after_a_pass_is_as_long_as_the_pass(pass_s):
    async def test(world):
        await world.until(lambda: world.coordinator() is not None)
        node = world.nodes[world.coordinator()]
        loop = asyncio.get_running_loop()
        ended_at = []

        def run_long_pass():
            # The virtual time stands still during a pass.
            node.clock.suspended_s += pass_s
            ended_at.append(loop.time())

        node.controller._run_pass = run_long_pass
        await asyncio.sleep(3)
        pauses = [after - before for before, after in zip(ended_at, ended_at[1:], strict=False)]
        assert min(pauses) >= max(pass_s, 0.03) - 1e-6

    run_world(test, domains=1)
