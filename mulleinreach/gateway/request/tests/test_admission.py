"""API keys and configurations decide which requests are admitted."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.tests.plain_upstreams import (
    NO_HOSTS,
    echo_path,
    start_plain_upstreams,
)
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION
from mulleinreach.standins.gateway.world import make_configuration


def test_unknown_key_is_denied():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        assert (await world.call("/order/1", key="other")).status == 401
        assert (await world.call("/order/1", key=None)).status == 401
        assert (await world.call("/public/1", key=None)).status == 200

    run_world(test, **NO_HOSTS)


def test_revoked_key_is_denied_at_once():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        assert (await world.call("/order/1")).status == 200
        world.store.put(CONFIGURATION, "newest", make_configuration(2, frozenset()))
        await asyncio.sleep(0.2)
        assert (await world.call("/order/1")).status == 401

    run_world(test, **NO_HOSTS)


def test_key_is_refused_while_the_store_does_not_answer():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        bound_s = world.nodes["node-0"].bounds.max_key_evidence_age_s
        world.store.is_silent = True
        await asyncio.sleep(bound_s + 2)
        answer = await world.call("/order/1")
        assert (answer.status, "Retry-After" in answer.headers) == (503, True)
        assert (await world.call("/public/1", key=None)).status == 200
        world.store.is_silent = False
        await asyncio.sleep(3)
        assert (await world.call("/order/1")).status == 200

    run_world(test, **NO_HOSTS)


def test_older_configuration_is_discarded():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        world.store.put(CONFIGURATION, "newest", make_configuration(5))
        await asyncio.sleep(0.1)
        world.store.put(CONFIGURATION, "newest", make_configuration(4, frozenset()))
        await asyncio.sleep(0.1)
        assert (await world.call("/order/1")).status == 200

    run_world(test, **NO_HOSTS)


def test_configuration_is_read_again_after_lost_history():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        world.store.history_from = world.store.version + 5
        world.store.put(CONFIGURATION, "newest", make_configuration(2, frozenset()))
        await asyncio.sleep(2.5)
        assert (await world.call("/order/1")).status == 401

    run_world(test, **NO_HOSTS)
