"""Requests that are restricted to regions are sent only to upstreams of those regions."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.tests.event_recording import event_fields, record_events
from mulleinreach.gateway.tests.plain_upstreams import echo_path, start_plain_upstreams
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.store import CONFIGURATION, NEWEST
from mulleinreach.standins.gateway.world import LARGE, make_configuration

NORTH, SOUTH = "north", "south"
# The third hall has no known region.
WORLD = {"halls": 3, "regions": {"hall-a": NORTH, "hall-b": SOUTH}}
REFUSED_WITHIN_S = 0.05


def restricted_configuration(of_routes: set[str], of_organisation: set[str]):
    """Return a configuration that restricts regions; an empty set means no restriction."""
    configuration = make_configuration(2)
    routes = tuple(
        replace(route, allowed_regions=frozenset(of_routes) or None)
        for route in configuration.routes
    )
    organisations = tuple(
        replace(organisation, allowed_regions=frozenset(of_organisation) or None)
        for organisation in configuration.organisations
    )
    return replace(configuration, routes=routes, organisations=organisations)


async def apply_configuration(world, configuration) -> None:
    """Write a configuration and wait until the node has it."""
    world.store.put(CONFIGURATION, NEWEST, configuration)
    node = world.nodes["node-0"]
    await world.until(lambda: node.in_force.version == configuration.version)


async def start_upstream_in_each_hall(world) -> None:
    """Start a plain upstream in each hall."""
    for hall in world.halls:
        await world.add_plain(hall, echo_path, hall)
    await world.until(lambda: len(world.nodes["node-0"].directory) == len(world.halls))


@pytest.mark.parametrize(
    ("of_routes", "of_organisation", "serving"),
    [
        (set(), set(), {"hall-a", "hall-b", "hall-c"}),
        ({SOUTH}, set(), {"hall-b"}),
        (set(), {NORTH}, {"hall-a"}),
        ({NORTH, SOUTH}, {SOUTH}, {"hall-b"}),
        ({NORTH}, {SOUTH}, set()),
        ({"unknown"}, set(), set()),
    ],
)
def test_request_goes_only_to_regions_that_route_and_organisation_allow(
    of_routes, of_organisation, serving
):
    async def test(world):
        await start_upstream_in_each_hall(world)
        await apply_configuration(world, restricted_configuration(of_routes, of_organisation))
        logged = record_events(world.nodes["node-0"])
        asked_at = world.clock.now()
        answers = await asyncio.gather(*(world.call("/order/1") for _ in range(30)))
        statuses = {answer.status for answer in answers}
        assert {name for name, plain in world.plain.items() if plain.seen} == serving
        assert statuses == ({200} if serving else {503})
        if not serving:
            assert world.clock.now() - asked_at < REFUSED_WITHIN_S
            no_upstream_events = event_fields(logged, "no_upstream")
            assert [fields["abroad"] for fields in no_upstream_events] == [3] * 30

    run_world(test, nodes=1, domains=0, **WORLD)


def test_homes_of_an_organisation_do_not_restrict_requests_without_its_key():
    async def test(world):
        await start_plain_upstreams(world, echo_path)
        await apply_configuration(world, restricted_configuration(set(), {SOUTH}))
        assert (await world.call("/public/1", key=None)).status == 200
        assert (await world.call("/order/1")).status == 503

    run_world(test, nodes=1, domains=0, **WORLD)


def test_streams_begin_and_resume_in_their_regions_or_are_refused_at_once():
    async def test(world):
        await world.until_formed()
        await apply_configuration(world, restricted_configuration({NORTH}, set()))
        away = [h for h in world.fabric.hosts.values() if h.upstream.hall != "hall-a"]
        answers = await asyncio.gather(*(world.stream(2) for _ in range(20)))
        assert {answer.status for answer in answers} == {200}
        for host in world.fabric.hosts.values():
            host.breaks_after = 1
        assert (await world.stream(5)).is_cut
        ran_at = {host for hosts in world.fabric.checks.runs.values() for host in hosts}
        assert ran_at.isdisjoint(host.id for host in away)
        await apply_configuration(
            world, replace(restricted_configuration({"none"}, set()), version=3)
        )
        asked_at = world.clock.now()
        answer = await world.stream(2)
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert world.clock.now() - asked_at < REFUSED_WITHIN_S
        assert world.open_groups(LARGE) == 3

    run_world(test, nodes=1, domains=3, hosts_per_domain=6, **WORLD)
