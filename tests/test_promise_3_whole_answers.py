"""Every caller gets the whole answer to its own request."""

import asyncio
import random

import pytest

from mulleinreach.standins.engine_core import EngineSpeed
from mulleinreach.standins.frames import whole_text
from mulleinreach.standins.world import WorldSpec
from tests.support import run_deployed

SLOW = WorldSpec(speed=EngineSpeed(token_gap_s=0.05), timing={"token_gap_s": 1.5})


def expected(prompt, tokens):
    return whole_text({"prompt": prompt, "max_tokens": tokens})


def engines(d):
    return list(d.world.engines.values())


async def ask(d, prompt="ochre", tokens=20, node=0, **fields):
    return await d.caller.complete(d.nodes[node], prompt, max_tokens=tokens, stream=True, **fields)


def check_whole(reply, prompt="ochre", tokens=20):
    assert reply.status == 200, reply.body
    assert reply.events[-1] == "[DONE]", reply.body
    assert reply.text == expected(prompt, tokens)


def head_of_stream(d):
    """Return the engine that works on a stream at the moment."""
    return next(engine for engine in engines(d) if engine.core.running)


@pytest.mark.parametrize("fault", ["cut_at", "stall_at", "skip_at", "double_at", "swap_at"])
def test_a_stream_that_is_cut_stalled_or_disordered_once_is_delivered_whole(fault):
    async def scenario(d):
        for engine in engines(d):
            setattr(engine.faults, fault, 7)
        check_whole(await ask(d))

    run_deployed(scenario, SLOW)


def test_a_cut_stream_is_resumed_on_the_same_replica_without_running_again():
    async def scenario(d):
        for engine in engines(d):
            engine.faults.cut_at = 7
        check_whole(await ask(d))
        assert sum(len(engine.ran) for engine in engines(d)) == 1
        assert d.nodes[0].models.metrics.resumes == 1

    run_deployed(scenario, SLOW)


@pytest.mark.parametrize("lose", ["kill", "freeze"])
@pytest.mark.parametrize("member", [0, 2])
def test_a_stream_whose_replica_is_lost_goes_on_at_another(lose, member):
    async def scenario(d):
        task = asyncio.create_task(ask(d, tokens=60))
        await asyncio.sleep(1)
        head = head_of_stream(d)
        host = head.state.members[member]
        if lose == "kill":
            d.world.kill_host(host)
        else:
            d.world.engines[host].pause()
        check_whole(await task, tokens=60)
        assert d.nodes[0].models.metrics.resumes >= 1

    run_deployed(scenario, SLOW)


def test_answers_with_swapped_request_ids_reach_nobody():
    async def scenario(d):
        group = d.group(0)
        d.world.engines[group.head].faults.swap_request_id = True
        for number in range(10):
            prompt = f"wall {number}"
            check_whole(await ask(d, prompt), prompt)
            reply = await d.caller.complete(d.nodes[0], prompt, max_tokens=4)
            assert reply.text == expected(prompt, 4)
            await asyncio.sleep(0.5)

    run_deployed(scenario, SLOW)


def test_a_caller_that_hangs_up_ends_the_upstreams_stream():
    async def scenario(d):
        task = asyncio.create_task(ask(d, tokens=500))
        await asyncio.sleep(1)
        head = head_of_stream(d)
        task.cancel()
        await d.world.until(lambda: head.core.running == 0, 5)
        assert len(head.cancelled) == 1
        assert d.nodes[0].replicas.load_of(head.state.replica).in_flight == 0
        assert len(d.nodes[0].active) == 0

    run_deployed(scenario, SLOW)


def test_an_upstream_that_never_ends_its_stream_is_not_taken_for_whole():
    async def scenario(d):
        for engine in engines(d):
            engine.faults.cut_at = 20  # before the end mark, once each
        check_whole(await ask(d))

    run_deployed(scenario, SLOW)


@pytest.mark.parametrize("seed", range(3))
def test_under_random_faults_answers_are_whole_or_said_not_to_be(seed):
    async def scenario(d):
        rng = random.Random(seed)
        tasks = []
        for number in range(120):
            if rng.random() < 0.2:
                name = rng.choice(["cut_at", "skip_at", "double_at", "swap_at", "stall_at"])
                setattr(rng.choice(engines(d)).faults, name, rng.randint(0, 19))
            if rng.random() < 0.03:
                d.world.kill_host(rng.choice(sorted(d.world.engines)))
            if rng.random() < 0.03:
                d.world.restart_host(rng.choice(sorted(d.world.engines)))
            prompt = f"prompt {number}"
            tasks.append((prompt, asyncio.create_task(ask(d, prompt, node=number % 3))))
            await asyncio.sleep(rng.uniform(0, 0.3))
        complete = 0
        for prompt, task in tasks:
            reply = await task
            if reply.status != 200:
                assert reply.error["ran"] in ("not_run", "unknown")
                continue
            is_told_broken = "event: error" in reply.body
            assert expected(prompt, 20).startswith(reply.text)
            assert (reply.text == expected(prompt, 20) and not is_told_broken) or is_told_broken
            complete += not is_told_broken
        assert complete > len(tasks) * 0.8

    run_deployed(scenario, SLOW)
