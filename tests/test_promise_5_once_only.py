"""A request marked as unrepeatable runs at most once."""

import asyncio

import pytest

from mulleinreach.requests.claims import ClaimState, claim_key
from mulleinreach.standins.faults import Fault
from tests.support import gather_all, run_deployed

ORDERS = "/services/shop-desk/orders"


def order(d, node, key="k1", body=b"2 tins"):
    headers = {"idempotency-key": key}
    return d.caller.request(node, "POST", ORDERS, data=body, headers=headers)


def ran(d):
    return sum(len(desk.orders) for desk in d.world.plain.values())


def claim_row(d, key="k1"):
    return d.world.table.value(claim_key("shop-lagos", "shop-desk", key))


def test_the_same_key_at_all_nodes_at_once_runs_once():
    async def scenario(d):
        replies = await gather_all(*(order(d, node) for node in d.nodes * 3))
        assert ran(d) == 1
        assert {reply.status for reply in replies} <= {200, 409}
        assert sum("idempotency-replayed" not in r.headers for r in replies if r.status == 200) == 1
        told = {reply.error["ran"] for reply in replies if reply.status == 409}
        assert told <= {"ran", "unknown"}

    run_deployed(scenario)


def test_a_node_killed_after_its_claim_leaves_the_outcome_unknown():
    async def scenario(d):
        first, second = d.nodes[:2]
        for desk in d.world.plain.values():
            desk.delay_s = 5.0
        lost = asyncio.create_task(order(d, first))
        await d.world.until(lambda: ran(d) == 1)
        await d.world.kill_node(first.name)
        await gather_all(lost)
        reply = await order(d, second)
        assert (reply.status, reply.error["ran"]) == (409, "unknown")
        assert ran(d) == 1

    run_deployed(scenario)


def test_a_claim_whose_answer_is_lost_is_read_back_and_runs_once():
    async def scenario(d):
        d.world.table.lose_next_answers(1)
        reply = await order(d, d.nodes[0])
        assert reply.status == 200
        assert ran(d) == 1
        await asyncio.sleep(2)
        assert claim_row(d)["state"] == ClaimState.RAN

    run_deployed(scenario)


def test_with_the_table_down_it_is_refused_as_not_run_and_the_rest_goes_on():
    async def scenario(d):
        d.world.table.fault = Fault.HANG
        reply, answer = await gather_all(order(d, d.nodes[0]), d.caller.complete(d.nodes[0], "x"))
        assert (reply.status, reply.error["ran"]) == (503, "not_run")
        assert reply.error["retry_after_s"] > 0
        assert ran(d) == 0
        assert answer.status == 200
        d.world.table.fault = Fault.NONE
        await asyncio.sleep(5)
        again = await order(d, d.nodes[1])
        assert again.status == 200, again.body
        assert ran(d) == 1

    run_deployed(scenario)


@pytest.mark.parametrize("lands_after_s", [2.5, 6.0, 20.0])
def test_a_claim_that_lands_late_is_released_and_never_runs_twice(lands_after_s):
    async def scenario(d):
        d.world.table.commit_delay_s = lands_after_s
        reply = await order(d, d.nodes[0])
        assert (reply.status, reply.error["ran"]) == (503, "not_run")
        d.world.table.commit_delay_s = 0.0
        await asyncio.sleep(lands_after_s + 5)
        assert ran(d) == 0
        assert claim_row(d)["state"] == ClaimState.NOT_RUN
        again = await order(d, d.nodes[1])
        assert again.status == 200, again.body
        assert ran(d) == 1

    run_deployed(scenario)


def test_a_restarted_node_does_not_run_it_again():
    async def scenario(d):
        name = d.nodes[0].name
        assert (await order(d, d.nodes[0])).status == 200
        await asyncio.sleep(1)
        await d.world.kill_node(name)
        node = await d.world.start_node(name)
        await d.world.until(node.force.is_fresh)
        reply = await order(d, node)
        assert reply.status == 200
        assert reply.headers["idempotency-replayed"] == "true"
        assert ran(d) == 1

    run_deployed(scenario)


def test_the_same_key_with_another_content_is_an_error():
    async def scenario(d):
        assert (await order(d, d.nodes[0])).status == 200
        reply = await order(d, d.nodes[1], body=b"3 tins")
        assert (reply.status, reply.error["code"]) == (422, "key_reused")
        assert ran(d) == 1

    run_deployed(scenario)


@pytest.mark.parametrize("break_at", ["head", "body"])
def test_it_is_never_sent_again_after_bytes_were_sent(break_at):
    async def scenario(d):
        for desk in d.world.plain.values():
            desk.break_at = break_at
        reply = await d.caller.request(d.nodes[0], "POST", ORDERS, data=b"2 tins")
        assert ran(d) == 1
        if break_at == "head":
            assert (reply.status, reply.error["ran"]) == (502, "unknown")
        else:
            assert not reply.is_complete

    run_deployed(scenario)


def test_an_unrepeatable_model_request_is_not_resumed():
    async def scenario(d):
        for engine in d.world.engines.values():
            engine.faults.cut_at = 3
        headers = {"idempotency-key": "m1"}
        reply = await d.caller.complete(d.nodes[0], "x", stream=True, headers=headers)
        assert reply.error["ran"] == "unknown"
        assert sum(len(engine.ran) for engine in d.world.engines.values()) == 1

    run_deployed(scenario)


def test_forty_a_second_over_nine_nodes_take_under_forty_writes_a_second():
    from mulleinreach.standins.world import WorldSpec

    async def scenario(d):
        await asyncio.sleep(5)
        began, seconds = d.now, 10.0
        replies = []
        for number in range(int(40 * seconds)):
            node = d.nodes[number % len(d.nodes)]
            replies.append(asyncio.create_task(order(d, node, key=f"key-{number}")))
            await asyncio.sleep(1 / 40)
        await asyncio.gather(*replies)
        writes = sum(began <= at < began + seconds for at in d.world.table.write_times)
        assert writes / seconds < 40
        assert all(task.result().status == 200 for task in replies)
        assert ran(d) == len(replies)

    run_deployed(scenario, WorldSpec(nodes=9))
