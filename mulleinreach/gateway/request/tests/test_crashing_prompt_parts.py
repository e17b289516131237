"""Requests with a prompt part that crashes each replica are held; sound ones beside them aren't.

Guards against series of requests, no two alike, that crash replica after replica by what they
share, and against holding what sound requests share with them.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

import pytest

from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.state.content import prompt_part_digests
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import MemberState
from mulleinreach.standins.gateway.crashes import Moment
from mulleinreach.standins.gateway.dialect import PROMPT_PARTS
from mulleinreach.standins.gateway.world import CallerAnswer, GatewayWorld

THREE_HALLS = {"halls": 3, "nodes": 3, "domains": 3}
HOT = "hot"
# The users' rule: after so many crashes and so long, at most so many more requests arrive.
LAST_FREE_CRASH = 5
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
# Covers the start of crashed replicas, loading weights and forming groups.
REPAIR_S = 8.0
# Pieces of a sound stream, about half a second.
PIECES = 12


@dataclass
class SoundAnswer:
    """What a sound request's caller saw at its first attempt."""

    asked_at: float
    answer: CallerAnswer

    @property
    def is_served(self) -> bool:
        """Whether the stream is whole."""
        return len(self.answer.event_ids) == PIECES and not self.answer.is_cut


class Prompts:
    """Sends sound requests and hot ones through all nodes, no two alike.

    Parameters
    ==========

    hot_prompt : the parts of hot requests but for the last; sound ones have others for ``HOT``.
    """

    def __init__(self, world: GatewayWorld, hot_prompt: tuple[str, ...] = ("system", "org", HOT)):
        self._world = world
        self._hot_prompt = hot_prompt
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self.sound: list[SoundAnswer] = []
        # How soon callers of hot requests ask for the same once more, at another node.
        self.hot_repeated_after_s: float | None = None

    def _spawn(self, call) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(
        self, prompt: tuple[str, ...], node: str, number: int | None = None
    ) -> CallerAnswer:
        number = next(self._numbers) if number is None else number
        parts = ",".join([*prompt, f"own-{number}"])
        path = f"/stream/{number}"
        return await self._world.call(
            path, str(PIECES).encode(), node=node, fields={PROMPT_PARTS: parts}
        )

    async def ask_sound(self, subject: str, node: str) -> SoundAnswer:
        """Send a request that shares all parts with hot ones but the hot one."""
        asked_at = self._world.clock.now()
        prompt = tuple(subject if part == HOT else part for part in self._hot_prompt)
        answer = SoundAnswer(asked_at, await self._ask(prompt, node))
        self.sound.append(answer)
        return answer

    async def ask_hot(self, node: str) -> CallerAnswer:
        """Send a request with the hot part, and its repeat if callers repeat such requests."""
        number = next(self._numbers)
        answer = await self._ask(self._hot_prompt, node, number)
        if self.hot_repeated_after_s is not None:
            await asyncio.sleep(self.hot_repeated_after_s)
            other = next(name for name in self._world.nodes if name != node)
            answer = await self._ask(self._hot_prompt, other, number)
        return answer

    async def send(
        self, seconds: float, sound_every_s: float, hot_every_s: float | None = None
    ) -> None:
        """Send sound requests for some seconds, and hot ones if there are any."""
        names = itertools.cycle(self._world.nodes)
        until = self._world.clock.now() + seconds
        next_sound = next_hot = self._world.clock.now()
        while (now := self._world.clock.now()) < until:
            if now >= next_sound:
                subject = f"subject-{next(self._numbers) % 7}"
                self._spawn(self.ask_sound(subject, next(names)))
                next_sound += sound_every_s
            if hot_every_s is not None and now >= next_hot:
                self._spawn(self.ask_hot(next(names)))
                next_hot += hot_every_s
            await asyncio.sleep(0.01)

    async def finish(self) -> None:
        """Wait for all answers."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def served_share(self, since: float) -> float:
        """Return the share of sound requests that were served of those asked after a moment."""
        late = [answer for answer in self.sound if answer.asked_at >= since]
        return sum(answer.is_served for answer in late) / len(late)


def run_prompts(test, hot_prompt: tuple[str, ...] = ("system", "org", HOT), **options) -> None:
    """Run a test on formed groups whose hosts crash under the hot part."""

    async def run(world: GatewayWorld) -> None:
        await world.until_formed()
        world.crashes.fatal_parts.add(HOT)
        await test(world, Prompts(world, hot_prompt))

    run_world(run, **{**THREE_HALLS, **options})


def last_free_crash(world: GatewayWorld) -> Moment:
    """Return the crash after which the rule's time runs."""
    return world.crashes.ended[LAST_FREE_CRASH - 1]


def assert_hot_requests_are_held(world: GatewayWorld) -> None:
    """Assert that too few hot requests for the rule reached replicas after its time."""
    since = last_free_crash(world).at + CONTACT_S
    late = [moment for moment in world.crashes.arrivals if moment.at > since]
    assert len(late) <= MAX_LATE_ARRIVALS, (len(late), len(world.crashes.ended))


@pytest.mark.parametrize(
    "hot_prompt",
    [
        ("system", "org", HOT),
        ("system", HOT, "org"),
        (HOT, "system", "org"),
        ("system", HOT),
        (HOT,),
    ],
)
@pytest.mark.parametrize("hot_every_s", [0.15, 0.6])
def test_requests_with_a_hot_part_are_held_and_sound_ones_served(hot_prompt, hot_every_s):
    async def test(world, prompts):
        await prompts.send(2, sound_every_s=0.05)
        await prompts.send(14, sound_every_s=0.05, hot_every_s=hot_every_s)
        await prompts.finish()
        assert_hot_requests_are_held(world)
        assert prompts.served_share(since=last_free_crash(world).at + 2 * CONTACT_S) > 0.95

    run_prompts(test, hot_prompt)


@pytest.mark.parametrize("events", [1, 3])
def test_hot_requests_that_give_events_before_each_crash_are_held(events):
    async def test(world, prompts):
        world.crashes.fatal_events = events
        await prompts.send(14, sound_every_s=0.05, hot_every_s=0.25)
        await prompts.finish()
        assert_hot_requests_are_held(world)
        assert prompts.served_share(since=last_free_crash(world).at + 2 * CONTACT_S) > 0.95

    run_prompts(test)


def test_part_turns_hot_that_was_served_before():
    async def test(world, prompts):
        world.crashes.fatal_parts.clear()
        await prompts.send(3, sound_every_s=0.05, hot_every_s=0.3)
        world.crashes.fatal_parts.add(HOT)
        await prompts.send(14, sound_every_s=0.05, hot_every_s=0.3)
        await prompts.finish()
        assert_hot_requests_are_held(world)
        assert prompts.served_share(since=last_free_crash(world).at + 2 * CONTACT_S) > 0.95

    run_prompts(test)


def test_rare_hot_requests_are_held():
    """Few requests of any kind: most replicas run one request, or none, when they crash."""

    async def test(world, prompts):
        await prompts.send(40, sound_every_s=0.8, hot_every_s=4.0)
        await prompts.finish()
        assert len(world.crashes.ended) <= 6
        assert prompts.served_share(since=20) > 0.9

    run_prompts(test)


# Guards against requests each of which crashes more replicas than the detection has requests.
@pytest.mark.parametrize("events", [0, 1, 3])
@pytest.mark.parametrize("hot_every_s", [4.0, 7.0])
@pytest.mark.parametrize("framing", [BodyFraming.CHUNKED, BodyFraming.CLOSE])
def test_few_requests_with_a_hot_part_crash_few_replicas(events, hot_every_s, framing):
    async def test(world, prompts):
        world.crashes.fatal_events, world.crashes.fatal_framing = events, framing
        await prompts.send(30, sound_every_s=0.1, hot_every_s=hot_every_s)
        await prompts.finish()
        assert_hot_requests_are_held(world)
        assert len(world.crashes.ended) >= LAST_FREE_CRASH

    run_prompts(test, domains=6)


# Guards against callers who repeat requests before the detection has three different ones.
@pytest.mark.parametrize("events", [0, 1, 3])
@pytest.mark.parametrize("hot_every_s", [4.0, 7.0])
@pytest.mark.parametrize("repeated_after_s", [0.05, 0.4])
def test_repeated_requests_with_a_hot_part_crash_few_replicas(
    events, hot_every_s, repeated_after_s
):
    async def test(world, prompts):
        world.crashes.fatal_events = events
        prompts.hot_repeated_after_s = repeated_after_s
        await prompts.send(30, sound_every_s=0.1, hot_every_s=hot_every_s)
        await prompts.finish()
        assert_hot_requests_are_held(world)
        assert len(world.crashes.ended) >= LAST_FREE_CRASH

    run_prompts(test, domains=6)


def test_parts_of_all_requests_are_not_held_in_an_outage():
    """All replicas crash before any answer is whole, so that nothing is served meanwhile."""

    async def test(world, prompts):
        await prompts.send(1, sound_every_s=0.04)
        await prompts.send(6, sound_every_s=0.04, hot_every_s=0.04)
        await world.until_formed()
        began_at = world.clock.now()
        await prompts.send(3, sound_every_s=0.04, hot_every_s=0.2)
        await prompts.finish()
        assert prompts.served_share(since=began_at) > 0.95
        assert_hot_requests_are_held(world)

    run_prompts(test, domains=6)


def test_new_coordinator_and_new_node_hold_a_hot_part():
    async def test(world, prompts):
        await prompts.send(8, sound_every_s=0.05, hot_every_s=0.2)
        await prompts.finish()
        ended = len(world.crashes.ended)
        await world.kill_node(world.coordinator())
        await world.until(lambda: world.coordinator() is not None)
        await world.start_node("node-9")
        # The groups of the crashed replicas are formed again meanwhile.
        await asyncio.sleep(REPAIR_S)
        await world.until_formed()
        for name in world.nodes:
            assert (await prompts.ask_sound("subject", name)).is_served
            held = await prompts.ask_hot(name)
            assert (held.status, held.headers["Retry-After"]) == (503, "60")
        assert len(world.crashes.ended) == ended

    run_prompts(test)


def test_coordinator_is_lost_amid_the_series():
    async def test(world, prompts):
        await prompts.send(0.6, sound_every_s=0.05, hot_every_s=0.3)
        await world.kill_node(world.coordinator())
        await prompts.send(14, sound_every_s=0.05, hot_every_s=0.3)
        await prompts.finish()
        assert_hot_requests_are_held(world)

    run_prompts(test, nodes=4)


def test_hold_of_a_hot_part_survives_a_restart_of_all_nodes():
    async def test(world, prompts):
        await prompts.send(8, sound_every_s=0.05, hot_every_s=0.2)
        await prompts.finish()
        await asyncio.sleep(1)
        ended = len(world.crashes.ended)
        for name in list(world.nodes):
            await world.kill_node(name)
        for number in range(3):
            await world.start_node(f"node-{number}", hall=world.halls[number])
        await world.until_formed()
        for name in world.nodes:
            held = await prompts.ask_hot(name)
            assert (held.status, held.headers["Retry-After"]) == (503, "60")
        assert len(world.crashes.ended) == ended

    run_prompts(test)


async def lose_replicas_in_turn(world: GatewayWorld, every_s: float, count: int) -> None:
    """Let heads of groups crash one after the other, whatever they run."""
    for _ in range(count):
        heads = [
            host
            for host in world.fabric.hosts.values()
            if host.standing is not None and host.standing.state is MemberState.OPEN
        ]
        if heads:
            world.crashes.begin(heads[0].id)
        await asyncio.sleep(every_s)


def held_digests(world: GatewayWorld) -> set[int]:
    """Return all that any node holds."""
    return {held.content for node in world.nodes.values() for held in node.crashes.held()}


@pytest.mark.parametrize("every_s", [0.0, 0.06, 0.2, 0.7])
@pytest.mark.parametrize("sound_every_s", [0.02, 0.1, 0.5])
def test_crashes_without_a_hot_part_hold_no_part(every_s, sound_every_s):
    """Replicas crash in turn, all of them at last, while all requests share parts."""

    async def test(world, prompts):
        sending = asyncio.create_task(prompts.send(8, sound_every_s=sound_every_s))
        await asyncio.sleep(1)
        await lose_replicas_in_turn(world, every_s, count=12)
        await sending
        await prompts.finish()
        parts = ["system", "org", *(f"subject-{number}" for number in range(7))]
        digests = prompt_part_digests([*parts, "own"])
        assert held_digests(world).isdisjoint(digests)

    run_prompts(test, domains=6)


def test_lost_hall_holds_no_part():
    async def test(world, prompts):
        sending = asyncio.create_task(prompts.send(6, sound_every_s=0.02))
        await asyncio.sleep(1)
        for host in world.hosts_in("hall-a"):
            world.crashes.begin(host.id, back_after_s=60)
        await sending
        await prompts.finish()
        assert held_digests(world) == set()

    run_prompts(test, domains=6)


def test_hot_part_and_sound_requests_at_the_same_replicas():
    """Many requests are in flight at each replica that crashes, hot ones among them."""

    async def test(world, prompts):
        await prompts.send(2, sound_every_s=0.01)
        await prompts.send(10, sound_every_s=0.01, hot_every_s=0.3)
        await prompts.finish()
        assert_hot_requests_are_held(world)
        [hot] = prompt_part_digests([HOT, "own"])
        parts = ["system", "org", *(f"subject-{number}" for number in range(7))]
        held = held_digests(world)
        assert hot in held
        assert held.isdisjoint(prompt_part_digests([*parts, "own"]))

    run_prompts(test, domains=6)


def test_node_without_a_coordinator_holds_a_hot_part():
    async def test(world, prompts):
        await asyncio.sleep(1)
        alone = next(name for name in world.nodes if name != world.coordinator())
        for name in world.nodes:
            if name != alone:
                world.links.cut_both(alone, name)
        await asyncio.sleep(2)
        for _ in range(8):
            await asyncio.gather(
                prompts.ask_hot(alone), *(prompts.ask_sound(f"s-{n}", alone) for n in range(6))
            )
            await asyncio.sleep(1)
        assert_hot_requests_are_held(world)
        held = await prompts.ask_hot(alone)
        assert (held.status, held.headers["Retry-After"]) == (503, "60")

    run_prompts(test, domains=6)
