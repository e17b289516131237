"""An upstream that is leaving receives no new work after a few seconds."""

import asyncio

import pytest

from mulleinreach.standins.faults import Fault
from mulleinreach.standins.world import WorldSpec
from mulleinreach.stores import HostState
from tests.support import run_deployed

LEAVING_S = 3.0


def is_used(node, host):
    groups = {g.replica: g for g in node.replicas.all_groups()}
    used = node.replicas.candidates("tint-model")
    return any(host in groups[c.replica].hosts for c in used)


async def seconds_until_unused(d, host):
    return await d.world.until(lambda: not any(is_used(n, host) for n in d.nodes), 10, 0.01)


def test_by_the_host_list():
    async def scenario(d):
        host = d.group(0).hosts[1]
        d.world.host_list.set_state(host, HostState.LEAVING)
        assert await seconds_until_unused(d, host) <= LEAVING_S
        await d.until_serving(4)

    run_deployed(scenario)


def test_by_the_host_list_as_one_node_alone_sees_it():
    """The other nodes can't read the list; their peer tells them."""

    async def scenario(d):
        host = d.group(0).hosts[1]
        for node in d.nodes[1:]:
            d.world.links.cut(node.name, "host-list")
        d.world.host_list.set_state(host, HostState.LEAVING)
        assert await seconds_until_unused(d, host) <= LEAVING_S

    run_deployed(scenario)


@pytest.mark.parametrize("listing", [Fault.NONE, Fault.HANG])
def test_by_the_operator_while_the_host_list_lags_or_is_down(listing):
    async def scenario(d):
        host = d.group(0).hosts[1]
        d.world.host_list.set_state(host, HostState.LEAVING)
        d.world.host_list.fault = listing
        plan = await d.operator.plan(d.nodes[0], drain=[host])
        confirming = asyncio.create_task(d.operator.confirm(d.nodes[1], plan.json["id"]))
        assert await seconds_until_unused(d, host) <= LEAVING_S
        assert (await confirming).json["accepted"]

    run_deployed(scenario, WorldSpec(host_list_lag_s=30.0))


def test_a_drained_host_reaches_a_node_that_is_cut_off_from_the_table():
    async def scenario(d):
        await asyncio.sleep(5)
        host = d.group(0).hosts[1]
        d.world.links.cut(d.nodes[2].name, "table")
        plan = await d.operator.plan(d.nodes[0], drain=[host])
        confirming = asyncio.create_task(d.operator.confirm(d.nodes[0], plan.json["id"]))
        assert await seconds_until_unused(d, host) <= LEAVING_S
        assert (await confirming).json["accepted"]

    run_deployed(scenario)


def test_a_drain_counts_though_no_node_holds_the_duty_of_the_groups():
    async def scenario(d):
        await asyncio.sleep(5)
        host = d.group(0).hosts[1]
        plan = await d.operator.plan(d.nodes[0], drain=[host])
        await d.world.kill_node(d.holder().name)
        confirming = asyncio.create_task(d.operator.confirm(d.nodes[0], plan.json["id"]))
        assert await seconds_until_unused(d, host) <= LEAVING_S
        assert d.holder() is None, "the lease has not lapsed yet"
        assert (await confirming).json["accepted"]

    run_deployed(scenario)


def test_a_plain_host_that_leaves():
    async def scenario(d):
        for node in d.nodes[1:]:
            d.world.links.cut(node.name, "host-list")
        d.world.host_list.set_state("desk-1", HostState.LEAVING)
        await asyncio.sleep(LEAVING_S)
        for number in range(12):
            path = "/services/shop-desk/status"
            reply = await d.caller.request(d.nodes[number % 3], "GET", path)
            assert reply.json["by"] == "desk-2"

    run_deployed(scenario)


def test_returned_hosts_get_work_again():
    async def scenario(d):
        host = d.group(0).hosts[1]
        await d.apply(drain=[host])
        await seconds_until_unused(d, host)
        reply = await d.apply(undrain=[host])
        assert reply.json["accepted"], reply.body
        view = d.holder().controller.view()
        assert not view.hosts[host].leaving

    run_deployed(scenario)
