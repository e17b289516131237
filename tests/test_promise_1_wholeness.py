"""No replica serves while any of its hosts is missing."""

import asyncio

import pytest

from mulleinreach.standins.faults import Fault
from mulleinreach.standins.world import WorldSpec
from tests.invariants import Invariants
from tests.support import run_deployed

WITHDRAWAL_S = 3.0


def kill(d, host):
    d.world.kill_host(host)


def freeze(d, host):
    d.world.engines[host].pause()


def restart(d, host):
    d.world.restart_host(host)


def is_used(node, replica):
    return any(c.replica == replica for c in node.replicas.candidates("tint-model"))


@pytest.mark.parametrize("table", [Fault.NONE, Fault.HANG])
@pytest.mark.parametrize("lose", [kill, freeze, restart])
@pytest.mark.parametrize("member", [0, 3])
def test_a_lost_member_withdraws_the_replica_at_every_node(lose, member, table):
    async def scenario(d):
        group = d.group(1)
        d.world.table.fault = table
        lose(d, group.hosts[member])
        taken = await d.world.until(
            lambda: not any(is_used(node, group.replica) for node in d.nodes), 10, 0.01
        )
        assert taken <= WITHDRAWAL_S

    run_deployed(scenario)


@pytest.mark.parametrize("unchecked", [(), ("fabric-a", "fabric-b")])
def test_an_engine_of_a_lost_group_that_wakes_up_is_not_used_under_its_old_epoch(unchecked):
    async def scenario(d):
        invariants = Invariants(d)
        watching = asyncio.create_task(invariants.watch())
        group = d.group(1)
        frozen = d.world.engines[group.hosts[0]]
        frozen.pause()
        await d.world.until(
            lambda: all(
                g.epoch > group.epoch
                for g in d.nodes[0].replicas.all_groups()
                if g.replica == group.replica
            )
        )
        await d.until_serving(4)
        ran_before = len(frozen.ran)
        frozen.resume()
        for number in range(60):
            await d.caller.complete(d.nodes[number % 3], f"prompt {number}", max_tokens=1)
            await asyncio.sleep(0.1)
        watching.cancel()
        assert len(frozen.ran) == ran_before
        assert frozen.state.epoch > group.epoch, "it was told to stop"
        assert invariants.broken == []

    run_deployed(scenario, WorldSpec(unchecked_domains=unchecked))


def test_a_short_pause_dissolves_nothing():
    async def scenario(d):
        group = d.group(1)
        engine = d.world.engines[group.hosts[2]]
        engine.pause()
        await asyncio.sleep(1.5)
        engine.resume()
        await asyncio.sleep(10)
        assert d.group(1) == group
        assert all(is_used(node, group.replica) for node in d.nodes)

    run_deployed(scenario)


def test_a_node_cut_off_from_the_watchers_stops_using_replicas():
    """Evidence ages out by itself: nobody has to tell."""

    async def scenario(d):
        alone = d.nodes[0]
        for other in [*d.world.nodes, *d.world.engines]:
            if other != alone.name:
                d.world.links.cut_both(alone.name, other)
        await asyncio.sleep(WITHDRAWAL_S)
        assert d.world.usable("tint-model", alone.name) == 0

    run_deployed(scenario)
