"""Logs say why a request found no upstream; metrics count sends to an evacuated hall."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common.log import format_value
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.explain import explain_request, parse_line
from mulleinreach.gateway.tests.plain_upstreams import echo_path, refuse
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.gateway.tests.traffic import run_traffic

BOUND_S = DeploymentBounds.evacuation_s


def _record_lines(world) -> list[str]:
    """Return a list that collects the formatted log lines of the first node."""
    lines = []

    def event(name, **fields):
        pairs = [f"{key}={format_value(value)}" for key, value in fields.items()]
        lines.append(" ".join([f"event={name}", *pairs]))

    world.nodes["node-0"].log.event = event
    return lines


def _shortage_fields(lines: list[str], request: int) -> dict[str, str]:
    """Return the fields of a request's ``no_upstream`` event."""
    explained = [parse_line(line) for line in explain_request(lines, f"request-{request}")]
    (shortage,) = [line.fields for line in explained if line.event == "no_upstream"]
    return shortage


def test_refused_stream_logs_the_state_of_its_model_s_heads():
    async def test(world):
        await world.until_formed()
        lines = _record_lines(world)
        for hall in world.halls:
            world.evacuate(hall)
        await asyncio.sleep(BOUND_S)
        assert (await world.stream(3)).status == 503
        fields = _shortage_fields(lines, 1)
        assert (fields["service"], fields["model"]) == ("models", "large")
        assert (fields["listed"], fields["evacuated"], fields["lost"]) == ("2", "2", "0")
        assert fields["evacuated_halls"] == "hall-a,hall-b"

    run_world(test, halls=2, nodes=1, domains=2)


@pytest.mark.parametrize("script", [echo_path, refuse])
def test_refused_plain_request_logs_the_state_of_its_service_s_upstreams(script):
    async def test(world):
        await world.add_plain("near", echo_path, "hall-a")
        await world.add_plain("far", script, "hall-b")
        await asyncio.sleep(3)
        lines = _record_lines(world)
        world.evacuate("hall-a")
        await asyncio.sleep(BOUND_S)
        is_refused = (await world.call("/order/1")).status == 503
        assert is_refused == (script is refuse)
        if is_refused:
            fields = _shortage_fields(lines, 1)
            assert (fields["listed"], fields["tried"], fields["evacuated"]) == ("2", "1", "1")
        else:
            assert not any("event=no_upstream" in line for line in lines)

    run_world(test, halls=2, nodes=1, domains=0)


def test_sends_to_an_evacuated_hall_are_counted():
    def count(node, hall):
        name = "mulleinreach_gateway_evacuated_sends_total"
        return node.metrics.registry.get_sample_value(name, {"hall": hall}) or 0

    async def test(world, traffic):
        node = world.nodes["node-0"]
        assert count(node, "hall-a") == 0
        world.evacuate("hall-a")
        await asyncio.sleep(BOUND_S)
        sent = count(node, "hall-a")
        assert sent > 0
        assert count(node, "hall-b") == 0
        await asyncio.sleep(2)
        assert count(node, "hall-a") == sent

    run_traffic(test, nodes=1)
