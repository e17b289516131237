"""Each change of the list of upstreams is logged as one line."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.state.list_change_log import MAX_LOGGED_IDS
from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.plain_upstreams import echo_path
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.upstream import UpstreamState
from mulleinreach.standins.gateway.store import UPSTREAMS


@pytest.mark.parametrize("is_coordinator", [True, False])
def test_changes_are_logged_by_the_coordinator_and_its_followers(is_coordinator):
    async def test(world):
        plain = await world.add_plain("desk-0", echo_path)
        await asyncio.sleep(2)
        names = [n for n in world.nodes if (n == world.coordinator()) == is_coordinator]
        events = record_events(world.nodes[names[0]])
        leaving = replace(plain.upstream, state=UpstreamState.DRAINING)
        world.store.put(UPSTREAMS, leaving.id, leaving)
        await asyncio.sleep(1)
        (line,) = event_fields(events, "upstreams_changed")
        assert (line["new"], line["changed"], line["removed"]) == (0, 1, 0)
        assert line["first_changed"] == leaving.id
        world.store.put(UPSTREAMS, leaving.id, None)
        await asyncio.sleep(1)
        line = event_fields(events, "upstreams_changed")[-1]
        assert (line["new"], line["changed"], line["removed"]) == (0, 0, 1)
        assert line["first_removed"] == leaving.id

    run_world(test, domains=0)


def test_log_line_counts_new_upstreams_and_names_only_the_first():
    async def test(world):
        await asyncio.sleep(2)
        events = record_events(world.nodes[world.coordinator()])
        hosts = 2 * MAX_LOGGED_IDS
        for number in range(hosts):
            await world.add_host(f"extra-{number}", "domain-extra")
        await asyncio.sleep(0.3)
        lines = event_fields(events, "upstreams_changed")
        assert sum(line["new"] for line in lines) == hosts
        assert all(str(line["first_new"]).count(",") < MAX_LOGGED_IDS for line in lines)

    run_world(test, domains=0)
