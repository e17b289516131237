"""An accepted configuration is in force on every host within seconds and never reverts."""

import asyncio

import pytest

from mulleinreach.standins.faults import Fault
from mulleinreach.standins.people import demo_intent
from mulleinreach.standins.world import WorldSpec
from tests.support import run_deployed

FRESH_S = 2.5
WITHOUT_KEY = {"organisations": [demo_intent()["organisations"][1]]}


async def statuses(d):
    """Return what each node answers to the first organisation's key."""
    replies = [await d.caller.request(node, "GET", "/v1/models") for node in d.nodes]
    return [reply.status for reply in replies]


async def one_node_dead(d):
    await d.world.kill_node(d.nodes[2].name)


async def table_slow(d):
    d.world.table.delay_s = 0.7


async def all_well(d):
    await asyncio.sleep(0)


@pytest.mark.parametrize("trouble", [all_well, one_node_dead, table_slow])
def test_it_is_accepted_within_five_seconds_and_in_force_everywhere(trouble):
    async def scenario(d):
        await asyncio.sleep(5)
        await trouble(d)
        plan = await d.operator.plan(d.nodes[1], intent=demo_intent(**WITHOUT_KEY))
        began = d.now
        reply = await d.operator.confirm(d.nodes[1], plan.json["id"])
        assert reply.json["accepted"], reply.body
        assert d.now - began <= 5.0
        d.world.table.delay_s = 0.0
        assert set(await statuses(d)) == {401}

    run_deployed(scenario)


def test_a_node_that_is_cut_off_stops_by_itself_before_a_change_is_accepted():
    async def scenario(d):
        await asyncio.sleep(5)
        alone = d.nodes[2]
        for other in [*d.world.nodes, "table"]:
            if other != alone.name:
                d.world.links.cut_both(alone.name, other)
        d.world.links.cut(alone.name, "host-list")
        reply = await d.operator.apply(d.nodes[0], intent=demo_intent(**WITHOUT_KEY))
        assert reply.json["accepted"], reply.body
        refused = await d.caller.request(alone, "GET", "/v1/models")
        assert (refused.status, refused.error["code"]) == (503, "stale_configuration")
        assert (await d.caller.request(alone, "GET", "/readyz")).status == 503
        d.world.links.mend()
        await d.world.until(alone.force.is_fresh, 10)
        assert set(await statuses(d)) == {401}

    run_deployed(scenario)


def test_a_table_outage_stops_no_traffic_and_confirms_nothing():
    async def scenario(d):
        await asyncio.sleep(5)
        plan = await d.operator.plan(d.nodes[0], intent=demo_intent(replicas=3))
        d.world.table.fault = Fault.HANG
        await asyncio.sleep(60)
        assert set(await statuses(d)) == {200}
        reply = await d.operator.confirm(d.nodes[0], plan.json["id"])
        assert (reply.status, reply.error["code"]) == (503, "platform_unavailable")
        answer = await d.caller.complete(d.nodes[1], "x")
        assert answer.status == 200
        d.world.table.fault = Fault.NONE
        reply = await d.operator.confirm(d.nodes[0], plan.json["id"])
        assert reply.json["accepted"], reply.body

    run_deployed(scenario)


def test_a_node_that_restarts_in_an_outage_of_the_table_waits_for_it():
    async def scenario(d):
        await asyncio.sleep(5)
        d.world.table.fault = Fault.HANG
        name = d.nodes[0].name
        await d.world.kill_node(name)
        node = await d.world.start_node(name)
        await asyncio.sleep(20)
        assert node.force.version == 0
        assert not node.force.vouches()
        assert (await d.caller.request(node, "GET", "/v1/models")).status == 503
        d.world.table.fault = Fault.NONE
        await d.world.until(node.force.is_fresh, 10)

    run_deployed(scenario)


def test_a_confirmation_whose_answer_is_lost_is_one_change():
    async def scenario(d):
        await asyncio.sleep(5)
        plan = await d.operator.plan(d.nodes[0], intent=demo_intent(replicas=3))
        d.world.table.lose_next_answers(1)
        first = await d.operator.confirm(d.nodes[0], plan.json["id"])
        again = await d.operator.confirm(d.nodes[1], plan.json["id"])
        assert first.status == again.status == 200
        assert first.json["config_version"] == again.json["config_version"]
        assert again.json["repeated"]

    run_deployed(scenario)


def test_voters_that_are_gone_are_replaced_without_an_operator():
    async def scenario(d):
        await asyncio.sleep(5)
        gone = d.nodes[2].name
        await d.world.kill_node(gone)
        await asyncio.sleep(40)
        assert gone not in d.nodes[0].force.document.voters
        reply = await d.apply(intent=demo_intent(replicas=3))
        assert reply.json["accepted"], reply.body
        await d.world.start_node(gone)
        await asyncio.sleep(30)
        assert gone in d.nodes[0].force.document.voters

    run_deployed(scenario)


def test_a_node_that_is_silent_for_long_is_forgotten_and_may_come_back():
    async def scenario(d):
        gone = next(n for n in d.nodes if not n.lease.is_held()).name
        await d.world.kill_node(gone)
        holder = d.holder()
        # Ten minutes of silence, without playing them out.
        holder.voters._held_since -= 700
        holder.roster.peers[gone].answered_at -= 700
        await asyncio.sleep(45)
        assert gone not in holder.roster.node_names()
        node = await d.world.start_node(gone)
        await d.world.until(lambda: gone in holder.roster.live_node_names(), 20)
        assert node.force.is_fresh()

    run_deployed(scenario)


def test_most_voters_lost_at_once_while_the_table_is_up():
    """Nodes go on by the table; the change waits until lost voters come back."""

    async def scenario(d):
        await asyncio.sleep(5)
        lost = [node.name for node in d.nodes[1:]]
        for name in lost:
            await d.world.kill_node(name)
        await asyncio.sleep(10)
        plan = await d.operator.plan(d.nodes[0], intent=demo_intent(replicas=3))
        task = asyncio.create_task(d.operator.confirm(d.nodes[0], plan.json["id"]))
        await asyncio.sleep(10)
        assert not task.done()
        assert set(await statuses(d)) == {200}
        await d.world.start_node(lost[0])
        assert (await task).json["accepted"]

    run_deployed(scenario, WorldSpec(nodes=3))
