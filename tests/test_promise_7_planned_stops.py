"""A planned stop cuts off no request that is in flight."""

import asyncio

from mulleinreach.common.address import Address
from mulleinreach.standins.engine_core import EngineSpeed
from mulleinreach.standins.frames import whole_text
from mulleinreach.standins.raw_connection import RawConnection
from mulleinreach.standins.world import WorldSpec
from tests.support import run_deployed

SLOW = WorldSpec(speed=EngineSpeed(token_gap_s=0.05))
SHORT_DRAIN = WorldSpec(speed=EngineSpeed(token_gap_s=0.05), timing={"drain_deadline_s": 16.0})


async def ask(d, tokens, node=0):
    return await d.caller.complete(d.nodes[node], "ochre", max_tokens=tokens, stream=True)


def check_whole(reply, tokens):
    assert reply.status == 200, reply.body
    assert reply.events[-1] == "[DONE]"
    assert reply.text == whole_text({"prompt": "ochre", "max_tokens": tokens})


def busy_replica(d):
    return next(e for e in d.world.engines.values() if e.core.running).state.replica


def group_of(d, replica):
    return next((g for g in d.nodes[0].replicas.all_groups() if g.replica == replica), None)


def test_a_drained_replica_finishes_what_is_in_flight():
    async def scenario(d):
        task = asyncio.create_task(ask(d, 300))
        await asyncio.sleep(1)
        replica = busy_replica(d)
        await d.apply(drain=[group_of(d, replica).hosts[1]])
        reply = await task
        check_whole(reply, 300)
        assert d.nodes[0].models.metrics.resumes == 0, "it was left to finish"
        await d.world.until(lambda: group_of(d, replica) is None, 20)

    run_deployed(scenario, SLOW)


def test_a_stream_too_long_for_the_drain_moves_with_its_kv_cache():
    async def scenario(d):
        task = asyncio.create_task(ask(d, 600))
        await asyncio.sleep(1)
        replica = busy_replica(d)
        await d.apply(drain=[group_of(d, replica).hosts[1]])
        reply = await task
        check_whole(reply, 600)
        assert d.nodes[0].models.metrics.moves == 1
        request_id = reply.headers["x-request-id"]
        story = await d.operator.request(d.nodes[0], "GET", f"/explain/request/{request_id}")
        assert "with its KV cache" in story.body

    run_deployed(scenario, SHORT_DRAIN)


def test_a_node_that_stops_finishes_its_requests_and_hands_its_duty_over():
    async def scenario(d):
        holder = d.holder()
        index = d.nodes.index(holder)
        task = asyncio.create_task(ask(d, 200, node=index))
        await asyncio.sleep(1)
        stopping = asyncio.create_task(holder.stop())
        await asyncio.sleep(0.1)
        assert (await d.caller.request(holder, "GET", "/readyz")).status == 503
        check_whole(await task, 200)
        await stopping
        del d.world.nodes[holder.name]
        taken = await d.world.until(lambda: d.holder() is not None, 10)
        assert taken < 3.0, "a lease that is given up need not lapse"

    run_deployed(scenario, SLOW)


# Guards against requests that are cut off since a node stops while they arrive.
def test_a_node_that_stops_answers_a_request_of_which_a_part_was_read():
    async def scenario(d):
        node = d.nodes[0]
        connection = await RawConnection.open(Address.parse(node.settings.listen.callers))
        stopping = asyncio.create_task(node.stop())
        request = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
        await asyncio.sleep(0.9)
        await connection.write(request[:20])
        await asyncio.sleep(0.5)
        await connection.write(request[20:])
        answer = await connection.read_answer()
        connection.close()
        assert answer is not None
        assert answer.status == 200
        await stopping
        del d.world.nodes[node.name]

    run_deployed(scenario, SLOW)


def test_a_new_version_is_rolled_out_without_cutting_a_request():
    from mulleinreach.standins.people import demo_intent

    async def scenario(d):
        failed = []

        async def keep_asking(node):
            while True:
                reply = await ask(d, 30, node)
                if reply.status != 200 or reply.events[-1] != "[DONE]":
                    failed.append(reply)

        asking = [asyncio.create_task(keep_asking(number % 3)) for number in range(9)]
        await d.apply(intent=demo_intent(4, version="2"))

        def is_rolled_out():
            groups = d.nodes[0].replicas.groups("tint-model")
            return len(groups) == 4 and all(g.model_version == "2" for g in groups)

        await d.world.until(is_rolled_out, 120)
        await d.until_serving(4)
        for task in asking:
            task.cancel()
        assert failed == []

    run_deployed(scenario, SLOW)
